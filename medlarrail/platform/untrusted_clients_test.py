"""Tests of clients outside our control, against the programs as processes.

A few hundred of them ended a process: it ran out of memory, and with it went the
requests of all other callers. Each test checks that the process lives, that its memory
and its descriptors stay bounded, and that an ordinary request is answered. Nothing
here depends on the speed of the machine.
"""

import os
import subprocess
import sys
from collections import Counter
from random import Random

import orjson
import pytest
import trio

from medlarrail.core.errors import PeerError
from medlarrail.protocol.cluster_view import ANNOUNCEMENTS_PATH
from medlarrail.protocol.contexts import COPY_PATH
from medlarrail.protocol.control import CHANGE_PATH, ChangeAnswer, ChangeRequest
from medlarrail.protocol.permits import ACQUIRE_PATH
from medlarrail.protocol.replication import SNAPSHOT_PATH
from medlarrail.serving.access import get_digest
from medlarrail.serving.caller_api import SERVICES_PREFIX
from medlarrail.settings.common import Keys, Listen
from medlarrail.standins.service import Receipt, Service
from medlarrail.standins.settings import StandinSettings
from medlarrail.state.operations import SetContract
from medlarrail.testing.builders import build_contract, build_endpoint
from medlarrail.testing.client_crowd import (
    BODY_BYTES,
    CLIENTS,
    CONNECTION_ERRORS,
    READ_BYTES,
    Crowd,
    Target,
    build_head,
    drip_head,
    pipeline_unread,
    read_all,
    read_nothing,
    read_slowly,
    read_usage,
    send_many_elements,
    send_whole,
    send_whole_to_older_version,
    send_widest_text,
    stay_idle,
    stop_short,
    stop_short_in_chunks,
    stop_short_in_pieces,
    stop_short_in_small_chunks,
)
from medlarrail.testing.deployment import find_free_ports
from medlarrail.testing.scripted_endpoints import HOST, ScriptedEndpoint, get_value
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Reply, Request, Routes, route
from medlarrail.transport.server import HttpServer

MEMORY_LIMIT_MB = 150
"""Memory of the smallest VM."""
RETURN_RATIO = 1.5
"""Memory after the crowd has left, in relation to that at rest."""
DESCRIPTORS_PER_CLIENT = 2
"""A connection of the client, and one to an endpoint while its request runs."""
SPARE_DESCRIPTORS = 64
"""Descriptors beside those of the crowd and those at rest."""
HOLD_S = 3.0
"""Time for which a crowd stays."""
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.1
ROUTE_HOST = "tickets.example"
API_KEY = "a-key-of-a-caller"
NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""
ORDINARY_SIZES = (0, 2000, 20_000, 60_000)
"""Sizes of the bodies of ordinary requests."""
ONCE_ONLY_CALLERS = 40
USUAL_HEADERS = {"Api-Key": API_KEY, "Request-Id": "r1"}
ENDPOINT_KEY = "a-key-of-an-endpoint"
CLUSTER_KEY = "a-key-for-this-test"
CLUSTER_HEADERS = {"Authorization": f"Bearer {CLUSTER_KEY}"}
LONGEST_BYTES = 256_000_000
"""Maximum size of a body at a state member."""
LONGEST_STORE_BYTES = 64_000_000
"""Maximum size of a body at a store."""
LARGE_TENANTS = 8000
"""Tenants of a document of about a megabyte."""
PEER_BODY_BYTES = 16_000_000
"""Size of a peer's body that a machine with little memory takes in calm."""
WIDE_TEXT_BYTES = 7_900_000
"""Bytes of a body that is nearly as long as the limit of 8 MB."""
EVENT_BYTES = 16_000
LARGE_BYTES = 900_000
"""Size of a large answer and of a large event: legal for both."""
NAMES = ("state", "gateway")
OTHER_NAMES = ("state", "entry", "store")
"""Programs that the platform's processes do without."""
PORTS = (
    *NAMES,
    "entry",
    "store",
    "ready",
    "directory",
    "metrics",
    "state-metrics",
    "work",
    "service",
)
OWNERS = {
    "ready": "gateway",
    "directory": "gateway",
    "metrics": "gateway",
    "state-metrics": "state",
}
"""Program of each listener that is not the main one of a program."""


