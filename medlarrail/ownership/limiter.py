"""How many requests an endpoint may run now.

A cold endpoint bears ``cold_limit`` requests, and the limit grows with those it
completed. An endpoint can restart at any moment without a word, so two rules
hold besides the limit:

- At most ``cold_limit`` permits may be out that were given after the last proof
  of the incarnation's life. Had the endpoint restarted since that proof, only
  those could be running on the cold one. A response proves that the incarnation
  lived when its permit was given; a report proves it for the stamp it repeats.
- A broken or refused connection makes the incarnation suspect: the limit is the
  cold one until a later proof.
"""

from attrs import define, field

from medlarrail.core.clock import Clock
from medlarrail.core.entities import Endpoint
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics

OVERLOAD_FACTOR = 0.7
"""What an overload answer leaves of the limit."""
REPORT_SILENCE_S = 6.0
"""Age of the last report after which an endpoint gets no new work."""


@define
class GrantedPermit:
    """A permit that is out."""

    permit: str
    entry: str
    account: str
    granted_at: float
    hold_until: float
    started: bool = False


@define
class Limiter:
    """The limit of one endpoint, as its owner knows it."""

    endpoint: Endpoint
    clock: Clock
    permits: dict[str, GrantedPermit] = field(factory=dict)
    completed: int = 0
    ceiling: float = float("inf")
    proven_at: float = float("-inf")
    suspected_at: float = float("-inf")
    reported_at: float = float("-inf")
    reported_running: int = 0
    reported_stamp: float = float("-inf")
    holders_known: bool = False
    """Whether every live entry has told what it holds."""
    uncounted: bool = True
    """Whether requests of closed sessions may run that no permit here counts."""
    closed_entries: dict[str, float] = field(factory=dict)
    """Entries whose sessions were closed while they held permits, and when."""

    def get_limit(self) -> int:
        """Return the number of permits that may be out."""
        cold, warm = self.endpoint.cold_limit, self.endpoint.warm_limit
        if self.suspected_at >= self.proven_at:
            return cold
        warmup = max(1, self.endpoint.warmup_requests)
        grown = cold + (warm - cold) * min(1.0, self.completed / warmup)
        return max(1, int(min(grown, max(self.ceiling, cold))))

    def count_in_use(self) -> int:
        """Return the permits out, those of earlier owners included."""
        known = len(self.permits)
        if self.holders_known and not self.uncounted:
            return known
        since = sum(
            one.granted_at >= self.reported_stamp for one in self.permits.values()
        )
        return max(known, self.reported_running + since)

    def count_unproven(self) -> int:
        """Return the permits given after the last proof of life."""
        return sum(one.granted_at > self.proven_at for one in self.permits.values())

    def has_room(self) -> bool:
        """Return whether one more permit may be given."""
        if self.count_in_use() >= self.get_limit():
            return False
        return self.count_unproven() < self.endpoint.cold_limit

    def grant(self, permit: GrantedPermit) -> None:
        """Give a permit; there has to be room for it."""
        require(self.has_room(), "permits-within-limit", self.endpoint.name)
        self.permits[permit.permit] = permit

    def is_cold(self) -> bool:
        """Return whether the limit has not grown to the warm one."""
        return self.get_limit() < self.endpoint.warm_limit

    def is_silent(self) -> bool:
        """Return whether the endpoint has not reported for too long."""
        return self.clock() > self.reported_at + REPORT_SILENCE_S

    def restart(self, endpoint: Endpoint) -> None:
        """Take up another incarnation, which starts cold."""
        get_metrics().count("cold_starts_seen")
        self.endpoint = endpoint
        self.completed = 0
        self.ceiling = float("inf")
        self.proven_at = float("-inf")
        self.suspected_at = float("-inf")
        self.reported_running = 0

    def update(self, endpoint: Endpoint) -> None:
        """Take up what the catalogue says of the endpoint."""
        if endpoint.incarnation != self.endpoint.incarnation:
            self.restart(endpoint)
        self.endpoint = endpoint

    def note_started(self, permit: str, incarnation: str) -> None:
        """Note that a permitted request got a response."""
        held = self.permits.get(permit)
        if held is None:
            return
        held.started = True
        self._note_proof(held.granted_at, incarnation)

    def note_ended(self, permit: str, outcome: str, incarnation: str = "") -> None:
        """Note that a permitted request ended."""
        held = self.permits.pop(permit, None)
        if held is None:
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
        """Note that the incarnation may have ended."""
        self.suspected_at = self.clock()

    def note_report(
        self, incarnation: str, running: int, completed: int, stamp: float
    ) -> None:
        """Take up a report; one that fell back is from a restarted endpoint."""
        self.reported_at = self.clock()
        if incarnation != self.endpoint.incarnation:
            return
        if stamp < self.reported_stamp:
            return
        self.reported_stamp = stamp
        self.reported_running = running
        self.completed = max(self.completed, completed)
        self._note_proof(stamp, incarnation)
        self._drop_closed(running, stamp)
        if self.holders_known and running <= len(self.permits):
            self.uncounted = False

    def note_closed(self, entry: str) -> None:
        """Note that an entry's session was closed; its requests may still run."""
        if any(one.entry == entry for one in self.permits.values()):
            self.closed_entries[entry] = self.clock()

    def _drop_closed(self, running: int, stamp: float) -> None:
        """Drop permits of closed sessions that the endpoint no longer runs."""
        for entry, closed_at in list(self.closed_entries.items()):
            theirs = [one for one in self.permits.values() if one.entry == entry]
            excess = len(self.permits) - running
            if stamp <= closed_at:
                continue
            for permit in theirs[: max(0, excess)]:
                del self.permits[permit.permit]
            if excess >= len(theirs):
                del self.closed_entries[entry]

    def _note_proof(self, at: float, incarnation: str) -> None:
        if incarnation == self.endpoint.incarnation:
            self.proven_at = max(self.proven_at, at)
        elif incarnation:
            self.suspect()

    def list_lapsed(self) -> list[str]:
        """Return the permits that are out for longer than their request lives."""
        now = self.clock()
        return [one.permit for one in self.permits.values() if one.hold_until < now]
