"""Measures the unit costs on which the capacity documentation is based.

Memory per kind of record is measured with ``tracemalloc``, processor time per kind of
message with ``process_time``, and the idle cost of real daemons with their own
counters, for increasing numbers of entries.
"""

import gc
import shutil
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

import orjson
import trio
from attrs import evolve, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.owner_map import OwnerMap
from medlarrail.cluster.stream_origin_keeper import StreamOriginKeeper
from medlarrail.core.codec import decode, encode
from medlarrail.core.entities import (
    CallRule,
    Contract,
    Endpoint,
    EntrySession,
    LedgerKey,
    SessionView,
    StoredAnswer,
)
from medlarrail.ownership.fairness import FairQueue
from medlarrail.protocol.control import RENEW_PATH, RenewAnswer, RenewRequest
from medlarrail.protocol.permits import ACQUIRE_PATH, AcquireAnswer, AcquireRequest
from medlarrail.relay.stream_origins import BeginConnection, StreamOriginDirectory
from medlarrail.state.blocks import Block, BlockStore, build_info
from medlarrail.state.catalogue import Catalogue, CatalogueImage
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import run_inline
from medlarrail.state.operations import (
    Envelope,
    LedgerDispatch,
    LedgerFinish,
    OpenSession,
    RegisterEndpoint,
    SetContract,
)
from medlarrail.testing.deployment import Layout, write_deployment
from medlarrail.testing.processes import Processes
from medlarrail.transport.client import HttpClient
from medlarrail.transport.datagrams import DatagramSocket
from medlarrail.transport.routes import Routes, route
from medlarrail.transport.server import HttpServer

RECORDS = 2000
CALLS = 400
ENDPOINTS = 1700
IDLE_S = 8.0
WARM_UP_S = 3.0
ENTRY_COUNTS = (1, 3, 6)
MEMBERS = 16
STREAMS = 5000


@frozen
class UnitCost:
    """One measured unit cost: ``value`` in ``unit`` for each ``per``."""

    name: str
    per: str
    value: float
    unit: str


def measure_memory(make: Callable[[int], object], count: int = RECORDS) -> float:
    """Return the average size in bytes of ``count`` live objects."""
    gc.collect()
    tracemalloc.start()
    objects = [make(number) for number in range(count)]
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(objects)


def measure_time(work: Callable[[], object], count: int) -> float:
    """Return the average processor seconds of ``count`` runs of ``work``."""
    started_at = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - started_at) / count


def build_contract(number: int) -> Contract:
    """Return a contract of typical size."""
    return Contract(
        f"account-{number}",
        keys_sha256=(f"{number:064x}",),
        models=(f"model-{number % 22}",),
        calls=(CallRule("box-office/purchase", "once"),),
    )


def build_endpoint(number: int) -> Endpoint:
    """Return an endpoint of typical size."""
    return Endpoint(
        f"engine-{number}",
        f"http://10.0.{number // 250}.{number % 250}:9000",
        "model",
        f"model-{number % 22}",
        f"dc-{number % 7}",
        f"{number:012x}",
        "v1",
    )


def iterate_catalogue_costs() -> Iterator[UnitCost]:
    """Yield memory and time per record of the catalogue."""
    catalogue = Catalogue()

    def apply(operation) -> object:
        return catalogue.apply(catalogue.index + 1, Envelope(operation))

    def add_ledger(number: int) -> object:
        key = LedgerKey("account-1", f"key-{number:032x}")
        nonce = f"{number:024x}"
        apply(LedgerDispatch(key, f"{number:064x}", "entry-1", 1, nonce))
        answer = StoredAnswer(200, "application/json", f"{number:0256x}")
        return apply(LedgerFinish(key, nonce, "done", answer))

    apply(OpenSession("entry-1", "http://10.0.0.1:7000", "dc-1"))
    record_builders = {
        "contract": lambda n: apply(SetContract(build_contract(n))),
        "endpoint": lambda n: apply(RegisterEndpoint(build_endpoint(n))),
        "ledger record, answer of 256 B": add_ledger,
    }
    for name, make in record_builders.items():
        yield UnitCost("memory of the catalogue", name, measure_memory(make), "B")
    image = catalogue.get_image()
    data = encode(image)
    records = 3 * RECORDS
    yield UnitCost("size of a snapshot", "record", len(data) / records, "B")
    for name, work in (
        ("time to write a snapshot", lambda: encode(catalogue.get_image())),
        ("time to read a snapshot", lambda: decode(data, CatalogueImage)),
    ):
        yield UnitCost(name, "record", measure_time(work, 3) / records * 1e6, "us")