def build_route(prefix: str, kind: str) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix}",
        "host": ROUTE_HOST,
        "path-prefix": f"/{prefix}/",
        "kind": kind,
        "timeout-ms": 30_000,
        "service": "plain",
        "max-attempts": 2,
    }


CONFIGURATION = {
    "version": 1,
    "routes": [
        build_route("ask", "safe"),
        build_route("large", "safe"),
        build_route("once", "unsafe"),
        build_route("stream", "streaming"),
        build_route("long-event", "streaming"),
        build_route("partial-event", "streaming"),
    ],
    "services": [{"name": "plain", "health-path": "/healthz", "max-connections": 400}],
    "tenants": [{"name": "lea-college", "api-keys": [API_KEY], "priority": 1}],
}


BODIES_OF_ANSWERS = {b"ask": b"fine", b"once": b"fine", b"large": b"x" * LARGE_BYTES}
EVENT_SIZES = {b"stream": EVENT_BYTES, b"long-event": LARGE_BYTES}


async def answer(connection, request: bytes) -> None:
    """Answer as an endpoint; a stream has events without end, or stops inside one."""
    request_id = get_value(request, b"request-id") or b""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id
    head += b"\r\nResponse-Signature: s\r\n"
    name = request.split(b"/", 2)[1]
    if name in BODIES_OF_ANSWERS:
        body = BODIES_OF_ANSWERS[name]
        await connection.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return
    await connection.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    number = 0
    while name in EVENT_SIZES:
        number += 1
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_SIZES[name])
        await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
    event = b"id: 1\ndata: %s" % (b"x" * LARGE_BYTES)
    await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
    await trio.sleep_forever()


