"""Registry of announced endpoints on the leading state member.

Announcements are soft state: they are repeated about every second, so a new leader
soon knows every live endpoint and nothing is written to disk. They may arrive late
and out of order; the start time and the sequence number decide which is newer.
Endpoints that left or were replaced are remembered for a while, so that a late
message does not register them again.
"""

from collections.abc import Iterator

from attrs import define, evolve, field

from medlarrail.cluster.departures import Departures
from medlarrail.core.announcements import Announcement, ModelWeights, RegisteredEndpoint
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.metrics import get_metrics

SILENCE_LIMIT_S = 15.0
"""Silence after which an endpoint is removed: twelve missed announcements in a row.

Entries detect a failed endpoint sooner by themselves. An endpoint that is unreachable
only from the state members continues to serve until then."""


@define
class EndpointRecord:
    """An announced endpoint with the time of its last announcement."""

    announced: Announcement
    announced_at: float
    revision: int
    cold_until: float = float("-inf")
    loading: bool = False
    limit_per_s: float | None = None


@define
class EndpointRegistry:
    """Endpoints by name; ``revision`` is incremented on each change."""

    clock: Clock = get_boottime
    revision: int = 0
    endpoints: dict[str, EndpointRecord] = field(factory=dict)
    departures: Departures = field(init=False)
    _names_by_address: dict[str, str] = field(factory=dict)
    """Each address has one endpoint: those before at it are removed."""

    def __attrs_post_init__(self):
        self.departures = Departures(self.clock)

    def record_announcement(self, announced: Announcement) -> bool:
        """Record an announcement; return whether entries have to be notified."""
        if self.is_outdated(announced):
            get_metrics().count("announcements_outdated")
            return False
        self._replace_at_address(announced)
        previous = self.endpoints.get(announced.name)
        now = self.clock()
        cold_until = now + announced.cold_ms / 1000
        record = EndpointRecord(announced, now, self.revision, cold_until)
        if previous is not None:
            record.revision = previous.revision
            if not _is_restarted(previous, announced):
                record.loading = previous.loading
                record.limit_per_s = previous.limit_per_s
            self._forget_address(previous.announced)
        self.endpoints[announced.name] = record
        self._names_by_address[announced.address] = announced.name
        self.departures.remove(announced.name)
        if previous is None or _differs(previous, record):
            self._mark_changed(record)
            return True
        return False

    def is_outdated(self, announced: Announcement) -> bool:
        """Return whether a newer state of the endpoint is known."""
        if self.departures.is_late(announced):
            return True
        previous = self.endpoints.get(announced.name)
        if (
            previous is not None
            and announced.sequence_key <= previous.announced.sequence_key
        ):
            return True
        other = self._find_at_address(announced)
        return other is not None and other.announced.started_ms >= announced.started_ms

    def _find_at_address(self, announced: Announcement) -> EndpointRecord | None:
        """Return the record of another endpoint at this address."""
        name = self._names_by_address.get(announced.address, announced.name)
        return self.endpoints[name] if name != announced.name else None

    def _replace_at_address(self, announced: Announcement) -> None:
        """Remove another endpoint at this address: its process must have ended."""
        other = self._find_at_address(announced)
        if other is not None:
            self.remove(other.announced.name)

    def _forget_address(self, announced: Announcement) -> None:
        if self._names_by_address.get(announced.address) == announced.name:
            del self._names_by_address[announced.address]

    def remove(self, name: str, now_ms: int = 0) -> bool:
        """Remove an endpoint; return False if its departure was already recorded.

        Late messages of an unknown endpoint are ignored if its process started at or
        before ``now_ms``.
        """
        record = self.endpoints.pop(name, None)
        if record is not None:
            self._forget_address(record.announced)
        started_ms = record.announced.started_ms if record else now_ms
        if record is None and name in self.departures:
            return False
        self.revision += 1
        self.departures.record(name, self.revision, started_ms)
        return True

    def _mark_changed(self, record: EndpointRecord) -> None:
        self.revision += 1
        record.revision = self.revision

    def mark_service_changed(self, service: str) -> None:
        """Have the endpoints of ``service`` sent to entries again."""
        for record in self.endpoints.values():
            if record.announced.service == service:
                self._mark_changed(record)

    def set_loading(self, name: str, loading: bool) -> bool:
        """Set whether an endpoint is loading weights; return whether this changed."""
        record = self.endpoints.get(name)
        if record is None or record.loading == loading:
            return False
        record.loading = loading
        self._mark_changed(record)
        return True

    def set_limit(self, name: str, started_ms: int, per_s: float | None) -> bool:
        """Set the rate that an endpoint named; return whether this changed."""
        record = self.endpoints.get(name)
        if record is None or record.announced.started_ms != started_ms:
            return False
        if record.limit_per_s == per_s:
            return False
        record.limit_per_s = per_s
        self._mark_changed(record)
        return True

    def record_version(self, name: str, model: str, version: int) -> None:
        """Record a weight version that an endpoint reported as loaded."""
        record = self.endpoints.get(name)
        if record is None:
            return
        models = tuple(
            ModelWeights(model, version) if weights.model == model else weights
            for weights in record.announced.models
        )
        if models != record.announced.models:
            record.announced = evolve(record.announced, models=models)
            self._mark_changed(record)

    def expire(self) -> list[str]:
        """Remove endpoints that have been silent too long, and return their names."""
        now = self.clock()
        silent = [
            name
            for name, record in self.endpoints.items()
            if now - record.announced_at > SILENCE_LIMIT_S
        ]
        for name in silent:
            self.remove(name)
        self.departures.remove_expired()
        return silent

    def iterate_changed(self, since: int) -> Iterator[RegisteredEndpoint]:
        """Yield the endpoints that changed after revision ``since``."""
        now = self.clock()
        for record in self.endpoints.values():
            if record.revision > since:
                cold_ms = max(0, int((record.cold_until - now) * 1000))
                yield RegisteredEndpoint(
                    record.announced,
                    record.revision,
                    cold_ms,
                    record.loading,
                    record.limit_per_s,
                )

    def clear(self) -> None:
        """Remove all records; a new leader starts with an empty registry."""
        self.endpoints.clear()
        self.departures.clear()
        self._names_by_address.clear()
        self.revision = 0


def _is_restarted(previous: EndpointRecord, announced: Announcement) -> bool:
    return previous.announced.started_ms != announced.started_ms


def _differs(previous: EndpointRecord, current: EndpointRecord) -> bool:
    """Return whether entries have to be notified of the change."""
    expected = evolve(
        previous.announced,
        sequence=current.announced.sequence,
        cold_ms=current.announced.cold_ms,
    )
    was_cold = previous.announced.cold_ms > 0
    is_cold = current.announced.cold_ms > 0
    prolonged = current.cold_until > previous.cold_until + COLD_TOLERANCE_S
    return expected != current.announced or (is_cold and (prolonged or not was_cold))


COLD_TOLERANCE_S = 0.5
"""Shift of the announced end of a cold start that message delay can explain."""
