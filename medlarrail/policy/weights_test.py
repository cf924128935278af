"""Tests of the roll-out of named weights; each replays a load pattern."""

from medlarrail.policy.weights import (
    LONGEST_LOAD_S,
    OLD_WEIGHTS_S,
    WeightView,
    choose_loads,
    choose_versions,
)


def build_views(versions, **changes):
    return [
        WeightView(f"e{number}", "m", version, wanted=2, **changes)
        for number, version in enumerate(versions)
    ]


class TestChooseLoads:
    def test_a_naming_under_load_takes_a_few_at_a_time(self):
        views = build_views([1] * 9)
        rounds = 0
        versions = {one.name: 1 for one in views}
        while min(versions.values()) < 2:
            rounds += 1
            chosen = choose_loads(
                [WeightView(name, "m", one, 2) for name, one in versions.items()], 3
            )
            assert 0 < len(chosen) <= 3
            versions.update(dict.fromkeys(chosen, 2))
        assert rounds == 3

    def test_loads_under_way_take_places(self):
        views = [
            WeightView("a", "m", 1, 2, loading_s=1.0),
            *build_views([1, 1]),
        ]
        assert len(choose_loads(views, 2)) == 1

    def test_a_load_without_an_end_is_ordered_again(self):
        views = [WeightView("a", "m", 1, 2, loading_s=LONGEST_LOAD_S + 1)]
        assert choose_loads(views, 2) == ["a"]

    def test_those_that_leave_are_left_alone(self):
        assert not choose_loads(build_views([1, 1], leaving=True), 2)

    def test_silent_ones_come_last(self):
        views = [WeightView("a", "m", 1, 2, silent_s=5.0), WeightView("b", "m", 1, 2)]
        assert choose_loads(views, 1) == ["b"]

    def test_nothing_is_ordered_twice(self):
        assert not choose_loads(build_views([2, 2, 3]), 2)


class TestChooseVersions:
    def test_few_new_ones_do_not_carry_everything(self):
        assert all(choose_versions([2, 1, 1, 1, 1], 2, 1.0))

    def test_enough_new_ones_take_all(self):
        assert choose_versions([2, 2, 1, 1], 2, 1.0) == [True, True, False, False]

    def test_after_a_while_old_ones_take_nothing(self):
        allowed = choose_versions([2, 1, 1, 1, 1, 1], 2, OLD_WEIGHTS_S + 0.1)
        assert allowed == [True, False, False, False, False, False]

    def test_old_ones_serve_while_there_is_nothing_else(self):
        assert all(choose_versions([1, 1], 2, 100.0))
