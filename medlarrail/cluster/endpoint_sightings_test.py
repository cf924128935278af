"""Tests of what the leading state member tells of endpoints' incarnations."""

import random
from collections import Counter
from collections.abc import Iterator

import pytest
import trio
import trio.testing

from medlarrail.cluster.endpoint_sightings import (
    AWAKE_INTERVAL_S,
    BACKLOG_S,
    MAX_INCARNATIONS,
    MAX_INTERVAL_S,
    RETENTION_S,
    EndpointSightings,
)
from medlarrail.core.errors import NotLeader
from medlarrail.protocol.endpoint_sightings import (
    MAX_SIGHTINGS_WAIT_S,
    SIGHTINGS_PATH,
    Sighting,
    SightingsAnswer,
    SightingsRequest,
)
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers

NAME = "engine-1"

INTERVAL_S = 1.2
"""Interval of announcements, about."""
LIVES = 200
BEATS = 100
MAX_LATE_SHARE = 0.001
"""Share of the announcements of processes that run which may count as earlier."""

WAITERS = 64
"""Streams of one endpoint that ended."""


class StepCounter(trio.abc.Instrument):
    """Counts how often tasks run."""

    count = 0

    def after_task_step(self, task) -> None:
        self.count += 1


def build(version: str = "v1", **changes):
    return build_announcement(name=NAME, software_version=version, **changes)


def list_told(sightings: EndpointSightings, asked_at: float) -> list[Sighting]:
    return list(sightings.iterate(NAME, asked_at))


def build_sighting(started_ms, version, first_age_s, last_age_s) -> Sighting:
    return Sighting(started_ms, version, first_age_s, last_age_s, build().address)


def iterate_beats(series: random.Random, count: int) -> Iterator[float]:
    """Yield the times at which a process announces itself, about steadily."""
    at = series.uniform(0.0, 100.0)
    for _ in range(count):
        yield at
        at += INTERVAL_S * series.uniform(0.9, 1.1)


