"""An endpoint as its owner keeps it: limiter, cache picture and queue."""

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
from medlarrail.ownership.cache_picture import CachePicture
from medlarrail.ownership.fairness import FairQueue
from medlarrail.ownership.limiter import Limiter
from medlarrail.protocol.permits import AcquireRequest

RELEASES_REMEMBERED = 32
COLD_RETRY_S = 0.5


@define
class Waiting:
    """A request that waits for a permit."""

    request: AcquireRequest
    settled: trio.Event = field(factory=trio.Event)
    error: MedlarError | None = None


@define
class OwnedEndpoint:
    """An endpoint that this entry owns."""

    limiter: Limiter
    owned_since: float
    picture: CachePicture = field(factory=CachePicture)
    queue: FairQueue = field(factory=FairQueue)
    waiting: dict[str, Waiting] = field(factory=dict)
    releases: deque = field(factory=lambda: deque(maxlen=RELEASES_REMEMBERED))
    awaited: set[str] = field(factory=set)
    """Entries that have not yet told what they hold."""

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint as the catalogue has it."""
        return self.limiter.endpoint

    def estimate_wait(self, ahead: int) -> float:
        """Return the seconds after which ``ahead`` more permits come free."""
        if len(self.releases) < 2:
            return 0.1 * (ahead + 1) / max(1, self.limiter.get_limit())
        span = self.limiter.clock() - self.releases[0]
        return (ahead + 1) * max(span, 0.001) / len(self.releases)

    def fail_all(self, make_error: Callable[[], MedlarError]) -> None:
        """Refuse every queued request at once."""
        for waiting in list(self.waiting.values()):
            waiting.error = make_error()
            waiting.settled.set()

    def build_load_refusal(self, expected_s: float) -> Refusal:
        """Return why no permit can be had in time, and when to come back."""
        name = self.endpoint.name
        if self.limiter.is_cold():
            return EndpointColdStart(
                endpoint=name, retry_after_s=max(COLD_RETRY_S, expected_s)
            )
        return Overloaded(endpoint=name, retry_after_s=expected_s)
