"""Tests of the rollout of new weights under replayed load patterns."""

import pytest

from medlarrail.policy.rollout import (
    LOAD_TIMEOUT_S,
    RolloutView,
    choose_endpoints_to_load,
)
from medlarrail.policy.weight_use import OLD_WEIGHTS_LIMIT_S

LOAD_S = 1.6
"""Time of a load, with the order before it and the poll that notices its end."""


def build_views(versions, **changes):
    return [
        RolloutView(f"e{number}", "m", version, desired=2, **changes)
        for number, version in enumerate(versions)
    ]


class TestChooseEndpointsToLoad:
    def test_rollout_loads_a_few_at_a_time(self):
        views = build_views([1] * 9)
        rounds = 0
        versions = {view.name: 1 for view in views}
        while min(versions.values()) < 2:
            rounds += 1
            chosen = choose_endpoints_to_load(
                [
                    RolloutView(name, "m", version, 2)
                    for name, version in versions.items()
                ],
                3,
            )
            assert 0 < len(chosen) <= 3
            versions.update(dict.fromkeys(chosen, 2))
        assert rounds == 3

    @pytest.mark.parametrize("count", [36, 70, 1700])
    def test_a_rollout_to_many_endpoints_takes_longer_than_old_weights_may_be_used(
        self, count
    ):
        """Three at a time of 36 took 14 s and more: requests began on old weights
        12 s after the new ones were named."""
        rounds = 0
        versions = {f"e{number}": 1 for number in range(count)}
        while min(versions.values()) < 2:
            rounds += 1
            views = [RolloutView(name, "m", v, 2) for name, v in versions.items()]
            chosen = choose_endpoints_to_load(views, 3)
            assert len(chosen) <= count / 4
            versions.update(dict.fromkeys(chosen, 2))
        assert rounds * LOAD_S <= OLD_WEIGHTS_LIMIT_S

    def test_loads_in_progress_count_against_the_limit(self):
        views = [
            RolloutView("a", "m", 1, 2, loading_s=1.0),
            *build_views([1, 1]),
        ]
        assert len(choose_endpoints_to_load(views, 2)) == 1

    def test_timed_out_load_is_ordered_again(self):
        views = [RolloutView("a", "m", 1, 2, loading_s=LOAD_TIMEOUT_S + 1)]
        assert choose_endpoints_to_load(views, 2) == ["a"]

    def test_leaving_endpoints_are_skipped(self):
        assert not choose_endpoints_to_load(build_views([1, 1], leaving=True), 2)

    def test_silent_endpoints_come_last(self):
        views = [RolloutView("a", "m", 1, 2, silent_s=5.0), RolloutView("b", "m", 1, 2)]
        assert choose_endpoints_to_load(views, 1) == ["b"]

    def test_up_to_date_endpoints_are_skipped(self):
        assert not choose_endpoints_to_load(build_views([2, 2, 3]), 2)