class TestSightings:
    def test_announcement_of_one_process_begins_another_incarnation(self):
        sightings = EndpointSightings()
        for received_at in (10.0, 11.0, 12.0):
            sightings.record(build(), received_at)
        assert list_told(sightings, 15.0) == [build_sighting(1000, "v1", 5.0, 3.0)]

    @pytest.mark.parametrize("next_one", [build("v2"), build(started_ms=2000)])
    def test_next_process_continues_the_incarnation_before(self, next_one):
        sightings = EndpointSightings()
        sightings.record(build(), 10.0)
        sightings.record(next_one, 12.0)
        key = (next_one.started_ms, next_one.software_version)
        assert list_told(sightings, 15.0) == [
            build_sighting(1000, "v1", 5.0, 5.0),
            build_sighting(*key, 3.0, 3.0),
        ]

    def test_process_at_another_address_continues_the_one_before(self):
        """Its clock told the same start as that of a suspended one of its name."""
        sightings = EndpointSightings()
        sightings.record(build(address="10.0.0.1:80"), 10.0)
        sightings.record(build(address="10.0.0.2:80"), 12.0)
        assert list_told(sightings, 15.0) == [
            Sighting(1000, "v1", 5.0, 5.0, "10.0.0.1:80"),
            Sighting(1000, "v1", 3.0, 3.0, "10.0.0.2:80"),
        ]

    def test_process_with_the_version_of_an_earlier_one_is_taken_for_it(self):
        """No process was there for all of the time from the first to the third."""
        sightings = EndpointSightings()
        for version, received_at in (("v1", 10.0), ("v2", 11.0), ("v1", 12.0)):
            sightings.record(build(version), received_at)
        told = list_told(sightings, 12.0)
        assert [(one.first_age_s, one.last_age_s) for one in told] == [
            (2.0, 2.0),
            (1.0, 1.0),
            (0.0, 0.0),
        ]

    def test_announcement_that_is_recorded_late_sets_the_time_back(self):
        sightings = EndpointSightings()
        for received_at in (10.0, 12.0, 11.0):
            sightings.record(build(), received_at)
        assert list_told(sightings, 12.0) == [build_sighting(1000, "v1", 2.0, 0.0)]

    def test_endpoint_that_starts_again_and_again_fills_memory(self):
        sightings = EndpointSightings()
        for number in range(10):
            sightings.record(build(started_ms=number), float(number))
        told = list_told(sightings, 10.0)
        latest = list(range(10 - MAX_INCARNATIONS, 10))
        assert [one.started_ms for one in told] == latest

    def test_endpoints_that_are_gone_fill_memory(self):
        now = 100.0
        sightings = EndpointSightings(lambda: now)
        sightings.record(build(), 100.0)
        now += RETENTION_S
        sightings.remove_expired()
        assert list_told(sightings, now)
        now += 0.1
        sightings.remove_expired()
        assert not list_told(sightings, now)

    @pytest.mark.parametrize("noted_first", [False, True])
    def test_announcement_that_waited_in_a_suspended_leader_counts_as_later(
        self, noted_first
    ):
        """Its process had ended, and a gateway was connected to the next one."""
        now = 100.0
        sightings = EndpointSightings(lambda: now)
        sightings.note_awake()
        sightings.record(build(), now)
        now += 5.0
        if noted_first:
            sightings.note_awake()
        sightings.record(build(), now)
        (told,) = list_told(sightings, now)
        assert told.last_age_s == 5.0

    def test_announcement_after_a_suspension_is_not_heard_of(self):
        now = 100.0
        sightings = EndpointSightings(lambda: now)
        sightings.note_awake()
        now += 5.0
        while now < 105.0 + BACKLOG_S + AWAKE_INTERVAL_S:
            sightings.note_awake()
            now += AWAKE_INTERVAL_S
        sightings.record(build(), now)
        (told,) = list_told(sightings, now)
        assert told.last_age_s == 0.0

    def test_announcement_before_a_suspension_counts_for_its_begin(self):
        """The log confirmed it only after the suspension."""
        now = 100.0
        sightings = EndpointSightings(lambda: now)
        sightings.note_awake()
        now = 100.09
        sightings.note_awake()
        now = 105.0
        sightings.note_awake()
        sightings.record(build(), 100.05)
        (told,) = list_told(sightings, now)
        assert told.last_age_s == pytest.approx(4.95)

    def test_announcement_after_the_end_of_its_sender_counts_as_received(self):
        """A connection to the next process was open, and the one before was named."""
        series = random.Random(1)
        for _ in range(LIVES):
            sightings = EndpointSightings()
            for sequence, sent_at in enumerate(iterate_beats(series, BEATS)):
                sightings.record(build(sequence=sequence), sent_at)
            late_at = sent_at + INTERVAL_S + series.uniform(0.5, 10.0)
            sightings.record(build(sequence=sequence + 1), late_at)
            (told,) = list_told(sightings, late_at)
            last_at = late_at - told.last_age_s
            assert last_at <= sent_at + MAX_INTERVAL_S
            assert last_at <= sent_at + INTERVAL_S + 0.5

    def test_announcements_that_are_released_together_count_as_received(self):
        """They waited in a link that stalled, and their sender has ended."""
        sightings = EndpointSightings()
        for sequence in range(10):
            sightings.record(build(sequence=sequence), sequence * INTERVAL_S)
        last_at = 9 * INTERVAL_S
        for sequence in (10, 11):
            sightings.record(build(sequence=sequence), 60.0 + 0.01 * sequence)
        (told,) = list_told(sightings, 61.0)
        assert 61.0 - told.last_age_s <= last_at + 2 * MAX_INTERVAL_S + 0.01

    def test_steady_announcements_count_as_earlier_than_received(self):
        series = random.Random(2)
        earlier = []
        for _ in range(LIVES):
            sightings = EndpointSightings()
            for sequence, sent_at in enumerate(iterate_beats(series, BEATS)):
                received_at = sent_at + series.uniform(0.0, 0.1)
                sightings.record(build(sequence=sequence), received_at)
                (told,) = list_told(sightings, received_at)
                earlier.append(told.last_age_s > 1e-6)
        assert sum(earlier) <= MAX_LATE_SHARE * len(earlier)

    @pytest.mark.parametrize("interval_s", [INTERVAL_S, 3.0])
    @pytest.mark.parametrize("count", [0, 1])
    def test_process_that_paused_counts_as_ended(self, interval_s, count):
        """It was suspended, or sends less often. After a few announcements the latest
        counts as at most an interval old, whether or not those that got no answer are
        counted."""
        sightings = EndpointSightings()
        for sequence in range(10):
            sightings.record(build(sequence=sequence), sequence * interval_s)
        resumed_at = 9 * interval_s + 8.0
        for number in range(3):
            received_at = resumed_at + number * interval_s
            sequence = 10 + 6 * count + number
            sightings.record(build(sequence=sequence), received_at)
        (told,) = list_told(sightings, received_at)
        assert told.last_age_s <= interval_s

    def test_announcement_from_before_the_latest_one_counts_as_later(self):
        """A new leader has no other records of the endpoint, and takes it for news."""
        sightings = EndpointSightings()
        sightings.record(build(sequence=5), 10.0)
        sightings.record(build(sequence=4), 12.0)
        (told,) = list_told(sightings, 12.0)
        assert told.last_age_s == 2.0

    @pytest.mark.parametrize("sequence", [1, 20])
    def test_process_without_a_start_counts_on_from_the_one_before(self, sequence):
        sightings = EndpointSightings()
        sightings.record(build(started_ms=0, sequence=10), 10.0)
        sightings.record(build(started_ms=0, sequence=sequence), 12.0)
        (told,) = list_told(sightings, 12.0)
        assert told.last_age_s == 0.0

    async def test_wait_ends_before_the_announcement(self, nursery, autojump_clock):
        sightings = EndpointSightings()
        sightings.record(build(), 10.0)
        other = build_announcement(name="engine-2")
        with trio.fail_after(1):
            await sightings.wait_heard(NAME, 10.0)
        with trio.move_on_after(1) as scope:
            await sightings.wait_heard(NAME, 10.5)
        assert scope.cancelled_caught
        nursery.start_soon(sightings.wait_heard, NAME, 10.5)
        for announced, received_at in ((other, 11.0), (build(), 10.4)):
            await trio.testing.wait_all_tasks_blocked()
            sightings.record(announced, received_at)
        await trio.testing.wait_all_tasks_blocked()
        assert len(nursery.child_tasks) == 1
        sightings.record(build(), 11.0)
        await trio.testing.wait_all_tasks_blocked()
        assert not nursery.child_tasks

    async def test_announcements_of_others_wake_all_who_wait(
        self, nursery, autojump_clock
    ):
        """The leader took processor time for each of them, 1,700 times a second."""
        sightings = EndpointSightings()
        for _ in range(WAITERS):
            nursery.start_soon(sightings.wait_heard, NAME, 10.0)
        await trio.testing.wait_all_tasks_blocked()
        steps = StepCounter()
        trio.lowlevel.add_instrument(steps)
        for number in range(50):
            sightings.record(build_announcement(name=f"other-{number}"), 11.0)
            await trio.testing.wait_all_tasks_blocked()
        assert steps.count < 10 * WAITERS
        sightings.record(build(), 11.0)
        await trio.testing.wait_all_tasks_blocked()
        trio.lowlevel.remove_instrument(steps)
        assert not nursery.child_tasks

    async def test_endpoints_that_were_waited_for_fill_memory(self, autojump_clock):
        sightings = EndpointSightings(lambda: 100.0)
        for number in range(10):
            with trio.move_on_after(1):
                await sightings.wait_heard(f"other-{number}", 10.0)
        sightings.remove_expired()
        assert not sightings._recorded


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    return started


