"""Tests of the workload reports between gateways."""

import random

import trio

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.workload_reporter import MAX_REPORTED_ENGINES, WorkloadReporter
from medlarrail.relay.workload_tracker import (
    REPORT_TTL_S,
    EngineTokens,
    WorkloadReport,
    WorkloadTracker,
)
from medlarrail.transport.datagrams import DatagramSocket

KEY = "a-key-for-this-test"


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def build_report(sequence, unread, started_ms=1, entry="g2"):
    return WorkloadReport(
        entry, started_ms, sequence, (EngineTokens("e1", unread, unread),)
    )


class TestWorkloadTracker:
    def test_own_and_reported_work_add_up(self):
        tracker = WorkloadTracker("g1")
        prompt = tracker.begin("e1", 5_000, 17_000)
        tracker.store_report(build_report(1, 2_000))
        assert tracker.sum_engines(2)["e1"] == EngineTokens("e1", 7_000, 19_000)
        tracker.record_prefilled(prompt)
        assert tracker.sum_engines(2)["e1"].unread == 2_000
        tracker.end(prompt)
        assert tracker.sum_engines(2)["e1"].held == 2_000

    def test_older_report_is_ignored(self):
        """Reports from three runs of an entry arrive out of order and with duplicates;
        the newest one must be the result."""
        reports = [
            build_report(sequence, 1_000 * run + sequence, started_ms=run)
            for run in (1, 2, 3)
            for sequence in (1, 2, 3)
        ]
        for seed in range(50):
            tracker = WorkloadTracker("g1")
            order = [*random.Random(seed).choices(reports, k=20), reports[-1]]
            random.Random(seed + 1).shuffle(order)
            for report in order:
                tracker.store_report(report)
            assert tracker.sum_engines(2)["e1"].unread == 3_003

    def test_silent_entry_is_assumed_average(self):
        clock = Clock()
        tracker = WorkloadTracker("g1", clock)
        tracker.store_report(build_report(1, 4_000))
        tracker.begin("e1", 2_000, 2_000)
        assert tracker.sum_engines(2)["e1"].unread == 6_000
        clock.now += REPORT_TTL_S + 0.1
        assert tracker.sum_engines(2)["e1"].unread == 4_000

    def test_own_report_is_ignored(self):
        tracker = WorkloadTracker("g1")
        tracker.store_report(build_report(9, 4_000, entry="g1"))
        assert not tracker.sum_engines(1)

    def test_entry_with_reset_clock_is_accepted_after_expiry(self):
        clock = Clock()
        tracker = WorkloadTracker("g1", clock)
        tracker.store_report(build_report(1, 4_000, started_ms=900))
        tracker.store_report(build_report(1, 1_000, started_ms=500))
        assert tracker.sum_engines(2)["e1"].unread == 4_000
        clock.now += REPORT_TTL_S + 0.1
        tracker.drop_expired()
        tracker.store_report(build_report(2, 1_000, started_ms=500))
        assert tracker.sum_engines(2)["e1"].unread == 1_000


async def start_pair(nursery):
    """Return two connected reporters."""
    datagram_sockets = [DatagramSocket("127.0.0.1:0", KEY) for _ in range(2)]
    reporters = []
    for number, datagram_socket in enumerate(datagram_sockets):
        tracker = WorkloadTracker(f"g{number}")
        reporter = WorkloadReporter(ClusterView(), tracker, datagram_socket)
        await nursery.start(reporter.run)
        reporters.append(reporter)
    entries = tuple(
        RegisteredEntry(
            f"g{number}", "a:1", "leith", f"127.0.0.1:{datagram_socket.get_port()}"
        )
        for number, datagram_socket in enumerate(datagram_sockets)
    )
    for reporter in reporters:
        reporter.cluster_view.entries = entries
    return reporters


async def wait_for_unread(reporter, engine, expected):
    with trio.fail_after(5):
        while True:
            tokens = reporter.tracker.sum_engines(2).get(engine)
            if tokens is not None and tokens.unread == expected:
                return
            await trio.sleep(0.005)


class TestWorkloadReporter:
    async def test_change_is_reported_immediately(self, nursery):
        first, second = await start_pair(nursery)
        await wait_for_peer(first)
        started_at = trio.current_time()
        prompt = first.tracker.begin("e1", 9_000, 17_000)
        await wait_for_unread(second, "e1", 9_000)
        assert trio.current_time() - started_at < 0.4
        first.tracker.end(prompt)
        with trio.fail_after(5):
            while second.tracker.sum_engines(2):
                await trio.sleep(0.005)

    async def test_malformed_and_unauthenticated_reports_are_ignored(self, nursery):
        first, second = await start_pair(nursery)
        address = second.cluster_view.entries[1].work_address
        peer, outsider = (
            DatagramSocket("127.0.0.1:0", KEY),
            DatagramSocket("127.0.0.1:0", "another-key-altogether"),
        )
        for datagram_socket in (peer, outsider):
            await datagram_socket.open()
        for body in (b"", b"{", b"[]", b'{"entry": 5}', b"\xff" * 40):
            peer.send([address], body)
            outsider.send([address], body)
        with trio.fail_after(5):
            while get_metrics().get_count("reports_unreadable") < 5:
                await trio.sleep(0.005)
        first.tracker.begin("e1", 9_000, 17_000)
        await wait_for_unread(second, "e1", 9_000)

    async def test_report_size_is_bounded(self, nursery):
        first, second = await start_pair(nursery)
        for number in range(3 * MAX_REPORTED_ENGINES):
            first.tracker.begin(f"engine-{number}", number, number)
        with trio.fail_after(5):
            while not second.tracker.list_live_peers():
                await trio.sleep(0.005)
            await wait_for_unread(second, "engine-119", 119)
        report = second.tracker.get_report("g0")
        assert len(report.engines) == MAX_REPORTED_ENGINES
        assert (
            min(tokens.unread for tokens in report.engines) == 2 * MAX_REPORTED_ENGINES
        )


async def wait_for_peer(reporter):
    with trio.fail_after(5):
        while not reporter.tracker.list_live_peers():
            await trio.sleep(0.005)
