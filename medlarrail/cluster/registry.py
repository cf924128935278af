"""The endpoints that announced themselves, as the leading state member has them.

Announcements are soft state: they are repeated every second or so, so a new
leader hears of every living endpoint soon and nothing is written to disk. They
may come late and out of order; the start time and the sequence number decide
which is newer. What left or was replaced is remembered for a while, so that a
late message does not bring it back.
"""

from collections.abc import Iterator

from attrs import define, evolve, field

from medlarrail.core.announcements import Announcement, EndpointNotice, ModelWeights
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.metrics import get_metrics

SILENCE_LIMIT_S = 15.0
"""Silence after which an endpoint is forgotten: twelve announcements in a row.

Entries find out sooner by themselves; an endpoint that only the state members
cannot hear goes on serving until then."""
DEPARTED_KEPT_S = 60.0
"""Time for which a late message of a departed endpoint is recognised."""


@define
class Known:
    """An endpoint and when it was last heard."""

    announced: Announcement
    heard_at: float
    revision: int
    cold_until: float = float("-inf")
    loading: bool = False


@define
class Departed:
    """An endpoint that left or was replaced; late messages are ignored."""

    until_started_ms: int
    at: float
    revision: int


@define
class EndpointRegistry:
    """Endpoints by name; ``revision`` counts the changes."""

    clock: Clock = get_boottime
    revision: int = 0
    known: dict[str, Known] = field(factory=dict)
    departed: dict[str, Departed] = field(factory=dict)

    def note(self, announced: Announcement) -> bool:
        """Take up an announcement; returns whether entries have to be told."""
        if self._is_outdated(announced):
            get_metrics().count("announcements_outdated")
            return False
        self._replace_at_address(announced)
        before = self.known.get(announced.name)
        now = self.clock()
        cold_until = now + announced.cold_ms / 1000
        known = Known(announced, now, self.revision, cold_until)
        if before is not None:
            known.revision = before.revision
            known.loading = before.loading and not _is_restarted(before, announced)
        self.known[announced.name] = known
        self.departed.pop(announced.name, None)
        if before is None or _differs(before, known):
            self.revision += 1
            known.revision = self.revision
            return True
        return False

    def _is_outdated(self, announced: Announcement) -> bool:
        gone = self.departed.get(announced.name)
        if gone is not None and announced.started_ms <= gone.until_started_ms:
            return True
        before = self.known.get(announced.name)
        if before is not None and announced.age_key <= before.announced.age_key:
            return True
        return any(
            other.announced.address == announced.address
            and other.announced.name != announced.name
            and other.announced.started_ms >= announced.started_ms
            for other in self.known.values()
        )

    def _replace_at_address(self, announced: Announcement) -> None:
        """Forget what ran at the address before: it must have ended."""
        for name, other in list(self.known.items()):
            same = other.announced.address == announced.address
            if same and name != announced.name:
                self.depart(name)

    def depart(self, name: str, now_ms: int = 0) -> bool:
        """Forget an endpoint that left; ``now_ms`` dates one not known here."""
        known = self.known.pop(name, None)
        started_ms = known.announced.started_ms if known else now_ms
        if known is None and name in self.departed:
            return False
        self.revision += 1
        self.departed[name] = Departed(started_ms, self.clock(), self.revision)
        return True

    def set_loading(self, name: str, loading: bool) -> bool:
        """Note that an endpoint begins or ends a load of weights."""
        known = self.known.get(name)
        if known is None or known.loading == loading:
            return False
        known.loading = loading
        self.revision += 1
        known.revision = self.revision
        return True

    def note_version(self, name: str, model: str, version: int) -> None:
        """Note a version that an endpoint was seen to have loaded."""
        known = self.known.get(name)
        if known is None:
            return
        models = tuple(
            ModelWeights(model, version) if one.model == model else one
            for one in known.announced.models
        )
        if models != known.announced.models:
            known.announced = evolve(known.announced, models=models)
            self.revision += 1
            known.revision = self.revision

    def expire(self) -> list[str]:
        """Forget what has been silent for long, and return the names."""
        now = self.clock()
        silent = [
            name
            for name, known in self.known.items()
            if now - known.heard_at > SILENCE_LIMIT_S
        ]
        for name in silent:
            self.depart(name)
        for name, gone in list(self.departed.items()):
            if now - gone.at > DEPARTED_KEPT_S:
                del self.departed[name]
        return silent

    def iterate_notices(self, since: int) -> Iterator[EndpointNotice]:
        """Yield the endpoints that changed after revision ``since``."""
        now = self.clock()
        for known in self.known.values():
            if known.revision > since:
                cold_ms = max(0, int((known.cold_until - now) * 1000))
                yield EndpointNotice(
                    known.announced, known.revision, cold_ms, known.loading
                )

    def iterate_departed(self, since: int) -> Iterator[str]:
        """Yield the names of endpoints that left after revision ``since``."""
        for name, gone in self.departed.items():
            if gone.revision > since:
                yield name

    def clear(self) -> None:
        """Forget everything; a new leader starts without any knowledge."""
        self.known.clear()
        self.departed.clear()
        self.revision = 0


def _is_restarted(before: Known, announced: Announcement) -> bool:
    return before.announced.started_ms != announced.started_ms


def _differs(before: Known, after: Known) -> bool:
    """Return whether entries have to know of the change."""
    same = evolve(
        before.announced,
        sequence=after.announced.sequence,
        cold_ms=after.announced.cold_ms,
    )
    was_cold = before.announced.cold_ms > 0
    is_cold = after.announced.cold_ms > 0
    prolonged = after.cold_until > before.cold_until + COLD_TOLERANCE_S
    return same != after.announced or (is_cold and (prolonged or not was_cold))


COLD_TOLERANCE_S = 0.5
"""Differences of a cold start's stated end that are only lags of messages."""