class Programs:
    """Programs as processes; by default a state member and a gateway."""

    def __init__(self, path, names=NAMES):
        self.path = path
        self.names = names
        self.ports = dict(zip(PORTS, find_free_ports(len(PORTS), HOST), strict=True))
        self.state_url = self.get_url("state")
        self.processes = {}
        self.sequence = 0

    def get_address(self, name: str) -> str:
        return f"{HOST}:{self.ports[name]}"

    def get_url(self, name: str) -> str:
        return f"http://{self.get_address(name)}"

    def start(self) -> None:
        common = {
            "data_centre": "leith",
            "keys": {"cluster": CLUSTER_KEY, "endpoint": ENDPOINT_KEY},
            "memory_limit_mb": MEMORY_LIMIT_MB,
        }
        settings = {
            "state": {
                **common,
                "listen": {"host": HOST, "port": 0, "url": self.state_url},
                "data_folder": str(self.path / "data"),
                "metrics_address": self.get_address("state-metrics"),
                "seeds": [self.state_url],
                "first_start": True,
            },
            "gateway": {
                **common,
                "listen": {"host": HOST, "port": 0, "url": self.get_url("gateway")},
                "state_urls": [self.state_url],
                "health_address": self.get_address("ready"),
                "directory_address": self.get_address("directory"),
                "metrics_address": self.get_address("metrics"),
                "work_address": self.get_address("work"),
                "isolation": {"mode": "last-known"},
            },
            "entry": {
                **common,
                "listen": {"host": HOST, "port": 0, "url": self.get_url("entry")},
                "state_urls": [self.state_url],
            },
            "store": {
                **common,
                "listen": {"host": HOST, "port": 0, "url": self.get_url("store")},
                "entry_urls": [self.get_url("entry")],
                "data_folder": str(self.path / "store"),
                "memory_bytes": 1_000_000,
                "disk_bytes": 1_000_000,
            },
        }
        for name in self.names:
            file = self.path / f"{name}.json"
            file.write_bytes(orjson.dumps({"name": f"{name}-1", **settings[name]}))
            with (self.path / f"{name}.log").open("wb") as log:
                self.processes[name] = subprocess.Popen(
                    get_command(name, file),
                    env={**os.environ, "MEDLARRAIL_BOOT": str(file)},
                    stdout=log,
                    stderr=log,
                )

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def require_living(self) -> None:
        ended = {name: one.poll() for name, one in self.processes.items()}
        assert ended == dict.fromkeys(self.names)

    def read_usage(self, name: str):
        return read_usage(self.processes[name].pid)

    async def announce(self, endpoint: ScriptedEndpoint) -> bool:
        """Register the endpoint, as it does itself again and again.

        An announcement without a higher sequence number does not keep it registered.
        """
        self.sequence += 1
        announcement = {
            "service": "plain",
            "address": f"{HOST}:{endpoint.port}",
            "zone": "leith",
            "state": "ready",
            "sequence": self.sequence,
            "slots": 400,
        }
        return await self.put(f"/instances/{endpoint.name}", announcement)

    async def put(self, path: str, document: dict) -> bool:
        """Make a control call; return whether it was acknowledged."""
        body = orjson.dumps(document)
        try:
            reply = await HttpClient().fetch("PUT", self.state_url + path, body)
        except PeerError:
            return False
        return reply.status < 300

    async def keep_announced(self, endpoint: ScriptedEndpoint) -> None:
        while True:
            await self.announce(endpoint)
            await trio.sleep(1.0)

    async def request_ordinary(self, name: str) -> None:
        """Make one ordinary request until it is answered with 200.

        A refusal of the first ones is allowed: it says that they did not run.
        """
        gateway_head = build_head("GET", "/ask/1", ROUTE_HOST, USUAL_HEADERS)
        heads = {
            "gateway": gateway_head,
            "ready": build_head("GET", "/readyz", "ready"),
            "directory": build_head("GET", "/resolve", "directory"),
            "metrics": build_head("GET", "/metrics", "metrics"),
            "state-metrics": build_head("GET", "/metrics", "metrics"),
            "state": build_head("GET", "/config", "state"),
            "entry": build_head("GET", "/v1/entries", "entry"),
            "store": build_head("GET", "/health", "store"),
        }
        with trio.fail_after(WAIT_TIMEOUT_S):
            while await read_status(self.ports[name], heads[name]) != 200:
                self.require_living()
                await trio.sleep(POLL_S)

    async def request_ordinary_at_once(self, names) -> None:
        """Make one ordinary request at each listener until it is answered."""
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self.request_ordinary, name)


def get_command(name: str, file) -> list[str]:
    """Return the command that starts a program with the settings in ``file``."""
    if name in NAMES:
        return [sys.executable, "-m", "medlarrail.platform", name]
    code = f"from medlarrail.programs.{name} import main; main()"
    return [sys.executable, "-c", code, "--settings", str(file)]


async def read_status(port: int, head: bytes) -> int:
    """Return the status of the answer to a request, 0 without one."""
    try:
        async with await trio.open_tcp_stream(HOST, port) as stream:
            await stream.send_all(head)
            received = await stream.receive_some(READ_BYTES)
    except CONNECTION_ERRORS:
        return 0
    return int(received.split(b" ")[1]) if received else 0


@pytest.fixture
async def programs(tmp_path, nursery):
    running = Programs(tmp_path)
    running.start()
    try:
        endpoint = ScriptedEndpoint("endpoint-1", answer)
        await nursery.start(endpoint.run)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not await running.put("/config", CONFIGURATION):
                await trio.sleep(POLL_S)
        running.endpoint = endpoint
        nursery.start_soon(running.keep_announced, endpoint)
        for name in ("gateway", "ready", "directory", "state"):
            await running.request_ordinary(name)
        yield running
    finally:
        running.stop()


