"""Keeps what was acknowledged to endpoints that leave, on the leading state member.

An acknowledgement promises that an endpoint that left, or is leaving, gets no further
requests. The promise is in the replicated log before it is given. A later leader then
recognises announcements that were sent earlier and arrive late, and tells the entries
that may have missed the departure, as long as it has not heard of all endpoints.
"""

import eliot
from attrs import define, field

from medlarrail.cluster.departures import DEPARTED_RETENTION_S
from medlarrail.core.announcements import Announcement, EndpointMark
from medlarrail.state.operations import Envelope, NoOperation

REMOVAL_INTERVAL_S = 10.0
"""Shortest time between two removals, each of which is a log entry."""


@define(eq=False)
class EndpointMarks:
    """Adds and removes marks for ``view_server``, which leads."""

    view_server: "ClusterViewServer"  # noqa: F821
    _seen_at: dict[EndpointMark, float] = field(factory=dict)
    """When this leader first saw a mark, which need not be when it was made."""
    _removed_at: float = float("-inf")

    def clear(self) -> None:
        """Forget what was seen in an earlier leadership."""
        self._seen_at.clear()

    def find(self, name: str) -> EndpointMark | None:
        """Return the mark of an endpoint."""
        return self.view_server.member.catalogue.endpoint_marks.get(name)

    def list_marks(self) -> tuple[EndpointMark, ...]:
        """Return the marks of all endpoints, also those of earlier leaders."""
        return tuple(self.view_server.member.catalogue.endpoint_marks.values())

    def is_outdated(self, announced: Announcement) -> bool:
        """Return whether an announcement was sent before the endpoint's mark."""
        mark = self.find(announced.name)
        return mark is not None and mark.is_outdated(announced)

    async def mark_leaving(self, announced: Announcement) -> None:
        """Mark an endpoint that announces that it is leaving, unless it was marked."""
        mark = self.find(announced.name)
        record = self.view_server.registry.endpoints.get(announced.name)
        if (
            mark is not None
            and mark.started_ms == announced.started_ms
            and record is not None
            and record.announced.state == announced.state
        ):
            return
        await self._commit(
            EndpointMark(announced.name, announced.started_ms, announced.sequence)
        )

    async def mark_gone(self, name: str, now_ms: int) -> None:
        """Mark an endpoint that departed, unless this leader did so already.

        Of an unknown endpoint each incarnation up to ``now_ms`` is gone.
        """
        registry = self.view_server.registry
        mark = self.find(name)
        record = registry.endpoints.get(name)
        if record is None and name in registry.departures and mark and mark.gone:
            return
        if record is not None:
            started_ms = record.announced.started_ms
        else:
            started_ms = max(now_ms, mark.started_ms if mark else 0)
        await self._commit(EndpointMark(name, started_ms, gone=True))

    async def _commit(self, mark: EndpointMark) -> None:
        began_at = self.view_server.clock()
        operation = NoOperation(marks=(mark,))
        outcome = await self.view_server.member.propose(Envelope(operation))
        eliot.log_message(
            "endpoint:marked",
            **mark.log_fields,
            index=outcome.index,
            waited_s=round(self.view_server.clock() - began_at, 3),
        )

    async def remove_expired(self) -> None:
        """Remove the marks that no late message can need any more."""
        now = self.view_server.clock()
        marks = set(self.list_marks())
        for mark in self._seen_at.keys() - marks:
            del self._seen_at[mark]
        for mark in marks:
            self._seen_at.setdefault(mark, now)
        expired = tuple(
            mark
            for mark, seen_at in self._seen_at.items()
            if now - seen_at > DEPARTED_RETENTION_S
        )
        if expired and now - self._removed_at > REMOVAL_INTERVAL_S:
            self._removed_at = now
            operation = NoOperation(removed_marks=expired)
            await self.view_server.member.propose(Envelope(operation))
