"""Tests of followers that answer entries from copies of the leader's state."""

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view_server import SETTLE_S, ClusterViewServer
from medlarrail.cluster.departures import DEPARTED_RETENTION_S
from medlarrail.cluster.member_choice import MemberChoice
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.cluster.view_copy import get_term
from medlarrail.core.errors import NotLeader, PeerTimeout
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.policy.notification import (
    MAX_COPY_AGE_S,
    MAX_DIRECT_ENTRIES,
    get_entry_timeout_s,
)
from medlarrail.policy.software_rollout import RolloutVerdict
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
)
from medlarrail.state.operations import Envelope, NoOperation
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import build_entry

NAMES = ("a", "b", "c", "d", "e")
URLS = tuple(f"mem://{name}" for name in NAMES)
ENTRY_COUNT = 3 * MAX_DIRECT_ENTRIES
MAX_ENDPOINT_DELAY_S = 0.5
"""Time within which every entry has to know an endpoint that a new leader hears of."""
MAX_CHANGE_S = 2.0
"""Time within which every entry has to know a change of the document."""


@define(eq=False)
class Fleet:
    """State members and many entries that poll them."""

    cluster: Cluster
    nursery: trio.Nursery
    view_servers: dict[str, ClusterViewServer] = field(factory=dict)
    clients: dict[str, ClusterViewClient] = field(factory=dict)
    scopes: dict[str, trio.CancelScope] = field(factory=dict)

    async def start(self, entry_count: int = ENTRY_COUNT) -> None:
        await self.cluster.bootstrap(*NAMES)
        for name, host in self.cluster.hosts.items():
            view_server = ClusterViewServer(host.member, clock=trio.current_time)
            self.view_servers[name] = view_server
            self.cluster.network.hosts[host.member.url].add(view_server)
            self.nursery.start_soon(view_server.run)
        for number in range(entry_count):
            self.start_entry(f"entry-{number}")
        await trio.sleep(SETTLE_S + 2)

    def start_entry(self, name: str) -> ClusterViewClient:
        client = build_entry(self.cluster, NAMES, name)
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await client.run()

        self.nursery.start_soon(run)
        self.clients[name] = client
        self.scopes[name] = scope
        return client

    async def get_leader(self) -> ClusterViewServer:
        leader = await self.cluster.wait_leader()
        return self.view_servers[leader.name]

    def find_follower(self) -> ClusterViewServer:
        """Return a follower that answers entries."""
        return next(
            server
            for server in self.view_servers.values()
            if server.view_copy.callers and server.member.leadership is None
        )

    def list_versions(self) -> set[int]:
        return {client.cluster_view.get_version() for client in self.clients.values()}

    async def call(self, server: ClusterViewServer, **changes) -> ClusterViewAnswer:
        request = ClusterViewRequest("probe", "probe:80", "leith", ready=False)
        peers = self.cluster.network.connect("mem://probe")
        return await peers.call(
            server.member.url,
            CLUSTER_VIEW_PATH,
            evolve(request, **changes),
            ClusterViewAnswer,
            5.0,
        )


@pytest.fixture
async def fleet(tmp_path, nursery, autojump_clock):
    fleet = Fleet(Cluster(tmp_path, nursery), nursery)
    await fleet.start()
    return fleet


class TestRollouts:
    async def test_follower_leaves_rollouts_out(self, fleet, autojump_clock):
        """Its entries would use a version under trial, or after its roll-back."""
        leader = await fleet.get_leader()
        follower = fleet.find_follower()
        for version in ("v1", "v2"):
            await leader.register_announcement(
                build_announcement(
                    name=version, address=f"{version}:1", software_version=version
                )
            )
        rollout = SoftwareRollout("guide", "v2", 90_000, 1000, ("v1",), changed_ms=1000)
        steps = {
            rollout: ({"v1"}, {"v1", "v2"}),
            evolve(rollout, state="rolled_back"): ({"v1"}, {"v1"}),
            evolve(rollout, state="running", started_ms=2000): ({"v1"}, {"v1", "v2"}),
            evolve(rollout, state="completed", started_ms=2000): ({"v2"}, {"v2"}),
        }
        leader.software_rollouts.judge = lambda evidence: RolloutVerdict("hold")
        for step, listed in steps.items():
            operation = NoOperation(rollouts=(step,))
            await leader.member.propose(Envelope(operation))
            await trio.sleep(MAX_CHANGE_S)
            for client in fleet.clients.values():
                assert client.cluster_view.rollouts == {"guide": step}
                assert set(client.cluster_view.endpoints) == listed[True]
            for knows, names in zip((False, True), listed, strict=True):
                answer = await fleet.call(
                    follower,
                    reads_age=True,
                    entry_count=ENTRY_COUNT,
                    knows_rollouts=knows,
                )
                assert {item.announced.name for item in answer.endpoints} == names
                assert answer.rollouts == (step,)
                assert answer.age_s >= 0


