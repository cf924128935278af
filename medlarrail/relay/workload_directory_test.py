"""Tests of the workload of engines with many entries, over loopback."""

import pytest
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.workload import MAX_REPORTING_ENTRIES
from medlarrail.relay.workload_directory import (
    QUERY_PREFIX,
    REPLY_PREFIX,
    REPLY_TIMEOUT_S,
    WorkloadDirectory,
)
from medlarrail.relay.workload_reporter import REPORT_INTERVAL_S, WorkloadReporter
from medlarrail.relay.workload_tracker import (
    REPORT_TTL_S,
    EngineTokens,
    WorkloadTracker,
)
from medlarrail.testing.scripted_endpoints import HOST
from medlarrail.transport.datagrams import DatagramSocket

KEY = "a-key-for-this-test"
ENTRY_COUNT = MAX_REPORTING_ENTRIES + 6
ENGINES = [f"engine-{number}" for number in range(12)]
SLOW_MACHINE_S = 5.0


@define
class CountingSocket(DatagramSocket):
    """A socket that counts the datagrams that it sends."""

    sent: int = 0

    def send(self, addresses, body):
        addresses = list(addresses)
        self.sent += len(addresses)
        super().send(addresses, body)


@define
class Entries:
    """Entries that exchange reports, by name."""

    nursery: trio.Nursery
    directories: dict[str, WorkloadDirectory] = field(factory=dict)

    async def start(self, count: int) -> None:
        """Start entries that know each other."""
        entries = [await self._start_entry(f"g{number:02}") for number in range(count)]
        for directory in self.directories.values():
            directory.reporter.cluster_view.entries = tuple(entries)

    async def _start_entry(self, name: str) -> RegisteredEntry:
        datagram_socket = CountingSocket(f"{HOST}:0", KEY)
        reporter = WorkloadReporter(
            ClusterView(), WorkloadTracker(name), datagram_socket
        )
        await self.nursery.start(reporter.run)
        address = f"{HOST}:{datagram_socket.get_port()}"
        self.directories[name] = WorkloadDirectory(reporter, address)
        return RegisteredEntry(name, "", "leith", address)

    def get_coordinator(self, engine: str) -> WorkloadDirectory:
        """Return the entry that collects the workload of an engine."""
        for directory in self.directories.values():
            if directory.reporter.find_coordinator(engine) is None:
                return directory
        raise LookupError(engine)

    def list_others(self, engine: str) -> list[WorkloadDirectory]:
        """Return the entries that are not the coordinator of an engine."""
        coordinator = self.get_coordinator(engine)
        return [d for d in self.directories.values() if d is not coordinator]

    def count_sent(self) -> int:
        """Return the number of datagrams that all entries have sent."""
        return sum(d.reporter.datagram_socket.sent for d in self.directories.values())


async def wait_for_unread(
    directory: WorkloadDirectory, engine: str, tokens: int
) -> None:
    """Wait until an entry finds so many tokens to prefill at an engine."""
    with trio.fail_after(SLOW_MACHINE_S):
        while True:
            found = await directory.find([engine])
            if engine in found and found[engine].unread == tokens:
                return
            await trio.sleep(0.005)


@pytest.fixture
async def entries(nursery) -> Entries:
    started = Entries(nursery)
    await started.start(ENTRY_COUNT)
    return started


class TestWorkloadDirectory:
    async def test_prompts_of_another_group_are_not_known(self, entries):
        """Each group of entries knew its own prompts, and had engines of its own."""
        engine = ENGINES[0]
        first, second, *_, last = entries.list_others(engine)
        prompt = first.reporter.tracker.begin(engine, 9_000, 17_000)
        second.reporter.tracker.begin(engine, 5_000, 6_000)
        for directory in (first, last, entries.get_coordinator(engine)):
            await wait_for_unread(directory, engine, 14_000)
        first.reporter.tracker.end(prompt)
        await wait_for_unread(last, engine, 5_000)

    async def test_a_finished_prompt_is_counted_until_its_report_expires(self, entries):
        engine = ENGINES[0]
        first, *_, last = entries.list_others(engine)
        prompt = first.reporter.tracker.begin(engine, 9_000, 17_000)
        await wait_for_unread(last, engine, 9_000)
        first.reporter.tracker.end(prompt)
        with trio.fail_after(REPORT_TTL_S / 2):
            await wait_for_unread(last, engine, 0)

    async def test_entries_without_prompts_send_reports(self, entries):
        before = entries.count_sent()
        await trio.sleep(2 * REPORT_INTERVAL_S)
        assert entries.count_sent() == before

    async def test_messages_grow_with_the_entries(self, entries):
        """Each change at an engine was sent to all entries of a group."""
        before = entries.count_sent()
        prompts = 20
        for number in range(prompts):
            engine = ENGINES[number % len(ENGINES)]
            directory = entries.list_others(engine)[number]
            await directory.find(ENGINES[:6])
            tracker = directory.reporter.tracker
            prompt = tracker.begin(engine, 9_000, 17_000)
            await trio.sleep(0.01)
            tracker.record_prefilled(prompt)
            await trio.sleep(0.01)
            tracker.end(prompt)
            await trio.sleep(0.01)
        assert entries.count_sent() - before <= prompts * (2 * 6 + 3)

    async def test_one_coordinator_that_is_gone_delays_all_prompts(self, entries):
        """Two replies are a choice; the others are awaited for a moment only."""
        asker = entries.list_others(ENGINES[0])[0]
        gone = entries.get_coordinator(ENGINES[0])
        gone.reporter.handlers[QUERY_PREFIX] = lambda body: None
        others = [
            engine
            for engine in ENGINES
            if entries.get_coordinator(engine) not in (asker, gone)
        ]
        waits = []
        for _ in range(10):
            started_at = trio.current_time()
            found = await asker.find([ENGINES[0], *others[:4]])
            waits.append(trio.current_time() - started_at)
            assert ENGINES[0] not in found
        assert min(waits) < REPLY_TIMEOUT_S / 2

    async def test_a_restarted_coordinator_takes_its_engines_for_idle(self, entries):
        """Reports are repeated, so it knows the workload again soon."""
        engine = ENGINES[0]
        first, *_, last = entries.list_others(engine)
        first.reporter.tracker.begin(engine, 9_000, 17_000)
        await wait_for_unread(last, engine, 9_000)
        entries.get_coordinator(engine).reporter.tracker._reports.clear()
        with trio.fail_after(4 * REPORT_INTERVAL_S):
            await wait_for_unread(last, engine, 9_000)

    async def test_an_unreadable_message_ends_the_receiver(self, entries):
        engine = ENGINES[0]
        sender, receiver, *_ = entries.directories.values()
        for prefix in (QUERY_PREFIX, REPLY_PREFIX):
            sender.reporter.datagram_socket.send(
                [receiver.work_address], prefix + b"{}x"
            )
        with trio.fail_after(SLOW_MACHINE_S):
            while get_metrics().get_count("replies_unreadable") < 1:
                await trio.sleep(0.005)
        assert get_metrics().get_count("queries_unreadable") == 1
        assert await receiver.find([engine]) == {engine: EngineTokens(engine)}

    async def test_few_entries_need_no_coordinators(self, nursery):
        started = Entries(nursery)
        await started.start(3)
        first, second, _ = started.directories.values()
        assert not first.is_needed()
        first.reporter.tracker.begin(ENGINES[0], 9_000, 17_000)
        with trio.fail_after(SLOW_MACHINE_S):
            while second.reporter.tracker.get_engine(ENGINES[0]).unread != 9_000:
                await trio.sleep(0.005)