async def ask(members, server, max_age_s=0.0, wait_s=0.0) -> SightingsAnswer:
    client = members.cluster.network.connect("mem://entry")
    request = SightingsRequest(NAME, max_age_s, wait_s)
    return await client.call(
        server.member.url, SIGHTINGS_PATH, request, SightingsAnswer, 5.0
    )


class TestHandler:
    async def test_follower_tells_what_it_heard_as_leader(
        self, members, autojump_clock
    ):
        leader = await members.get_leader()
        followers = [one for one in members.view_servers.values() if one is not leader]
        for follower in followers:
            with pytest.raises(NotLeader):
                await ask(members, follower)

    async def test_followers_wake_up_to_note_that_they_run(
        self, members, autojump_clock, monkeypatch
    ):
        """Ten times a second each, for what the leader alone needs."""
        leader = await members.get_leader()
        noted = Counter()
        note_awake = EndpointSightings.note_awake

        def count(sightings):
            noted[id(sightings)] += 1
            note_awake(sightings)

        monkeypatch.setattr(EndpointSightings, "note_awake", count)
        await trio.sleep(10)
        assert noted.keys() == {id(leader.sightings)}
        assert noted[id(leader.sightings)] >= 9 / AWAKE_INTERVAL_S

    async def test_time_between_two_leaderships_counts_as_a_suspension(
        self, members, autojump_clock
    ):
        """The first announcements counted for the end of the earlier leadership."""
        leader = await members.get_leader()
        await leader.register_announcement(build())
        while True:
            await trio.sleep(5)
            (await members.get_leader()).member.step_down("test")
            if await members.get_leader() is leader:
                break
        await leader.register_announcement(build(sequence=20))
        answer = await ask(members, leader)
        assert answer.sightings[0].last_age_s < 1.0

    @pytest.mark.parametrize("started_ms", [0, 1000])
    async def test_process_that_another_leader_heard_of_is_overlooked(
        self, started_ms, members, autojump_clock
    ):
        """Without starts, those of one version before and after it were taken for one
        that had run all the time. A start tells that it was one."""
        leader = await members.get_leader()
        await leader.register_announcement(build("v1", started_ms=started_ms))
        leader.member.step_down("test")
        await trio.sleep(10)
        while await members.get_leader() is not leader:
            (await members.get_leader()).member.step_down("test")
            await trio.sleep(3)
        heard_at = trio.current_time()
        await leader.register_announcement(
            build("v1", started_ms=started_ms, sequence=20)
        )
        answer = await ask(members, leader)
        (told,) = answer.sightings
        ran_on = told.first_age_s > trio.current_time() - heard_at + 5
        assert ran_on == bool(started_ms)

    async def test_answer_waits_though_the_endpoint_was_heard_of(
        self, members, autojump_clock
    ):
        leader = await members.get_leader()
        await leader.register_announcement(build())
        began_at = trio.current_time()
        answer = await ask(members, leader, max_age_s=1.0, wait_s=1.5)
        assert trio.current_time() - began_at < 0.5
        assert [one.software_version for one in answer.sightings] == ["v1"]

    async def test_answer_comes_before_the_next_announcement(
        self, members, nursery, autojump_clock
    ):
        leader = await members.get_leader()
        await leader.register_announcement(build())
        await trio.sleep(1)

        async def announce_next():
            await trio.sleep(0.7)
            await leader.register_announcement(build("v2", sequence=2))

        nursery.start_soon(announce_next)
        answer = await ask(members, leader, wait_s=1.5)
        assert [one.software_version for one in answer.sightings] == ["v1", "v2"]
        assert answer.sightings[1].first_age_s < 0

    async def test_request_holds_a_handler_for_as_long_as_it_likes(
        self, members, autojump_clock
    ):
        leader = await members.get_leader()
        began_at = trio.current_time()
        assert await ask(members, leader, wait_s=1000.0) == SightingsAnswer()
        waited_s = trio.current_time() - began_at
        assert MAX_SIGHTINGS_WAIT_S <= waited_s < MAX_SIGHTINGS_WAIT_S + 0.5

    async def test_announcement_that_waits_for_the_log_counts_as_later(
        self, members, autojump_clock, monkeypatch
    ):
        """Its process may have ended while the leader could not confirm its lease."""
        leader = await members.get_leader()
        confirm_reads = type(leader.member).confirm_reads

        async def confirm_late(member):
            await trio.sleep(3)
            await confirm_reads(member)

        monkeypatch.setattr(type(leader.member), "confirm_reads", confirm_late)
        received_at = trio.current_time()
        await leader.register_announcement(build())
        answer = await ask(members, leader)
        age_s = trio.current_time() - received_at
        assert answer.sightings[0].last_age_s == pytest.approx(age_s, abs=0.2)
        assert age_s >= 3
