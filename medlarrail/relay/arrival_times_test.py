"""Tests of when the end of an answer may have been sent."""

import pytest

from medlarrail.policy.answer_end import MAX_END_DELAY_S
from medlarrail.relay.arrival_times import RELEASE_S, ArrivalTimes

SILENCE_S = 2 * MAX_END_DELAY_S


def build_arrivals(sent_at: float = 100.0) -> ArrivalTimes:
    """Return the times of a request sent at ``sent_at``, without an answer yet."""
    arrivals = ArrivalTimes()
    arrivals.begin(sent_at)
    return arrivals


def receive_part(arrivals: ArrivalTimes, now: float) -> None:
    """Record bytes that arrive while they are awaited."""
    arrivals.record_quiet(now)
    arrivals.record_bytes(now)


class TestArrivalTimes:
    def test_end_after_a_short_pause_counts_from_the_latest_bytes(self):
        arrivals = build_arrivals()
        receive_part(arrivals, 100.01)
        receive_part(arrivals, 100.02)
        arrivals.record_quiet(100.03)
        arrivals.record_end(100.03)
        assert arrivals.end_delay_s == pytest.approx(0.01)
        assert arrivals.end_unread_s == 0.0

    def test_bytes_after_a_silence_are_taken_for_a_sign_of_life(self):
        """A link that held back the latest bytes held back the end behind them."""
        arrivals = build_arrivals()
        receive_part(arrivals, 100.0)
        released_at = 100.0 + SILENCE_S
        receive_part(arrivals, released_at)
        receive_part(arrivals, released_at + RELEASE_S / 2)
        arrivals.record_end(released_at + RELEASE_S / 2)
        assert arrivals.end_delay_s == pytest.approx(SILENCE_S + RELEASE_S / 2)

    def test_process_is_seen_to_run_once_the_link_has_passed_all_on(self):
        arrivals = build_arrivals()
        released_at = 100.0 + SILENCE_S
        receive_part(arrivals, released_at)
        for index in range(1, 5):
            receive_part(arrivals, released_at + index * MAX_END_DELAY_S / 2)
        running_at = released_at + 2 * MAX_END_DELAY_S
        assert running_at >= released_at + RELEASE_S
        arrivals.record_end(running_at)
        assert arrivals.end_delay_s == 0.0

    def test_end_that_waited_here_counts_from_when_nothing_waited(self):
        arrivals = build_arrivals()
        receive_part(arrivals, 100.05)
        arrivals.record_end(100.3)
        assert arrivals.end_unread_s == pytest.approx(0.25)
        assert arrivals.end_silence_s == pytest.approx(0.25)

    def test_times_of_the_answer_before_are_kept_for_the_next_request(self):
        arrivals = build_arrivals()
        arrivals.record_end(107.0)
        arrivals.begin(108.0)
        assert arrivals.end_delay_s == 0.0
        assert arrivals.seen_open_at == 108.0
