"""Tests of endpoint selection under replayed load patterns."""

import random
from collections import Counter

import pytest
from attrs import evolve

from medlarrail.core.placement import get_weight
from medlarrail.policy.placement import (
    OVERLOAD_FACTOR,
    OVERLOAD_SLACK,
    Candidate,
    choose_by_context,
    choose_least_loaded,
    get_cost,
)
from medlarrail.testing.engine_replay import EndpointLoad, PlacementReplay

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


SHORT = EndpointLoad(
    slowness=(1.0,) * 4 + (2.0,) * 3 + (3.0,) * 3,
    slots=32,
    work_ms=70.0,
    rate=422.0,
    gateways=63,
    target_ms=423.0,
    burst=2.6,
    contexts=40,
    batch_factor=1.5,
)
"""Short prompts on ten engines of one to three times speed."""
SMALL_SHORT = evolve(SHORT, slowness=(1.0, 2.0, 3.0), rate=120.0, gateways=7)
PLAIN = EndpointLoad(
    slowness=(1.0,) * 3, slots=6, work_ms=22.5, rate=170.0, gateways=63, target_ms=155.0
)


def choose_by_mean_cost(candidates, views, now, entry_count, context):
    """Earlier policy: the limit is relative to the mean cost."""
    costs = {
        candidate.name: get_cost(candidate, entry_count) for candidate in candidates
    }
    slack = OVERLOAD_SLACK / min(candidate.slots for candidate in candidates)
    limit = OVERLOAD_FACTOR * sum(costs.values()) / len(costs) + slack
    for candidate in sorted(candidates, key=lambda c: -get_weight(c.name, context)):
        if costs[candidate.name] <= limit:
            return candidate.name
    return min(candidates, key=lambda candidate: costs[candidate.name]).name


def choose_context(candidates, views, now, entry_count, context):
    return choose_by_context(candidates, entry_count, context).name


def choose_plain(candidates, views, now, entry_count, context):
    tie_breaker = f"{now}"
    return choose_least_loaded(candidates, entry_count, tie_breaker).name


class TestReplayedLoad:
    """Every gateway knows an endpoint by its own answers, up to a second old."""

    @pytest.mark.parametrize("load", [SHORT, SMALL_SHORT])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_slow_endpoints_do_not_keep_their_contexts_in_a_burst(self, load, seed):
        before = PlacementReplay(load, choose_by_mean_cost, seed).run()
        after = PlacementReplay(load, choose_context, seed).run()
        assert after.get_late_share() < 0.8 * before.get_late_share()

    @pytest.mark.parametrize("away", [0, 3])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_equal_endpoints_are_as_before(self, away, seed):
        """Also with a quarter of the endpoints away and back."""
        load = evolve(SHORT, slowness=(1.0,) * 10, away=away)
        assert not PlacementReplay(load, choose_context, seed).run().get_late_share()

    @pytest.mark.parametrize("away", [0, 1])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_old_reports_send_no_waves_to_plain_endpoints(self, away, seed):
        """Retries return as a burst to three endpoints, seen by 63 gateways."""
        load = evolve(PLAIN, burst=2.6, away=away)
        assert not PlacementReplay(load, choose_plain, seed).run().get_late_share()
