"""The concurrency limit of one endpoint.

A cold endpoint can run ``cold_limit`` requests, and the limit grows with the
number of requests completed. An endpoint can restart at any moment without
notice, so two rules apply besides the limit:

- At most ``cold_limit`` outstanding permits may have been granted after the
  time for which the incarnation was last confirmed alive. Had the endpoint
  restarted since that time, only those requests could be running on the cold
  incarnation. An answer confirms that the incarnation was alive when its
  permit was granted; a report confirms it for the time of the stamp it echoes.
- A broken or refused connection makes the incarnation suspect: the cold limit
  applies until the incarnation is confirmed alive at a later time.
"""

from attrs import define, field

from medlarrail.core.clock import Clock
from medlarrail.core.entities import Endpoint
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics

OVERLOAD_FACTOR = 0.7
"""Factor by which an overload answer multiplies the limit."""
MAX_REPORT_AGE_S = 6.0
"""Age of the last report after which an endpoint gets no new requests."""


@define
class GrantedPermit:
    """An outstanding permit."""

    permit: str
    entry: str
    account: str
    granted_at: float
    hold_until: float
    started: bool = False


@define
class Limiter:
    """The concurrency limit of one endpoint, kept by its owner."""

    endpoint: Endpoint
    clock: Clock
    permits: dict[str, GrantedPermit] = field(factory=dict)
    completed: int = 0
    ceiling: float = float("inf")
    confirmed_alive_at: float = float("-inf")
    suspected_at: float = float("-inf")
    reported_at: float = float("-inf")
    reported_running: int = 0
    reported_stamp: float = float("-inf")
    holders_known: bool = False
    """Whether every live entry has reported the permits that it holds."""
    may_run_untracked: bool = True
    """Whether requests of closed sessions may be running that have no permit here."""
    closed_entries: dict[str, float] = field(factory=dict)
    """Entries whose sessions were closed while they held permits, with the time."""

    def get_limit(self) -> int:
        """Return the number of permits that may be outstanding."""
        cold, warm = self.endpoint.cold_limit, self.endpoint.warm_limit
        if self.suspected_at >= self.confirmed_alive_at:
            return cold
        warmup = max(1, self.endpoint.warmup_requests)
        warmup_limit = cold + (warm - cold) * min(1.0, self.completed / warmup)
        return max(1, int(min(warmup_limit, max(self.ceiling, cold))))

    def count_in_use(self) -> int:
        """Return the number of outstanding permits, including earlier owners'."""
        tracked = len(self.permits)
        if self.holders_known and not self.may_run_untracked:
            return tracked
        granted_since_report = sum(
            permit.granted_at >= self.reported_stamp for permit in self.permits.values()
        )
        return max(tracked, self.reported_running + granted_since_report)

    def count_unconfirmed(self) -> int:
        """Return the permits granted since the endpoint was last confirmed alive."""
        return sum(
            permit.granted_at > self.confirmed_alive_at
            for permit in self.permits.values()
        )

    def has_capacity(self) -> bool:
        """Return whether one more permit may be granted."""
        if self.count_in_use() >= self.get_limit():
            return False
        return self.count_unconfirmed() < self.endpoint.cold_limit

    def grant(self, permit: GrantedPermit) -> None:
        """Record a granted permit; there must be capacity for it."""
        require(self.has_capacity(), "permits-within-limit", self.endpoint.name)
        self.permits[permit.permit] = permit

    def is_cold(self) -> bool:
        """Return whether the limit is still below the warm limit."""
        return self.get_limit() < self.endpoint.warm_limit

    def is_silent(self) -> bool:
        """Return whether the last report is too old for new requests."""
        return self.clock() > self.reported_at + MAX_REPORT_AGE_S

    def restart(self, endpoint: Endpoint) -> None:
        """Reset the state for a new incarnation, which starts cold."""
        get_metrics().count("cold_starts_seen")
        self.endpoint = endpoint
        self.completed = 0
        self.ceiling = float("inf")
        self.confirmed_alive_at = float("-inf")
        self.suspected_at = float("-inf")
        self.reported_running = 0

    def update(self, endpoint: Endpoint) -> None:
        """Apply the endpoint's record in the catalogue."""
        if endpoint.incarnation != self.endpoint.incarnation:
            self.restart(endpoint)
        self.endpoint = endpoint

    def record_started(self, permit: str, incarnation: str) -> None:
        """Record that the endpoint began to answer a permitted request."""
        granted = self.permits.get(permit)
        if granted is None:
            return
        granted.started = True
        self._confirm_alive(granted.granted_at, incarnation)

    def record_ended(self, permit: str, outcome: str, incarnation: str = "") -> None:
        """Record that a permitted request ended."""
        granted = self.permits.pop(permit, None)
        if granted is None:
            return
        if outcome == "ok":
            self.completed += incarnation == self.endpoint.incarnation
            self.ceiling += 1.0 / max(1.0, self.ceiling)
        elif outcome in ("broken", "unreachable"):
            self.suspect()
        elif outcome == "refused":
            self.ceiling = max(1.0, self.get_limit() * OVERLOAD_FACTOR)
            get_metrics().count("limits_cut")

    def suspect(self) -> None:
        """Record that the incarnation may have ended."""
        self.suspected_at = self.clock()

    def record_report(
        self, incarnation: str, running: int, completed: int, stamp: float
    ) -> None:
        """Apply a report; one with an older stamp is from a restarted endpoint."""
        self.reported_at = self.clock()
        if incarnation != self.endpoint.incarnation:
            return
        if stamp < self.reported_stamp:
            return
        self.reported_stamp = stamp
        self.reported_running = running
        self.completed = max(self.completed, completed)
        self._confirm_alive(stamp, incarnation)
        self._drop_closed_sessions(running, stamp)
        if self.holders_known and running <= len(self.permits):
            self.may_run_untracked = False

    def record_session_closed(self, entry: str) -> None:
        """Record that an entry's session was closed; its requests may still run."""
        if any(permit.entry == entry for permit in self.permits.values()):
            self.closed_entries[entry] = self.clock()

    def _drop_closed_sessions(self, running: int, stamp: float) -> None:
        """Drop permits of closed sessions whose requests no longer run."""
        for entry, closed_at in list(self.closed_entries.items()):
            entry_permits = [
                permit for permit in self.permits.values() if permit.entry == entry
            ]
            excess = len(self.permits) - running
            if stamp <= closed_at:
                continue
            for permit in entry_permits[: max(0, excess)]:
                del self.permits[permit.permit]
            if excess >= len(entry_permits):
                del self.closed_entries[entry]

    def _confirm_alive(self, at: float, incarnation: str) -> None:
        if incarnation == self.endpoint.incarnation:
            self.confirmed_alive_at = max(self.confirmed_alive_at, at)
        elif incarnation:
            self.suspect()

    def list_expired(self) -> list[str]:
        """Return the permits that outlived the deadline of their request."""
        now = self.clock()
        return [
            permit.permit for permit in self.permits.values() if permit.hold_until < now
        ]
