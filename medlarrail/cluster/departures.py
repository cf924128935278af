"""Endpoints that departed a short while ago, as entries are told of them.

The leading member keeps them in its registry, the other members in their copies of its
view. Each member counts revisions of its own.
"""

from collections.abc import Iterator

from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock, get_boottime

DEPARTED_RETENTION_S = 60.0
"""Time for which late messages of a departed endpoint are recognised."""


@define
class Departure:
    """An endpoint that left or was replaced; its late messages are ignored."""

    last_started_ms: int
    departed_at: float
    revision: int


@define(eq=False)
class Departures:
    """The latest departure of each endpoint, by name.

    A departure is told to the entries that have seen a lower revision. Those that have
    seen less than ``forgotten_revision`` have to be sent all endpoints.
    """

    clock: Clock = get_boottime
    forgotten_revision: int = 0
    """Revision of the latest departure that is not remembered any more."""
    _by_name: dict[str, Departure] = field(factory=dict)

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def record(self, name: str, revision: int, last_started_ms: int = 0) -> None:
        """Record that the incarnations up to ``last_started_ms`` have departed."""
        self._by_name[name] = Departure(last_started_ms, self.clock(), revision)

    def remove(self, name: str) -> None:
        """Drop the departure of an endpoint that has come back, if there was one."""
        self._by_name.pop(name, None)

    def is_late(self, announced: Announcement) -> bool:
        """Return whether an announcement was sent by a departed incarnation."""
        departure = self._by_name.get(announced.name)
        return (
            departure is not None and announced.started_ms <= departure.last_started_ms
        )

    def iterate_names(self, since: int) -> Iterator[str]:
        """Yield the names of endpoints that left after revision ``since``."""
        for name, departure in self._by_name.items():
            if departure.revision > since:
                yield name

    def remove_expired(self) -> None:
        """Forget the departures whose late messages can't arrive any more."""
        now = self.clock()
        expired = [
            name
            for name, departure in self._by_name.items()
            if now - departure.departed_at > DEPARTED_RETENTION_S
        ]
        for name in expired:
            departure = self._by_name.pop(name)
            self.forgotten_revision = max(self.forgotten_revision, departure.revision)

    def clear(self) -> None:
        """Remove all departures; revisions are counted anew."""
        self._by_name.clear()
        self.forgotten_revision = 0
