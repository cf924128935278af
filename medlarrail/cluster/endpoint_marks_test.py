"""Tests of what an acknowledgement told an endpoint that leaves."""

import orjson
import pytest
import trio

from medlarrail.cluster.cluster_view_server import SETTLE_S
from medlarrail.cluster.departures import DEPARTED_RETENTION_S
from medlarrail.core.announcements import EndpointMark
from medlarrail.core.codec import decode, encode, from_plain, to_plain
from medlarrail.core.errors import MedlarError
from medlarrail.core.timing import HEARTBEAT_INTERVAL_S
from medlarrail.policy.notification import MAX_POLL_WAIT_S
from medlarrail.protocol.applied_state import APPLIED_STATE_PATH
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
)
from medlarrail.state.catalogue import Catalogue, CatalogueImage
from medlarrail.state.operations import Envelope, LogEntry, NoOperation
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    return started


async def depart(members, name="engine-1"):
    await (await members.get_leader()).register_departure(name)


async def list_ready(members):
    """Return the endpoints that the leader lists as ready."""
    records = (await members.get_leader()).registry.endpoints.values()
    return {
        record.announced.name for record in records if record.announced.state == "ready"
    }


class TestEndpointMarks:
    @pytest.mark.parametrize("change", ["replace_leader", "restart_all"])
    async def test_late_heartbeat_brings_a_departed_endpoint_back(
        self, change, members, autojump_clock
    ):
        """Its departure was known to the previous leader only."""
        await members.announce(sequence=5)
        await depart(members)
        await getattr(members, change)()
        await members.announce(sequence=4)
        assert await list_ready(members) == set()

    @pytest.mark.parametrize("change", ["replace_leader", "restart_all"])
    async def test_late_heartbeat_makes_a_leaving_endpoint_ready(
        self, change, members, autojump_clock
    ):
        await members.announce(sequence=4)
        await members.announce(sequence=5, state="leaving")
        await members.announce(sequence=6, state="leaving")
        await getattr(members, change)()
        await members.announce(sequence=4)
        assert await list_ready(members) == set()

    async def test_late_heartbeat_overtakes_a_second_departure(
        self, members, autojump_clock
    ):
        """The endpoint became ready again in between."""
        await members.announce(sequence=2, state="leaving")
        await members.announce(sequence=5)
        await members.replace_leader()
        await members.announce(sequence=7, state="leaving")
        await members.replace_leader()
        await members.announce(sequence=6)
        assert await list_ready(members) == set()

    async def test_endpoint_that_starts_again_is_listed(self, members, autojump_clock):
        await members.announce(started_ms=1000, sequence=5)
        await depart(members)
        await members.replace_leader()
        await members.announce(started_ms=2000, sequence=1)
        assert await list_ready(members) == {"engine-1"}

    async def test_endpoint_that_stays_is_listed(self, members, autojump_clock):
        await members.announce(sequence=5, state="leaving")
        await members.replace_leader()
        await members.announce(sequence=6)
        assert await list_ready(members) == {"engine-1"}

    async def test_departure_is_acknowledged_before_a_quorum_has_it(
        self, members, autojump_clock
    ):
        await members.announce(sequence=5)
        leader = await members.get_leader()
        members.cluster.network.isolate(leader.member.url)
        with pytest.raises(MedlarError):
            await leader.register_departure("engine-1")
        with pytest.raises(MedlarError):
            await leader.register_announcement(
                build_announcement(
                    name="engine-1", address="engine-1:1", sequence=6, state="leaving"
                )
            )

    async def test_repeated_messages_fill_the_log(self, members, autojump_clock):
        await members.announce(sequence=1)
        member = (await members.get_leader()).member
        index = member.journal.last_index
        for sequence in range(2, 20):
            await members.announce(sequence=sequence, state="leaving")
        for _ in range(5):
            await depart(members)
        assert member.journal.last_index == index + 2

    async def test_marks_are_never_removed(self, members, autojump_clock):
        for number in range(20):
            await members.announce(name=f"engine-{number}")
            await depart(members, f"engine-{number}")
        catalogue = (await members.get_leader()).member.catalogue
        index = catalogue.index
        assert len(catalogue.endpoint_marks) == 20
        await trio.sleep(DEPARTED_RETENTION_S - 1)
        assert len(catalogue.endpoint_marks) == 20
        await trio.sleep(20)
        assert not catalogue.endpoint_marks
        assert catalogue.index <= index + 3

    async def test_marks_stop_an_older_member(self, members, autojump_clock):
        """It cannot apply an operation of a kind that it does not know."""
        await members.announce(sequence=5)
        await depart(members)
        member = (await members.get_leader()).member
        (entry,) = member.journal.get_entries(member.journal.last_index, 1)
        plain = to_plain(entry)
        operation = plain["envelope"]["operation"]
        assert operation.pop("marks")
        del operation["removed_marks"]
        assert operation.pop("rollouts") == []
        assert operation.pop("incarnations") == []
        assert operation == {"kind": "NoOperation"}
        from_plain(plain, LogEntry)

    async def test_marks_are_left_out_of_a_snapshot(self, members, autojump_clock):
        await members.announce(sequence=5)
        await depart(members)
        catalogue = (await members.get_leader()).member.catalogue
        image = decode(encode(catalogue.get_image()), CatalogueImage)
        restored = Catalogue.from_image(image)
        assert set(restored.endpoint_marks) == {"engine-1"}
        assert restored.endpoint_marks == catalogue.endpoint_marks


