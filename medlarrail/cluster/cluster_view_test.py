"""Tests of an entry's view of the cluster and of the leader that serves it."""

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.cluster_view_server import (
    SETTLE_S,
    ClusterViewServer,
)
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.announcements import RegisteredEndpoint, RegisteredEntry
from medlarrail.core.errors import DeploymentInvalid, MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.policy.notification import (
    MIN_POLL_WAIT_S,
    get_entry_timeout_s,
    get_poll_wait_s,
)
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.cluster_view import ClusterViewAnswer
from medlarrail.testing.builders import (
    build_announcement,
    build_deployment,
    build_route,
)
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.view_members import build_entry

NAMES = ("a", "b", "c")


def build_answer(**changes) -> ClusterViewAnswer:
    fields = {
        "epoch": "e",
        "settled": True,
        "whole": True,
        "endpoints_revision": 1,
        "entries_revision": 1,
        "configuration_index": 1,
    }
    return ClusterViewAnswer(**{**fields, **changes})


def build_registered(**changes) -> RegisteredEndpoint:
    return RegisteredEndpoint(build_announcement(**changes), 1)


class TestClusterView:
    def test_document_never_reverts(self):
        cluster_view = ClusterView()
        cluster_view.apply(build_answer(deployment=build_deployment(version=5)))
        cluster_view.apply(build_answer(deployment=build_deployment(version=4)))
        assert cluster_view.get_version() == 5

    def test_only_settled_leader_removes_unlisted_endpoints(self):
        cluster_view = ClusterView()
        cluster_view.apply(build_answer(endpoints=(build_registered(),)))
        cluster_view.apply(build_answer(epoch="f", settled=False))
        assert "engine-1" in cluster_view.endpoints
        cluster_view.apply(build_answer(epoch="f"))
        assert not cluster_view.endpoints

    def test_unsettled_leader_removes_no_entry(self):
        cluster_view = ClusterView()
        first = RegisteredEntry("a", "1", "leith")
        second = RegisteredEntry("b", "2", "leith")
        cluster_view.apply(build_answer(entries=(first, second)))
        cluster_view.apply(build_answer(entries=(second,), settled=False))
        assert set(cluster_view.entries) == {first, second}
        cluster_view.apply(build_answer(entries=(second,)))
        assert cluster_view.entries == (second,)

    def test_streams_of_an_older_entry_are_unknown_once_it_has_left(self):
        """Its callers take them up elsewhere, though it told nobody of them."""
        now = [1000.0]
        cluster_view = ClusterView(clock=lambda: now[0])
        older = RegisteredEntry("a", "1", "leith")
        entry = RegisteredEntry("b", "2", "leith", tells_streams=True)
        assert not cluster_view.may_have_untold_streams()
        cluster_view.apply(build_answer(entries=(older, entry)))
        now[0] += 2 * STREAM_RETENTION_S
        assert cluster_view.may_have_untold_streams()
        cluster_view.apply(build_answer(entries=(entry,)))
        now[0] += STREAM_RETENTION_S
        assert cluster_view.may_have_untold_streams()
        now[0] += 1
        assert not cluster_view.may_have_untold_streams()

    def test_outdated_announcement_is_ignored(self):
        cluster_view = ClusterView()
        cluster_view.apply(build_answer(endpoints=(build_registered(sequence=9),)))
        stale = build_registered(sequence=3, state="leaving")
        cluster_view.apply(build_answer(endpoints=(stale,), whole=False))
        assert cluster_view.endpoints["engine-1"].announced.state == "ready"

    def test_latest_started_endpoint_owns_address(self):
        cluster_view = ClusterView()
        cluster_view.apply(build_answer(endpoints=(build_registered(),)))
        replacement = build_registered(name="engine-2", started_ms=5000)
        cluster_view.apply(build_answer(endpoints=(replacement,), whole=False))
        assert set(cluster_view.endpoints) == {"engine-2"}


