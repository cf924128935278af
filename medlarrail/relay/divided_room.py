"""The room of endpoints that fall over if they have to reject many requests.

While endpoints of a service say so, each entry has a part of the room of each of them;
see ``policy/admission_room``. An entry that has heard nothing from them, for example
because it has just started, goes by what they told the others.
"""

from collections.abc import Iterator

import eliot
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock
from medlarrail.core.metrics import get_metrics
from medlarrail.core.moving_average import update_mean
from medlarrail.policy.admission_room import STATEMENT_TTL_S, RejectionLimit
from medlarrail.policy.shares import get_share
from medlarrail.relay.entry_rank import EntryRank

HEARSAY_DELAY_S = 2.0
"""Time without an answer of a service after which the statements to others count."""
NO_STATEMENT = RejectionLimit()
"""Stands for an endpoint that has said nothing; never changed."""


@define
class DividedRoom:
    """What the endpoints said, and this entry's part of their room."""

    cluster_view: ClusterView
    rank: EntryRank
    clock: Clock
    _limits: dict[str, RejectionLimit] = field(factory=dict)
    """By endpoint."""
    _named_at: dict[str, float] = field(factory=dict)
    """When an endpoint of a service last said that it bears few rejections."""
    _heard_at: dict[str, float] = field(factory=dict)
    """When an endpoint of a service last said anything of this."""
    _hold_s: dict[str, float] = field(factory=dict)
    """Moving average of the time for which a request occupies an endpoint, by
    service."""

    def _get_limit(self, endpoint: str) -> RejectionLimit:
        return self._limits.get(endpoint, NO_STATEMENT)

    def record_statement(
        self, announced: Announcement, per_s: float | None, is_rejection: bool
    ) -> None:
        """Record the rejections that an endpoint bears, None for any number.

        ``is_rejection`` tells whether it said so in rejecting a request.
        """
        now = self.clock()
        self._heard_at[announced.service] = now
        limit = self._limits.setdefault(announced.name, RejectionLimit())
        if per_s is not None and now - self._get_named_at(announced.service) > (
            STATEMENT_TTL_S
        ):
            get_metrics().count("rejection_limits_named", service=announced.service)
            eliot.log_message(
                "endpoint:rejection-limit", endpoint=announced.name, per_s=per_s
            )
        limit.record(per_s, now)
        if per_s is not None:
            self._named_at[announced.service] = now
            if is_rejection:
                limit.rejected_at = now

    def record_carried_statement(self, service: str, per_s: float | None) -> None:
        """Record the rejections that an endpoint bears by an answer to another entry.

        This entry has no part of the room, so it hears of the end from others.
        """
        self._heard_at[service] = self.clock()
        if per_s is None:
            self._named_at.pop(service, None)
        else:
            self._named_at[service] = self.clock()

    def record_used_up(self, service: str) -> None:
        """Record that another entry has no room left: it is still divided."""
        if service in self._named_at:
            self._named_at[service] = self.clock()

    def _get_named_at(self, service: str) -> float:
        if service in self.cluster_view.limited_services:
            now = self.clock()
            if now - self._heard_at.get(service, float("-inf")) > HEARSAY_DELAY_S:
                return now
        return self._named_at.get(service, float("-inf"))

    def list_limited(self) -> tuple[str, ...]:
        """Return the services whose endpoints told this entry that they are limited."""
        oldest = self.clock() - STATEMENT_TTL_S
        return tuple(name for name, at in self._named_at.items() if at > oldest)

    def is_divided(self, service: str) -> bool:
        """Return whether endpoints of ``service`` fall over if they have to reject."""
        return self.clock() - self._get_named_at(service) < STATEMENT_TTL_S

    def is_limited(self, announced: Announcement) -> bool:
        """Return whether an endpoint falls over if it has to reject much."""
        limit = self._get_limit(announced.name)
        return limit.is_in_force(self.clock(), self._get_named_at(announced.service))

    def may_send(self, announced: Announcement, in_flight: int, now: float) -> bool:
        """Return whether one more request may be sent beside those ``in_flight``."""
        if not self.is_limited(announced):
            return True
        return self.cluster_view.entries_settled and self._get_limit(
            announced.name
        ).has_room(
            now,
            in_flight,
            announced.slots,
            self.cluster_view.entry_count,
            self.rank.get(announced.name),
        )

    def get_part(self, service: str) -> int:
        """Return this entry's part of the room of all endpoints of ``service``."""
        return sum(
            get_share(
                announced.slots,
                self.cluster_view.entry_count,
                self.rank.get(announced.name),
            )
            for announced in self._iterate_ready(service)
        )

    def list_holders(self, service: str) -> set[str]:
        """Return the entries with a part of the room of any endpoint."""
        return {
            entry
            for announced in self._iterate_ready(service)
            for entry in self.rank.list_first(announced.name, announced.slots)
        }

    def _iterate_ready(self, service: str) -> Iterator[Announcement]:
        for endpoint in self.cluster_view.endpoints.values():
            announced = endpoint.announced
            if announced.service == service and announced.state == "ready":
                yield announced

    def record_abandoned(self, announced: Announcement) -> None:
        """Record that a request at an endpoint was given up before its answer ended."""
        limit = self._limits.get(announced.name)
        if limit is not None:
            limit.record_abandoned(self.clock())

    def record_end(self, announced: Announcement, seconds: float) -> None:
        """Record the time for which a request has occupied an endpoint."""
        mean = self._hold_s.get(announced.service, seconds)
        self._hold_s[announced.service] = update_mean(mean, seconds)

    def get_hold_s(self, service: str) -> float:
        """Return the mean time for which a request occupies an endpoint."""
        return self._hold_s.get(service, 0.0)

    def drop(self, endpoint: str) -> None:
        """Forget what a departed endpoint said."""
        self._limits.pop(endpoint, None)