ENTRY = "entry-1"
REPLACED = 1000
"""Endpoints that are replaced in one release."""
MAX_MARK_BYTES = 150
"""Encoded size of a mark: less than half that of a listed endpoint."""


class TestEntriesThatMissedADeparture:
    """An entry that was suspended or cut off while an endpoint left, and the leader
    that had acknowledged it was replaced."""

    async def miss(self, members, *changes):
        """Return the view of an entry that was cut off during ``changes``."""
        view = members.start_entry(ENTRY).cluster_view
        await members.announce(sequence=4)
        await trio.sleep(SETTLE_S + 1)
        assert view.endpoints["engine-1"].announced.state == "ready"
        members.cluster.network.isolate(f"mem://{ENTRY}")
        await trio.sleep(MAX_POLL_WAIT_S)
        for change in changes:
            await change()
        members.cluster.network.clear_cuts()
        while view.get_age_s() > MAX_POLL_WAIT_S:
            await trio.sleep(0.05)
        assert not (await members.get_leader()).is_settled()
        return view

    @pytest.mark.parametrize("change", ["replace_leader", "restart_all"])
    async def test_endpoint_that_is_gone_is_used(self, change, members, autojump_clock):
        """The new leader had not heard of all endpoints yet, so the entry kept it."""

        async def leave():
            await depart(members)

        view = await self.miss(members, leave, getattr(members, change))
        assert not view.endpoints

    async def test_endpoint_that_is_leaving_is_used(self, members, autojump_clock):
        async def leave():
            await members.announce(sequence=5, state="leaving")

        view = await self.miss(members, leave, members.replace_leader)
        assert view.endpoints["engine-1"].announced.state == "leaving"

    async def test_endpoint_that_left_over_a_minute_before_is_used_for_good(
        self, members, autojump_clock
    ):
        """The leader is the same, and had forgotten the departure."""
        view = members.start_entry(ENTRY).cluster_view
        await members.announce(sequence=4)
        await trio.sleep(SETTLE_S + 1)
        members.cluster.network.isolate(f"mem://{ENTRY}")
        await depart(members)
        for _ in range(int(DEPARTED_RETENTION_S) + 5):
            await members.announce(name="engine-2", sequence=int(trio.current_time()))
            await trio.sleep(1.0)
        members.cluster.network.clear_cuts()
        await trio.sleep(SETTLE_S)
        assert set(view.endpoints) == {"engine-2"}

    async def test_endpoint_that_started_again_is_dropped(
        self, members, autojump_clock
    ):
        async def start_again():
            await depart(members)
            await members.replace_leader()
            await members.announce(started_ms=2000, sequence=1)

        view = await self.miss(members, start_again)
        assert view.endpoints["engine-1"].announced.started_ms == 2000

    async def test_endpoint_that_became_ready_again_is_left_out(
        self, members, autojump_clock
    ):
        async def stay():
            await members.announce(sequence=5, state="leaving")
            await members.announce(sequence=6)
            await members.replace_leader()
            await members.announce(sequence=7)

        view = await self.miss(members, stay)
        assert view.endpoints["engine-1"].announced.state == "ready"

    @pytest.mark.parametrize("gone", [True, False])
    async def test_endpoint_that_left_is_used_until_there_is_a_leader(
        self, members, autojump_clock, gone
    ):
        """Both remaining members stood for election at one moment. The promise to the
        endpoint counts from the change on."""
        view = members.start_entry(ENTRY).cluster_view
        await members.announce(sequence=4)
        await trio.sleep(SETTLE_S + 1)
        network = members.cluster.network
        network.isolate(f"mem://{ENTRY}")
        if gone:
            await depart(members)
        else:
            await members.announce(sequence=5, state="leaving")
        await trio.sleep(MAX_POLL_WAIT_S)
        leader = await members.get_leader()
        members.cluster.kill(leader.member.name)
        network.clear_cuts()
        network.isolate(members.cluster.get_members()[1].url)
        await trio.sleep(2 * MAX_POLL_WAIT_S)
        assert members.cluster.find_leader() is None
        states = [one.announced.state for one in view.endpoints.values()]
        assert states == ([] if gone else ["leaving"])
        assert view.get_age_s() > 2 * MAX_POLL_WAIT_S

    async def test_document_and_weights_are_unknown_until_there_is_a_leader(
        self, members, autojump_clock
    ):
        view = members.start_entry(ENTRY).cluster_view
        await trio.sleep(SETTLE_S + 1)
        network = members.cluster.network
        network.isolate(f"mem://{ENTRY}")
        leader = await members.get_leader()
        await leader.replace_deployment(build_deployment(version=7))
        await leader.set_desired_version("m", 2)
        named_at = trio.current_time()
        await trio.sleep(MAX_POLL_WAIT_S)
        members.cluster.kill(leader.member.name)
        network.clear_cuts()
        network.isolate(members.cluster.get_members()[1].url)
        await trio.sleep(2 * MAX_POLL_WAIT_S)
        assert members.cluster.find_leader() is None
        assert view.get_version() == 7 and view.desired["m"].ordinal == 2
        # A follower applies what is committed with the next append of the leader.
        age_s = trio.current_time() - named_at
        known_s = view.weight_versions.get_ages("m")[2]
        assert age_s - HEARTBEAT_INTERVAL_S - 0.1 <= known_s <= age_s + 0.1

    async def test_entry_does_without_it_at_members_of_the_version_before(
        self, members, autojump_clock
    ):
        for member in members.cluster.get_members():
            routes = members.cluster.network.hosts[member.url]
            routes.routes = [
                route for route in routes.routes if route.path != APPLIED_STATE_PATH
            ]
        view = members.start_entry(ENTRY).cluster_view
        await members.announce(sequence=4)
        await trio.sleep(SETTLE_S + 1)
        await members.replace_leader()
        await members.announce(sequence=5)
        await trio.sleep(MAX_POLL_WAIT_S)
        assert set(view.endpoints) == {"engine-1"}
        assert view.get_age_s() < MAX_POLL_WAIT_S + 0.1

    async def test_marks_of_a_release_fill_the_first_answers(
        self, members, autojump_clock
    ):
        """Each replaced endpoint has one mark, and a settled leader sends none."""
        marks = tuple(
            EndpointMark(f"engine-{number:08x}", 1796677508282, gone=True)
            for number in range(REPLACED)
        )
        leader = await members.get_leader()
        await leader.member.propose(Envelope(NoOperation(marks=marks)))
        await members.replace_leader()
        leader = await members.get_leader()
        peers = members.cluster.network.connect("mem://probe")
        request = ClusterViewRequest("probe", "probe:80", "leith", ready=False)
        sent = []
        for _ in range(2):
            answer = await peers.call(
                leader.member.url, CLUSTER_VIEW_PATH, request, ClusterViewAnswer, 5.0
            )
            sent.append(answer.marks)
            await trio.sleep(SETTLE_S + 1)
        assert set(sent[0]) == set(marks) and sent[1] is None
        plain = [to_plain(mark) for mark in marks]
        assert len(orjson.dumps(plain)) <= REPLACED * MAX_MARK_BYTES
