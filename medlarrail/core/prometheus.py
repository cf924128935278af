"""Metrics in the Prometheus text format.

The client library is large, so a daemon imports this module at the first scrape.
"""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

from medlarrail.core.metrics import PERCENTILES, Metrics


class _Collector:
    """Adapts ``Metrics`` to the Prometheus client library."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self):
        families: dict[str, CounterMetricFamily] = {}
        label_names = self._get_label_names()
        for sample in self._metrics.iterate_samples():
            names = label_names[sample.name]
            if sample.name not in families:
                families[sample.name] = CounterMetricFamily(
                    f"medlar_{sample.name}", sample.name, labels=names
                )
            values = dict(sample.labels)
            families[sample.name].add_metric(
                [values.get(name, "") for name in names], sample.value
            )
        yield from families.values()
        for name, value in self._metrics.iterate_gauges():
            yield GaugeMetricFamily(f"medlar_{name}", name, value=value)
        yield from self._collect_histograms()

    def _get_label_names(self) -> dict[str, list[str]]:
        names_by_metric: dict[str, set[str]] = {}
        for sample in self._metrics.iterate_samples():
            names_by_metric.setdefault(sample.name, set()).update(dict(sample.labels))
        return {name: sorted(labels) for name, labels in names_by_metric.items()}

    def _collect_histograms(self):
        for name in self._metrics.iterate_histogram_names():
            family = SummaryMetricFamily(f"medlar_{name}_seconds", name)
            for percentile in PERCENTILES:
                family.add_sample(
                    f"medlar_{name}_seconds",
                    {"quantile": str(percentile / 100)},
                    self._metrics.get_percentile(name, percentile),
                )
            family.add_sample(
                f"medlar_{name}_seconds_count",
                {},
                self._metrics.get_observation_count(name),
            )
            yield family


def format_prometheus(metrics: Metrics) -> bytes:
    """Return ``metrics`` in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)
