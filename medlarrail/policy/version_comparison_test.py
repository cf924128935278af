"""Tests of the comparison of two software versions."""

import math

import pytest

from medlarrail.policy.version_comparison import (
    Comparison,
    find_slow_class,
    get_bad_odds,
    get_excess_probability,
)


def test_excess_agrees_with_a_binomial_one_if_the_share_is_well_known():
    """Guards against a stated error that is not the one of the comparison."""
    part = Comparison(100, 12, 10_000_000, 500_000, 0.1)
    expected = sum(
        math.comb(100, bad) * 0.05**bad * 0.95 ** (100 - bad) for bad in range(12, 101)
    )
    assert get_excess_probability([part], 0.0) == pytest.approx(expected, rel=1e-2)


def test_a_small_sample_of_the_replaced_version_proves_less():
    """Guards against a share taken as exact that is known from a few answers."""
    known = Comparison(50, 8, 10_000, 200, 0.1)
    sampled = Comparison(50, 8, 50, 1, 0.1)
    assert get_excess_probability([known], 0.0) < 1e-4
    assert get_excess_probability([sampled], 0.0) > 1e-3
    assert get_excess_probability([Comparison(50, 50, 0, 0, 0.1)], 0.0) == 1.0


def test_routes_with_different_shares_do_not_look_bad_together():
    """Guards against a target that gets more of the route whose answers fail more."""
    parts = [Comparison(150, 21, 250, 35, 0.1), Comparison(150, 0, 5000, 0, 0.1)]
    assert get_excess_probability(parts, 0.0) == 1.0


def test_odds_follow_the_answers():
    """Guards against odds that tell nothing, or the opposite."""
    good, bad = Comparison(300, 6, 3000, 60, 0.1), Comparison(300, 36, 3000, 60, 0.1)
    assert get_bad_odds([good], 1.0) < 1e-3
    assert get_bad_odds([bad], 1.0) > 1e3
    assert get_bad_odds([Comparison(0, 0, 3000, 60, 0.1)], 1.0) == pytest.approx(1)
    assert math.isfinite(get_bad_odds([Comparison(10**5, 10**5, 10**6, 0, 0.1)], 9.0))


def test_the_slow_class_is_above_most_usual_answers():
    """Guards against a limit at which answers three times slower look usual."""
    latencies = (0, 0, 0, 10, 200, 600, 180, 10, 0, 0, 0, 0, 0, 0, 0)
    slow_class, loss = find_slow_class(latencies, 0.2)
    assert sum(latencies[slow_class:]) <= 10
    assert loss > 0.15
    assert find_slow_class((*[0] * 14, 50), 0.2)[1] == 0
