"""Tests of the use of old weights under replayed load patterns."""

from medlarrail.policy.weight_use import (
    OLD_WEIGHTS_GRACE_S,
    OLD_WEIGHTS_LIMIT_S,
    choose_versions,
)


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