@pytest.fixture
async def other_programs(tmp_path):
    running = Programs(tmp_path, OTHER_NAMES)
    running.start()
    try:
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not await running.put("/config", CONFIGURATION):
                await trio.sleep(POLL_S)
        for name in OTHER_NAMES:
            await running.request_ordinary(name)
        yield running
    finally:
        running.stop()


async def check_crowd(programs: Programs, listener: str, shape, target: Target):
    """Let a crowd use one listener, and check the process that it belongs to."""
    await check_crowds(programs, {listener: shape(target)})


async def check_crowds(programs: Programs, shapes: dict):
    """Let a crowd use each listener of one process at once, and check the process."""
    (name,) = {OWNERS.get(listener, listener) for listener in shapes}
    rest = programs.read_usage(name)
    crowds = [Crowd(programs.ports[one], shape) for one, shape in shapes.items()]
    async with trio.open_nursery() as nursery:
        for crowd in crowds:
            await nursery.start(crowd.run)
        await trio.sleep(HOLD_S)
        with_crowd = programs.read_usage(name)
        await programs.request_ordinary_at_once(shapes)
        nursery.cancel_scope.cancel()
    programs.require_living()
    assert all(crowd.connected >= CLIENTS for crowd in crowds)
    await programs.request_ordinary_at_once(shapes)
    peak = programs.read_usage(name).peak
    with trio.move_on_after(WAIT_TIMEOUT_S / 2):
        while programs.read_usage(name).resident > RETURN_RATIO * rest.resident:
            await trio.sleep(POLL_S)
    after = programs.read_usage(name)
    megabytes = [round(one / 1e6) for one in (rest.resident, peak, after.resident)]
    print(
        "rest, peak, after:",
        *megabytes,
        "descriptors:",
        with_crowd.descriptors,
        after.descriptors,
    )
    assert peak < MEMORY_LIMIT_MB * 1_000_000
    spare = DESCRIPTORS_PER_CLIENT * CLIENTS * len(crowds) + SPARE_DESCRIPTORS
    assert with_crowd.descriptors < rest.descriptors + spare
    assert after.resident <= RETURN_RATIO * rest.resident


BODIES = (
    stop_short,
    stop_short_in_pieces,
    stop_short_in_chunks,
    stop_short_in_small_chunks,
    send_whole,
)


