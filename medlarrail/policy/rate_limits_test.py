"""Tests of shared rate limits under replayed load patterns."""

import random

import pytest

from medlarrail.policy.rate_limits import RetryBudget, SendLimit, SendRate, SlidingCount
from medlarrail.policy.shares import get_share

ENTRIES = 7


class TestSlidingCount:
    def test_count_is_never_below_the_exact_window(self):
        rng = random.Random(3)
        count = SlidingCount(1.0)
        times = []
        now = 0.0
        for _ in range(3000):
            now += rng.expovariate(40)
            count.add(now)
            times.append(now)
            exact = sum(now - at < 1.0 for at in times[-200:])
            assert count.get(now) >= exact

    def test_old_events_expire(self):
        count = SlidingCount(1.0)
        count.add(0.0, 5)
        assert count.get(0.5) == 5
        assert count.get(1.2) == 0


class TestRetryBudget:
    def replay_storm(self, entries, seconds=30, per_s=50, failing=1.0):
        """Replay failing requests that every entry wants to retry.

        Returns the largest excess over the shared budget in any window of ten
        seconds (negative if always within it), and the total number of retries.
        """
        rng = random.Random(5)
        budgets = [RetryBudget(10.0, 0.2, 54.0) for _ in range(entries)]
        requests, retries = [], []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(per_s)
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            if rng.random() < failing and budget.try_consume(now, entries):
                retries.append(now)
        max_excess = float("-inf")
        for end in range(5, seconds):
            request_count = sum(end - 10 < at <= end for at in requests)
            retry_count = sum(end - 10 < at <= end for at in retries)
            max_excess = max(max_excess, retry_count - (0.2 * request_count + 54))
        return max_excess, len(retries)

    @pytest.mark.parametrize("entries", [1, 7, 12, 82, 390])
    def test_retry_storm_stays_within_the_shared_budget(self, entries):
        max_excess, retries = self.replay_storm(entries, per_s=50 * entries / ENTRIES)
        assert max_excess < 0
        assert retries > 100 * entries / ENTRIES

    def test_unannounced_entries_stay_within_the_budget(self):
        budgets = [RetryBudget(10.0, 0.2, 54.0) for _ in range(ENTRIES + 2)]
        spent = sum(
            budget.try_consume(1.0, ENTRIES) for budget in budgets for _ in range(100)
        )
        assert spent <= 54

    def test_idle_service_may_retry(self):
        assert RetryBudget(10.0, 0.2, 54.0).try_consume(0.0, ENTRIES)


class TestSendRate:
    def test_burst_on_a_cold_endpoint_stays_within_its_rate(self):
        """A data centre returns with cold endpoints while many callers send at once."""
        rng = random.Random(9)
        entries = [SendRate() for _ in range(ENTRIES)]
        sent = []
        now = 0.0
        while now < 5.0:
            now += rng.expovariate(400)
            rank = rng.randrange(ENTRIES)
            if entries[rank].may_send(now, SendLimit(get_share(16, ENTRIES, rank))):
                entries[rank].record_sent(now)
                sent.append(now)
        max_rate = max(sum(end - 1.0 < at <= end for at in sent) for end in sent)
        assert max_rate <= 28 * 1.5 + 5
        assert len(sent) > 5 * 10

    def test_reservations_count_until_they_are_sent_or_given_up(self):
        limit = SendRate()
        with limit.reserve():
            assert limit.may_send(0.0, SendLimit(2))
            assert not limit.may_send(0.0, SendLimit(1))
        assert limit.may_send(0.0, SendLimit(1))
        with limit.reserve():
            limit.record_sent(0.5)
        assert not limit.may_send(1.0, SendLimit(1))
        assert limit.may_send(2.0, SendLimit(1))
