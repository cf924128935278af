"""Tests of what a leader knows of the endpoints' processes that ran before it led."""

from math import ceil

import pytest
import trio

from medlarrail.cluster import known_incarnations
from medlarrail.cluster.known_incarnations import (
    MAX_REPORTED,
    REPORT_DELAY_S,
    KnownIncarnations,
)
from medlarrail.core.codec import from_plain, to_plain
from medlarrail.core.errors import CommitUnknown
from medlarrail.core.incarnations import EndpointIncarnation
from medlarrail.core.timing import HEARTBEAT_INTERVAL_S
from medlarrail.state.operations import LogEntry, NoOperation
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers

NAME = "engine-1"
LIFE_S = 30.0
"""Time for which an endpoint has run when the leader changes."""
LOG_TIME_S = REPORT_DELAY_S + 2 * HEARTBEAT_INTERVAL_S
"""Time within which all members know an incarnation."""
ENDPOINT_COUNT = 1000


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    return started


async def list_told(members: ViewMembers) -> list[tuple[str, float, float]]:
    """Return the version and the first and last time of each incarnation."""
    leader = await members.get_leader()
    now = trio.current_time()
    return [
        (one.software_version, now - one.first_age_s, now - one.last_age_s)
        for one in leader.sightings.iterate(NAME, now)
    ]


class TestNextLeader:
    @pytest.mark.parametrize("change", ["replace_leader", "restart_all"])
    async def test_running_endpoint_counts_as_started_with_the_leader(
        self, change, members, autojump_clock
    ):
        """Streams that it had begun before could not go on. Members that start again
        know of it from their logs, since they started."""
        began_at = trio.current_time()
        await members.announce("v1", started_ms=1000)
        await trio.sleep(LIFE_S)
        changed_at = trio.current_time()
        await getattr(members, change)()
        await members.get_leader()
        await trio.sleep(1)
        heard_at = trio.current_time()
        await members.announce("v1", started_ms=1000, sequence=30)
        ((version, first_at, last_at),) = await list_told(members)
        assert version == "v1"
        assert last_at == pytest.approx(heard_at, abs=0.01)
        if change == "replace_leader":
            assert began_at < first_at < began_at + LOG_TIME_S
        else:
            assert changed_at < first_at < heard_at

    @pytest.mark.parametrize(
        ("version", "changes"), [("v1", {"started_ms": 2000}), ("v2", {})]
    )
    async def test_next_process_counts_as_having_run_before(
        self, version, changes, members, autojump_clock
    ):
        await members.announce("v1", started_ms=1000)
        await trio.sleep(LIFE_S)
        await members.replace_leader()
        heard_at = trio.current_time()
        await members.announce(version, **{"started_ms": 1000, "sequence": 2} | changes)
        ((_, first_at, _),) = await list_told(members)
        assert first_at >= heard_at

    async def test_late_announcement_counts_from_the_first_one_of_its_sender(
        self, members, autojump_clock
    ):
        """The process after it is known, and is not heard of yet by the new leader."""
        await members.announce("v1", started_ms=1000)
        await trio.sleep(LIFE_S)
        await members.announce("v2", started_ms=2000)
        await trio.sleep(LOG_TIME_S)
        await members.replace_leader()
        heard_at = trio.current_time()
        await members.announce("v1", started_ms=1000, sequence=30)
        ((_, first_at, _),) = await list_told(members)
        assert first_at >= heard_at

    async def test_endpoint_that_tells_no_start_counts_as_one_that_ran_on(
        self, members, autojump_clock
    ):
        """Another one of its version may have ended between the two."""
        member = (await members.get_leader()).member
        index = member.journal.last_index
        await members.announce("", started_ms=0)
        await trio.sleep(LIFE_S)
        assert member.journal.last_index == index
        await members.replace_leader()
        heard_at = trio.current_time()
        await members.announce("", started_ms=0, sequence=30)
        ((_, first_at, _),) = await list_told(members)
        assert first_at >= heard_at


class TestLog:
    async def test_each_announcement_is_written_to_the_log(
        self, members, autojump_clock
    ):
        member = (await members.get_leader()).member
        await members.announce("v1")
        await trio.sleep(1)
        index = member.journal.last_index
        for sequence in range(2, 30):
            await members.announce("v1", sequence=sequence)
            await trio.sleep(1)
        assert member.journal.last_index == index

    async def test_start_of_all_endpoints_takes_an_entry_each(
        self, members, autojump_clock
    ):
        leader = await members.get_leader()
        index = leader.member.journal.last_index
        for number in range(ENDPOINT_COUNT):
            await leader.register_announcement(
                build_announcement(name=f"engine-{number}", address=f"e-{number}:1")
            )
        await trio.sleep(3)
        added = leader.member.journal.last_index - index
        assert added <= ceil(ENDPOINT_COUNT / MAX_REPORTED) + 1
        for view_server in members.view_servers.values():
            assert len(view_server.known_incarnations._known) == ENDPOINT_COUNT

    async def test_entry_that_may_be_lost_is_not_repeated(
        self, members, autojump_clock, monkeypatch
    ):
        leader = await members.get_leader()
        propose = type(leader.member).propose
        failures = [CommitUnknown(), CommitUnknown()]

        async def fail_twice(member, envelope):
            operation = envelope.operation
            if getattr(operation, "incarnations", ()) and failures:
                raise failures.pop()
            return await propose(member, envelope)

        monkeypatch.setattr(type(leader.member), "propose", fail_twice)
        await members.announce("v1")
        await trio.sleep(2)
        for view_server in members.view_servers.values():
            assert set(view_server.known_incarnations._known) == {NAME}

    async def test_incarnations_stop_an_older_member(self, members, autojump_clock):
        """It cannot apply an operation of a kind that it does not know."""
        await members.announce("v1")
        await trio.sleep(1)
        member = (await members.get_leader()).member
        (entry,) = member.journal.get_entries(member.journal.last_index, 1)
        plain = to_plain(entry)
        operation = plain["envelope"]["operation"]
        assert operation.pop("incarnations")
        assert from_plain(plain, LogEntry).envelope.operation == NoOperation()

    def test_endpoints_under_ever_new_names_fill_memory(self, monkeypatch):
        monkeypatch.setattr(known_incarnations, "MAX_ENDPOINTS", 10)

        class ViewServer:
            clock = staticmethod(lambda: 1.0)

        known = KnownIncarnations(ViewServer)
        for number in range(30):
            known.on_applied((EndpointIncarnation(f"engine-{number}", 1000, ""),))
        known.on_applied((EndpointIncarnation("engine-20", 2000, ""),))
        known.on_applied((EndpointIncarnation("engine-30", 1000, ""),))
        names = [f"engine-{number}" for number in (*range(22, 30), 20, 30)]
        assert list(known._known) == names