class TestCallersListener:
    @pytest.mark.parametrize("shape", [*BODIES, drip_head, send_whole_to_older_version])
    async def test_large_bodies_fill_the_memory(self, programs, shape):
        """Each body had a limit, but all together had none."""
        port = programs.ports["gateway"]
        target = Target(port, "POST", "/ask/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", shape, target)

    @pytest.mark.parametrize("host", [ROUTE_HOST, "unknown.example"])
    async def test_pipelined_requests_fill_the_memory(self, programs, host):
        """The bytes read ahead were limited for one answer, not for a connection."""
        target = Target(programs.ports["gateway"], "GET", "/ask/1", host)
        await check_crowd(programs, "gateway", pipeline_unread, target)

    async def test_slow_readers_of_streams_fill_the_memory(self, programs):
        """A stream has to go only as fast as it is read."""
        port = programs.ports["gateway"]
        target = Target(port, "GET", "/stream/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", read_slowly, target)

    async def test_unread_large_answers_fill_the_memory(self, programs):
        """An answer that was received whole was no longer limited while it waited."""
        port = programs.ports["gateway"]
        target = Target(port, "GET", "/large/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", read_nothing, target)

    async def test_unread_large_events_fill_the_memory(self, programs):
        """Each stream holds the event that its caller does not read."""
        port = programs.ports["gateway"]
        target = Target(port, "GET", "/long-event/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", read_nothing, target)

    async def test_partial_events_fill_the_memory(self, programs):
        """An event that is not complete was not in the account of a process."""
        port = programs.ports["gateway"]
        target = Target(port, "GET", "/partial-event/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", read_all, target)

    async def test_idle_connections_fill_the_memory(self, programs):
        """Connections that are kept after an answer must not add up."""
        port = programs.ports["gateway"]
        target = Target(port, "GET", "/ask/1", ROUTE_HOST, USUAL_HEADERS)
        await check_crowd(programs, "gateway", stay_idle, target)

    async def test_single_large_body_is_refused(self, programs):
        """A body within the limits is served in calm."""
        size = 4 * BODY_BYTES
        headers = {**USUAL_HEADERS, "Content-Length": str(size)}
        head = build_head("POST", "/ask/1", ROUTE_HOST, headers)
        port = programs.ports["gateway"]
        assert await read_status(port, head + b"x" * size) == 200
        headers = {**USUAL_HEADERS, "Transfer-Encoding": "chunked"}
        head = build_head("POST", "/ask/1", ROUTE_HOST, headers)
        chunk = b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"
        assert await read_status(port, head + chunk) == 200

    async def test_ordinary_callers_are_refused_in_calm(self, programs):
        """Limits against crowds must not meet callers within the limits."""
        port = programs.ports["gateway"]
        statuses = Counter()

        async def request_often(number: int) -> None:
            for size in ORDINARY_SIZES:
                headers = {"Api-Key": API_KEY, "Request-Id": f"{number}-{size}"}
                headers["Content-Length"] = str(size)
                head = build_head("POST", "/ask/1", ROUTE_HOST, headers)
                statuses[await read_status(port, head + b"x" * size)] += 1

        async with trio.open_nursery() as nursery:
            for number in range(CLIENTS):
                nursery.start_soon(request_often, number)
        assert statuses == {200: CLIENTS * len(ORDINARY_SIZES)}
        url = programs.get_url("metrics") + "/metrics"
        reply = await HttpClient().fetch("GET", url)
        assert reply.status == 200 and b"memory_decisions" not in reply.body

    async def test_refused_once_only_requests_run(self, programs):
        """A refusal for lack of memory says that the request did not run."""
        port = programs.ports["gateway"]
        headers = {"Api-Key": API_KEY, "Request-Id": "unfinished"}
        target = Target(port, "POST", "/once/1", ROUTE_HOST, headers)
        crowd = Crowd(port, stop_short(target))
        statuses = {}

        async def request_once(number: int) -> None:
            headers = {"Api-Key": API_KEY, "Request-Id": f"once-{number}"}
            headers["Content-Length"] = str(BODY_BYTES)
            head = build_head("POST", "/once/1", ROUTE_HOST, headers)
            status = await read_status(port, head + b"x" * BODY_BYTES)
            statuses[headers["Request-Id"]] = status

        async with trio.open_nursery() as nursery:
            await nursery.start(crowd.run)
            with trio.move_on_after(WAIT_TIMEOUT_S):
                async with trio.open_nursery() as callers:
                    for number in range(ONCE_ONLY_CALLERS):
                        callers.start_soon(request_once, number)
            nursery.cancel_scope.cancel()
        programs.require_living()
        seen = Counter(
            (get_value(request, b"request-id") or b"").decode()
            for request in programs.endpoint.requests
        )
        refused = [name for name, status in statuses.items() if status in NOT_RUN]
        print("requests:", Counter(statuses.values()))
        assert refused and "unfinished" not in seen
        assert not [name for name in refused if seen[name]]
        assert not [name for name, count in seen.items() if count > 1 and "-" in name]


PATHS = {"ready": "/readyz", "directory": "/resolve"}


class TestAuxiliaryListeners:
    @pytest.mark.parametrize("listener", PATHS)
    @pytest.mark.parametrize(
        "shape",
        [pipeline_unread, stop_short, send_whole, drip_head, stay_idle],
    )
    async def test_clients_fill_the_memory(self, programs, listener, shape):
        """These listeners had the limits of the callers' one."""
        method = "POST" if shape in BODIES else "GET"
        port = programs.ports[listener]
        target = Target(port, method, PATHS[listener], "gateway-1")
        await check_crowd(programs, listener, shape, target)


