"""Tests of finding parts in stores that an entry does not follow."""

import math
import time
from collections import Counter
from collections.abc import Callable, Sequence

import orjson
import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.context_store_client import (
    StoredPart,
    StoreEvent,
    StoreEventBatch,
    StoreListing,
)
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.codec import encode
from medlarrail.core.deployment import ServiceRule, StoreSpec
from medlarrail.core.metrics import get_metrics
from medlarrail.relay import part_directory
from medlarrail.relay.context_index import SAVE_DELAY_S, ContextIndex
from medlarrail.relay.metadata import PromptPart
from medlarrail.relay.part_directory import (
    MAX_HOMES,
    NOTICE_PREFIX,
    QUERY_PREFIX,
    REPLY_PREFIX,
    REPLY_TIMEOUT_S,
    PartDirectory,
    PartQuery,
    PartReply,
)
from medlarrail.relay.part_location import CLAIM_TTL_S, PartLocation
from medlarrail.relay.prefill_memory import PrefillMemory, ReadNotice
from medlarrail.relay.workload_reporter import WorkloadReporter
from medlarrail.relay.workload_tracker import WorkloadTracker
from medlarrail.testing.builders import build_cluster_view_answer, build_deployment
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

KEY = "a-key-for-this-test"
HOST = "127.0.0.1"
ENTRY_COUNT = 40
STORE_COUNT = 6
EVENT_CALLS = 5
"""Calls that a store supports: three entries follow each, in all 18 of 240."""
SLOW_MACHINE_S = 5.0
SCOPE = "scope-1"
PARTS = [PromptPart(f"part-{number}", 12_800) for number in range(60)]


@define(eq=False)
class FakeStores:
    """Stores that support few event calls at a time; records the most of each."""

    parts: dict[str, dict[str, int]] = field(factory=dict)
    events: dict[str, list[StoreEvent]] = field(factory=dict)
    epochs: Counter[str] = field(factory=Counter)
    open_calls: Counter[str] = field(factory=Counter)
    most_calls: int = 0

    def save(self, address: str, part: PromptPart) -> None:
        """Add a complete part."""
        self.parts.setdefault(address, {})[part.identity] = part.tokens
        stored = StoredPart(SCOPE, part.identity, part.tokens)
        self.events.setdefault(address, []).append(StoreEvent(stored, added=True))

    def restart(self, address: str) -> None:
        """Restart a store without its contents."""
        self.parts[address] = {}
        self.events[address] = []
        self.epochs[address] += 1

    async def read_list(self, address: str) -> StoreListing:
        """See ``ContextStoreClient``."""
        await trio.sleep(0.001)
        held = self.parts.get(address, {}).items()
        listed = tuple(StoredPart(SCOPE, identity, tokens) for identity, tokens in held)
        next_event = len(self.events.get(address, ()))
        return StoreListing(str(self.epochs[address]), next_event, listed)

    async def read_events(
        self, address: str, since: int, wait_ms: int, timeout_s: float
    ) -> StoreEventBatch:
        """See ``ContextStoreClient``."""
        self.open_calls[address] += 1
        self.most_calls = max(self.most_calls, self.open_calls[address])
        try:
            with trio.move_on_after(wait_ms / 1000):
                while len(self.events.get(address, ())) <= since:
                    await trio.sleep(0.02)
        finally:
            self.open_calls[address] -= 1
        events = self.events.get(address, [])
        return StoreEventBatch(
            str(self.epochs[address]), len(events), False, tuple(events[since:])
        )


def apply_entries(
    cluster_view: ClusterView, entries: Sequence[RegisteredEntry]
) -> None:
    """Make an entry know the others and the stores."""
    services = tuple(
        ServiceRule(
            f"store-{number}",
            store=StoreSpec(
                f"{HOST}:{7000 + number}",
                "leith",
                capacity_tokens=400_000,
                link_mbps=1000.0,
                event_calls=EVENT_CALLS,
                managed=True,
            ),
        )
        for number in range(STORE_COUNT)
    )
    deployment = evolve(build_deployment(), version=9, services=services)
    answer = build_cluster_view_answer([entry.name for entry in entries])
    cluster_view.apply(evolve(answer, entries=tuple(entries), deployment=deployment))


