"""Tests of the fair queue."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from medlarrail.ownership.fairness import FairQueue, get_queue_weight


def serve(queue: FairQueue, count: int) -> Counter:
    return Counter(queue.pop().account for _ in range(count))


class TestFairQueue:
    def test_capacity_is_shared_by_weight(self):
        queue = FairQueue()
        for number in range(300):
            queue.add(f"a{number}", "a", 3.0)
            queue.add(f"b{number}", "b", 1.0)
        served = serve(queue, 200)
        assert 145 <= served["a"] <= 155

    def test_a_single_account_gets_the_whole_capacity(self):
        queue = FairQueue()
        for number in range(10):
            queue.add(f"a{number}", "a", 0.1)
        assert serve(queue, 10)["a"] == 10

    def test_an_idle_account_earns_no_credit(self):
        queue = FairQueue()
        for number in range(100):
            queue.add(f"a{number}", "a", 1.0)
        serve(queue, 50)
        for number in range(50):
            queue.add(f"b{number}", "b", 1.0)
        served = serve(queue, 20)
        assert 8 <= served["b"] <= 12

    def test_priority_multiplies_the_share(self):
        assert get_queue_weight(2.0, 1) == 4 * get_queue_weight(2.0, 0)

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.sampled_from("abc"), min_size=1, max_size=80))
    def test_no_account_starves(self, accounts):
        queue = FairQueue()
        weights = {"a": 100.0, "b": 1.0, "c": 0.01}
        for number, account in enumerate(accounts):
            queue.add(str(number), account, weights[account])
        served = serve(queue, len(accounts))
        assert served == Counter(accounts)
        assert len(queue) == 0
