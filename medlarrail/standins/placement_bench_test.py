"""Tests of the comparison of ways to place long prompts."""

from medlarrail.standins.placement_bench import (
    WAYS,
    Deployment,
    play,
    write_chart,
)

MANY_GATEWAYS = Deployment(191, 24)


class TestPlacementBench:
    def test_coordinators_serve_many_gateways_better_than_groups(self):
        groups, coordinators = (
            play(MANY_GATEWAYS, way, seed=1) for way in ("groups", "coordinators")
        )
        assert coordinators.p90_ms < groups.p90_ms
        assert coordinators.messages_per_s < groups.messages_per_s / 3

    def test_no_way_is_better_than_full_knowledge(self):
        small = Deployment(12, 9)
        results = {way: play(small, way, seed=2) for way in WAYS}
        best = min(result.p90_ms for result in results.values())
        assert results["full knowledge"].p90_ms <= 1.05 * best

    def test_the_same_seed_gives_the_same_result(self):
        first, second = (play(Deployment(12, 9), "two choices", 3) for _ in range(2))
        assert first == second

    def test_the_chart_has_a_bar_for_each_result(self, tmp_path):
        results = [play(Deployment(3, 2), "hash", seed) for seed in range(3)]
        write_chart(results, tmp_path / "placement.svg")
        assert (tmp_path / "placement.svg").read_text().count("<rect") == 3
