"""The endpoints that said in an answer that they are leaving."""

from collections.abc import Container

import eliot
from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock
from medlarrail.core.metrics import get_metrics

RETENTION_S = 60.0
"""Time for which an endpoint is remembered that is not listed: a leader that has just
been elected may list it again from an older announcement."""


@define
class LeavingEndpoints:
    """Incarnations of endpoints that get no more requests from this entry.

    Announcements arrive later than answers, so one that still says that an endpoint is
    ready changes nothing; only another incarnation does.
    """

    clock: Clock
    _seen_at: dict[tuple[str, int], float] = field(factory=dict)
    """When an incarnation last said so, or was last listed."""

    def record(self, announced: Announcement) -> None:
        """Record that an endpoint said that it is leaving."""
        if not self.has(announced):
            get_metrics().count("endpoints_leaving", service=announced.service)
            eliot.log_message(
                "endpoint:leaving",
                endpoint=announced.name,
                started_ms=announced.started_ms,
            )
        self._seen_at[announced.name, announced.started_ms] = self.clock()

    def has(self, announced: Announcement) -> bool:
        """Return whether this incarnation of an endpoint is leaving."""
        return (announced.name, announced.started_ms) in self._seen_at

    def drop_departed(self, listed: Container[str]) -> None:
        """Drop those that have not been ``listed`` by name for some time."""
        now = self.clock()
        for key, seen_at in list(self._seen_at.items()):
            if key[0] in listed:
                self._seen_at[key] = now
            elif now - seen_at > RETENTION_S:
                del self._seen_at[key]