class TestSeveralListeners:
    @pytest.mark.parametrize("shape", [stop_short, pipeline_unread, stay_idle])
    async def test_clients_of_a_gateway_fill_the_memory(self, programs, shape):
        """The bounds of each listener must not add up to more than the process has."""
        method = "POST" if shape in BODIES else "GET"
        headers = {} if shape is pipeline_unread else USUAL_HEADERS
        port = programs.ports["gateway"]
        callers = Target(port, method, "/ask/1", ROUTE_HOST, headers)
        shapes = {"gateway": shape(callers)}
        for listener, path in (PATHS | {"metrics": "/metrics"}).items():
            target = Target(programs.ports[listener], method, path, "gateway-1")
            shapes[listener] = shape(target)
        await check_crowds(programs, shapes)

    async def test_unread_answers_and_bodies_fill_the_memory(self, programs):
        """Answers, bodies and requests sent ahead are in one account."""
        ports = programs.ports
        unread = Target(ports["gateway"], "GET", "/large/1", ROUTE_HOST, USUAL_HEADERS)
        shapes = {
            "gateway": read_nothing(unread),
            "ready": stop_short(Target(ports["ready"], "POST", "/readyz", "ready")),
            "directory": pipeline_unread(
                Target(ports["directory"], "GET", "/resolve", "directory")
            ),
            "metrics": read_nothing(
                Target(ports["metrics"], "GET", "/metrics", "metrics")
            ),
        }
        await check_crowds(programs, shapes)

    @pytest.mark.parametrize("shape", [stop_short, pipeline_unread])
    async def test_clients_of_a_state_member_fill_the_memory(self, programs, shape):
        """A member's metrics have a listener of their own."""
        method = "PUT" if shape in BODIES else "GET"
        ports = programs.ports
        shapes = {
            "state": shape(Target(ports["state"], method, "/config", "state-1")),
            "state-metrics": shape(
                Target(ports["state-metrics"], method, "/metrics", "metrics")
            ),
        }
        await check_crowds(programs, shapes)