@define(eq=False)
class MemorySocket:
    """A datagram socket of a process that is never late; see ``DatagramSocket``.

    Messages are in order and none is lost, except those to ports that nobody has.
    """

    network: "MemorySockets"
    _port: int = 0
    _send: trio.MemorySendChannel = field(init=False)
    _receive: trio.MemoryReceiveChannel = field(init=False)

    async def open(self) -> None:
        """See ``DatagramSocket``."""
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self._port = self.network.add(self)

    def get_port(self) -> int:
        """See ``DatagramSocket``."""
        return self._port

    def deliver(self, body: bytes) -> None:
        """Let a message arrive."""
        self._send.send_nowait(body)

    def send(self, addresses: Sequence[str], body: bytes) -> None:
        """See ``DatagramSocket``."""
        for address in addresses:
            self.network.deliver(address, body)

    async def receive(self) -> list[bytes]:
        """See ``DatagramSocket``."""
        return [await self._receive.receive()]

    def close(self) -> None:
        """See ``DatagramSocket``."""
        self._receive.close()


@define(eq=False)
class MemorySockets:
    """Sockets that reach each other without the kernel."""

    first_port: int = 10_000
    _sockets: dict[str, MemorySocket] = field(factory=dict)

    def build(self) -> MemorySocket:
        """Return a socket that is not open."""
        return MemorySocket(self)

    def add(self, memory_socket: MemorySocket) -> int:
        """Return the port that a socket gets."""
        port = self.first_port + len(self._sockets)
        self._sockets[f"{HOST}:{port}"] = memory_socket
        return port

    def deliver(self, address: str, body: bytes) -> None:
        """Let a message arrive at an address, if a socket has it."""
        if address in self._sockets:
            self._sockets[address].deliver(body)


def build_socket() -> DatagramSocket:
    """Return a socket on loopback."""
    return DatagramSocket(f"{HOST}:0", KEY)


@define(eq=False)
class Directories:
    """The directories of many entries before the same stores."""

    nursery: trio.Nursery
    build_socket: Callable[[], DatagramSocket | MemorySocket] = build_socket
    stores: FakeStores = field(factory=FakeStores)
    directories: list[PartDirectory] = field(factory=list)
    handlers: list[dict] = field(factory=list)

    async def start(self) -> None:
        """Start all entries, and wait until they know the stores' contents."""
        entries = [
            await self._start_entry(f"entry-{number}") for number in range(ENTRY_COUNT)
        ]
        for directory in self.directories:
            apply_entries(directory.cluster_view, entries)
        await trio.sleep(SAVE_DELAY_S + 0.5)

    async def _start_entry(self, name: str) -> RegisteredEntry:
        cluster_view = ClusterView(trio.current_time)
        datagram_socket = self.build_socket()
        reporter = WorkloadReporter(
            cluster_view, WorkloadTracker(name), datagram_socket
        )
        await self.nursery.start(reporter.run)
        index = ContextIndex(cluster_view, self.stores, name, trio.current_time)
        self.nursery.start_soon(index.run)
        work_address = f"{HOST}:{datagram_socket.get_port()}"
        directory = PartDirectory(
            cluster_view,
            index,
            datagram_socket,
            work_address,
            trio.current_time,
            PrefillMemory(trio.current_time),
        )
        reporter.handlers[QUERY_PREFIX] = directory.handle_query
        reporter.handlers[REPLY_PREFIX] = directory.queries.handle_reply
        reporter.handlers[NOTICE_PREFIX] = directory.handle_notice
        self.directories.append(directory)
        self.handlers.append(reporter.handlers)
        return RegisteredEntry(name, "", "leith", work_address)

    async def locate(self, number: int, part: PromptPart):
        """Return the plan of one entry for one part."""
        located = await self.directories[number].locate(SCOPE, [part])
        return located.plan


