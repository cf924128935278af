"""Tests of what an acknowledgement told an endpoint that leaves."""

import pytest
import trio

from medlarrail.cluster.registry import DEPARTED_RETENTION_S
from medlarrail.core.codec import decode, encode, from_plain, to_plain
from medlarrail.core.errors import MedlarError
from medlarrail.state.catalogue import Catalogue, CatalogueImage
from medlarrail.state.operations import LogEntry
from medlarrail.testing.builders import build_announcement
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