class TestStateMember:
    @pytest.mark.parametrize("shape", [*BODIES, drip_head])
    async def test_large_bodies_fill_the_memory(self, programs, shape):
        """Anyone may send bodies to a member's listener, also without a key."""
        target = Target(programs.ports["state"], "PUT", "/config", "state-1")
        await check_crowd(programs, "state", shape, target)

    @pytest.mark.parametrize("shape", [stop_short, stop_short_in_pieces])
    async def test_bodies_with_an_endpoint_key_fill_the_memory(self, programs, shape):
        """Bodies with any key were counted, but never waited for memory."""
        headers = {"Authorization": f"Bearer {ENDPOINT_KEY}"}
        port = programs.ports["state"]
        target = Target(port, "POST", ANNOUNCEMENTS_PATH, "state-1", headers)
        await check_crowd(programs, "state", shape, target)

    async def test_pipelined_requests_fill_the_memory(self, programs):
        """Answers that nobody reads must not pile up."""
        target = Target(programs.ports["state"], "GET", "/unknown", "state-1")
        await check_crowd(programs, "state", pipeline_unread, target)

    async def test_idle_connections_fill_the_memory(self, programs):
        """Connections that are kept after an answer must not add up."""
        target = Target(programs.ports["state"], "GET", "/config", "state-1")
        await check_crowd(programs, "state", stay_idle, target)

    async def test_unread_large_documents_fill_the_memory(self, programs):
        """Each reader of the document had two copies of it."""
        tenants = [
            {"name": f"tenant-{number}", "api-keys": [f"{number:0>64}"], "priority": 1}
            for number in range(LARGE_TENANTS)
        ]
        document = {**CONFIGURATION, "version": 2}
        document["tenants"] = CONFIGURATION["tenants"] + tenants
        assert await programs.put("/config", document)
        target = Target(programs.ports["state"], "GET", "/config", "state-1")
        await check_crowd(programs, "state", read_nothing, target)

    async def test_bodies_of_many_elements_fill_the_memory(self, programs):
        """A decoded body needs many times its bytes."""
        target = Target(programs.ports["state"], "PUT", "/config", "state-1")
        await check_crowd(programs, "state", send_many_elements, target)

    async def test_wide_text_fills_the_memory(self, programs):
        """One character decides how many bytes all others of its string need."""
        target = Target(programs.ports["state"], "PUT", "/config", "state-1")
        await check_crowd(programs, "state", send_widest_text, target)

    async def test_single_wide_text_is_refused(self, programs):
        """It has room in calm: this one is only no document."""
        body = b'["' + b"x" * WIDE_TEXT_BYTES + "\N{GRINNING FACE}".encode() + b'"]'
        headers = {"Content-Length": str(len(body))}
        head = build_head("PUT", "/config", "state-1", headers)
        assert await read_status(programs.ports["state"], head + body) == 400

    @pytest.mark.parametrize("shape", [stop_short, stop_short_in_chunks, send_whole])
    async def test_bodies_with_the_cluster_key_fill_the_memory(self, programs, shape):
        """Bodies with a key of the system were counted, but never waited."""
        port = programs.ports["state"]
        target = Target(port, "POST", SNAPSHOT_PATH, "state-1", CLUSTER_HEADERS)
        await check_crowd(programs, "state", shape, target)

    async def test_longest_bodies_with_the_cluster_key_fill_the_memory(self, programs):
        """One body of legal size could be longer than the memory of the machine."""
        port = programs.ports["state"]
        target = Target(
            port, "POST", SNAPSHOT_PATH, "state-1", CLUSTER_HEADERS, LONGEST_BYTES
        )
        await check_crowd(programs, "state", stop_short_in_pieces, target)

    async def test_single_body_with_the_cluster_key_is_refused(self, programs):
        """A peer's body has room in calm: this one is only not valid JSON."""
        size = PEER_BODY_BYTES
        headers = {**CLUSTER_HEADERS, "Content-Length": str(size)}
        head = build_head("POST", SNAPSHOT_PATH, "state-1", headers)
        assert await read_status(programs.ports["state"], head + b"x" * size) == 400


COMPLETIONS_PATH = "/v1/chat/completions"
SERVICE_SLOTS = 8
"""Calls that the service answers at a time, so few that the entry receives each answer
whole."""


class LargeAnswers(Service):
    """A service with large answers."""

    @route("GET", "/large")
    async def handle_large(self, request: Request) -> Reply:
        reply = self._reply(request, Receipt("", 1, 1))
        return Reply(body=b"x" * LARGE_BYTES, headers=reply.headers)


async def start_service(programs: Programs, nursery) -> None:
    """Start a service with large answers, and allow an account to use it."""
    settings = StandinSettings(
        name="service-1",
        data_centre="leith",
        listen=Listen(HOST, programs.ports["service"], programs.get_url("service")),
        keys=Keys(CLUSTER_KEY, ENDPOINT_KEY),
        entry_urls=(programs.get_url("entry"),),
        endpoint=build_endpoint(
            kind="service",
            serves="plain",
            weight_version="",
            cold_limit=SERVICE_SLOTS,
            warm_limit=SERVICE_SLOTS,
            block_bytes=0,
        ),
    )
    service = LargeAnswers(settings, HttpClient(ENDPOINT_KEY), Random(1))
    server = HttpServer(Routes.collect(service))
    await nursery.start(server.run, HOST, programs.ports["service"])
    nursery.start_soon(service.run)
    contract = build_contract(
        keys_sha256=(get_digest(API_KEY),),
        max_running=2 * CLIENTS,
        queue_wait_s=WAIT_TIMEOUT_S,
    )
    await HttpClient(CLUSTER_KEY).call(
        programs.state_url,
        CHANGE_PATH,
        ChangeRequest(SetContract(contract), "contract-1"),
        ChangeAnswer,
        WAIT_TIMEOUT_S,
    )


