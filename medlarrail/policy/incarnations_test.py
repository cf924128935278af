"""Tests of the incarnation that is taken to have had a connection."""

from itertools import groupby

from attrs import evolve, frozen
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.policy.incarnations import HeardIncarnation, find_incarnation

VERSIONS = ("v1", "v2")
TIMES = st.integers(0, 20).map(float)


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

    def test_late_announcement_names_the_process_before(self):
        """The limit of the evidence: nothing tells when an announcement was sent.

        One that is received after its sender's end counts for the next process, until
        that one announces itself.
        """
        before = HeardIncarnation(0, "v1", first_at=0.0, last_at=10.3)
        assert find_incarnation([before], 10.2, 10.4) is before
        after = HeardIncarnation(0, "v2", first_at=10.5, last_at=10.5)
        assert find_incarnation([before, after], 10.2, 11.0) is None
