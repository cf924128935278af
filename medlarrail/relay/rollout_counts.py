"""Counts of one entry's answers during a rollout, by route and version side."""

from bisect import bisect_left

from attrs import define, field

from medlarrail.core.software_rollouts import LATENCY_BOUNDS_MS, RolloutCounts


@define
class SideCounts:
    """Answers to one route's requests at the target or at the replaced versions."""

    answers: int = 0
    failures: int = 0
    latencies: list[int] = field(factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1))

    def build_counts(self, route: str, is_target: bool) -> RolloutCounts:
        """Return the counts as they are reported."""
        latencies = tuple(self.latencies) if any(self.latencies) else ()
        return RolloutCounts(route, is_target, self.answers, self.failures, latencies)


@define
class AnswerCounts:
    """All answers since this entry learned of a rollout."""

    _sides: dict[tuple[str, bool], SideCounts] = field(factory=dict)

    def record(
        self, route: str, is_target: bool, failed: bool, seconds: float | None
    ) -> None:
        """Count one answer; ``seconds`` is None if its time says nothing."""
        side = self._sides.get((route, is_target))
        if side is None:
            side = self._sides[route, is_target] = SideCounts()
        side.answers += 1
        if failed:
            side.failures += 1
        elif seconds is not None:
            side.latencies[get_latency_class(seconds)] += 1

    def list_counts(self) -> tuple[RolloutCounts, ...]:
        """Return the counts of all routes."""
        return tuple(
            side.build_counts(route, is_target)
            for (route, is_target), side in sorted(self._sides.items())
        )


def get_latency_class(seconds: float) -> int:
    """Return the index of the class of an answer time.

    >>> get_latency_class(0.005), get_latency_class(0.0051), get_latency_class(60.0)
    (0, 1, 14)
    """
    return bisect_left(LATENCY_BOUNDS_MS, seconds * 1000)
