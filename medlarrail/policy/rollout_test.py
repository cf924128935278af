"""Tests of the rollout of new weights under replayed load patterns."""

import pytest

from medlarrail.policy.rollout import (
    LOAD_TIMEOUT_S,
    OLD_WEIGHTS_GRACE_S,
    OLD_WEIGHTS_LIMIT_S,
    RolloutView,
    choose_endpoints_to_load,
    choose_versions,
)

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


class TestChooseVersions:
    def test_old_weights_serve_while_others_load(self):
        assert choose_versions([2, 2, 1, 1], {2: 3.0}) == [
            "use",
            "use",
            "outdated",
            "outdated",
        ]

    def test_old_weights_are_used_within_the_grace_time(self):
        ages = {2: OLD_WEIGHTS_GRACE_S / 2}
        assert choose_versions([2, 1], ages) == ["use", "use"]

    def test_old_weights_are_avoided_after_the_limit(self):
        ages = {2: OLD_WEIGHTS_LIMIT_S + 0.1}
        uses = choose_versions([2, 1, 1, 1, 1, 1], ages)
        assert uses == ["use", *["avoid"] * 5]

    def test_old_weights_serve_without_an_alternative(self):
        assert choose_versions([1, 1], {2: 100.0}, [1, 1, 1]) == ["use", "use"]

    def test_old_weights_are_used_while_endpoints_with_new_ones_are_busy(self):
        """Only those that could take a request at once counted."""
        assert choose_versions([1, 1], {2: 100.0}, [1, 1, 2]) == ["avoid", "avoid"]

    def test_naming_another_version_begins_the_time_of_the_one_before_anew(self):
        ages = {1: 300.0, 2: OLD_WEIGHTS_LIMIT_S + 0.1, 3: 0.1}
        assert choose_versions([1, 2, 2], ages) == ["avoid", "use", "use"]

    def test_weights_that_were_replaced_twice_serve_like_those_replaced_once(self):
        uses = choose_versions([1, 2], {2: 5.0, 3: OLD_WEIGHTS_GRACE_S / 2})
        assert uses == ["outdated", "use"]

    def test_rollout_overloads_no_endpoint(self):
        """Nine engines at two thirds of their capacity load three at a time for
        1.5 s. Sending all requests to new weights as soon as four have loaded, as
        an earlier version did, exceeds the capacity of those."""
        rate = 9 * 2 / 3

        def get_max_load(use_old):
            max_load = 0.0
            for step in range(4):
                loading = 3 if step < 3 else 0
                versions = [2] * (3 * step) + [1] * (9 - 3 * step - loading)
                uses = choose_versions(versions, {2: 1.5 * (step + 1)})
                serving = [
                    use
                    for use, version in zip(uses, versions, strict=True)
                    if use == "use" or (use_old and use == "outdated")
                ]
                max_load = max(max_load, rate / max(1, len(serving)))
            return max_load

        assert get_max_load(use_old=True) <= 1.0
        assert get_max_load(use_old=False) > 1.5