@pytest.fixture
async def directories(nursery, autojump_clock) -> Directories:
    """Entries on exact time, with sockets in memory.

    An entry uses neither a late reply nor what it read of a store too long ago, so on
    real time a busy machine decides what is found.
    """
    directories = Directories(nursery, MemorySockets().build)
    await directories.start()
    return directories


class TestLoopback:
    """Sockets of the kernel on real time: only what is found in the end is checked."""

    @pytest.fixture
    async def directories(self, nursery, monkeypatch) -> Directories:
        monkeypatch.setattr(part_directory, "REPLY_TIMEOUT_S", SLOW_MACHINE_S)
        directories = Directories(nursery)
        await directories.start()
        return directories

    async def test_messages_between_entries_are_lost(self, directories):
        """Each part is saved once, and found by an entry that does not follow it."""
        for number, part in enumerate(PARTS[:10]):
            with trio.fail_after(SLOW_MACHINE_S):
                while not (save := (await directories.locate(number, part)).save[0]):
                    await trio.sleep(0.1)
            directories.stores.save(save, part)
            with trio.fail_after(SLOW_MACHINE_S):
                while (await directories.locate(number + 20, part)).fetch != (save,):
                    await trio.sleep(0.1)
        assert directories.stores.most_calls <= EVENT_CALLS


class TestManyEntries:
    async def test_stored_parts_are_known_to_few_entries(
        self, directories, autojump_clock
    ):
        """Three of 40 entries followed each store, and all others prefilled its parts
        again."""
        saves = Counter()
        for number, part in enumerate(PARTS):
            (save,) = (await directories.locate(number % ENTRY_COUNT, part)).save
            saves[save] += 1
            directories.stores.save(save, part)
        assert len(saves) == STORE_COUNT
        await trio.sleep(1.0)
        found = 0
        for number in range(ENTRY_COUNT):
            for part in PARTS[number % 6 :: 6]:
                found += bool((await directories.locate(number, part)).fetch[0])
        assert found == ENTRY_COUNT * 10
        assert directories.stores.most_calls <= EVENT_CALLS

    async def test_a_full_store_keeps_its_parts_out(self, directories, autojump_clock):
        """They go to the next store, and are found there."""
        part = PARTS[0]
        first = (await directories.locate(0, part)).save[0]
        directories.stores.save(first, PromptPart("large", 395_000))
        await trio.sleep(1.5)
        part = PromptPart(part.identity, 12_801)
        for directory in directories.directories:
            directory.index.stores[first].pending_saves.clear()
        second = (await directories.locate(1, part)).save[0]
        assert second not in ("", first)
        directories.stores.save(second, part)
        await trio.sleep(1.0)
        assert (await directories.locate(2, part)).fetch == (second,)

    async def test_a_restarted_store_is_read(self, directories, autojump_clock):
        """Its followers know at once, and save nothing until nobody relies on it."""
        part = PARTS[0]
        save = (await directories.locate(0, part)).save[0]
        directories.stores.save(save, part)
        await trio.sleep(1.0)
        assert (await directories.locate(1, part)).fetch == (save,)
        directories.stores.restart(save)
        await trio.sleep(1.5)
        plan = await directories.locate(2, part)
        assert plan.fetch == ("",) and plan.save != (save,)

    async def test_a_part_is_saved_by_many_entries_at_once(
        self, directories, autojump_clock
    ):
        saves = []

        async def locate(number: int) -> None:
            saves.append((await directories.locate(number, PARTS[0])).save[0])

        async with trio.open_nursery() as callers:
            for number in range(ENTRY_COUNT):
                callers.start_soon(locate, number)
        assert sum(map(bool, saves)) == 1

    async def test_a_lost_message_delays_a_request(self, directories, autojump_clock):
        """Its processor time counts, too, as nothing else takes time here."""
        cluster_view = directories.directories[0].cluster_view
        cluster_view.entries = tuple(
            evolve(entry, work_address=f"{HOST}:9") for entry in cluster_view.entries
        )
        started_at, processor_started_at = trio.current_time(), time.process_time()
        for part in PARTS[:10]:
            plan = await directories.locate(0, part)
            assert plan.fetch == ("",)
        processor_s = time.process_time() - processor_started_at
        assert trio.current_time() - started_at + processor_s < 10 * 0.15

    async def test_an_unreadable_message_ends_the_receiver(
        self, directories, autojump_clock
    ):
        sender, receiver = directories.directories[:2]
        for prefix in (QUERY_PREFIX, REPLY_PREFIX):
            sender.datagram_socket.send([receiver.work_address], prefix + b"{}x")
        await trio.sleep(0.1)
        assert get_metrics().get_count("queries_unreadable") == 1
        assert get_metrics().get_count("replies_unreadable") == 1
        assert (await directories.locate(0, PARTS[0])).save != ("",)


