"""The HTTP interface for callers: prompts, service calls, models and entries."""

import secrets
from collections.abc import AsyncIterator
from contextlib import aclosing, contextmanager

import trio
from attrs import define, field, frozen

from medlarrail.core.clock import get_wall_time
from medlarrail.core.codec import encode_error
from medlarrail.core.entities import Contract
from medlarrail.core.errors import (
    BadField,
    ContractLimit,
    Draining,
    MedlarError,
    NotAllowed,
    SessionExpired,
    UnknownModel,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.core.timing import ENTRY_LIST_TTL_S
from medlarrail.ownership.path_health import RetryBudgets
from medlarrail.protocol.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    DONE,
    Answer,
    ChatRequest,
    CompletionRequest,
    EngineChunk,
    Shape,
    Usage,
    format_answer,
    format_chunk,
    format_event,
    render_chat,
)
from medlarrail.serving.access import AccountDirectory
from medlarrail.serving.engine_client import EngineClient
from medlarrail.serving.routing import (
    ContextRestorer,
    PromptRun,
    Router,
    RoutingPolicy,
)
from medlarrail.serving.service_calls import ServiceCalls, ServiceRequest
from medlarrail.transport.routes import (
    IDEMPOTENCY_HEADER,
    EventStream,
    Reply,
    Request,
    route,
)

DEADLINE_HEADER = "x-deadline-ms"
SERVICES_PREFIX = "/v1/services/"
RETRY_ELSEWHERE_S = 0.2
OUT_OF_SERVICE_GRACE_S = ENTRY_LIST_TTL_S


@frozen
class CallerLimits:
    """Limits on requests from callers; sizes in bytes, times in seconds."""

    prompt_bytes: int = 4_000_000
    max_tokens: int = 32_000
    deadline_s: float = 600.0


@frozen
class EntryAddress:
    """The address of an entry that callers may use."""

    url: str
    data_centre: str


@frozen
class EntryList:
    """Entries in order of preference, and how long to cache the list."""

    entries: tuple[EntryAddress, ...]
    keep_s: float = ENTRY_LIST_TTL_S


@frozen
class ModelInfo:
    """A model in the list of models."""

    id: str
    object: str = "model"
    owned_by: str = "medlarrail"


@frozen
class ModelList:
    """The models that at least one endpoint serves."""

    data: tuple[ModelInfo, ...]
    object: str = "list"


