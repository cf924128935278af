"""The endpoints that asked this entry for a time without requests."""

import eliot
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import Announcement
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.back_off import BackOff, BackOffPolicy
from medlarrail.relay.entry_rank import EntryRank


@define
class BackOffs:
    """Back-offs by endpoint and incarnation; another incarnation starts without one.

    They are kept while an endpoint is not listed, since it may be listed again. Times
    are in seconds on the caller's clock.
    """

    cluster_view: ClusterView
    rank: EntryRank
    policy: BackOffPolicy = field(factory=BackOffPolicy)
    _back_offs: dict[tuple[str, int], BackOff] = field(factory=dict)

    def get(self, announced: Announcement) -> BackOff | None:
        """Return the back-off from this incarnation of an endpoint, if there is one."""
        return self._back_offs.get((announced.name, announced.started_ms))

    def record_requested(
        self, announced: Announcement, retry_after_s: float, now: float
    ) -> None:
        """Record that an endpoint wants no requests for ``retry_after_s``."""
        key = (announced.name, announced.started_ms)
        back_off = self._back_offs.setdefault(key, BackOff())
        if not back_off.is_active(now):
            get_metrics().count("back_offs_requested", service=announced.service)
            eliot.log_message(
                "endpoint:back-off",
                endpoint=announced.name,
                started_ms=announced.started_ms,
                retry_after_s=retry_after_s,
            )
        duration_s = self.policy.get_duration_s(
            retry_after_s,
            self.cluster_view.entry_count,
            self.rank.get(announced.name),
        )
        back_off.extend(now + duration_s)

    def record_accepted(self, announced: Announcement, now: float) -> None:
        """Record that an endpoint did not reject a request."""
        back_off = self.get(announced)
        if back_off is not None:
            back_off.record_accepted(now)

    def is_active(self, announced: Announcement, now: float) -> bool:
        """Return whether an endpoint wants no requests now."""
        back_off = self.get(announced)
        return back_off is not None and back_off.is_active(now)

    def get_unavailable_reason(
        self, announced: Announcement, unanswered: int, now: float
    ) -> str:
        """Return why nothing may be sent to an endpoint, or an empty string.

        ``unanswered`` is the number of requests in flight whose answers have not begun.
        """
        back_off = self.get(announced)
        if back_off is None or back_off.may_send(now, unanswered):
            return ""
        return "backing off" if back_off.is_active(now) else "returning"

    def drop_ended(self, now: float) -> None:
        """Drop the back-offs that limit nothing any more."""
        ended = [
            key for key, back_off in self._back_offs.items() if back_off.has_ended(now)
        ]
        for key in ended:
            del self._back_offs[key]
