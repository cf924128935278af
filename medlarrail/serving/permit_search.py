"""Acquires a permit from one of the candidate endpoints of a request.

The first round waits only briefly for each candidate, so that one that is busy
or whose owner does not answer costs little time while others have capacity.
Only if all are busy does the request wait in a queue, at the candidate with the
shortest retry delay.
"""

from collections.abc import Callable
from typing import Protocol

import trio
from attrs import define, field, frozen

from medlarrail.cluster.session import Session
from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import (
    DeadlineExceeded,
    EndpointColdStart,
    EndpointSilent,
    MedlarError,
    NoEndpoint,
    NotOwner,
    Overloaded,
    OwnershipUnsettled,
    PeerError,
    Refusal,
    SessionClosed,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import MAX_QUEUE_WAIT_S
from medlarrail.ownership.fairness import get_queue_weight
from medlarrail.ownership.path_health import PathHealth
from medlarrail.ownership.permit_client import HeldPermit, PermitClient
from medlarrail.protocol.permits import AcquireRequest
from medlarrail.serving.routing_target import RoutingTarget

MAX_LOAD_REFUSALS = 3
"""Candidates that may refuse because of load before a round ends."""
MAX_CANDIDATES = 8
"""Maximum number of candidates tried, including those that cannot serve."""
CANDIDATE_WAIT_S = 0.25
"""Maximum wait at one candidate while others have not been tried."""
ROUND_DELAY_S = 0.1
MAX_ROUNDS = 4
"""Maximum number of rounds over the candidates while ownership changes."""

OTHER_ENTRY_RETRY_S = 0.2
"""Retry delay if this entry reaches no owner; another entry may reach one."""

LOAD_REFUSALS = (Overloaded, EndpointColdStart)
OWNERSHIP_REFUSALS = (NotOwner, OwnershipUnsettled, SessionClosed)

ListBlockKeys = Callable[[Endpoint], tuple[str, ...]]


class CandidateSource(Protocol):
    """The part of a router that the search uses."""

    session: Session
    permits: PermitClient
    health: PathHealth

    def list_candidates(
        self, target: RoutingTarget, weight_version: str = ""
    ) -> list[Endpoint]:
        """Return endpoints in service for ``target``, best first."""

    def record_owner_result(self, endpoint: str, answered: bool) -> None:
        """Record whether the owner of ``endpoint`` answered."""


@frozen
class AcquiredPermit:
    """An endpoint and the permit to use it."""

    endpoint: Endpoint
    held: HeldPermit


@define
class PermitSearch:
    """The search for a permit for one dispatch of ``target``."""

    router: CandidateSource
    target: RoutingTarget
    exclude: set[str] = field(factory=set)
    list_keys: ListBlockKeys | None = None
    version: str = ""
    refusal: MedlarError = field(init=False)

    def __attrs_post_init__(self):
        self.refusal = NoEndpoint(target=self.target.serves)

    async def run(self) -> AcquiredPermit:
        """Return a permit, or raise the refusal with the shortest retry delay."""
        acquired = await self._try_candidates()
        rounds = 1
        while acquired is None and rounds < MAX_ROUNDS and self._is_retry_useful():
            await trio.sleep(ROUND_DELAY_S)
            acquired = await self._try_candidates()
            rounds += 1
        if acquired is None and isinstance(self.refusal, LOAD_REFUSALS):
            acquired = await self._wait_in_queue()
        if acquired is not None:
            return acquired
        if isinstance(self.refusal, Refusal):
            raise self.refusal
        raise NoEndpoint(
            target=self.target.serves, retry_after_s=OTHER_ENTRY_RETRY_S
        ) from self.refusal

    def _is_retry_useful(self) -> bool:
        """Return whether ownership may settle within the time left."""
        in_time = self.target.get_remaining_s() > 2 * ROUND_DELAY_S
        return in_time and isinstance(self.refusal, OWNERSHIP_REFUSALS)

    def _list_candidates(self) -> list[Endpoint]:
        candidates = self.router.list_candidates(self.target, self.version)
        candidates.sort(key=lambda endpoint: endpoint.name in self.exclude)
        return candidates[:MAX_CANDIDATES]

    async def _try_candidates(self) -> AcquiredPermit | None:
        """Try the candidates in order, with a short wait at each."""
        self.refusal = NoEndpoint(target=self.target.serves)
        load_refusals = 0
        for endpoint in self._list_candidates():
            acquired = await self._try_candidate(endpoint, CANDIDATE_WAIT_S)
            if acquired is not None:
                return acquired
            load_refusals += isinstance(self.refusal, LOAD_REFUSALS)
            if load_refusals == MAX_LOAD_REFUSALS:
                break
        return None

    async def _wait_in_queue(self) -> AcquiredPermit | None:
        """Wait in the queue of the candidate with the shortest retry delay."""
        wait_s = self.target.contract.queue_wait_s
        name = self.refusal.endpoint
        for endpoint in self._list_candidates():
            if endpoint.name == name and wait_s > CANDIDATE_WAIT_S:
                return await self._try_candidate(endpoint, wait_s)
        return None

    async def _try_candidate(
        self, endpoint: Endpoint, wait_s: float
    ) -> AcquiredPermit | None:
        """Request a permit; if refused, record the better refusal and return None."""
        self.router.session.require_lease()
        if self.target.get_remaining_s() <= 0:
            raise DeadlineExceeded()
        request = self._build_request(endpoint, wait_s)
        try:
            held = await self.router.permits.acquire(request)
        except (Refusal, PeerError, SessionClosed) as error:
            get_metrics().count("permits_refused", reason=type(error).__name__)
            self._record_refusal(endpoint, error)
            return None
        self.router.record_owner_result(endpoint.name, answered=True)
        return AcquiredPermit(endpoint, held)

    def _record_refusal(self, endpoint: Endpoint, error: MedlarError) -> None:
        self.refusal = _pick_better_refusal(self.refusal, error)
        if isinstance(error, EndpointSilent):
            self.router.health.record_failure(endpoint.name)
        answered = not isinstance(error, PeerError)
        self.router.record_owner_result(endpoint.name, answered)

    def _build_request(self, endpoint: Endpoint, wait_s: float) -> AcquireRequest:
        contract = self.target.contract
        remaining_s = self.target.get_remaining_s()
        wait_s = min(wait_s, contract.queue_wait_s, MAX_QUEUE_WAIT_S, remaining_s)
        return AcquireRequest(
            permit=self.router.permits.make_permit_id(),
            endpoint=endpoint.name,
            entry=self.router.session.name,
            epoch=self.router.session.require_lease(),
            account=contract.account,
            weight=get_queue_weight(contract.share, contract.priority),
            wait_s=wait_s,
            hold_s=remaining_s + wait_s,
            block_keys=self.list_keys(endpoint) if self.list_keys else (),
        )


def _pick_better_refusal(current: MedlarError, candidate: MedlarError) -> MedlarError:
    """Return the refusal with the shorter retry delay.

    A refusal because of load takes precedence over others, since it shows that
    an endpoint is able to serve the request.
    """
    if isinstance(current, NoEndpoint) or not isinstance(current, Refusal):
        return candidate
    if not isinstance(candidate, Refusal):
        return current
    return min(
        current,
        candidate,
        key=lambda refusal: (
            not isinstance(refusal, LOAD_REFUSALS),
            refusal.retry_after_s,
        ),
    )
