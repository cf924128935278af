"""Tests of the decision which requests are sent during a shutdown."""

import random

from medlarrail.policy.shutdown import RECENT_RUNS, RunTimes, may_send, must_end

LIMIT_S = 7.3
LAST_ARRIVAL_S = 6.0


def replay_shutdown(seed: int, use_policy: bool) -> tuple[int, int]:
    """Return how many requests were cut and how many refused in one shutdown.

    Requests of one route arrive 2 a second; long prompts wait and run 0.3 to 3.5 s.
    """
    rng = random.Random(seed)
    times = RunTimes()
    for _ in range(RECENT_RUNS):
        times.record("report", rng.uniform(0.3, 3.5))
    cut = refused = 0
    now = rng.expovariate(2)
    while now < LAST_ARRIVAL_S:
        seconds = rng.uniform(0.3, 3.5)
        if use_policy and not may_send(LIMIT_S - now, times.get_longest_s("report")):
            refused += 1
        else:
            cut += now + seconds > LIMIT_S
        now += rng.expovariate(2)
    return cut, refused


BOUNDED_FROM_S = 2.5
DEADLINE_S = 8.0
STREAMS_PER_S = 12
KEPT_ADDRESS_S = (2.0, 6.0)
"""Times for which two thirds and one third of the callers keep an address."""


def replay_streams(seed: int, use_bound: bool) -> tuple[int, int, int]:
    """Return how many late streams were cut and refused, and how many were served.

    Of 64 recent streams none need be as long as the next: most have 6 to 15 events,
    one in 40 has 40, one each 0.1 s. All have a deadline of 8 s.
    """
    rng = random.Random(seed)

    def draw_seconds():
        return 4.0 if rng.random() < 1 / 40 else rng.uniform(0.6, 1.5)

    times = RunTimes()
    for _ in range(RECENT_RUNS):
        times.record("brief", draw_seconds())
    cut = refused = served = 0
    now = rng.expovariate(STREAMS_PER_S)
    while now < LAST_ARRIVAL_S:
        kept_s = KEPT_ADDRESS_S[rng.random() < 1 / 3]
        left_s = LIMIT_S - now
        seconds = draw_seconds()
        if now < kept_s:
            if use_bound and now > BOUNDED_FROM_S:
                sent = must_end(left_s, DEADLINE_S)
            else:
                sent = may_send(left_s, times.get_longest_s("brief"))
            is_cut = now > BOUNDED_FROM_S and seconds > left_s
            refused += not sent
            cut += sent and is_cut
            served += sent and not is_cut
        now += rng.expovariate(STREAMS_PER_S)
    return cut, refused, served


class TestShutdown:
    def test_late_streams_are_longer_than_recent_ones(self):
        """Replays 2000 shutdowns: streams were sent because the recent ones were short,
        and were cut."""
        before = [replay_streams(seed, use_bound=False) for seed in range(2000)]
        after = [replay_streams(seed, use_bound=True) for seed in range(2000)]
        assert sum(cut for cut, _, _ in before) > 50
        assert sum(cut for cut, _, _ in after) == 0
        # Refused are only those of callers that keep an address three times as long.
        extra = sum(refused for _, refused, _ in after) - sum(
            refused for _, refused, _ in before
        )
        late_s = LAST_ARRIVAL_S - BOUNDED_FROM_S
        assert extra / 2000 < STREAMS_PER_S / 3 * late_s

    def test_requests_accepted_late_are_cut(self):
        """Replays 500 shutdowns under load: queues make the answers slow."""
        before = [replay_shutdown(seed, use_policy=False)[0] for seed in range(500)]
        after = [replay_shutdown(seed, use_policy=True) for seed in range(500)]
        assert sum(before) > 500
        assert sum(cut for cut, _ in after) <= 5
        # Requests of the first seconds are served: 2 a second, 2.2 s of them refused.
        assert sum(refused for _, refused in after) / 500 < 2 * 2.5

    def test_a_route_without_runs_is_served(self):
        assert may_send(0.5, RunTimes().get_longest_s("report"))

    def test_old_runs_are_forgotten(self):
        times = RunTimes()
        times.record("report", 9.0)
        for _ in range(RECENT_RUNS):
            times.record("report", 1.0)
        assert times.get_longest_s("report") == 1.0
