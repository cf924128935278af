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

    @pytest.mark.parametrize("value", [True, False])
    def test_labels_that_are_truth_values_are_exported(self, value):
        """The export failed from the first one on, for all metrics."""
        metrics = Metrics()
        metrics.count("answers_dropped", is_unread=value)
        assert metrics.get_count("answers_dropped", is_unread=value) == 1
        text = format_prometheus(metrics).decode()
        assert f'medlar_answers_dropped_total{{is_unread="{value}"}} 1.0' in text


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
