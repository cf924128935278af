"""When this entry first saw each software version of the services."""

import eliot
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import Announcement
from medlarrail.core.metrics import get_metrics
from medlarrail.ownership.path_health import PathHealth
from medlarrail.policy.version_hold import (
    HOLD_S,
    VersionSighting,
    list_held_versions,
)


@define(eq=False)
class VersionSightings:
    """Finds the versions that are held back until an order may have arrived."""

    cluster_view: ClusterView
    health: PathHealth
    _seen_at: dict[str, dict[str, float]] = field(factory=dict)
    """First sight of each version, by service."""
    _latest_at: dict[str, float] = field(factory=dict)
    """Latest first sight, by service."""

    def list_held(self, announced: Announcement, named: tuple[str, ...]):
        """Return the held versions of the service of an endpoint that may be used.

        ``named`` are the versions that the service's rollout names.
        """
        service = announced.service
        seen_at = self._seen_at.setdefault(service, {})
        if announced.software_version not in seen_at:
            self.refresh()
        now = self.cluster_view.clock()
        if len(seen_at) < 2 or now - self._latest_at[service] >= HOLD_S:
            return frozenset()
        return list_held_versions(self._list_usable(service), named, now)

    def _list_usable(self, service: str) -> list[VersionSighting]:
        """Return the versions with an endpoint that is in service and reachable."""
        started_ms: dict[str, int] = {}
        for endpoint in self.cluster_view.endpoints.values():
            announced = endpoint.announced
            if (
                announced.service == service
                and announced.state == "ready"
                and not self.health.is_suspected(announced.name)
            ):
                version = announced.software_version
                earlier = started_ms.get(version, announced.started_ms)
                started_ms[version] = min(earlier, announced.started_ms)
        return [
            VersionSighting(version, self._seen_at[service][version], started)
            for version, started in started_ms.items()
            if version in self._seen_at[service]
        ]

    def refresh(self) -> None:
        """Record versions that are new, and forget those that are listed no more."""
        now = self.cluster_view.clock()
        listed: dict[str, set[str]] = {}
        for endpoint in self.cluster_view.endpoints.values():
            announced = endpoint.announced
            listed.setdefault(announced.service, set()).add(announced.software_version)
        for service, versions in listed.items():
            seen_at = self._seen_at.setdefault(service, {})
            for version in sorted(versions - seen_at.keys()):
                if seen_at:
                    get_metrics().count(
                        "software_versions_seen", service=service, version=version
                    )
                    eliot.log_message(
                        "rollout:version-seen", service=service, version=version
                    )
                seen_at[version] = self._latest_at[service] = now
        for service, seen_at in self._seen_at.items():
            for version in seen_at.keys() - listed.get(service, set()):
                del seen_at[version]
