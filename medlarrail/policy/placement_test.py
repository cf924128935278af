"""Tests of endpoint selection under replayed load patterns."""

import random
from collections import Counter

from medlarrail.policy.placement import (
    Candidate,
    choose_by_context,
    choose_least_loaded,
)

ENTRIES = 7


def build_candidates(count=4, **changes):
    return [Candidate(f"e{number}", slots=6, **changes) for number in range(count)]


def replay(choose, slow="", requests=2000):
    """Replay a steady load on four endpoints, of which one may be slow, with the
    exact load reported; return the number of requests per endpoint."""
    counts = Counter()
    running = Counter()
    rng = random.Random(7)
    for number in range(requests):
        for name in list(running):
            served = 0.5 if name != slow else 0.06
            running[name] = max(0, running[name] - served)
        candidates = [
            Candidate(
                f"e{index}",
                in_flight=round(running[f"e{index}"]),
                reported=running[f"e{index}"],
                slots=6,
                relative_latency=8.0 if f"e{index}" == slow else 1.0,
            )
            for index in range(4)
        ]
        chosen = choose(candidates, f"{number}-{rng.random()}")
        counts[chosen.name] += 1
        running[chosen.name] += 1
    return counts


class TestLeastLoaded:
    def test_a_steady_load_is_spread(self):
        counts = replay(
            lambda candidates, tie_breaker: choose_least_loaded(
                candidates, 1, tie_breaker
            )
        )
        assert max(counts.values()) < 1.2 * min(counts.values())

    def test_slow_endpoint_gets_less_than_round_robin(self):
        """Grey failure: one endpoint takes eight times as long per request."""
        counts = replay(
            lambda candidates, tie_breaker: choose_least_loaded(
                candidates, 1, tie_breaker
            ),
            slow="e2",
        )
        round_robin_count = 2000 / 4
        assert counts["e2"] < round_robin_count / 3

    def test_a_failing_endpoint_is_avoided(self):
        candidates = build_candidates(3)
        failing = Candidate("e9", slots=6, failure_rate=0.4)
        for tie_breaker in map(str, range(50)):
            chosen = choose_least_loaded([*candidates, failing], 1, tie_breaker)
            assert chosen is not failing

    def test_suspected_endpoint_is_chosen_last(self):
        suspected = Candidate("e1", slots=6, suspected=True)
        busy = Candidate("e2", in_flight=5, slots=6)
        assert choose_least_loaded([suspected, busy], 1) is busy
        assert choose_least_loaded([suspected], 1) is suspected

    def test_new_weights_are_preferred_unless_much_busier(self):
        old = Candidate("old", slots=6, outdated=True)
        for load, expected in ((0, "new"), (1, "new"), (5, "old")):
            new = Candidate("new", in_flight=load, slots=6)
            assert choose_least_loaded([old, new], 1).name == expected

    def test_no_candidates_returns_none(self):
        assert choose_least_loaded([], 1) is None
        assert choose_by_context([], 1, "c") is None

    def test_own_requests_are_extrapolated_without_a_report(self):
        known = Candidate("e1", in_flight=0, reported=3.0, slots=6)
        unknown = Candidate("e2", in_flight=1, slots=6)
        assert choose_least_loaded([known, unknown], ENTRIES) is known


class TestByContext:
    def test_all_entries_agree(self):
        candidates = build_candidates(9, reported=1.0)
        for context in map(str, range(30)):
            first = choose_by_context(candidates, ENTRIES, context)
            other = choose_by_context(list(reversed(candidates)), 3, context)
            assert first == other

    def test_contexts_are_spread(self):
        candidates = build_candidates(9, reported=1.0)
        counts = Counter(
            choose_by_context(candidates, ENTRIES, str(context)).name
            for context in range(900)
        )
        assert len(counts) == 9 and max(counts.values()) < 150

    def test_busy_preferred_endpoint_is_skipped(self):
        """A hot context overflows to the next endpoints in its ranking."""
        candidates = build_candidates(9, reported=1.0)
        preferred = choose_by_context(candidates, ENTRIES, "hot")
        busy = [
            Candidate(
                candidate.name, slots=6, reported=6.0 if candidate == preferred else 1.0
            )
            for candidate in candidates
        ]
        assert choose_by_context(busy, ENTRIES, "hot").name != preferred.name
