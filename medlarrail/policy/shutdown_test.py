"""Tests of the decision which requests are sent during a shutdown."""

import random

from medlarrail.policy.shutdown import RECENT_RUNS, RunTimes, may_send

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


class TestShutdown:
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