class TestEntry:
    @pytest.mark.parametrize("shape", [*BODIES, drip_head, send_whole_to_older_version])
    async def test_large_bodies_fill_the_memory(self, other_programs, shape):
        """An entry was not told how much memory its machine has."""
        port = other_programs.ports["entry"]
        target = Target(port, "POST", COMPLETIONS_PATH, "entry-1")
        await check_crowd(other_programs, "entry", shape, target)

    async def test_pipelined_requests_fill_the_memory(self, other_programs):
        """Answers that nobody reads must not pile up."""
        target = Target(other_programs.ports["entry"], "GET", "/v1/entries", "entry-1")
        await check_crowd(other_programs, "entry", pipeline_unread, target)

    async def test_idle_connections_fill_the_memory(self, other_programs):
        """Connections that are kept after an answer must not add up."""
        target = Target(other_programs.ports["entry"], "GET", "/v1/entries", "entry-1")
        await check_crowd(other_programs, "entry", stay_idle, target)

    async def test_bodies_with_the_cluster_key_fill_the_memory(self, other_programs):
        """Bodies with a key of the system were counted, but never waited."""
        port = other_programs.ports["entry"]
        target = Target(port, "POST", ACQUIRE_PATH, "entry-1", CLUSTER_HEADERS)
        await check_crowd(other_programs, "entry", stop_short, target)

    async def test_unread_large_answers_fill_the_memory(self, other_programs, nursery):
        """An answer that is being sent was in no account."""
        await start_service(other_programs, nursery)
        path = f"{SERVICES_PREFIX}plain/large"
        port = other_programs.ports["entry"]
        headers = {"Authorization": f"Bearer {API_KEY}"}
        target = Target(port, "GET", path, "entry-1", headers)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while await read_status(port, target.build_head()) != 200:
                await trio.sleep(POLL_S)
        await check_crowd(other_programs, "entry", read_nothing, target)

    async def test_bodies_of_many_elements_fill_the_memory(self, other_programs):
        """A decoded body needs many times its bytes."""
        port = other_programs.ports["entry"]
        target = Target(port, "POST", COMPLETIONS_PATH, "entry-1")
        await check_crowd(other_programs, "entry", send_many_elements, target)

    async def test_wide_text_fills_the_memory(self, other_programs):
        """One character decides how many bytes all others of its string need."""
        port = other_programs.ports["entry"]
        target = Target(port, "POST", COMPLETIONS_PATH, "entry-1")
        await check_crowd(other_programs, "entry", send_widest_text, target)


class TestStore:
    @pytest.mark.parametrize(
        "shape",
        [
            stop_short,
            stop_short_in_chunks,
            stop_short_in_small_chunks,
            send_whole,
            drip_head,
        ],
    )
    async def test_large_bodies_fill_the_memory(self, other_programs, shape):
        """Only processes and operators use a store, but anyone may connect."""
        target = Target(other_programs.ports["store"], "POST", "/health", "store-1")
        await check_crowd(other_programs, "store", shape, target)

    @pytest.mark.parametrize("shape", [pipeline_unread, stay_idle])
    async def test_unread_answers_fill_the_memory(self, other_programs, shape):
        """Answers that nobody reads must not pile up."""
        target = Target(other_programs.ports["store"], "GET", "/health", "store-1")
        await check_crowd(other_programs, "store", shape, target)

    @pytest.mark.parametrize("size", [BODY_BYTES, LONGEST_STORE_BYTES])
    async def test_bodies_with_the_cluster_key_fill_the_memory(
        self, other_programs, size
    ):
        """Bodies with a key of the system were counted, but never waited."""
        port = other_programs.ports["store"]
        target = Target(port, "POST", COPY_PATH, "store-1", CLUSTER_HEADERS, size)
        await check_crowd(other_programs, "store", stop_short_in_pieces, target)
