"""Tests of blocking the parts of prompts that crash endpoints."""

import pytest
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.cluster_view_server import SETTLE_S, ClusterViewServer
from medlarrail.cluster.crash_ledger import (
    MAX_BREAK_GAP_S,
    MAX_CRASHES,
    MAX_PARTS,
    CrashLedger,
    Incarnation,
    RecordedCrash,
)
from medlarrail.cluster.crash_watch import CrashWatch
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.cluster_records import REQUEST_KEY_PREFIX, DesiredVersion
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.crashing_parts import get_trial_delay_s
from medlarrail.policy.notification import MAX_UPDATES_PER_S, get_poll_wait_s
from medlarrail.protocol.crashes import (
    BREAKS_PATH,
    COMPLETIONS_PATH,
    CRASHES_PATH,
    CompletionReport,
    CrashReport,
    CrashReports,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.request_trials import (
    REQUEST_TRIALS_PATH,
    TRIALS_PATH,
    SuspectTrialRequest,
    TrialAnswer,
    TrialRequest,
)
from medlarrail.state.operations import SetDesiredVersion
from medlarrail.testing.cluster import Cluster

NAMES = ("a", "b", "c")
BLOCK_WAIT_S = 1.0
"""Time within which a part is blocked after its last crash."""


@define(eq=False)
class WatchedCluster:
    """A cluster whose members watch for crashes, and an entry that reports them."""

    cluster: Cluster
    watches: dict[str, CrashWatch] = field(factory=dict)
    _crashes: int = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the members."""
        await self.cluster.bootstrap(*NAMES)
        for name, host in self.cluster.hosts.items():
            view_server = ClusterViewServer(host.member, clock=trio.current_time)
            watch = CrashWatch(view_server, wall_clock=trio.current_time)
            self.watches[name] = watch
            for handlers in (view_server, watch):
                self.cluster.network.hosts[host.member.url].add(handlers)
                nursery.start_soon(handlers.run)

    async def get_watch(self) -> CrashWatch:
        """Return the watch of the leader."""
        leader = await self.cluster.wait_leader()
        return self.watches[leader.name]

    async def list_blocked(self) -> list[tuple[str, ...]]:
        """Return the blocked sets of parts at the leader."""
        watch = await self.get_watch()
        blocked = watch.view_server.member.catalogue.blocked
        return [item.parts for item in blocked.values()]

    async def call(self, path: str, message, answer_type=EmptyMessage):
        """Call the leader as an entry."""
        leader = await self.cluster.wait_leader()
        peers = self.cluster.network.connect("mem://entry")
        return await peers.call(leader.url, path, message, answer_type, 2.0)

    async def crash(self, parts: str, endpoint: str = "") -> None:
        """Report a crash; ``parts`` names its parts by single letters."""
        self._crashes += 1
        name = endpoint or f"engine-{self._crashes}"
        report = CrashReport("entry", name, 1, "guide", "m", 0.01, tuple(parts))
        await self.call(CRASHES_PATH, report)

    async def break_off(self, parts: str, endpoint: str) -> None:
        """Report what broke off at an endpoint that may have crashed."""
        report = CrashReport("other", endpoint, 1, "guide", "m", 0.01, tuple(parts))
        await self.call(BREAKS_PATH, CrashReports((report,)))

    async def complete(self, parts: str) -> None:
        """Report complete answers to prompts with ``parts``."""
        await self.call(
            COMPLETIONS_PATH, CompletionReport("entry", "guide", tuple(parts))
        )

    async def block(self, part: str = "p") -> None:
        """Report crashes until ``part`` is blocked."""
        for other in "xyz":
            await self.crash(other + part)
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        assert (part,) in await self.list_blocked()

    async def try_part(self, part: str = "p") -> bool:
        """Ask for a trial and return whether it was granted."""
        request = TrialRequest("entry", f"guide+{part}")
        answer = await self.call(TRIALS_PATH, request, TrialAnswer)
        return answer.granted


@pytest.fixture
async def watched(tmp_path, nursery, autojump_clock):
    watched = WatchedCluster(Cluster(tmp_path, nursery))
    await watched.start(nursery)
    return watched


class TestBlocking:
    async def test_a_crash_reported_by_several_entries_counts_once(
        self, watched, autojump_clock
    ):
        for _ in range(5):
            await watched.crash("ap", endpoint="engine-1")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []

    async def test_a_part_that_completes_after_each_crash_is_blocked(
        self, watched, autojump_clock
    ):
        """All requests share the part, and their engines crash at random."""
        for number in range(6):
            await watched.crash(f"a{number}")
            await trio.sleep(0.2)
            await watched.complete("a")
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []

    async def test_a_part_is_blocked_before_other_entries_can_clear_it(
        self, watched, autojump_clock
    ):
        for number in range(3):
            await watched.crash(f"a{number}")
            await trio.sleep(0.06)
        assert await watched.list_blocked() == []
        await watched.complete("a")
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []

    async def test_an_innocent_part_is_blocked_before_all_entries_have_reported(
        self, watched, autojump_clock
    ):
        """One entry reported that a crash broke off its requests with the part, and
        another one, 0.2 s later, that a request with the crashing part ran there."""
        for number in range(3):
            await watched.crash("c", f"engine-{number}")
            await trio.sleep(0.2)
            await watched.crash("cp", f"engine-{number}")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        await watched.complete("c")
        assert await watched.list_blocked() == [("p",)]

    async def test_an_innocent_part_is_blocked_while_an_entry_suspects_a_partition(
        self, watched, autojump_clock
    ):
        """The entry with the crashing requests reached no endpoint any more and
        reported the crashes later, when its other parts were blocked."""
        for number in range(3):
            await watched.break_off("cp", f"engine-{number}")
            await watched.crash("c", f"engine-{number}")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        await watched.complete("c")
        assert await watched.list_blocked() == [("p",)]

    async def test_requests_that_broke_off_in_a_partition_are_taken_for_crashes(
        self, watched, autojump_clock
    ):
        for number in range(5):
            await watched.break_off("p", f"engine-{number}")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []

    @pytest.mark.parametrize("first", ["break", "crash"])
    async def test_requests_that_broke_off_at_another_time_explain_a_crash(
        self, watched, autojump_clock, first
    ):
        for number in range(3):
            endpoint = f"engine-{number}"
            if first == "break":
                await watched.break_off("p", endpoint)
                await trio.sleep(2 * MAX_BREAK_GAP_S)
                await watched.crash("c", endpoint)
            else:
                await watched.crash("c", endpoint)
                await trio.sleep(2 * MAX_BREAK_GAP_S)
                await watched.break_off("p", endpoint)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == [("c",)]

    async def test_a_part_that_was_completed_after_a_break_is_blocked(
        self, watched, autojump_clock
    ):
        for number in range(3):
            await watched.break_off("cp", f"engine-{number}")
            await watched.complete("c")
            await watched.crash("p", f"engine-{number}")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == [("p",)]

    async def test_parts_that_were_always_together_are_told_apart_by_an_answer(
        self, watched, autojump_clock
    ):
        for _ in range(3):
            await watched.crash("bp")
            await trio.sleep(0.2)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == [("b", "p")]
        await watched.complete("b")
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == [("p",)]

    async def test_a_new_leader_forgets_the_blocked_parts(
        self, watched, autojump_clock
    ):
        await watched.block()
        leader = await watched.cluster.wait_leader()
        watched.cluster.kill(leader.name)
        await trio.sleep(5.0)
        assert await watched.list_blocked() == [("p",)]
        assert not await watched.try_part()


class TestBreaks:
    def test_requests_that_broke_off_use_up_the_leaders_memory(self):
        """Each of hundreds of partitioned entries may report hundreds of parts."""
        ledger = CrashLedger(clock=lambda: 0.0)
        for number in range(10):
            parts = {f"part-{number}-{part}" for part in range(400)}
            broken = RecordedCrash("guide", "m", 0.0, parts)
            ledger.record_break(Incarnation("engine", 1), broken, ())
        assert len(ledger.breaks[Incarnation("engine", 1)].parts) == MAX_PARTS
        for number in range(MAX_CRASHES + 10):
            broken = RecordedCrash("guide", "m", 0.0, {"p"})
            ledger.record_break(Incarnation(f"engine-{number}", 1), broken, ())
        assert len(ledger.breaks) == MAX_CRASHES


class TestTrials:
    async def test_blocked_parts_are_tried_again_and_again(
        self, watched, autojump_clock
    ):
        """Three later requests are the users' limit; a day has 100 s or so."""
        await watched.block()
        granted = 0
        for _ in range(2 * 60):
            granted += await watched.try_part()
            await trio.sleep(1.0)
        assert granted == 2

    async def test_a_completed_trial_unblocks(self, watched, autojump_clock):
        await watched.block()
        await trio.sleep(get_trial_delay_s(0))
        assert await watched.try_part()
        await watched.complete("p")
        assert await watched.list_blocked() == []
        assert await watched.try_part()

    async def test_new_weights_allow_a_trial(self, watched, autojump_clock):
        await watched.block()
        assert not await watched.try_part()
        watch = await watched.get_watch()
        await watch.view_server.commit(
            SetDesiredVersion(DesiredVersion("m", "2", ordinal=2))
        )
        assert await watched.try_part()
        assert not await watched.try_part()


REQUEST = REQUEST_KEY_PREFIX + "d1"


class TestRequests:
    async def crash(self, watched: WatchedCluster, count: int) -> None:
        """Report crashes under one request, each at another endpoint."""
        for _ in range(count):
            await watched.crash((REQUEST,))
            await trio.sleep(0.2)

    async def try_request(self, watched: WatchedCluster) -> bool:
        """Ask to send the suspected request and return whether it was granted."""
        request = SuspectTrialRequest("entry", "guide", REQUEST)
        answer = await watched.call(REQUEST_TRIALS_PATH, request, TrialAnswer)
        return answer.granted

    async def block(self, watched: WatchedCluster) -> None:
        """Report crashes until the request is blocked."""
        await self.crash(watched, 2)
        assert await self.try_request(watched)
        await trio.sleep(0.05)
        await self.crash(watched, 1)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == [(REQUEST,)]

    async def test_a_request_is_blocked_without_a_trial(self, watched, autojump_clock):
        """Endpoints that crash in turn take a popular request with them."""
        await self.crash(watched, 5)
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []
        assert await self.try_request(watched)
        await watched.complete((REQUEST,))
        await trio.sleep(BLOCK_WAIT_S)
        assert await watched.list_blocked() == []

    async def test_a_new_leader_forgets_the_blocked_request(
        self, watched, autojump_clock
    ):
        await self.block(watched)
        leader = await watched.cluster.wait_leader()
        watched.cluster.kill(leader.name)
        await trio.sleep(5.0)
        assert await watched.list_blocked() == [(REQUEST,)]
        assert not await self.try_request(watched)

    async def test_a_new_leader_allows_more_than_three_attempts(
        self, watched, autojump_clock
    ):
        """It has none of the evidence, so the request runs as if it were new."""
        await self.crash(watched, 2)
        leader = await watched.cluster.wait_leader()
        watched.cluster.kill(leader.name)
        await trio.sleep(5.0)
        await self.block(watched)

    async def test_a_blocked_request_is_tried_again_and_again(
        self, watched, autojump_clock
    ):
        await self.block(watched)
        granted = 0
        for _ in range(200):
            granted += await watched.try_part(REQUEST)
            await trio.sleep(1.0)
        assert granted == 1

    async def test_a_request_stays_blocked_although_its_trial_completed(
        self, watched, autojump_clock
    ):
        await self.block(watched)
        await trio.sleep(60.0)
        assert await watched.try_part(REQUEST)
        await watched.complete((REQUEST,))
        assert await watched.list_blocked() == []
        assert await self.try_request(watched)


ENTRY_COUNT = 66
CRASHED_ENDPOINTS = 15
PERIODIC_CALLS_PER_S = 1 / get_poll_wait_s(ENTRY_COUNT)
"""Calls of one entry without any change."""


class TestManyEntries:
    async def test_a_lost_data_centre_floods_the_leader(
        self, nursery, tmp_path, autojump_clock
    ):
        """Each of 66 entries reported the requests that it had at 15 endpoints. Each
        report changed the suspects, and each change was sent to all entries at once, so
        that calls timed out and a configuration waited for 5 s."""
        watched = WatchedCluster(Cluster(tmp_path, nursery))
        await watched.start(nursery)
        leader = await watched.cluster.wait_leader()
        peers = watched.cluster.network.connect("mem://entry")
        views = [ClusterView(trio.current_time) for _ in range(ENTRY_COUNT)]
        for number, view in enumerate(views):
            name = f"entry-{number}"
            state = StateClient(peers, (leader.url,))
            client = ClusterViewClient(view, state, name, f"{name}:80", "leith")
            nursery.start_soon(client.run)
        await trio.sleep(SETTLE_S + 1.0)
        sent_before = get_metrics().get_count("views_sent")

        async def report(entry: int) -> None:
            for endpoint in range(CRASHED_ENDPOINTS):
                await trio.sleep(2.0 / CRASHED_ENDPOINTS)
                key = f"{REQUEST_KEY_PREFIX}{entry}-{endpoint}"
                message = CrashReport(
                    f"entry-{entry}", f"engine-{endpoint}", 1, "guide", "m", 0.1, (key,)
                )
                await watched.call(CRASHES_PATH, message)

        async with trio.open_nursery() as reports:
            for entry in range(ENTRY_COUNT):
                reports.start_soon(report, entry)
            await trio.sleep(2.5)
            sent = get_metrics().get_count("views_sent") - sent_before
        periodic = ENTRY_COUNT * PERIODIC_CALLS_PER_S * 2.5
        assert sent <= MAX_UPDATES_PER_S * 2.5 + periodic + ENTRY_COUNT
        await trio.sleep(1.0)
        expected = ENTRY_COUNT * CRASHED_ENDPOINTS
        assert {len(view.suspects) for view in views} == {expected}
