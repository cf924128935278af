"""Searches the candidates of a request for a permit.

The first round waits only briefly at each candidate, so that one that is busy or
whose owner does not answer costs little while others have room. Only when all
are busy does the request wait in a queue, at the one that asks it to come back
soonest.
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
from medlarrail.core.timing import LONGEST_QUEUE_WAIT_S
from medlarrail.ownership.fairness import get_weight
from medlarrail.ownership.health import PairHealth
from medlarrail.ownership.permit_client import HeldPermit, PermitClient
from medlarrail.protocol.permits import AcquireRequest
from medlarrail.serving.target import Target

LOADED_CANDIDATES = 3
"""Candidates that may refuse for their load before the request is refused."""
CANDIDATES_LIMIT = 8
"""Candidates asked at most, those that cannot serve at all included."""
FIRST_WAIT_S = 0.25
"""Longest wait at one candidate while others are left."""
ROUND_PAUSE_S = 0.1
OWNER_ROUNDS = 4
"""Times that the candidates are gone through while ownership settles."""

OTHER_ENTRY_S = 0.2
"""When to come back where this entry reaches no owner; another one may."""

LOAD_REFUSALS = (Overloaded, EndpointColdStart)
UNSETTLED = (NotOwner, OwnershipUnsettled, SessionClosed)

ListKeys = Callable[[Endpoint], tuple[str, ...]]


class CandidateSource(Protocol):
    """What the search needs of a router."""

    session: Session
    permits: PermitClient
    health: PairHealth

    def list_candidates(
        self, target: Target, weight_version: str = ""
    ) -> list[Endpoint]:
        """Return endpoints in service for ``target``, best first."""

    def note_owner(self, endpoint: str, answered: bool) -> None:
        """Learn whether the owner of ``endpoint`` answered."""


@frozen
class Found:
    """An endpoint and the permit to use it."""

    endpoint: Endpoint
    held: HeldPermit


@define
class PermitSearch:
    """The search for a permit for one dispatch of ``target``."""

    router: CandidateSource
    target: Target
    exclude: set[str] = field(factory=set)
    list_keys: ListKeys | None = None
    version: str = ""
    refusal: MedlarError = field(init=False)

    def __attrs_post_init__(self):
        self.refusal = NoEndpoint(target=self.target.serves)

    async def run(self) -> Found:
        """Return a permit, or raise the refusal that asks to come back soonest."""
        found = await self._ask_all()
        rounds = 1
        while found is None and rounds < OWNER_ROUNDS and self._may_settle():
            await trio.sleep(ROUND_PAUSE_S)
            found = await self._ask_all()
            rounds += 1
        if found is None and isinstance(self.refusal, LOAD_REFUSALS):
            found = await self._wait_in_queue()
        if found is not None:
            return found
        if isinstance(self.refusal, Refusal):
            raise self.refusal
        raise NoEndpoint(
            target=self.target.serves, retry_after_s=OTHER_ENTRY_S
        ) from self.refusal

    def _may_settle(self) -> bool:
        """Return whether asking again in a moment may help."""
        in_time = self.target.get_rest() > 2 * ROUND_PAUSE_S
        return in_time and isinstance(self.refusal, UNSETTLED)

    def _list_candidates(self) -> list[Endpoint]:
        candidates = self.router.list_candidates(self.target, self.version)
        candidates.sort(key=lambda one: one.name in self.exclude)
        return candidates[:CANDIDATES_LIMIT]

    async def _ask_all(self) -> Found | None:
        """Ask one candidate after the other, with a short wait at each."""
        self.refusal = NoEndpoint(target=self.target.serves)
        loaded = 0
        for endpoint in self._list_candidates():
            found = await self._ask(endpoint, FIRST_WAIT_S)
            if found is not None:
                return found
            loaded += isinstance(self.refusal, LOAD_REFUSALS)
            if loaded == LOADED_CANDIDATES:
                break
        return None

    async def _wait_in_queue(self) -> Found | None:
        """Wait at the candidate that asked to come back soonest."""
        wait_s = self.target.contract.queue_wait_s
        name = self.refusal.endpoint
        for endpoint in self._list_candidates():
            if endpoint.name == name and wait_s > FIRST_WAIT_S:
                return await self._ask(endpoint, wait_s)
        return None

    async def _ask(self, endpoint: Endpoint, wait_s: float) -> Found | None:
        """Ask for a permit; a refusal is kept if it is the best so far."""
        self.router.session.require()
        if self.target.get_rest() <= 0:
            raise DeadlineExceeded()
        request = self._build_request(endpoint, wait_s)
        try:
            held = await self.router.permits.acquire(request)
        except (Refusal, PeerError, SessionClosed) as error:
            get_metrics().count("permits_refused", reason=type(error).__name__)
            self._note_refusal(endpoint, error)
            return None
        self.router.note_owner(endpoint.name, answered=True)
        return Found(endpoint, held)

    def _note_refusal(self, endpoint: Endpoint, error: MedlarError) -> None:
        self.refusal = _pick_sooner(self.refusal, error)
        if isinstance(error, EndpointSilent):
            self.router.health.note_failure(endpoint.name)
        answered = not isinstance(error, PeerError)
        self.router.note_owner(endpoint.name, answered)

    def _build_request(self, endpoint: Endpoint, wait_s: float) -> AcquireRequest:
        contract = self.target.contract
        rest_s = self.target.get_rest()
        wait_s = min(wait_s, contract.queue_wait_s, LONGEST_QUEUE_WAIT_S, rest_s)
        return AcquireRequest(
            permit=self.router.permits.make_permit_id(),
            endpoint=endpoint.name,
            entry=self.router.session.name,
            epoch=self.router.session.require(),
            account=contract.account,
            weight=get_weight(contract.share, contract.priority),
            wait_s=wait_s,
            hold_s=rest_s + wait_s,
            block_keys=self.list_keys(endpoint) if self.list_keys else (),
        )


def _pick_sooner(best: MedlarError, error: MedlarError) -> MedlarError:
    """Return the refusal that asks the caller to come back sooner.

    A refusal for load comes before others: there is an endpoint that serves.
    """
    if isinstance(best, NoEndpoint) or not isinstance(best, Refusal):
        return error
    if not isinstance(error, Refusal):
        return best
    return min(
        best,
        error,
        key=lambda one: (not isinstance(one, LOAD_REFUSALS), one.retry_after_s),
    )
