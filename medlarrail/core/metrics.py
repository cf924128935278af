"""Counters, gauges and latency histograms of one process.

Counters have labels; latencies are recorded in high dynamic range histograms in
microseconds. ``core/prometheus.py`` exports both as text.
"""

from collections import Counter
from collections.abc import Iterator

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1_000_000
MAX_LATENCY_US = 3_600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


@frozen
class Sample:
    """The value of one counter with one set of labels."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: int


def _format_labels(labels: dict[str, str | bool]) -> tuple[tuple[str, str], ...]:
    """Return sorted labels; the export takes values of no other type than text."""
    return tuple(sorted((name, str(value)) for name, value in labels.items()))


@define
class Metrics:
    """The counters and histograms of this process."""

    _counters: Counter = field(factory=Counter)
    _histograms: dict[str, HdrHistogram] = field(factory=dict)
    _gauges: dict[str, float] = field(factory=dict)

    def count(self, name: str, amount: int = 1, **labels: str | bool) -> None:
        """Add ``amount`` to the counter ``name`` with ``labels``."""
        self._counters[name, _format_labels(labels)] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the present value of the gauge ``name``."""
        self._gauges[name] = value

    def iterate_gauges(self) -> Iterator[tuple[str, float]]:
        """Yield the names and values of the gauges in alphabetical order."""
        yield from sorted(self._gauges.items())

    def get_count(self, name: str, **labels: str | bool) -> int:
        """Return the sum of the counter over all label sets that include ``labels``."""
        required = set(_format_labels(labels))
        return sum(
            sample.value
            for sample in self.iterate_samples()
            if sample.name == name and required <= set(sample.labels)
        )

    def iterate_samples(self) -> Iterator[Sample]:
        """Yield every counter, sorted by name and labels."""
        for (name, labels), value in sorted(self._counters.items()):
            yield Sample(name, labels, value)

    def observe(self, name: str, seconds: float) -> None:
        """Record a latency of ``seconds`` in the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_S)))

    def get_percentile(self, name: str, percentile: float) -> float:
        """Return a percentile of the histogram ``name`` in seconds, 0 if unknown."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S

    def get_observation_count(self, name: str) -> int:
        """Return the number of latencies recorded in the histogram ``name``."""
        histogram = self._histograms.get(name)
        return 0 if histogram is None else histogram.get_total_count()

    def iterate_histogram_names(self) -> Iterator[str]:
        """Yield the names of the histograms in alphabetical order."""
        yield from sorted(self._histograms)

    def reset(self) -> None:
        """Delete all counters, gauges and histograms; for tests."""
        self._counters.clear()
        self._gauges.clear()
        self._histograms.clear()


_METRICS = Metrics()


def get_metrics() -> Metrics:
    """Return the metrics of this process."""
    return _METRICS