class TestReadSites:
    @staticmethod
    def notify(directories, number, part, state="reading", remaining_ms=300):
        """Let one entry tell that an engine reads a part."""
        directory = directories.directories[number]
        notice = ReadNotice(SCOPE, part.identity, "engine-7", 5, state, remaining_ms)
        directory.send_notice(directory.find_reader(part), notice)

    async def test_an_entry_does_not_hear_where_others_read_a_part(
        self, directories, autojump_clock
    ):
        part = PARTS[0]
        self.notify(directories, 3, part)
        await trio.sleep(0.05)
        for directory in directories.directories:
            (site,) = (await directory.locate(SCOPE, [part])).sites.sites
            assert (site.engine, site.started_ms) == ("engine-7", 5)
            assert 0 < site.remaining_ms <= 250
        self.notify(directories, 4, part, "failed")
        await trio.sleep(0.05)
        located = await directories.directories[0].locate(SCOPE, [part])
        assert not located.sites.sites

    async def test_a_site_of_another_scope_is_named(self, directories, autojump_clock):
        self.notify(directories, 3, PARTS[0])
        await trio.sleep(0.05)
        located = await directories.directories[0].locate("scope-2", [PARTS[0]])
        assert not located.sites.sites

    async def test_the_entry_that_remembers_a_part_is_lost(
        self, directories, autojump_clock
    ):
        """The next one knows nothing until the next prompt has been read."""
        part = PARTS[0]
        asker = next(
            directory
            for directory in directories.directories
            if directory.find_reader(part) != directory.index.name
        )
        number = directories.directories.index(asker)
        self.notify(directories, number, part)
        lost = asker.find_reader(part)
        entries = [entry for entry in asker.cluster_view.entries if entry.name != lost]
        for directory in directories.directories:
            apply_entries(directory.cluster_view, entries)
        await trio.sleep(2.0)
        assert asker.find_reader(part) not in ("", lost)
        assert not (await asker.locate(SCOPE, [part])).sites.sites
        self.notify(directories, number, part)
        await trio.sleep(0.05)
        assert (await asker.locate(SCOPE, [part])).sites.sites

    async def test_gateways_of_the_previous_release_fail(
        self, directories, autojump_clock
    ):
        """They know neither the notice nor the new fields of query and reply."""
        query = {
            "number": 1,
            "reply_to": f"{HOST}:1",
            "store": f"{HOST}:7000",
            "scope": SCOPE,
            "identity": "p",
            "tokens": 12_800,
        }
        decoded = decode_datagram(orjson.dumps(query), PartQuery, "queries_unreadable")
        assert decoded is not None and decoded.may_save
        body = orjson.dumps({"number": 1, "status": "saving"})
        reply = decode_datagram(body, PartReply, "replies_unreadable")
        assert reply == PartReply(1, "saving")
        old = directories.directories[5]
        del directories.handlers[5][NOTICE_PREFIX]
        notice = NOTICE_PREFIX + b'{"scope":"s"}'
        old.datagram_socket.send([old.work_address], notice)
        await trio.sleep(0.05)
        assert get_metrics().get_count("reports_unreadable") == 1
        assert (await directories.locate(5, PARTS[1])).save != ("",)

    async def test_messages_are_long(self, directories, autojump_clock):
        """Gateways have 5 Mbit/s: a reply with all sites is well under one packet."""
        for number in range(8):
            notice = ReadNotice(
                SCOPE, "part-0", f"engine-{number}", 1_700_000_000_000, "reading", 300
            )
            directories.directories[0].prefills.record(notice)
        assert len(encode(notice)) < 200
        found = directories.directories[0].prefills.find(SCOPE, "part-0")
        assert len(encode(PartReply(1 << 47, "saving", found))) < 600