class TestViewCopy:
    async def test_leader_answers_all_entries_by_itself(self, fleet, autojump_clock):
        leader = await fleet.get_leader()
        callers = {
            name
            for server in fleet.view_servers.values()
            if server is not leader
            for name in server.view_copy.callers
        }
        assert len(callers) > ENTRY_COUNT / 2
        for client in fleet.clients.values():
            assert len(client.cluster_view.entries) == ENTRY_COUNT

    async def test_few_entries_are_answered_by_the_leader(
        self, tmp_path, nursery, autojump_clock
    ):
        fleet = Fleet(Cluster(tmp_path, nursery), nursery)
        await fleet.start(entry_count=6)
        for server in fleet.view_servers.values():
            assert server.view_copy.answer is None

    async def test_follower_without_a_copy_redirects_an_entry_of_many(
        self, fleet, autojump_clock
    ):
        """The first eight entries that called each follower went to the leader, though
        they knew that there are many."""
        follower = fleet.find_follower()
        follower.view_copy.callers.clear()
        follower.view_copy.answer = None
        follower.view_copy.entry_count = 1
        answer = await fleet.call(
            follower, reads_age=True, entry_count=ENTRY_COUNT, wait_s=0.5
        )
        assert answer.whole

    async def test_change_reaches_entries_late_through_followers(
        self, fleet, autojump_clock
    ):
        leader = await fleet.get_leader()
        await leader.replace_deployment(build_deployment(version=4))
        leader.record_announcement(build_announcement())
        await trio.sleep(MAX_CHANGE_S)
        assert fleet.list_versions() == {4}
        for client in fleet.clients.values():
            assert set(client.cluster_view.endpoints) == {"engine-1"}
        leader.record_departure("engine-1")
        await trio.sleep(MAX_CHANGE_S)
        assert not any(
            client.cluster_view.endpoints for client in fleet.clients.values()
        )

    async def test_entries_of_a_new_leader_know_few_endpoints_for_a_second(
        self, fleet, autojump_clock
    ):
        """After a power loss all entries sent their requests to the few endpoints that
        the leader had heard of first. It told of the others a second later, as it does
        if it has to tell all entries by itself."""
        fleet.cluster.kill((await fleet.get_leader()).member.name)
        leader = await fleet.get_leader()
        await trio.sleep(0.5)
        delays = []
        for number in range(10):
            name = f"engine-{number}"
            address = f"{name}:1"
            leader.require_leading()
            leader.record_announcement(build_announcement(name=name, address=address))
            announced_at = trio.current_time()
            while not all(
                name in client.cluster_view.endpoints
                for client in fleet.clients.values()
            ):
                await trio.sleep(0.01)
            delays.append(trio.current_time() - announced_at)
        assert max(delays) < MAX_ENDPOINT_DELAY_S, delays

    async def test_departed_endpoint_is_used_again_after_another_member_answers(
        self, fleet, autojump_clock
    ):
        """An endpoint came and went between two calls of a follower, which therefore
        did not know it, but one of its entries had heard of it from the leader."""
        leader = await fleet.get_leader()
        follower = fleet.find_follower()
        epoch = follower.view_copy.answer.epoch
        seen = follower.view_copy.answer.endpoints_revision
        leader.registry.record_announcement(build_announcement())
        seen_by_entry = leader.registry.revision
        leader.registry.remove("engine-1")
        leader.notify_waiters()
        assert seen_by_entry > seen
        answer = await fleet.call(
            follower,
            epoch=epoch,
            endpoints_seen=seen_by_entry,
            entries_seen=follower.view_copy.answer.entries_revision,
            configuration_seen=follower.view_copy.answer.configuration_index,
            reads_age=True,
            wait_s=1.0,
        )
        assert "engine-1" in answer.departed

    async def test_entry_of_a_follower_keeps_an_endpoint_that_left_before_a_change(
        self, fleet, autojump_clock
    ):
        """The entries were cut off while it left and the leader was replaced."""
        leader = await fleet.get_leader()
        await leader.register_announcement(build_announcement())
        await trio.sleep(MAX_CHANGE_S)
        for name in fleet.clients:
            fleet.cluster.network.isolate(f"mem://{name}")
        await leader.register_departure("engine-1")
        fleet.cluster.kill(leader.member.name)
        leader = await fleet.get_leader()
        fleet.cluster.network.clear_cuts()
        await trio.sleep(MAX_CHANGE_S)
        assert not leader.is_settled()
        assert fleet.find_follower().view_copy.answer.epoch == leader._get_epoch()
        for client in fleet.clients.values():
            assert not client.cluster_view.endpoints

    @pytest.mark.parametrize("cut_off", ["entry", "follower"])
    async def test_endpoint_that_left_over_a_minute_before_is_used_for_good(
        self, cut_off, fleet, autojump_clock
    ):
        """The follower had forgotten the departure, or had not heard of it."""
        leader = await fleet.get_leader()
        follower = fleet.find_follower()
        caller = next(iter(follower.view_copy.callers))
        await leader.register_announcement(build_announcement())
        await trio.sleep(MAX_CHANGE_S)
        is_entry = cut_off == "entry"
        url = f"mem://{caller}" if is_entry else follower.member.url
        fleet.cluster.network.isolate(url)
        await leader.register_departure("engine-1")
        await trio.sleep(DEPARTED_RETENTION_S + 10)
        fleet.cluster.network.clear_cuts()
        await trio.sleep(SETTLE_S + MAX_CHANGE_S)
        assert leader is await fleet.get_leader()
        assert not follower.view_copy.endpoints
        for client in fleet.clients.values():
            assert not client.cluster_view.endpoints

    async def test_partitioned_follower_answers_with_an_old_document(
        self, fleet, autojump_clock
    ):
        """Only the followers' calls to the leader are cut off."""
        leader = await fleet.get_leader()
        follower = fleet.find_follower()
        for server in fleet.view_servers.values():
            if server is not follower:
                fleet.cluster.network.cut.add((follower.member.url, server.member.url))
        await leader.replace_deployment(build_deployment(version=7))
        await trio.sleep(MAX_COPY_AGE_S + MAX_CHANGE_S)
        assert fleet.list_versions() == {7}
        with pytest.raises(NotLeader):
            await fleet.call(follower, reads_age=True, wait_s=0.1)

    async def test_entry_waits_at_a_follower_that_lost_the_leader(
        self, fleet, autojump_clock
    ):
        """Its call was held until its end though the copy had become too old."""
        follower = fleet.find_follower()
        for server in fleet.view_servers.values():
            if server is not follower:
                fleet.cluster.network.cut.add((follower.member.url, server.member.url))
        view_copy = follower.view_copy
        lost_at = view_copy.confirmed_at
        await trio.sleep_until(lost_at + MAX_COPY_AGE_S - 0.2)
        with pytest.raises(NotLeader):
            await fleet.call(
                follower,
                epoch=view_copy.answer.epoch,
                endpoints_seen=view_copy.answer.endpoints_revision,
                entries_seen=view_copy.answer.entries_revision,
                configuration_seen=view_copy.answer.configuration_index,
                reads_age=True,
                wait_s=1.0,
            )
        assert trio.current_time() < view_copy.confirmed_at + MAX_COPY_AGE_S + 0.2

    async def test_entries_of_a_partitioned_follower_have_old_views(
        self, fleet, autojump_clock
    ):
        """Each of their polls waited there for a second before another member answered,
        and the next one went there again."""
        follower = fleet.find_follower()
        for server in fleet.view_servers.values():
            if server is not follower:
                fleet.cluster.network.cut.add((follower.member.url, server.member.url))
        await trio.sleep(2 * MAX_COPY_AGE_S)
        ages = []
        for _ in range(60):
            await trio.sleep(0.1)
            ages += [
                client.cluster_view.get_age_s() for client in fleet.clients.values()
            ]
        assert max(ages) < MAX_CHANGE_S

    async def test_entries_wait_at_followers_of_an_older_leader(
        self, fleet, autojump_clock, monkeypatch
    ):
        """It takes no reports, so that no follower has a copy to answer from."""
        build_answer = ClusterViewServer._build_answer

        def build_older_answer(self, *args):
            return evolve(build_answer(self, *args), takes_reports=False)

        fleet.cluster.kill((await fleet.get_leader()).member.name)
        monkeypatch.setattr(ClusterViewServer, "_build_answer", build_older_answer)
        leader = await fleet.get_leader()
        await leader.replace_deployment(build_deployment(version=5))
        await trio.sleep(2 * MAX_CHANGE_S)
        assert fleet.list_versions() == {5}
        ages = [client.cluster_view.get_age_s() for client in fleet.clients.values()]
        assert max(ages) < MAX_CHANGE_S

    async def test_frozen_follower_keeps_its_entries_from_a_change(
        self, fleet, autojump_clock
    ):
        leader = await fleet.get_leader()
        follower = fleet.find_follower()
        fleet.cluster.network.isolate(follower.member.url)
        for name in fleet.clients:
            fleet.cluster.network.cut.add((f"mem://{name}", follower.member.url))
        await leader.replace_deployment(build_deployment(version=8))
        await trio.sleep(MAX_CHANGE_S)
        assert fleet.list_versions() == {8}

    async def test_follower_behind_the_entry_takes_its_view_back(
        self, fleet, autojump_clock
    ):
        follower = fleet.find_follower()
        answer = follower.view_copy.answer
        with pytest.raises(NotLeader):
            await fleet.call(
                follower,
                epoch=answer.epoch,
                endpoints_seen=answer.endpoints_revision + 5,
                reads_age=True,
                wait_s=0.3,
            )
        with pytest.raises(NotLeader):
            await fleet.call(
                follower,
                epoch=f"x-{get_term(answer.epoch) + 1}",
                reads_age=True,
                wait_s=0.3,
            )

    async def test_older_entry_takes_a_copy_for_the_leaders_word(
        self, fleet, autojump_clock
    ):
        """An entry that does not read the age of an answer counts it from its call."""
        with pytest.raises(NotLeader) as raised:
            await fleet.call(fleet.find_follower(), wait_s=0.1)
        assert raised.value.leader_url

    async def test_entry_that_left_stays_listed_through_its_follower(
        self, fleet, autojump_clock
    ):
        fleet.scopes.pop("entry-3").cancel()
        fleet.clients.pop("entry-3")
        await trio.sleep(get_entry_timeout_s(ENTRY_COUNT) + MAX_CHANGE_S)
        for client in fleet.clients.values():
            names = {entry.name for entry in client.cluster_view.entries}
            assert names == set(fleet.clients)

    async def test_draining_entry_is_listed_again_by_a_late_report(
        self, fleet, autojump_clock
    ):
        """A follower reported an earlier call after the entry had told the leader."""
        client = fleet.clients["entry-5"]
        client.ready = False
        await client.report_readiness()
        for _ in range(40):
            await trio.sleep(0.05)
            leader = await fleet.get_leader()
            assert not leader.entries["entry-5"].ready

    async def test_entries_go_on_after_the_leader_is_lost(self, fleet, autojump_clock):
        leader = await fleet.get_leader()
        await leader.replace_deployment(build_deployment(version=2))
        fleet.cluster.kill(leader.member.name)
        leader = await fleet.get_leader()
        await leader.replace_deployment(build_deployment(version=3))
        await trio.sleep(MAX_CHANGE_S)
        assert fleet.list_versions() == {3}
        await trio.sleep(SETTLE_S + 1)
        for client in fleet.clients.values():
            assert len(client.cluster_view.entries) == ENTRY_COUNT
            assert client.cluster_view.get_age_s() < MAX_CHANGE_S