def _iterate_placement_costs(count: int) -> Iterator[UnitCost]:
    """Yield the time to place all endpoints initially and after one entry joined."""
    sessions = tuple(
        EntrySession(f"entry-{n}", "http://10.0.0.1:7000", "dc-1", n)
        for n in range(count)
    )
    owners = OwnerMap()
    for epoch, what in ((1, "first view"), (2, "join")):
        started_at = time.process_time()
        owners.update(SessionView(epoch, sessions[: count - 2 + epoch]))
        for number in range(ENDPOINTS):
            owners.get_owner(f"engine-{number}")
        seconds = time.process_time() - started_at
        per = f"{what}, {count} entries, {ENDPOINTS} endpoints"
        yield UnitCost("time to place the endpoints", per, seconds * 1e3, "ms")


def iterate_decision_costs() -> Iterator[UnitCost]:
    """Yield the time of decisions whose cost grows with the deployment."""
    for count in (6, 390):
        yield from _iterate_placement_costs(count)
    queue = FairQueue()
    for number in range(200):
        queue.add(str(number), f"account-{number % 20}", 1.0)

    def serve_next() -> None:
        ticket = queue.pop()
        queue.add(ticket.name, ticket.account, 1.0)

    seconds = measure_time(serve_next, 500)
    yield UnitCost("time to serve a queue", "permit, 200 waiting", seconds * 1e6, "us")


async def _measure_store(folder: Path) -> UnitCost:
    store = BlockStore(
        DataFolder(folder), 10**9, 10**9, time.monotonic, run_blocking=run_inline
    )
    store.open()
    gc.collect()
    tracemalloc.start()
    for number in range(300):
        blocks = [Block(f"{number:08x}{n:016x}", b"x") for n in range(16)]
        await store.put(build_info("account-1", "m", "v1", "", blocks), blocks)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return UnitCost("memory of a store's index", "extent of 16 blocks", size / 300, "B")


class _StubHandlers:
    """Minimal handlers for renewals and permits."""

    @route("POST", RENEW_PATH, RenewRequest)
    async def renew(self, request) -> RenewAnswer:
        return RenewAnswer(3.0, 1)

    @route("POST", ACQUIRE_PATH, AcquireRequest)
    async def acquire(self, request) -> AcquireAnswer:
        return AcquireAnswer(request.message.permit, "i", "v1", 1.5)


async def _measure_calls() -> list[UnitCost]:
    renewal = RenewRequest("entry-1", 1, 1)
    acquire = AcquireRequest("p", "engine-1", "entry-1", 1, "a", 1.0, 0.2, 10.0)
    unit_costs = []
    async with trio.open_nursery() as nursery:
        server = HttpServer(Routes.collect(_StubHandlers()))
        port = await nursery.start(server.run, "127.0.0.1", 0)
        client = HttpClient("key")
        url = f"http://127.0.0.1:{port}"
        for name, path, message, kind in (
            ("renewal", RENEW_PATH, renewal, RenewAnswer),
            ("permit", ACQUIRE_PATH, acquire, AcquireAnswer),
        ):
            started_at = time.process_time()
            for _ in range(CALLS):
                await client.call(url, path, message, kind, 2.0)
            seconds = (time.process_time() - started_at) / CALLS
            unit_costs.append(
                UnitCost("time of a call, both ends", name, seconds * 1e6, "us")
            )
            # The HTTP headers are counted as 350 B.
            size = len(encode(message)) + 350
            unit_costs.append(UnitCost("bytes of a call with headers", name, size, "B"))
        await client.aclose()
        nursery.cancel_scope.cancel()
    return unit_costs


