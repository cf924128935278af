"""The rollouts of all services at this entry, and its requests at each version."""

from collections import Counter

from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import get_wall_time
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import RolloutReport, SoftwareRolloutPolicy
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.service_rollout import ServiceRollout
from medlarrail.relay.version_choice import VersionChoice
from medlarrail.relay.version_sightings import VersionSightings


def get_start_ms() -> int:
    """Return the present time in Unix milliseconds, which identifies a process."""
    return int(get_wall_time() * 1000)


@define(eq=False)
class RolloutTraffic:
    """Applies the rollouts that the cluster view lists."""

    policy: SoftwareRolloutPolicy
    stats: EndpointStats
    epoch: int = field(factory=get_start_ms)
    sightings: VersionSightings = field(init=False)
    _rollouts: dict[str, ServiceRollout] = field(factory=dict)
    _in_flight: Counter[tuple[str, str]] = field(factory=Counter)
    """Requests in flight by service and software version."""

    def __attrs_post_init__(self):
        self.sightings = VersionSightings(self.stats.cluster_view, self.stats.health)

    def find(self, service: str) -> ServiceRollout | None:
        """Return the latest rollout of a service, None if it never had one.

        Counts begin anew with another order; a record older than the one that is
        applied is ignored.
        """
        listed = self.stats.cluster_view.rollouts.get(service)
        known = self._rollouts.get(service)
        if listed is None or (known is not None and known.record is listed):
            return known
        if known is None or known.record.started_ms < listed.started_ms:
            known = ServiceRollout(listed, self.policy, self.stats, self.epoch)
            self._rollouts[service] = known
        elif known.record.sort_key <= listed.sort_key:
            known.record = listed
        known.update_use()
        return known

    def build_choice(self, relayed: "RelayedRequest") -> VersionChoice:  # noqa: F821
        """Return what chooses the software versions for a request."""
        return VersionChoice(relayed, self)

    def begin_attempt(self, announced: Announcement) -> None:
        """Count a request in flight at an endpoint's version."""
        self._in_flight[announced.service, announced.software_version] += 1

    def end_attempt(self, announced: Announcement) -> None:
        """Count a request as ended."""
        key = (announced.service, announced.software_version)
        self._in_flight[key] -= 1
        if not self._in_flight[key]:
            del self._in_flight[key]

    def count_sent(self, announced: Announcement) -> None:
        """Count a request to an endpoint in the metrics."""
        get_metrics().count(
            "rollout_requests",
            service=announced.service,
            version=announced.software_version,
        )

    def list_reports(self) -> list[RolloutReport]:
        """Return a report for each running rollout."""
        rollouts = map(self.find, list(self.stats.cluster_view.rollouts))
        return [self._build_report(item) for item in rollouts if item.is_running]

    def _build_report(self, rollout: ServiceRollout) -> RolloutReport:
        record = rollout.record
        return RolloutReport(
            entry=self.stats.entry,
            epoch=self.epoch,
            service=record.service,
            started_ms=record.started_ms,
            stage=record.stage,
            sent=rollout.sent,
            sent_to_target=rollout.sent_to_target,
            in_flight_replaced=sum(
                self._in_flight[record.service, version]
                for version in set(record.replaced) - {record.target}
            ),
            counts=rollout.counts.list_counts(),
        )

    def refresh(self) -> None:
        """Note changes that no request has brought to notice."""
        self.sightings.refresh()
        for service in list(self.stats.cluster_view.rollouts):
            self.find(service).update_use()
