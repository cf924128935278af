"""Tests of the incarnation that is taken to have had a connection."""

import random
from collections import Counter
from itertools import groupby

import pytest
from attrs import evolve, frozen
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.policy.incarnations import (
    MAX_CLOCK_STEP_MS,
    HeardIncarnation,
    find_incarnation,
)

VERSIONS = ("v1", "v2")
TIMES = st.integers(0, 20).map(float)
SERIES_COUNT = 20_000
RESTART_S = 0.03
"""Shortest time from the end of a process to the start of the next one."""
ADDRESS = "10.0.0.9:8080"
OTHER_ADDRESS = "10.0.0.10:8080"


@frozen
class Process:
    """One process, and when its announcements were received, in seconds."""

    number: int
    software_version: str
    began_at: float
    ended_at: float
    received: tuple[float, ...]


@st.composite
def build_processes(draw, min_announcements: int) -> tuple[Process, ...]:
    """Return processes that have one address in turn.

    Their announcements are received, after any delay, while they run.
    """
    processes = []
    began_at = 0.0
    for number in range(draw(st.integers(1, 4))):
        ended_at = began_at + draw(TIMES)
        times = st.floats(began_at, ended_at)
        sent = sorted(draw(st.lists(times, min_size=min_announcements, max_size=4)))
        received: list[float] = []
        for sent_at in sent:
            earliest = max([sent_at, *received])
            received.append(draw(st.floats(earliest, ended_at)))
        version = draw(st.sampled_from(VERSIONS))
        process = Process(number, version, began_at, ended_at, tuple(received))
        processes.append(process)
        began_at = ended_at + draw(TIMES)
    return tuple(processes)


@frozen
class LateProcess:
    """One of several processes in turn; announcements are received at any time after.

    ``started_ms`` is by the clock of its VM, which may be set back between two.
    """

    number: int
    began_at: float
    ended_at: float
    started_ms: int
    received: tuple[float, ...]


def build_late_processes(series: random.Random) -> list[LateProcess]:
    """Return processes that have one address in turn, some never heard of."""
    processes = []
    began_at = 0.0
    for number in range(series.randint(1, 4)):
        ended_at = began_at + series.choice((0.1, 1.0, 4.0, 20.0))
        sent = (
            series.uniform(began_at, ended_at) for _ in range(series.choice((0, 1, 3)))
        )
        received = tuple(at + series.choice((0.0, 0.3, 2.0, 10.0)) for at in sent)
        clock_ms = 1 + series.choice((0, MAX_CLOCK_STEP_MS))
        started_ms = int(began_at * 1000) + clock_ms
        process = LateProcess(number, began_at, ended_at, started_ms, received)
        processes.append(process)
        began_at = ended_at + series.choice((RESTART_S, 1.0))
    return processes


def build_heard(
    processes: tuple[Process, ...], until: float, tell_start: bool
) -> list[HeardIncarnation]:
    """Return what a leader has heard; without starts, versions tell them apart."""
    heard = []

    def get_key(process: Process):
        return (process.number if tell_start else 0, process.software_version)

    in_time = (
        evolve(process, received=received)
        for process in processes
        if (received := tuple(at for at in process.received if at <= until))
    )
    for (started_ms, version), group in groupby(in_time, get_key):
        times = [at for process in group for at in process.received]
        heard.append(HeardIncarnation(started_ms, version, min(times), max(times)))
    return heard


