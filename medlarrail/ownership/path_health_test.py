"""Tests of path back-off and retry budgets."""

from medlarrail.ownership.path_health import (
    MAX_BACK_OFF_S,
    MAX_RETRY_BUDGET,
    PathHealth,
    RetryBudgets,
)


class TestPathHealth:
    def test_a_suspicion_expires(self):
        now = [0.0]
        health = PathHealth(lambda: now[0])
        health.record_failure("engine-1")
        assert health.is_suspected("engine-1")
        assert not health.is_suspected("engine-2")
        now[0] += MAX_BACK_OFF_S
        assert not health.is_suspected("engine-1")

    def test_the_back_off_is_bounded(self):
        now = [0.0]
        health = PathHealth(lambda: now[0])
        for _ in range(50):
            health.record_failure("engine-1")
        now[0] += MAX_BACK_OFF_S
        assert not health.is_suspected("engine-1")


class TestRetryBudgets:
    def test_retries_stay_below_the_ratio_in_the_long_run(self):
        budgets = RetryBudgets()
        spent = 0
        for _ in range(1000):
            budgets.earn("lea", 0.1)
            spent += budgets.spend("lea")
        assert spent <= 100 + MAX_RETRY_BUDGET

    def test_each_account_has_its_own_budget(self):
        budgets = RetryBudgets()
        while budgets.spend("lea"):
            pass
        assert budgets.spend("other")
