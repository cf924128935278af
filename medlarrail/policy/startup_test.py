"""Tests of the wait for an entry that has just started, with the load replayed."""

import random

from medlarrail.policy.startup import MAX_HELD, MAX_HOLD_S, START_S, get_hold_s

READY_S = 0.7
"""Time after which a leader and the first endpoints are known."""
RETRY_AFTER_S = 1.5
DEADLINES_S = (1.5, 3.0, 12.0)
AIM_S = 0.8


def replay_power_loss(seed: int, held_back: bool) -> tuple[float, float]:
    """Return the shares of callers that are served, and served within the aim.

    Half of the callers lost a connection and have no try left; the others come back
    once after a refusal.
    """
    rng = random.Random(seed)
    served = in_time = 0
    count = 400
    for _ in range(count):
        at = rng.uniform(0, 1.0)
        left_s = rng.choice(DEADLINES_S)
        last_try = rng.random() < 0.5
        hold_s = get_hold_s(at, left_s, 0) if held_back else 0.0
        if at + hold_s >= READY_S:
            served += 1
            in_time += max(0.0, READY_S - at) <= AIM_S
        elif not last_try:
            served += at + RETRY_AFTER_S >= READY_S and left_s > RETRY_AFTER_S
    return served / count, in_time / count


class TestHold:
    def test_callers_are_refused_just_before_an_entry_is_ready(self):
        """All machines come back from a loss of power, and callers with them."""
        before = [replay_power_loss(seed, held_back=False) for seed in range(50)]
        after = [replay_power_loss(seed, held_back=True) for seed in range(50)]
        assert sum(served for served, _ in before) / 50 < 0.7
        assert sum(served for served, _ in after) / 50 > 0.9
        assert sum(in_time for _, in_time in after) / 50 > 0.85

    def test_an_old_entry_holds_requests(self):
        """It lost its leader or its endpoints, and nothing says that they return."""
        assert get_hold_s(START_S, 10.0, 0) == 0

    def test_a_request_is_held_to_its_deadline(self):
        for left_s in (0.1, 0.5, 2.0, 10.0):
            assert get_hold_s(0.0, left_s, 0) <= min(left_s / 2, MAX_HOLD_S)

    def test_held_requests_grow_without_bound(self):
        assert get_hold_s(0.0, 2.0, MAX_HELD) == 0
