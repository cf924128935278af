"""Tests of counters and histograms."""

import pytest

from medlarrail.core.errors import InvariantViolation
from medlarrail.core.invariants import VIOLATIONS_METRIC, require
from medlarrail.core.metrics import Metrics, get_metrics
from medlarrail.core.prometheus import format_prometheus


class TestMetrics:
    def test_counts_are_summed_over_missing_labels(self):
        metrics = Metrics()
        metrics.count("refusals", reason="overloaded", account="lea")
        metrics.count("refusals", reason="draining", account="lea")
        assert metrics.get_count("refusals") == 2
        assert metrics.get_count("refusals", reason="draining") == 1

    def test_prometheus_text_holds_counters_and_quantiles(self):
        metrics = Metrics()
        metrics.count("refusals", reason="overloaded")
        metrics.observe("first_token", 0.25)
        text = format_prometheus(metrics).decode()
        assert 'medlar_refusals_total{reason="overloaded"} 1.0' in text
        assert 'medlar_first_token_seconds{quantile="0.95"}' in text


class TestRequire:
    def test_a_broken_invariant_is_counted_and_raised(self):
        before = get_metrics().get_count(VIOLATIONS_METRIC, invariant="example")
        with pytest.raises(InvariantViolation):
            require(False, "example")
        assert (
            get_metrics().get_count(VIOLATIONS_METRIC, invariant="example")
            == before + 1
        )
        get_metrics().reset()