class TestClaims:
    async def test_a_lost_reply_saves_a_part_twice(self, directories, autojump_clock):
        """The part's home may expect the save, so no other store gets the part, too."""
        part = PARTS[0]
        asker = next(
            directory
            for directory in directories.directories
            if directory.find_reader(part) != directory.index.name
        )
        lost = asker.find_reader(part)
        asker.cluster_view.entries = tuple(
            evolve(entry, work_address=f"{HOST}:9") if entry.name == lost else entry
            for entry in asker.cluster_view.entries
        )
        plan = (await asker.locate(SCOPE, [part])).plan
        assert plan.save == ("",)
        assert get_metrics().get_count("parts_located", status="lost") == 1

    async def test_a_prompt_that_waits_loses_its_save(
        self, directories, autojump_clock
    ):
        """It asked again after 0.3 s, was told that the part was being saved, and so
        nobody saved it for three seconds."""
        directory = directories.directories[0]
        location = PartLocation(None)
        first = location._keep_claims(await directory.locate(SCOPE, PARTS[:1]))
        assert first.plan.save[0]
        await trio.sleep(0.5)
        again = await directory.locate(SCOPE, PARTS[:1])
        assert again.plan.save == ("",)
        assert location._keep_claims(again).plan.save == first.plan.save
        await trio.sleep(CLAIM_TTL_S)
        late = await directory.locate(SCOPE, PARTS[:1])
        assert location._keep_claims(late).plan.save == late.plan.save


@define
class SilentSocket:
    """Loses all messages; ``sent`` counts them."""

    sent: int = 0

    def send(self, addresses: Sequence[str], body: bytes) -> None:
        """See ``DatagramSocket``."""
        self.sent += len(addresses)


class TestLostMessages:
    async def test_lost_messages_hold_a_request_beyond_the_limit(
        self, nursery, autojump_clock
    ):
        """On exact time: one limit for each store that a part may be in."""
        cluster_view = ClusterView(trio.current_time)
        index = ContextIndex(cluster_view, FakeStores(), "entry-0", trio.current_time)
        nursery.start_soon(index.run)
        datagram_socket = SilentSocket()
        directory = PartDirectory(
            cluster_view, index, datagram_socket, f"{HOST}:1", trio.current_time
        )
        apply_entries(
            cluster_view,
            [
                RegisteredEntry(f"entry-{number}", "", "leith", f"{HOST}:9")
                for number in range(ENTRY_COUNT)
            ],
        )
        await trio.sleep(SAVE_DELAY_S)
        for part in PARTS[:10]:
            started_at = trio.current_time()
            located = await directory.locate(SCOPE, [part])
            waited_s = trio.current_time() - started_at
            assert located.plan.fetch == ("",)
            assert waited_s <= MAX_HOMES * REPLY_TIMEOUT_S + 1e-9
        assert datagram_socket.sent > 0


class TestFollowers:
    @pytest.mark.parametrize("count, followers", [(10, 10), (11, 4), (390, 4)])
    def test_every_open_call_of_a_store_is_used(self, count, followers):
        """Ten of 66 entries followed each store, and each read all its events."""
        names = [f"entry-{number:03}" for number in range(count)]
        indexes = []
        for name in names:
            cluster_view = ClusterView()
            apply_entries(
                cluster_view,
                [RegisteredEntry(listed, "", "leith") for listed in names],
            )
            indexes.append(ContextIndex(cluster_view, FakeStores(), name))
        spec = StoreSpec(f"{HOST}:7000", "leith", 400_000, 1000.0, 12)
        assert sum(index.name in index.list_followers(spec) for index in indexes) == (
            followers
        )
        assert len({tuple(index.list_followers(spec)) for index in indexes}) == 1
