"""The time without requests that an overloaded endpoint asks an entry for.

Handles bursts in which an endpoint rejects requests and asks each entry that it rejects
to come back later. Nothing is sent until then. Afterwards the entries start one after
the other, and each adds requests as the endpoint accepts them, so that they do not
overload it again.
"""

from attrs import define, field, frozen

ENTRY_INTERVAL_S = 0.02
"""Time between the returns of two entries."""
MAX_SPREAD_S = 1.0
"""Time within which all entries return."""
MAX_SPREAD_RATIO = 0.5
"""The same, as a fraction of the time that the endpoint asked for."""
RAMP_S = 1.0
"""Time after its return for which an entry limits its requests."""
RETRY_INTERVAL_S = 0.1
"""Time after which a request that this limit rejects may be sent."""


@frozen
class BackOffPolicy:
    """Bounds of the times that endpoints ask for."""

    max_s: float = 300.0
    """Longest time kept, so that a faulty statement does not exclude an endpoint for
    good."""

    def get_duration_s(
        self, retry_after_s: float, entry_count: int, rank: int
    ) -> float:
        """Return the time until the entry of this rank returns to the endpoint.

        >>> BackOffPolicy().get_duration_s(2.0, entry_count=7, rank=5)
        2.1
        """
        duration_s = min(retry_after_s, self.max_s)
        limit_s = min(MAX_SPREAD_S, MAX_SPREAD_RATIO * duration_s)
        interval_s = min(ENTRY_INTERVAL_S, limit_s / max(1, entry_count))
        return duration_s + interval_s * rank


@define
class BackOff:
    """An entry's back-off from one incarnation of an endpoint; times in seconds."""

    until: float = float("-inf")
    accepted: int = field(default=0, init=False)
    """Requests that the endpoint accepted since the return."""

    def extend(self, until: float) -> None:
        """Extend the back-off; an earlier end does not shorten it."""
        self.until = max(self.until, until)
        self.accepted = 0

    def is_active(self, now: float) -> bool:
        """Return whether nothing may be sent."""
        return now < self.until

    def may_send(self, now: float, unanswered: int) -> bool:
        """Return whether one more request may be sent beside the unanswered ones."""
        if self.is_active(now):
            return False
        return self.has_ended(now) or unanswered <= self.accepted

    def has_ended(self, now: float) -> bool:
        """Return whether requests are no longer limited."""
        return now >= self.until + RAMP_S

    def get_wait_s(self, now: float) -> float:
        """Return the time after which a rejected request may be sent."""
        return max(RETRY_INTERVAL_S, self.until - now)

    def record_accepted(self, now: float) -> None:
        """Record a request that the endpoint did not reject."""
        if not self.is_active(now):
            self.accepted += 1
