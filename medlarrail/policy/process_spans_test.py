"""Tests of the times for which one process had an address."""

from hypothesis import given
from hypothesis import strategies as st

from medlarrail.policy.process_spans import ProcessSpan, add_span, find_span

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
        spans = ()
        for process, span in answered:
            spans = add_span(spans, span)
            known = find_span(spans, span)
            assert process.since <= known.since <= span.since
            assert span.until <= known.until <= process.until

    def test_connections_that_overlap_are_not_joined(self):
        spans = add_span((), ProcessSpan(0.0, 2.0))
        spans = add_span(spans, ProcessSpan(5.0, 7.0, started_ms=1000))
        spans = add_span(spans, ProcessSpan(1.0, 6.0))
        assert spans == (ProcessSpan(0.0, 7.0, started_ms=1000),)

    def test_connection_without_an_answer_extends_nothing(self):
        spans = add_span((), ProcessSpan(0.0, 2.0))
        assert find_span(spans, ProcessSpan(3.0, 3.0)) == ProcessSpan(3.0, 3.0)