class TestFindIncarnation:
    @given(st.booleans(), st.data())
    def test_another_process_is_taken_for_the_one_of_a_connection(
        self, tell_start, data
    ):
        """Neither what the leader has not heard yet nor times that are known only
        within limits may name another one. Without starts, one that is never heard of
        cannot be told from two of the same version before and after it."""
        processes = data.draw(build_processes(0 if tell_start else 1))
        process = data.draw(st.sampled_from(processes))
        opened_at = data.draw(st.floats(process.began_at, process.ended_at))
        closed_at = data.draw(st.floats(opened_at, process.ended_at))
        asked_at = data.draw(st.floats(opened_at, processes[-1].ended_at + 1))
        heard = [
            evolve(
                one,
                first_at=one.first_at + data.draw(TIMES),
                last_at=one.last_at - data.draw(TIMES),
            )
            for one in build_heard(processes, asked_at, tell_start)
        ]
        found = find_incarnation(
            heard, opened_at + data.draw(TIMES), closed_at - data.draw(TIMES)
        )
        if found is not None:
            assert found.software_version == process.software_version
            assert found.started_ms == (process.number if tell_start else 0)

    @given(build_processes(0), st.data())
    def test_process_that_is_heard_of_meanwhile_is_not_found(self, processes, data):
        announcing = [process for process in processes if process.received]
        if not announcing:
            return
        process = data.draw(st.sampled_from(announcing))
        heard_at = data.draw(st.sampled_from(process.received))
        opened_at = data.draw(st.floats(process.began_at, heard_at))
        closed_at = data.draw(st.floats(heard_at, process.ended_at))
        heard = build_heard(processes, processes[-1].ended_at, tell_start=True)
        found = find_incarnation(heard, opened_at, closed_at)
        # Another one that ended or began at this very moment may have been heard, too.
        others = [one for one in processes if one is not process]
        if not any(
            opened_at <= at <= closed_at for one in others for at in one.received
        ):
            assert found.started_ms == process.number

    def test_late_announcements_name_another_process_than_one_that_was_heard_of(self):
        """Nor may they name a process that was not yet there."""
        series = random.Random(1)
        outcomes = Counter()
        for _ in range(SERIES_COUNT):
            processes = build_late_processes(series)
            process = series.choice(processes)
            opened_at = series.uniform(process.began_at, process.ended_at)
            closed_at = series.uniform(opened_at, process.ended_at)
            opened_by = opened_at + series.choice((0.0, 0.1))
            closed_from = closed_at - series.choice((0.0, 0.1))
            heard = {
                one.number: HeardIncarnation(
                    one.started_ms,
                    str(one.number),
                    min(one.received) + series.choice((0.0, 0.1)),
                    max(one.received) - series.choice((0.0, 0.1)),
                    ADDRESS,
                )
                for one in processes
                if one.received
            }
            found = find_incarnation(heard.values(), opened_by, closed_from, ADDRESS)
            own = heard.get(process.number)
            if own and own.first_at <= closed_from and own.last_at >= opened_by:
                assert found in (None, own)
                outcomes["unknown" if found is None else "own"] += 1
            elif found is not None:
                assert int(found.software_version) < process.number
                outcomes["before"] += 1
        assert min(outcomes[kind] for kind in ("own", "unknown", "before")) > 100

    def test_late_announcement_of_the_process_before_hides_the_next_one(self):
        before = HeardIncarnation(1000, "v1", 0.0, 22.5, ADDRESS)
        after = HeardIncarnation(22000, "v2", 22.7, 30.0, ADDRESS)
        heard = [before, after]
        assert find_incarnation(heard, 22.3, 23.0, ADDRESS) is after
        assert find_incarnation(reversed(heard), 22.3, 23.0, ADDRESS) is after

    @pytest.mark.parametrize(
        "changes",
        [
            {"started_ms": 0},
            {"started_ms": 1000 + MAX_CLOCK_STEP_MS},
            {"address": ""},
        ],
    )
    def test_starts_that_tell_no_order_name_the_wrong_process(self, changes):
        """Without a start, or if the clock of the VM may have been set back, and if a
        leader of an older version does not tell that both had the address."""
        before = HeardIncarnation(1000, "v1", 0.0, 22.5, ADDRESS)
        after = HeardIncarnation(22000, "v2", 22.7, 30.0, ADDRESS)
        heard = [before, evolve(after, **changes)]
        assert find_incarnation(heard, 22.3, 23.0, ADDRESS) is None

    def test_starts_of_an_unknown_connection_name_the_latest_process(self):
        before = HeardIncarnation(1000, "v1", 0.0, 22.5, ADDRESS)
        after = HeardIncarnation(22000, "v2", 22.7, 30.0, ADDRESS)
        assert find_incarnation([before, after], 22.3, 23.0) is None

    def test_process_at_another_address_is_taken_for_the_one_of_a_connection(self):
        """One that was suspended was started again elsewhere under its name."""
        suspended = HeardIncarnation(1000, "v1", 0.0, 22.5, ADDRESS)
        restarted = HeardIncarnation(22000, "v2", 22.7, 30.0, OTHER_ADDRESS)
        heard = [suspended, restarted]
        assert find_incarnation(heard, 20.0, 23.0, ADDRESS) is suspended
        assert find_incarnation(heard, 22.6, 24.0, ADDRESS) is None
        assert find_incarnation(heard, 22.6, 24.0, OTHER_ADDRESS) is restarted
        told_no_address = evolve(restarted, address="")
        assert find_incarnation([told_no_address], 22.6, 24.0, ADDRESS)

    def test_late_announcement_names_the_process_before(self):
        """The limit of the evidence: nothing tells when an announcement was sent.

        One that is received after its sender's end counts for the next process, until
        that one announces itself.
        """
        before = HeardIncarnation(0, "v1", first_at=0.0, last_at=10.3)
        assert find_incarnation([before], 10.2, 10.4) is before
        after = HeardIncarnation(0, "v2", first_at=10.5, last_at=10.5)
        assert find_incarnation([before, after], 10.2, 11.0) is None
