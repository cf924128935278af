"""The owner's state of an endpoint: limiter, cached keys and request queue."""

from collections import deque
from collections.abc import Callable

import trio
from attrs import define, field

from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import (
    EndpointColdStart,
    MedlarError,
    Overloaded,
    Refusal,
)
from medlarrail.ownership.cached_keys import CachedKeySet
from medlarrail.ownership.fairness import FairQueue
from medlarrail.ownership.limiter import Limiter
from medlarrail.protocol.permits import AcquireRequest

RELEASE_HISTORY_SIZE = 32
MIN_COLD_RETRY_S = 0.5


@define
class PendingAcquire:
    """A request that waits for a permit."""

    request: AcquireRequest
    settled: trio.Event = field(factory=trio.Event)
    error: MedlarError | None = None


@define
class OwnedEndpoint:
    """An endpoint that this entry owns."""

    limiter: Limiter
    owned_since: float
    cached_keys: CachedKeySet = field(factory=CachedKeySet)
    queue: FairQueue = field(factory=FairQueue)
    pending: dict[str, PendingAcquire] = field(factory=dict)
    release_times: deque = field(factory=lambda: deque(maxlen=RELEASE_HISTORY_SIZE))
    unreported_entries: set[str] = field(factory=set)
    """Entries that have not yet reported the permits that they hold."""

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint's record in the catalogue."""
        return self.limiter.endpoint

    def estimate_wait(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` queued requests, in seconds.

        It is derived from the rate of the latest permit releases.
        """
        if len(self.release_times) < 2:
            return 0.1 * (ahead + 1) / max(1, self.limiter.get_limit())
        span = self.limiter.clock() - self.release_times[0]
        return (ahead + 1) * max(span, 0.001) / len(self.release_times)

    def refuse_pending(self, make_error: Callable[[], MedlarError]) -> None:
        """Refuse every queued request."""
        for pending in list(self.pending.values()):
            pending.error = make_error()
            pending.settled.set()

    def build_load_refusal(self, expected_s: float) -> Refusal:
        """Return the error for a lack of capacity, with its retry delay."""
        name = self.endpoint.name
        if self.limiter.is_cold():
            return EndpointColdStart(
                endpoint=name, retry_after_s=max(MIN_COLD_RETRY_S, expected_s)
            )
        return Overloaded(endpoint=name, retry_after_s=expected_s)
