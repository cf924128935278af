"""Since when weight versions have been named, as far as one process knows.

No request may begin on weights for long after a newer version was acknowledged, so
each process has to know the age of a version that was named before it started, or
while it was suspended or cut off. The log has no times. Members measure from their own
application of the operation, tell each other and the entries the ages, and everybody
keeps the largest. A member that runs applies the operation within a heartbeat; one that
has started again, or got a snapshot, knows the time since then.
"""

from collections.abc import Iterable, Iterator, Mapping

from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.cluster_records import DesiredVersion, VersionAge
from medlarrail.policy.weight_use import OLD_WEIGHTS_LIMIT_S

RETENTION_S = 3 * OLD_WEIGHTS_LIMIT_S
"""Age of a version from which on the ages of lower ones are not kept: requests begin on
none of these anyway."""


@define(eq=False)
class WeightVersions:
    """The times at which versions were named, by model and version."""

    clock: Clock = get_boottime
    _named_at: dict[str, dict[int, float]] = field(factory=dict)

    def record(self, model: str, ordinal: int, named_at: float) -> None:
        """Record that a version was named at ``named_at`` or earlier."""
        now = self.clock()
        versions = self._named_at.setdefault(model, {})
        named_at = min(named_at, now)
        versions[ordinal] = min(named_at, versions.get(ordinal, named_at))
        settled = max(
            (known for known, at in versions.items() if now - at > RETENTION_S),
            default=0,
        )
        for known in [known for known in versions if known < settled]:
            del versions[known]

    def record_desired(self, listed: Iterable[DesiredVersion]) -> None:
        """Record versions that are known now, and may have been named before."""
        for desired in listed:
            if desired.ordinal:
                self.record(desired.model, desired.ordinal, self.clock())

    def record_ages(self, ages: Iterable[VersionAge], measured_at: float) -> None:
        """Record what another process measured at ``measured_at``, on this clock."""
        for age in ages:
            self.record(age.model, age.ordinal, measured_at - age.age_s)

    def iterate_ages(self, measured_at: float) -> Iterator[VersionAge]:
        """Yield the age of each version at ``measured_at``.

        It is negative for one that was named since.
        """
        for model, versions in self._named_at.items():
            for ordinal, named_at in versions.items():
                yield VersionAge(model, ordinal, measured_at - named_at)

    def get_ages(self, model: str) -> Mapping[int, float]:
        """Return the ages of a model's versions in seconds, by version."""
        now = self.clock()
        versions = self._named_at.get(model, {})
        return {ordinal: now - named_at for ordinal, named_at in versions.items()}