class Harness:
    """A cluster whose members serve the view, and entries that poll it."""

    def __init__(self, tmp_path, nursery):
        self.cluster = Cluster(tmp_path, nursery)
        self.nursery = nursery
        self.view_servers = {}

    async def start(self):
        await self.cluster.bootstrap(*NAMES)
        for name, host in self.cluster.hosts.items():
            view_server = ClusterViewServer(host.member, clock=trio.current_time)
            self.view_servers[name] = view_server
            self.cluster.network.hosts[host.member.url].add(view_server)
            self.nursery.start_soon(view_server.run)

    async def get_view_server(self) -> ClusterViewServer:
        leader = await self.cluster.wait_leader()
        return self.view_servers[leader.name]

    def start_entry(self, name: str) -> ClusterViewClient:
        view_client = build_entry(self.cluster, NAMES, name)
        self.nursery.start_soon(view_client.run)
        return view_client


@pytest.fixture
async def harness(tmp_path, nursery, autojump_clock):
    harness = Harness(tmp_path, nursery)
    await harness.start()
    return harness


class TestClusterViewServer:
    async def test_change_reaches_entry_immediately(self, harness, autojump_clock):
        view_client = harness.start_entry("e1")
        view_server = await harness.get_view_server()
        await trio.sleep(SETTLE_S + 1)
        await view_server.replace_deployment(build_deployment(version=3))
        view_server.record_announcement(build_announcement())
        await trio.sleep(0.2)
        assert view_client.cluster_view.get_version() == 3
        assert "engine-1" in view_client.cluster_view.endpoints
        view_server.record_announcement(build_announcement(sequence=2, state="leaving"))
        await trio.sleep(0.2)
        endpoint = view_client.cluster_view.endpoints["engine-1"]
        assert endpoint.announced.state == "leaving"

    async def test_invalid_document_is_rejected(self, harness, autojump_clock):
        view_server = await harness.get_view_server()
        invalid = build_deployment(version=9, routes=(build_route(timeout_ms=0),))
        with pytest.raises(DeploymentInvalid):
            await view_server.replace_deployment(invalid)
        assert await view_server.read_deployment() is None

    async def test_first_document_of_a_version_stays(self, harness, autojump_clock):
        view_server = await harness.get_view_server()
        first = build_deployment(version=2, source="first")
        await view_server.replace_deployment(first)
        await view_server.replace_deployment(
            build_deployment(version=2, source="second")
        )
        await view_server.replace_deployment(
            build_deployment(version=1, source="older")
        )
        assert (await view_server.read_deployment()).source == "first"

    async def test_log_does_not_tell_where_a_change_waited(
        self, harness, autojump_clock
    ):
        """A document arrived and was accepted six seconds later, by another leader."""
        view_server = await harness.get_view_server()
        harness.cluster.network.isolate(view_server.member.url)
        with (
            collect_messages("deployment:received") as received,
            collect_messages("configuration:not-accepted") as failures,
            pytest.raises(MedlarError),
        ):
            await view_server.replace_deployment(build_deployment(version=6))
        assert received[-1]["version"] == 6
        assert received[-1]["has_lease"]
        assert failures[-1]["change"] == "ReplaceDeployment"
        assert failures[-1]["waited_s"] > 0
        assert failures[-1]["last_index"] > failures[-1]["commit_index"]

    async def test_member_without_lease_answers_no_read(self, harness, autojump_clock):
        leader = await harness.cluster.wait_leader()
        other = next(
            candidate
            for candidate in harness.view_servers.values()
            if candidate.member is not leader
        )
        with pytest.raises(NotLeader):
            await other.read_deployment()
        harness.cluster.network.isolate(leader.url)
        await trio.sleep(2)
        with pytest.raises(NotLeader):
            await harness.view_servers[leader.name].read_deployment()

    async def test_silent_entry_is_no_longer_listed(self, harness, autojump_clock):
        first, second = harness.start_entry("e1"), harness.start_entry("e2")
        await trio.sleep(SETTLE_S + 2)
        assert len(first.cluster_view.entries) == 2
        harness.cluster.network.isolate("mem://e2")
        for name in NAMES:
            url = harness.cluster.get_url(name)
            harness.cluster.network.cut.update({("mem://e2", url), (url, "mem://e2")})
        await trio.sleep(get_entry_timeout_s(2) + 2.5)
        assert [entry.name for entry in first.cluster_view.entries] == ["e1"]
        assert second.cluster_view.get_age_s() > get_entry_timeout_s(2)

    async def test_new_leader_removes_nothing_before_it_is_settled(
        self, harness, autojump_clock
    ):
        view_client = harness.start_entry("e1")
        view_server = await harness.get_view_server()
        await trio.sleep(SETTLE_S + 1)
        view_server.record_announcement(build_announcement())
        await trio.sleep(0.5)
        harness.cluster.kill(view_server.member.name)
        await harness.cluster.wait_leader()
        await trio.sleep(2.0)
        assert "engine-1" in view_client.cluster_view.endpoints
        await trio.sleep(SETTLE_S + 1)
        assert "engine-1" not in view_client.cluster_view.endpoints

    async def test_new_leader_sends_whole_lists_again_and_again(
        self, harness, autojump_clock
    ):
        """For four seconds each of 82 entries polled a new leader every 0.2 s, and
        each answer held all endpoints and entries: all of its processor's time."""
        entries = [harness.start_entry(f"e{number}") for number in range(82)]
        view_server = await harness.get_view_server()
        view_server.record_announcement(build_announcement())
        await trio.sleep(SETTLE_S + 1)
        harness.cluster.kill(view_server.member.name)
        get_metrics().reset()
        await harness.cluster.wait_leader()
        await trio.sleep(SETTLE_S + 2)
        assert get_metrics().get_count("views_sent", whole="True") <= 2 * len(entries)
        view_server = await harness.get_view_server()
        for entry in entries:
            max_age_s = 2 * get_poll_wait_s(len(entries)) + 0.1
            assert entry.cluster_view.get_age_s() < max_age_s
            assert not entry.cluster_view.endpoints
            assert len(entry.cluster_view.entries) == len(entries)

    async def test_weight_versions_only_increase(self, harness, autojump_clock):
        view_server = await harness.get_view_server()
        await view_server.set_desired_version("m", 3)
        await view_server.set_desired_version("m", 2)
        assert view_server.member.catalogue.desired["m"].ordinal == 3

    async def test_age_counts_from_send_time_of_call(self, harness, autojump_clock):
        """A long poll may be held open before it is answered, so the content of the
        answer may be as old as the call; counting from the answer would hide that."""
        view_client = harness.start_entry("e1")
        await harness.get_view_server()
        await trio.sleep(SETTLE_S + 2)
        for _ in range(40):
            await trio.sleep(0.05)
            assert 0 < view_client.cluster_view.get_age_s() < 2 * MIN_POLL_WAIT_S + 0.1
        ages = []
        for name in NAMES:
            harness.cluster.kill(name)
        for _ in range(20):
            await trio.sleep(0.1)
            ages.append(view_client.cluster_view.get_age_s())
        assert ages[-1] > 2.0

    async def test_a_new_entry_does_not_know_what_endpoints_told_the_others(
        self, harness, autojump_clock
    ):
        """Endpoints that fall over if they have to reject say so in their answers
        only; an entry that starts during an overload gets rejections first."""
        told = harness.start_entry("e1")
        told.list_limited_services = lambda: ("guide",)
        await trio.sleep(SETTLE_S + 1)
        started = harness.start_entry("e2")
        await trio.sleep(MIN_POLL_WAIT_S)
        assert started.cluster_view.limited_services == {"guide"}
        told.list_limited_services = tuple
        await trio.sleep(get_entry_timeout_s(2) + 2 * MIN_POLL_WAIT_S)
        assert not started.cluster_view.limited_services


class TestRollouts:
    def test_an_older_record_replaces_a_newer_one(self):
        """A member that lags answers after one that knows the verdict."""
        view = ClusterView()
        running = SoftwareRollout("guide", "v2", 9000, 1000, ("v1",))
        ended = evolve(running, state="rolled_back")
        following = evolve(running, started_ms=2000)
        answer = build_answer()
        for rollout in (running, ended, running, evolve(running, stage="full")):
            view.apply(evolve(answer, rollouts=(rollout,)))
        assert view.rollouts == {"guide": ended}
        view.apply(evolve(answer, rollouts=(following,)))
        view.apply(evolve(answer, rollouts=(ended,)))
        view.apply(evolve(answer, rollouts=()))
        view.apply(answer)
        assert view.rollouts == {"guide": following}