class TestMemberChoice:
    @pytest.fixture
    def choice(self) -> MemberChoice:
        self.now = 0.0
        return MemberChoice("entry-1", lambda: self.now)

    def test_two_members_name_each_other_without_a_pause(self, choice):
        first = choice.pick_url(URLS)
        assert choice.record_failure(first, NotLeader(leader_url="mem://x"))
        assert choice.pick_url(URLS) == "mem://x"
        assert not choice.record_failure("mem://x", NotLeader(leader_url=first))

    def test_silent_member_is_called_again_at_once(self, choice):
        first = choice.pick_url(URLS)
        assert choice.record_failure(first, PeerTimeout(url=first))
        assert choice.pick_url(URLS) != first

    def test_silent_members_are_called_without_a_pause(self, choice):
        called = []
        for _ in URLS:
            called.append(choice.pick_url(URLS))
            assert choice.record_failure(called[-1], PeerTimeout(url=called[-1]))
        assert set(called) == set(URLS)
        again = choice.pick_url(URLS)
        assert not choice.record_failure(again, PeerTimeout(url=again))

    def test_entries_start_at_the_same_member(self):
        first = {
            MemberChoice(f"entry-{number}", lambda: 0.0).pick_url(URLS)
            for number in range(50)
        }
        assert first == set(URLS)
