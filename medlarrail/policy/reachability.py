"""Decides whether this entry is partitioned from the endpoints of a service.

Handles a partition between some entries and all endpoints of a service, while callers
and the other entries still reach these entries. Connections to endpoints hang or are
reset, or continue to work while new ones are refused, so only new connections count.
From one place, a partition looks the same as endpoints that are all down: a suspected
partition means only that other entries are asked to carry the requests, and their
answers tell which it is.
"""

from attrs import define, field

MIN_FAILED_ENDPOINTS = 3
"""Different endpoints, or all of the service, that no connection could be made to since
the last one that was made to any."""
FAILURE_TTL_S = 3.0
"""Age up to which a failure counts."""
MIN_CONNECTIONS = 2
"""Connections in a row that end a suspected partition. A path that loses one packet in
three lets single ones through."""
PROBE_INTERVAL_S = 0.25
"""Time between two attempts to connect during a suspected partition."""
OUTAGE_MIN_S = 0.5
"""Time for which other entries have to say that they do not reach a service either: one
that is slow for a moment says so, too."""
OUTAGE_TTL_S = 1.0
"""Age up to which the latest of them counts."""


@define
class Reachability:
    """What attempts to connect tell of the paths to one service; times in seconds."""

    is_partitioned: bool = False
    _failed_at: dict[str, float] = field(factory=dict)
    """Latest failure by endpoint."""
    _connections: int = 0
    _outage_since: float | None = None
    _outage_seen_at: float = float("-inf")

    def record_failed(self, endpoint: str, endpoint_count: int, now: float) -> None:
        """Record that ``endpoint``, one of ``endpoint_count``, was not reached."""
        self._connections = 0
        self._failed_at[endpoint] = now
        self._failed_at = {
            name: at
            for name, at in self._failed_at.items()
            if now - at <= FAILURE_TTL_S
        }
        needed = min(MIN_FAILED_ENDPOINTS, max(1, endpoint_count))
        if len(self._failed_at) >= needed:
            self.is_partitioned = True

    def record_outage(self, now: float) -> None:
        """Record that the other entries that were asked do not reach the service."""
        if self._outage_since is None or now - self._outage_seen_at > OUTAGE_TTL_S:
            self._outage_since = now
        self._outage_seen_at = now

    def record_carried(self) -> None:
        """Record that another entry reaches the service."""
        self._outage_since = None

    def is_outage(self, now: float) -> bool:
        """Return whether neither this entry nor others reach the service.

        Then its endpoints are down, and this entry need not be partitioned from them.
        """
        if not self.is_partitioned or self._outage_since is None:
            return False
        is_recent = now - self._outage_seen_at <= OUTAGE_TTL_S
        return is_recent and self._outage_seen_at - self._outage_since >= OUTAGE_MIN_S

    def record_connected(self) -> None:
        """Record that a connection was made to some endpoint."""
        self._connections += 1
        self._failed_at.clear()
        if self._connections >= MIN_CONNECTIONS:
            self.is_partitioned = False