async def _measure_origins() -> list[UnitCost]:
    """Return the time to tell state members of a stream, and to keep what is told."""
    sockets = [DatagramSocket("127.0.0.1:0", "key") for _ in range(MEMBERS)]
    for datagram_socket in sockets:
        await datagram_socket.open()
    urls = [f"http://127.0.0.1:{one.get_port()}" for one in sockets]
    directory = StreamOriginDirectory(ClusterView(member_urls=tuple(urls)))
    own_socket = DatagramSocket("127.0.0.1:0", "key")
    await own_socket.open()
    directory.connect(own_socket, "")

    def record(number: int) -> None:
        now = trio.current_time()
        connection = BeginConnection("engine-100", now - 12.3, now - 0.1)
        directory.record(f"request-{number:024x}", "service-12", "v1.2.3", connection)

    started_at = time.process_time()
    for number in range(STREAMS):
        record(number)
    told_s = (time.process_time() - started_at) / STREAMS
    keeper = StreamOriginKeeper(sockets[0])
    directory.cluster_view.member_urls = (urls[0],)
    while sockets[0].has_arrived():
        await keeper.receive()
    kept_s = 0.0
    for number in range(STREAMS):
        record(STREAMS + number)
        started_at = time.process_time()
        await keeper.receive()
        kept_s += time.process_time() - started_at
    for datagram_socket in (own_socket, *sockets):
        datagram_socket.close()
    return [
        UnitCost("time to tell of a stream", f"{MEMBERS} members", told_s * 1e6, "us"),
        UnitCost("time to keep an origin", "datagram", kept_s / STREAMS * 1e6, "us"),
    ]


async def _measure_idle(entries: int) -> list[UnitCost]:
    """Return the idle processor time and memory of each role."""
    folder = Path(tempfile.mkdtemp(prefix="medlar-capacity-"))
    layout = evolve(Layout(), entries=entries)
    processes = Processes(write_deployment(folder, layout))
    try:
        processes.start_all()
        await processes.bootstrap()
        await processes.wait_ready()
        await trio.sleep(WARM_UP_S)
        before = await _read_health(processes)
        await trio.sleep(IDLE_S)
        after = await _read_health(processes)
    finally:
        processes.kill_all()
        shutil.rmtree(folder, ignore_errors=True)
    return list(_iterate_idle(processes, entries, before, after))


async def _read_health(processes: Processes) -> dict[str, dict]:
    reports = {}
    for process in processes.deployment.processes:
        if process.role in ("state", "entry", "store"):
            answer = await processes.client.fetch("GET", f"{process.url}/health")
            reports[process.name] = orjson.loads(answer.body)
    return reports


def _iterate_idle(processes, entries: int, before, after) -> Iterator[UnitCost]:
    for role in ("state", "entry", "store"):
        names = [
            process.name
            for process in processes.deployment.processes
            if process.role == role
        ]
        shares = [
            (after[name]["processor_s"] - before[name]["processor_s"]) / IDLE_S
            for name in names
        ]
        memory = max(after[name]["peak_memory_bytes"] for name in names)
        per = f"{role}, {entries} entries"
        yield UnitCost("idle processor time, highest", per, max(shares) * 100, "% core")
        yield UnitCost("peak memory, highest", per, memory / 1e6, "MB")


def iterate_unit_costs() -> Iterator[UnitCost]:
    """Yield every measured unit cost."""
    yield from iterate_catalogue_costs()
    yield from iterate_decision_costs()
    with tempfile.TemporaryDirectory() as folder:
        yield trio.run(_measure_store, Path(folder))
    yield from trio.run(_measure_calls)
    yield from trio.run(_measure_origins)
    for count in ENTRY_COUNTS:
        yield from trio.run(_measure_idle, count)