@define
class CallerApi:
    """Handles the requests of callers."""

    directory: AccountDirectory
    router: Router
    engines: EngineClient
    services: ServiceCalls
    budgets: RetryBudgets
    policy: RoutingPolicy
    limits: CallerLimits
    context: ContextRestorer | None = None
    draining: bool = False
    _running: dict[str, int] = field(factory=dict)
    _out_of_service_since: float | None = None

    @route("GET", "/v1/entries")
    async def handle_entries(self, request: Request) -> EntryList:
        """Return the entries to use, in an order that spreads callers over them."""
        catalogue = self.router.follower.catalogue
        self.router.session.require_lease()
        addresses = {
            session.url: EntryAddress(session.url, session.data_centre)
            for session in catalogue.view.list_owners()
        }
        in_service = {
            url: address
            for url, address in addresses.items()
            if catalogue.is_data_centre_in_service(address.data_centre)
        }
        candidates = in_service or addresses
        ranked_urls = rank_nodes(
            candidates, request.get_bearer() or secrets.token_hex(4)
        )
        return EntryList(tuple(candidates[url] for url in ranked_urls))

    @route("GET", "/v1/models")
    async def handle_models(self, request: Request) -> ModelList:
        """Return the models that the caller's contract allows."""
        contract = self.directory.find_contract(request.get_bearer())
        catalogue = self.router.follower.catalogue
        served = {
            endpoint.serves
            for endpoint in catalogue.endpoints.values()
            if endpoint.kind == "model"
        }
        allowed = [
            name
            for name in sorted(served)
            if not contract.models or name in contract.models
        ]
        return ModelList(tuple(ModelInfo(name) for name in allowed))

    @route("POST", COMPLETIONS_PATH, CompletionRequest)
    async def handle_completion(self, request: Request) -> Reply | EventStream:
        """Answer a prompt."""
        return await self._answer_prompt(request, request.message, "completion")

    @route("POST", CHAT_PATH, ChatRequest)
    async def handle_chat(self, request: Request) -> Reply | EventStream:
        """Answer a chat."""
        return await self._answer_prompt(request, render_chat(request.message), "chat")

    def _admit(self, request: Request) -> Contract:
        """Return the caller's contract, or refuse the request before it runs."""
        contract = self.directory.find_contract(request.get_bearer())
        if self.draining:
            raise Draining(retry_after_s=RETRY_ELSEWHERE_S)
        self.router.session.require_lease()
        self._check_data_centre()
        return contract

    def _check_data_centre(self) -> None:
        """Refuse if the data centre has been out of service for the grace period.

        Until then, callers may still use an entry list fetched before.
        """
        session = self.router.session
        if self.router.follower.catalogue.is_data_centre_in_service(
            session.data_centre
        ):
            self._out_of_service_since = None
            return
        now = self.router.clock()
        if self._out_of_service_since is None:
            self._out_of_service_since = now
        if now > self._out_of_service_since + OUT_OF_SERVICE_GRACE_S:
            raise SessionExpired(entry=session.name, retry_after_s=RETRY_ELSEWHERE_S)

    def get_deadline(self, request: Request, contract: Contract) -> float:
        """Return the request's deadline on trio's clock."""
        limit_s = contract.deadline_s
        header = request.headers.get(DEADLINE_HEADER, "")
        if header:
            if not header.isdigit() or int(header) == 0:
                raise BadField(place=DEADLINE_HEADER, problem="not a positive number")
            limit_s = int(header) / 1000
        return trio.current_time() + min(limit_s, self.limits.deadline_s)

    @contextmanager
    def _count_running(self, contract: Contract):
        """Enforce the contract's limit of running requests at this entry."""
        account = contract.account
        if self._running.get(account, 0) >= contract.max_running:
            raise ContractLimit(account=account)
        self._running[account] = self._running.get(account, 0) + 1
        try:
            yield
        finally:
            self._running[account] -= 1
            if not self._running[account]:
                del self._running[account]

    def _check_prompt(self, contract: Contract, prompt: CompletionRequest) -> None:
        if contract.models and prompt.model not in contract.models:
            raise NotAllowed(what=f"model {prompt.model}")
        catalogue = self.router.follower.catalogue
        if not any(catalogue.iterate_endpoints("model", prompt.model)):
            raise UnknownModel(model=prompt.model)
        if len(prompt.prompt.encode()) > self.limits.prompt_bytes:
            raise BadField(place="$.prompt", problem="longer than the limit")
        if not 0 < prompt.max_tokens <= self.limits.max_tokens:
            raise BadField(place="$.max_tokens", problem="out of range")

    async def _answer_prompt(
        self, request: Request, prompt: CompletionRequest, shape: Shape
    ) -> Reply | EventStream:
        contract = self._admit(request)
        self._check_prompt(contract, prompt)
        run = PromptRun(
            router=self.router,
            engines=self.engines,
            budgets=self.budgets,
            policy=self.policy,
            contract=contract,
            request=prompt,
            deadline=self.get_deadline(request, contract),
            context=self.context,
        )
        self.budgets.earn(contract.account, contract.retry_ratio)
        chunks = self._count_chunks(run)
        try:
            first = await anext(chunks)
        except BaseException:
            await chunks.aclose()
            raise
        if prompt.stream:
            return EventStream(_stream_chunks(run, first, chunks, shape))
        return await _collect_answer(run, first, chunks, shape)

    async def _count_chunks(self, run: PromptRun) -> AsyncIterator[EngineChunk]:
        """Yield the chunks of a run while counting it as a running request."""
        with self._count_running(run.contract):
            async with aclosing(run.iterate()) as chunks:
                async for chunk in chunks:
                    if run.tokens <= 1 and not chunk.finish_reason:
                        seconds = trio.current_time() - run.started_at
                        get_metrics().observe("first_token", seconds)
                    yield chunk
        get_metrics().count("prompts_answered")

    async def handle_service(self, request: Request) -> Reply:
        """Forward a call to a plain service."""
        contract = self._admit(request)
        service, _, path = request.tail.partition("/")
        call = ServiceRequest(
            service=service,
            method=request.method,
            path=path,
            body=request.body,
            content_type=request.headers.get("content-type", ""),
            key=request.headers.get(IDEMPOTENCY_HEADER, ""),
            request_id=f"call-{secrets.token_hex(12)}",
        )
        deadline = self.get_deadline(request, contract)
        self.budgets.earn(contract.account, contract.retry_ratio)
        started_at = trio.current_time()
        with self._count_running(contract):
            answer = await self.services.call(contract, call, deadline)
        get_metrics().observe("service_call", trio.current_time() - started_at)
        get_metrics().count("calls_answered")
        return Reply(answer.status, answer.body.encode("latin-1"), answer.content_type)

    @route("GET", f"{SERVICES_PREFIX}*")
    async def handle_service_get(self, request: Request) -> Reply:
        """Forward a GET call."""
        return await self.handle_service(request)

    @route("POST", f"{SERVICES_PREFIX}*")
    async def handle_service_post(self, request: Request) -> Reply:
        """Forward a POST call."""
        return await self.handle_service(request)

    @route("PUT", f"{SERVICES_PREFIX}*")
    async def handle_service_put(self, request: Request) -> Reply:
        """Forward a PUT call."""
        return await self.handle_service(request)

    @route("DELETE", f"{SERVICES_PREFIX}*")
    async def handle_service_delete(self, request: Request) -> Reply:
        """Forward a DELETE call."""
        return await self.handle_service(request)


async def _stream_chunks(
    run: PromptRun, first: EngineChunk, remaining_chunks, shape: Shape
) -> AsyncIterator[bytes]:
    """Yield the events of a streamed answer; ``[DONE]`` ends a complete answer."""
    created_s = int(get_wall_time())
    model = run.request.model
    async with aclosing(remaining_chunks):
        try:
            yield format_chunk(first, model, shape, created_s)
            async for chunk in remaining_chunks:
                yield format_chunk(chunk, model, shape, created_s)
        except MedlarError as error:
            get_metrics().count("streams_failed", reason=type(error).__name__)
            yield format_event(encode_error(error))
            return
        yield format_event(DONE)


async def _collect_answer(
    run: PromptRun, first: EngineChunk, remaining_chunks, shape: Shape
) -> Reply:
    """Return the complete answer in one reply."""
    last = first
    async with aclosing(remaining_chunks):
        async for chunk in remaining_chunks:
            last = chunk
    answer = Answer(
        run.request_id,
        run.request.model,
        "".join(run.text),
        last.finish_reason,
        last.usage or Usage(),
    )
    return Reply(body=format_answer(answer, shape, int(get_wall_time())))
