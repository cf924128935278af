"""Forwards calls to plain services, at most once where the contract says so."""

import hashlib

from attrs import define, field, frozen

from medlarrail.core.codec import decode_error
from medlarrail.core.entities import CallMode, Contract, LedgerKey, StoredAnswer
from medlarrail.core.errors import (
    AnswerCrossed,
    AnswerNotKept,
    EndpointRefused,
    EndpointUnreachable,
    EndUnproven,
    IdempotencyKeyMissing,
    MedlarError,
    RetryBudgetSpent,
    RunDeadlineExceeded,
    RunFailure,
    UnknownService,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.ownership.path_health import RetryBudgets
from medlarrail.protocol.endpoints import INCARNATION_HEADER, REQUEST_ID_HEADER
from medlarrail.serving.engine_client import translate_run_errors
from medlarrail.serving.ledger import TOO_LONG_CONTENT_TYPE, Ledger
from medlarrail.serving.permit_search import PermitSearch
from medlarrail.serving.routing import MAX_DISPATCHES, Router
from medlarrail.serving.routing_target import RoutingTarget
from medlarrail.transport.client import HttpClient, RawAnswer

BODY_ENCODING = "latin-1"
"""Maps each byte to one character, so any body can be stored as text."""
MAX_CONNECT_ATTEMPTS = 3


@frozen
class ServiceRequest:
    """A caller's request to a service."""

    service: str
    method: str
    path: str
    body: bytes = field(repr=False)
    content_type: str
    key: str
    request_id: str

    def get_digest(self) -> str:
        """Return the digest that detects reuse of a key for another request."""
        digest = hashlib.sha256()
        for part in (self.method, self.service, self.path):
            digest.update(f"{len(part)}:{part}".encode())
        digest.update(self.body)
        return digest.hexdigest()


def get_call_mode(contract: Contract, request: ServiceRequest) -> CallMode:
    """Return whether the call may be repeated; the first matching rule applies.

    Without a rule, only GET and HEAD calls may be repeated.
    """
    name = f"{request.service}/{request.path}"
    for rule in contract.calls:
        if name.startswith(rule.pattern):
            return rule.mode
    return "repeat" if request.method in ("GET", "HEAD") else "once"


@define
class ServiceCalls:
    """Forwards the service calls of this entry."""

    router: Router
    client: HttpClient
    ledger: Ledger
    budgets: RetryBudgets
    silence_s: float = 20.0

    async def call(
        self, contract: Contract, request: ServiceRequest, deadline: float
    ) -> StoredAnswer:
        """Return the service's answer to ``request``."""
        catalogue = self.router.follower.catalogue
        if not any(catalogue.iterate_endpoints("service", request.service)):
            raise UnknownService(service=request.service)
        target = RoutingTarget(
            contract, "service", request.service, request.request_id, deadline
        )
        if get_call_mode(contract, request) == "repeat":
            return await self._call_repeatable(target, request)
        if not request.key:
            raise IdempotencyKeyMissing()
        return await self._call_once(target, request)

    async def _call_once(self, target: RoutingTarget, request: ServiceRequest):
        key = LedgerKey(target.contract.account, request.key)
        answer = await self.ledger.run_once(
            key,
            request.get_digest(),
            lambda: self._send_once(target, request),
            target.deadline,
        )
        if answer.content_type == TOO_LONG_CONTENT_TYPE:
            raise AnswerNotKept()
        return answer

    async def _send_once(
        self, target: RoutingTarget, request: ServiceRequest
    ) -> StoredAnswer:
        """Send over a new connection; retry only if connecting failed.

        A failed connection attempt proves that nothing was sent.
        """
        exclude: set[str] = set()
        for attempt_number in range(MAX_CONNECT_ATTEMPTS):
            try:
                return await self._send(target, request, exclude, new_connection=True)
            except EndpointUnreachable:
                if attempt_number == MAX_CONNECT_ATTEMPTS - 1:
                    raise
        raise EndpointUnreachable(endpoint=request.service)

    async def _call_repeatable(
        self, target: RoutingTarget, request: ServiceRequest
    ) -> StoredAnswer:
        exclude: set[str] = set()
        last_error: MedlarError | None = None
        for dispatch_number in range(MAX_DISPATCHES):
            if dispatch_number and not self.budgets.spend(target.contract.account):
                get_metrics().count("retries_refused", reason="budget")
                raise RetryBudgetSpent() from last_error
            try:
                return await self._send(target, request, exclude, new_connection=False)
            except RunDeadlineExceeded:
                raise
            except (EndpointUnreachable, EndpointRefused, RunFailure) as error:
                get_metrics().count("retries", reason=type(error).__name__)
                last_error = error
        raise last_error

    async def _send(
        self,
        target: RoutingTarget,
        request: ServiceRequest,
        exclude: set[str],
        new_connection: bool,
    ) -> StoredAnswer:
        acquired = await PermitSearch(self.router, target, exclude).run()
        endpoint, held = acquired.endpoint, acquired.held
        error: BaseException | None = None
        incarnation = ""
        try:
            self.router.check_dispatch(endpoint, held)
            answer = await self._fetch(target, endpoint, request, new_connection)
            incarnation = answer.headers.get(INCARNATION_HEADER, "")
            self.router.permits.record_started(held, incarnation)
            return self._read_answer(endpoint.name, request, answer)
        except BaseException as caught:
            error = caught
            exclude.add(endpoint.name)
            raise
        finally:
            self.router.record_outcome(endpoint, held, error, incarnation)

    async def _fetch(
        self, target, endpoint, request, new_connection: bool
    ) -> RawAnswer:
        remaining_s = target.get_remaining_s()
        silence_s = min(self.silence_s, remaining_s)
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            "content-type": request.content_type or "application/octet-stream",
        }
        if request.key:
            headers["idempotency-key"] = request.key
        with translate_run_errors(endpoint.name, silence_s):
            return await self.client.fetch(
                request.method,
                f"{endpoint.url}/{request.path}",
                request.body,
                headers,
                timeout_s=max(silence_s, 0.001),
                new_connection=new_connection,
            )

    def _read_answer(
        self, name: str, request: ServiceRequest, answer: RawAnswer
    ) -> StoredAnswer:
        echoed_id = answer.headers.get(REQUEST_ID_HEADER, "")
        if echoed_id != request.request_id:
            raise AnswerCrossed(name, request.request_id, echoed_id)
        refusal = decode_error(answer.body) if answer.status >= 400 else None
        if refusal is not None and refusal.run == "no" and answer.status in (429, 503):
            raise EndpointRefused(endpoint=name, reason=type(refusal).__name__)
        if not answer.framing.proves_end:
            raise EndUnproven(endpoint=name)
        content_type = answer.headers.get("content-type", "")
        return StoredAnswer(
            answer.status, content_type, answer.body.decode(BODY_ENCODING)
        )
