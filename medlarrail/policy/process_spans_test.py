"""Tests of the times for which one process had an address."""

from hypothesis import given
from hypothesis import strategies as st

from medlarrail.policy.process_spans import ProcessSpan, ProcessSpans

LIVES = st.lists(
    st.tuples(st.floats(0.001, 9), st.floats(0.001, 9)), min_size=1, max_size=6
)
"""For each process at the address, the time that the address is unused before it, and
the time for which it runs."""


def list_lives(lives: list[tuple[float, float]]) -> list[ProcessSpan]:
    processes = []
    now = 0.0
    for pause_s, run_s in lives:
        processes.append(ProcessSpan(now + pause_s, now + pause_s + run_s))
        now += pause_s + run_s
    return processes


@st.composite
def draw_answered(draw, process: ProcessSpan) -> ProcessSpan:
    """Return the time from the opening of a connection to a request on it."""
    opened_at = draw(st.floats(process.since, process.until))
    return ProcessSpan(opened_at, draw(st.floats(opened_at, process.until)))


class TestProcessSpans:
    @given(LIVES, st.data())
    def test_two_processes_at_one_address_are_taken_for_one(self, lives, data):
        """Answers may be recorded in any order."""
        processes = list_lives(lives)
        answered = [
            (process, data.draw(draw_answered(process)))
            for process in data.draw(st.permutations(processes * 3))
        ]
        spans = ProcessSpans()
        for process, span in answered:
            known = spans.record(span)
            assert process.since <= known.since <= span.since
            assert span.until <= known.until <= process.until
            assert spans.find(span) == known

    def test_connections_that_overlap_are_not_joined(self):
        spans = ProcessSpans()
        spans.record(ProcessSpan(0.0, 2.0))
        spans.record(ProcessSpan(5.0, 7.0))
        assert spans.record(ProcessSpan(1.0, 6.0)) == ProcessSpan(0.0, 7.0)

    def test_connection_without_an_answer_extends_nothing(self):
        spans = ProcessSpans()
        spans.record(ProcessSpan(0.0, 2.0))
        assert spans.find(ProcessSpan(3.0, 3.0)) == ProcessSpan(3.0, 3.0)
