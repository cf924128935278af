"""Selects endpoints for requests and runs a prompt until its answer is complete.

Candidates are ranked by rendezvous hash of the prompt's leading bytes, so that a
repeated prompt goes to the endpoint that may still have its context cached. A
permit is requested from the owner of each candidate; a refusal costs one round
trip and nothing runs. A broken stream is resumed at the same weight version.
"""

import secrets
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Protocol

import trio
from attrs import define, field, frozen

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.session import Session
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.context import (
    ContextRoot,
    get_root_key,
    iterate_block_keys,
)
from medlarrail.core.entities import Contract, Endpoint
from medlarrail.core.errors import (
    EndpointOutOfService,
    EndpointRefused,
    EndpointUnreachable,
    MedlarError,
    Refusal,
    RetryBudgetSpent,
    RunDeadlineExceeded,
    RunFailure,
    StreamBroken,
    StreamSilent,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.ownership.path_health import PathHealth, RetryBudgets
from medlarrail.ownership.permit_client import HeldPermit, PermitClient
from medlarrail.protocol.openai import CompletionRequest, EngineChunk, EngineRequest
from medlarrail.serving.engine_client import EngineClient
from medlarrail.serving.permit_search import PermitSearch
from medlarrail.serving.routing_target import RoutingTarget

REQUEST_ID_BYTES = 12
AFFINITY_BYTES = 1024
"""Length of the prompt prefix that determines the preferred endpoint."""
MIN_TIMEOUT_S = 0.001
MAX_DISPATCHES = 4
"""Maximum number of dispatches of one request, including retries."""


@frozen
class RoutingPolicy:
    """The deployment's routing settings; times in seconds."""

    first_token_silence_s: float = 20.0
    token_silence_s: float = 10.0
    use_stores: bool = True


@define
class Router:
    """Ranks endpoints for requests, and tracks which paths fail.

    ``health`` covers the paths to endpoints, ``owner_health`` those to owners.
    """

    session: Session
    follower: Follower
    permits: PermitClient
    health: PathHealth
    clock: Clock = get_boottime
    owner_health: PathHealth = field(init=False)

    def __attrs_post_init__(self):
        self.owner_health = PathHealth(self.health.clock)

    def list_candidates(self, target: RoutingTarget, weight_version: str = ""):
        """Return endpoints in service for ``target``, best first."""
        catalogue = self.follower.catalogue
        candidates = {
            endpoint.name: endpoint
            for endpoint in catalogue.iterate_endpoints(target.kind, target.serves)
            if catalogue.accepts_requests(endpoint)
            and weight_version in ("", endpoint.weight_version)
        }
        ranked = [candidates[name] for name in rank_nodes(candidates, target.affinity)]
        return sorted(ranked, key=lambda endpoint: self._is_suspected(endpoint.name))

    def record_owner_result(self, endpoint: str, answered: bool) -> None:
        """Record whether the owner of ``endpoint`` answered."""
        owner = self.follower.owner_map.get_owner(endpoint)
        if owner is None:
            return
        if answered:
            self.owner_health.record_success(owner.entry)
        else:
            self.owner_health.record_failure(owner.entry)

    def _is_suspected(self, endpoint: str) -> bool:
        """Return whether the path to an endpoint or to its owner is suspected."""
        owner = self.follower.owner_map.get_owner(endpoint)
        if owner is not None and self.owner_health.is_suspected(owner.entry):
            return True
        return self.health.is_suspected(endpoint)

    def check_dispatch(self, endpoint: Endpoint, held: HeldPermit) -> None:
        """Raise unless the request may be dispatched now."""
        self.session.require_lease()
        self.permits.check(held)
        catalogue = self.follower.catalogue
        registered = catalogue.endpoints.get(endpoint.name)
        if registered is None or not catalogue.is_in_service(registered):
            raise EndpointOutOfService(endpoint=endpoint.name)

    def record_outcome(
        self,
        endpoint: Endpoint,
        held: HeldPermit,
        error: BaseException | None,
        incarnation: str = "",
    ) -> None:
        """Release the permit and update the health of the path."""
        outcome = get_outcome(error)
        if outcome in ("broken", "silent", "unreachable"):
            self.health.record_failure(endpoint.name)
        elif outcome == "ok":
            self.health.record_success(endpoint.name)
        self.permits.release(held, outcome, incarnation)


def get_outcome(error: BaseException | None) -> str:
    """Return the outcome to report for a run that ended with ``error``."""
    if error is None:
        return "ok"
    if isinstance(error, EndpointUnreachable):
        return "unreachable"
    if isinstance(error, EndpointRefused):
        return "refused"
    if isinstance(error, StreamSilent | RunDeadlineExceeded):
        return "silent"
    if isinstance(error, RunFailure):
        return "broken"
    return "unused"


class ContextRestorer(Protocol):
    """Restores stored context to an endpoint before a run, and saves it after."""

    async def restore(self, run, endpoint: Endpoint, held: HeldPermit) -> None:
        """Restore stored context to ``endpoint`` if that is worth its cost."""

    def save_context(self, run, endpoint: Endpoint) -> None:
        """Save the context that ``endpoint`` has cached after the run."""


@define
class PromptRun:
    """The processing of one prompt, over all its dispatches."""

    router: Router
    engines: EngineClient
    budgets: RetryBudgets
    policy: RoutingPolicy
    contract: Contract
    request: CompletionRequest
    deadline: float
    context: "ContextRestorer | None" = None
    request_id: str = field(
        factory=lambda: f"req-{secrets.token_hex(REQUEST_ID_BYTES)}"
    )
    started_at: float = field(factory=trio.current_time)
    text: list[str] = field(factory=list)
    tokens: int = 0
    weight_version: str = ""
    _excluded: set[str] = field(factory=set)

    def _build_target(self) -> RoutingTarget:
        affinity = self.request.prompt[:AFFINITY_BYTES]
        root = ContextRoot(self.contract.account, self.request.model, affinity)
        return RoutingTarget(
            self.contract,
            "model",
            self.request.model,
            get_root_key(root),
            self.deadline,
        )

    async def iterate(self) -> AsyncIterator[EngineChunk]:
        """Yield the chunks of the answer, resuming after a broken stream.

        The first chunk is yielded only once the prompt runs; the type of an
        error raised before it tells reliably whether anything ran.
        """
        target = self._build_target()
        last_error: MedlarError | None = None
        for dispatch_number in range(MAX_DISPATCHES):
            if dispatch_number and not self.budgets.spend(self.contract.account):
                get_metrics().count("retries_refused", reason="budget")
                raise self._get_final_error(RetryBudgetSpent()) from last_error
            try:
                async with aclosing(self._run_once(target)) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except (EndpointUnreachable, EndpointRefused, RunFailure) as error:
                if isinstance(error, RunDeadlineExceeded):
                    raise
                last_error = error
                get_metrics().count("retries", reason=type(error).__name__)
            except Refusal as error:
                if last_error is None:
                    raise
                raise self._get_final_error(last_error) from error
        raise self._get_final_error(last_error)

    def _get_final_error(self, error: MedlarError) -> MedlarError:
        """Return ``error``, or ``StreamBroken`` if part of the answer was sent."""
        if self.tokens:
            return StreamBroken(tokens=self.tokens)
        return error

    async def _run_once(self, target: RoutingTarget) -> AsyncIterator[EngineChunk]:
        """Yield the chunks of one dispatch."""
        version = self.weight_version if self.tokens else ""
        search = PermitSearch(
            self.router, target, self._excluded, self.list_block_keys, version
        )
        acquired = await search.run()
        endpoint, held = acquired.endpoint, acquired.held
        error: BaseException | None = None
        incarnation = ""
        try:
            if self.context is not None:
                await self.context.restore(self, endpoint, held)
            self.router.check_dispatch(endpoint, held)
            request = self._build_request(endpoint)
            remaining_s = max(MIN_TIMEOUT_S, target.get_remaining_s())
            silence_s = min(self.policy.first_token_silence_s, remaining_s)
            async with self.engines.open(endpoint, request, silence_s) as stream:
                incarnation = stream.incarnation
                self.weight_version = stream.weight_version
                self.router.permits.record_started(held, incarnation)
                async for chunk in self._relay(stream):
                    yield chunk
            if self.context is not None:
                self.context.save_context(self, endpoint)
        except BaseException as caught:
            error = caught
            if isinstance(caught, RunFailure | EndpointUnreachable | EndpointRefused):
                self._excluded.add(endpoint.name)
            raise
        finally:
            self.router.record_outcome(endpoint, held, error, incarnation)

    def _build_request(self, endpoint: Endpoint) -> EngineRequest:
        return EngineRequest(
            request_id=self.request_id,
            model=self.request.model,
            prompt=self.request.prompt,
            max_tokens=self.request.max_tokens,
            weight_version=endpoint.weight_version,
            root_key=get_root_key(self.get_root(endpoint)),
            priority=self.contract.priority,
            resume_from=self.tokens,
            resume_text="".join(self.text),
        )

    async def _relay(self, stream) -> AsyncIterator[EngineChunk]:
        """Yield chunks until the deadline, recording the state to resume from."""
        async with aclosing(stream.iterate()) as chunks:
            while True:
                chunk = await self._get_next(chunks, stream.endpoint)
                if chunk is None:
                    return
                if not chunk.finish_reason:
                    self.tokens += 1
                    self.text.append(chunk.text)
                yield chunk

    async def _get_next(self, chunks, endpoint: Endpoint) -> EngineChunk | None:
        """Return the next chunk, or None at the end of the stream."""
        limit_s = self.policy.first_token_silence_s
        if self.tokens:
            limit_s = self.policy.token_silence_s
        remaining_s = self.deadline - trio.current_time()
        if remaining_s > 0:
            with trio.move_on_after(min(limit_s, remaining_s)):
                return await anext(chunks, None)
        if remaining_s <= limit_s:
            raise RunDeadlineExceeded(endpoint=endpoint.name)
        raise StreamSilent(endpoint.name, limit_s, self.tokens)

    def get_root(self, endpoint: Endpoint) -> ContextRoot:
        """Return the root of the prompt's block keys at ``endpoint``."""
        return ContextRoot(
            self.contract.account,
            self.request.model,
            endpoint.weight_version,
            endpoint.adapter,
        )

    def list_block_keys(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the keys of the prompt's complete blocks at ``endpoint``."""
        if not endpoint.block_bytes:
            return ()
        root = self.get_root(endpoint)
        return tuple(
            iterate_block_keys(root, self.request.prompt, endpoint.block_bytes)
        )
