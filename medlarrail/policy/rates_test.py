"""Tests of shared limits; each replays a load pattern."""

import random

from medlarrail.policy.rates import ColdBound, RetryBudget, SlidingCount

ENTRIES = 7


class TestSlidingCount:
    def test_it_never_counts_less_than_the_window(self):
        rng = random.Random(3)
        count = SlidingCount(1.0)
        times = []
        now = 0.0
        for _ in range(3000):
            now += rng.expovariate(40)
            count.add(now)
            times.append(now)
            exact = sum(now - one < 1.0 for one in times[-200:])
            assert count.get(now) >= exact

    def test_old_events_go(self):
        count = SlidingCount(1.0)
        count.add(0.0, 5)
        assert count.get(0.5) == 5
        assert count.get(1.2) == 0


class TestRetryBudget:
    def replay_storm(self, entries, seconds=30, per_s=50, failing=1.0):
        """All requests fail for a while and every entry wants to repeat them;
        return the most repeats that any window of ten seconds saw, with the
        requests of that window."""
        rng = random.Random(5)
        budgets = [RetryBudget(10.0, 0.2, 54.0) for _ in range(entries)]
        requests, repeats = [], []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(per_s)
            budget = rng.choice(budgets)
            budget.note_request(now)
            requests.append(now)
            if rng.random() < failing and budget.spend(now, entries):
                repeats.append(now)
        worst = float("-inf")
        for end in range(5, seconds):
            asked = sum(end - 10 < one <= end for one in requests)
            again = sum(end - 10 < one <= end for one in repeats)
            worst = max(worst, again - (0.2 * asked + 54))
        return worst, len(repeats)

    def test_a_storm_keeps_within_the_budget_of_all(self):
        worst, repeats = self.replay_storm(ENTRIES)
        assert worst < 0
        assert repeats > 100

    def test_entries_that_come_unannounced_do_not_break_it(self):
        budgets = [RetryBudget(10.0, 0.2, 54.0) for _ in range(ENTRIES + 2)]
        spent = sum(
            budget.spend(1.0, ENTRIES) for budget in budgets for _ in range(100)
        )
        assert spent <= 54

    def test_a_quiet_service_may_repeat_a_little(self):
        assert RetryBudget(10.0, 0.2, 54.0).spend(0.0, ENTRIES)


class TestColdBound:
    def test_a_burst_on_a_cold_endpoint_keeps_within_its_rate(self):
        """A data centre comes back cold while many callers come at once."""
        rng = random.Random(9)
        entries = [ColdBound() for _ in range(ENTRIES)]
        sent = []
        now = 0.0
        while now < 5.0:
            now += rng.expovariate(400)
            entry = rng.choice(entries)
            if entry.may_send(now, 28 * 0.6, ENTRIES):
                entry.note_sent(now)
                sent.append(now)
        worst = max(sum(one - 1.0 < at <= one for at in sent) for one in sent)
        assert worst <= 28 * 1.5 + 5
        assert len(sent) > 5 * 10
