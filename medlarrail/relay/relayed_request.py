"""Relays one admitted request to an endpoint and the answer back to its caller.

A request that may not be retried runs at most once; it is sent again only if the
endpoint states that it did not run it, or if no connection was established. A
refusal is returned only if nothing has run.
"""

import eliot
import trio
from attrs import asdict, define, field

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import (
    AnswerTooLong,
    ConnectionsUsedUp,
    DeadlineExceeded,
    Draining,
    EndpointBackingOff,
    EndpointOutOfService,
    EndpointRefused,
    EndpointUnreachable,
    MedlarError,
    NoEndpoint,
    Overloaded,
    Refusal,
    RetryLimit,
    RunDeadlineExceeded,
    RunFailure,
    RunInterrupted,
    StreamBroken,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import ContextScope, name_account
from medlarrail.policy.answer_end import EndEvidence
from medlarrail.policy.context import TransferPlan
from medlarrail.policy.prompt_turns import get_retry_after_s
from medlarrail.policy.stream_order import StreamOrder, describe_id
from medlarrail.policy.weight_use import get_replaced_s
from medlarrail.relay.attempt import Attempt
from medlarrail.relay.buffered_answer import BufferedAnswer
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.crash_evidence import CrashEvidence
from medlarrail.relay.endpoint_choice import EndpointChooser
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.metadata import DispatchMetadata, RequestMetadata
from medlarrail.relay.part_location import PartLocation
from medlarrail.relay.prefill_sharing import PrefillSharing
from medlarrail.relay.prompt_wait import PromptWait
from medlarrail.relay.request_forwarding import RequestForwarding
from medlarrail.relay.room_wait import RoomWait
from medlarrail.relay.stream_version import StreamVersion
from medlarrail.relay.table import Admission, choose_service
from medlarrail.relay.workload_lookup import WorkloadLookup
from medlarrail.relay.workload_tracker import TrackedPrompt

DEADLINE_GRACE_S = 0.08
"""Time past the deadline to wait for the endpoint's own time-out answer."""
DISPATCH_POLL_INTERVAL_S = 0.04
"""Pause between two dispatch decisions for a waiting prompt: short compared to the
prefill time of a long prompt."""
MAX_ATTEMPTS = 6
"""Maximum endpoints tried per request, including those that did not run it."""


@define(eq=False)
class RelayedRequest:
    """One admitted request and its attempts."""

    relay: "RequestRelay"  # noqa: F821
    exchange: ServerExchange
    metadata: RequestMetadata
    admission: Admission
    deadline: float = field(init=False)
    """On trio's clock."""
    service: ServiceRule = field(init=False)
    tried: list[str] = field(factory=list)
    runs: int = 0
    """Attempts that ran or may have run."""
    sends: int = 0
    """Attempts that reached an endpoint, including rejected ones."""
    failure: MedlarError | None = None
    run_failure: RunFailure | None = None
    """Failure of the latest attempt that may have run."""
    may_be_running: bool = False
    """Whether an attempt in progress may be running at its endpoint."""
    fallback_answer: BufferedAnswer | None = None
    interrupted: bool = False
    """Whether the gateway has ended this request to shut down."""
    _scope: trio.CancelScope | None = None
    _unlogged: Attempt | None = None
    """The attempt in progress."""
    forwarding: RequestForwarding = field(init=False)
    room_wait: RoomWait = field(init=False)
    part_location: PartLocation = field(init=False)
    prefill_sharing: PrefillSharing = field(init=False)
    workload_lookup: WorkloadLookup = field(init=False)
    prompt_wait: PromptWait = field(init=False)
    evidence: CrashEvidence = field(init=False)
    chooser: EndpointChooser = field(init=False)
    stream_version: StreamVersion = field(init=False)
    stream_order: StreamOrder = field(init=False)
    version_choice: "VersionChoice | None" = None  # noqa: F821
    """None in a deployment without software rollouts."""

    def __attrs_post_init__(self):
        route = self.admission.route
        limit_ms = route.timeout_ms
        if self.metadata.deadline_ms is not None:
            limit_ms = min(limit_ms, self.metadata.deadline_ms)
        self.deadline = self.exchange.request.received_at + limit_ms / 1000
        # A stream goes on at the service that began it.
        name = choose_service(route, self.origin_id)
        self.service = self.relay.table.services[name]
        self.stream_order = StreamOrder(self.metadata.last_event_id)
        self.evidence = CrashEvidence(self)
        self.chooser = EndpointChooser(self)
        self.stream_version = StreamVersion(self)
        self.forwarding = RequestForwarding(self)
        self.room_wait = RoomWait(self)
        self.part_location = PartLocation(self)
        self.prefill_sharing = PrefillSharing(self)
        self.workload_lookup = WorkloadLookup(self)
        self.prompt_wait = PromptWait(self)
        if self.relay.rollouts is not None:
            self.version_choice = self.relay.rollouts.build_choice(self)

    @property
    def last_event_id(self) -> str:
        """ID of the event after which the stream goes on, empty if it begins."""
        return self.stream_order.last_id

    @property
    def origin_id(self) -> str:
        """ID of the request that brought the first event of this stream."""
        resumed = self.metadata.resumes if self.metadata.last_event_id else ""
        return resumed or self.metadata.request_id

    def get_remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - trio.current_time()

    async def run(self) -> None:
        """Try endpoints until the caller is answered; raises the error otherwise."""
        ended = False
        self.relay.shutdown.active.add(self)
        try:
            await self._run_until_deadline()
            ended = True
        except MedlarError:
            ended = True
            raise
        finally:
            self.relay.shutdown.active.discard(self)
            if self.version_choice is not None:
                self.version_choice.release()
            # The caller may have got events of an attempt that did not end.
            if self._unlogged is not None:
                self._log_attempt(self._unlogged, "stopped" if ended else "abandoned")
            # The caller disconnected: cancellation, or a failed write.
            if not ended:
                self._log_abandoned()

    def interrupt(self) -> None:
        """End this request with an error answer, unless its answer has begun."""
        if self._scope is not None and not self.exchange.started:
            self.interrupted = True
            self._scope.cancel()

    async def _run_until_deadline(self) -> None:
        # The entry that a caller sent it to has counted it.
        if not self.exchange.request.forwarded_by:
            self.relay.get_budget(self.service.name).record_request(
                self.relay.endpoint_stats.clock()
            )
        with trio.move_on_at(self.deadline + DEADLINE_GRACE_S) as scope:
            self._scope = scope
            try:
                await self._try_endpoints()
            except Refusal:
                if self.run_failure is None:
                    raise
                # An earlier attempt may have run, so a refusal would be wrong.
                raise self.run_failure from None
        if scope.cancelled_caught and self.interrupted:
            get_metrics().count("requests_interrupted", service=self.service.name)
            if self.runs or self.may_be_running:
                raise RunInterrupted()
            raise Draining()
        if scope.cancelled_caught:
            get_metrics().count("deadlines_passed", service=self.service.name)
            if self.runs or self.may_be_running:
                raise RunDeadlineExceeded()
            raise DeadlineExceeded()

    async def _try_endpoints(self) -> None:
        while True:
            if await self.forwarding.run_if_needed():
                return
            endpoint = await self._wait_for_dispatch()
            if endpoint is None:
                if await self.forwarding.run_if_unsent():
                    return
                self._log_no_endpoint()
                raise self._build_failure()
            await self.evidence.request_trial()
            if await self._attempt(endpoint):
                return
            self.check_retry()

    def _build_failure(self) -> MedlarError:
        """Return the error of a request for which no endpoint is left.

        A refusal states the time until an endpoint may be used again, if that is known.
        """
        error = self.failure or NoEndpoint(target=self.service.name)
        wait_s = self.relay.endpoint_stats.get_wait_s(self.service)
        if wait_s is not None and isinstance(error, Refusal):
            error.retry_after_s = min(wait_s, self.get_remaining_s())
        return error

    async def _wait_for_dispatch(self) -> EndpointView | None:
        """Wait until the request may be dispatched, and return the endpoint.

        Raises ``Overloaded`` for a prompt that cannot be served in time.
        """
        began_at = trio.current_time()
        await self._wait_for_endpoints()
        await self.stream_version.resolve()
        with self.prompt_wait.open():
            while True:
                self.evidence.require_not_blocked()
                self.relay.shutdown.require_time(
                    self.admission.route.name, self.exchange.request, self.deadline
                )
                await self.room_wait.run()
                if self.prompt_wait.has_turn():
                    await self.part_location.run()
                    await self.workload_lookup.run()
                    choice = self.chooser.choose()
                    self.prompt_wait.record(choice)
                    if choice.action != "wait":
                        break
                await trio.sleep(DISPATCH_POLL_INTERVAL_S)
        waited_s = trio.current_time() - began_at
        if waited_s > DISPATCH_POLL_INTERVAL_S or choice.action == "refuse":
            get_metrics().count("turns", outcome=choice.action)
            get_metrics().observe("turn_wait", waited_s)
            eliot.log_message(
                "request:dispatch",
                request=self.metadata.request_id,
                outcome=choice.action,
                waited_ms=round(waited_s * 1000, 1),
                backlog_ms=round(choice.backlog_ms, 1),
                tokens_per_ms=round(choice.tokens_per_ms, 1),
                expected_wait_ms=round(self.prompt_wait.get_wait_ms(), 1),
                prompt_tokens=self.metadata.prompt_tokens,
            )
        if choice.action == "refuse":
            raise self.failure or Overloaded(
                endpoint=self.service.name,
                retry_after_s=get_retry_after_s(
                    choice.budget.patience_ms, self.metadata.request_id
                ),
            )
        return choice.endpoint

    async def _wait_for_endpoints(self) -> None:
        """Wait a moment for the service's first endpoint, if this entry is new."""
        startup = self.relay.startup
        if startup is not None and not self.tried:
            await startup.wait(self._knows_endpoint, self.get_remaining_s())

    def _knows_endpoint(self) -> bool:
        return any(
            endpoint.announced.service == self.service.name
            for endpoint in self.relay.cluster_view.endpoints.values()
        )

    def check_retry(self) -> None:
        """Raise the latest failure unless another attempt is allowed."""
        allowed = self.runs == 0 or self._may_retry_run()
        if not allowed or len(self.tried) >= MAX_ATTEMPTS:
            raise self.failure
        if self.get_remaining_s() <= 0:
            raise self.failure
        self.relay.require_confirmed()
        if self.sends == 0:
            return
        budget = self.relay.get_budget(self.service.name)
        entry_count = self.relay.cluster_view.entry_count
        if not budget.try_consume(self.relay.endpoint_stats.clock(), entry_count):
            get_metrics().count("retries_refused", service=self.service.name)
            if self.runs:
                raise self.failure
            raise RetryLimit(service=self.service.name) from self.failure
        get_metrics().count("retries", reason=type(self.failure).__name__)

    def _may_retry_run(self) -> bool:
        """Return whether the route allows another run after failed ones.

        A stream of which the caller has a part must be one that can go on there.
        """
        if self.exchange.started and not self.stream_order.is_resumable:
            return False
        route = self.admission.route
        return route.repeatable and self.runs < max(1, route.max_attempts)

    def begin_work(
        self, endpoint: EndpointView, dispatch: DispatchMetadata
    ) -> TrackedPrompt | None:
        """See ``AttemptRequest``: only long prompts are tracked."""
        if self.service.engine is None or not self.chooser.is_long:
            return None
        tokens = self.metadata.prompt_tokens
        pairs = zip(self.metadata.parts, dispatch.fetch, strict=False)
        fetched = sum(part.tokens for part, source in pairs if source)
        fetched += self.prefill_sharing.count_cached_tokens(endpoint, dispatch)
        unread = max(0, tokens - fetched)
        backlog = self.chooser.backlog_tokens
        prompt = self.relay.workload.begin(
            endpoint.announced.name, unread, tokens, backlog
        )
        prompt.report = self.prefill_sharing.record_sent(endpoint, dispatch)
        return prompt

    @property
    def account_name(self) -> str | None:
        """Name of the account that the request is served for, None on public routes."""
        account = self.admission.account
        return None if account is None else account.name

    def get_scope(self, version: int) -> str:
        """Return the cache namespace of this request's context, by the latest document.

        An account may have become isolated since the request was admitted. What was
        planned for the namespace before is not used then.
        """
        name = self.account_name
        shares = self.allows_sharing()
        owner = self.relay.table.owners.find(name) if shares else name_account(name)
        return str(ContextScope(owner, self.metadata.model, version))

    def allows_sharing(self) -> bool:
        """Return whether accounts share context, and stores are used.

        Without a recent view an account may have been isolated, or its context in the
        stores been freed.
        """
        age_s = self.relay.cluster_view.get_age_s()
        return self.relay.isolation.allows_sharing(age_s)

    def find_stores(self) -> ContextIndex | None:
        """Return what the stores hold, None if there are none or they are not used."""
        context = self.relay.context
        return context if context is not None and self.allows_sharing() else None

    def build_dispatch(self, endpoint: EndpointView) -> DispatchMetadata:
        """Return the metadata sent with the request to ``endpoint``."""
        engine = self.service.engine is not None
        version = endpoint.announced.get_version(self.metadata.model) if engine else 0
        scope = self.get_scope(version) if engine else ""
        plan = self._plan_transfers(endpoint, scope, version)
        plan = self.prefill_sharing.add_source(plan, endpoint)
        if engine:
            now = self.relay.endpoint_stats.clock()
            tokens = self.metadata.prompt_tokens
            self.relay.prompt_mix.record(now, self.metadata.own_tokens, tokens)
        return DispatchMetadata(
            endpoint=endpoint.announced,
            deadline_ms=max(1, int(self.get_remaining_s() * 1000)),
            account=self.account_name or "",
            priority=self.admission.priority if engine else None,
            cache_scope=scope,
            weight_version=version,
            weights_replaced_s=self._get_replaced_s(version) if version else 0.0,
            last_event_id=self.last_event_id,
            fetch=plan.fetch,
            save=plan.save,
        )

    def _get_replaced_s(self, version: int) -> float:
        ages = self.relay.cluster_view.weight_versions.get_ages(self.metadata.model)
        return get_replaced_s(version, ages)

    def _plan_transfers(
        self, endpoint: EndpointView, scope: str, version: int
    ) -> TransferPlan:
        """Return the transfers of the shared parts; the last part is not transferred.

        Stored context is specific to a weight version, so there are no transfers for
        an endpoint whose version is unknown.
        """
        parts = self.metadata.parts
        context = self.find_stores()
        if context is None or not version or len(parts) < 2:
            return TransferPlan()
        directory = self.relay.parts
        if directory is not None and directory.is_needed():
            located = self.part_location.take(scope)
            if located is None:
                return TransferPlan()
            plan = located.plan
        else:
            plan = context.plan(
                scope,
                parts[:-1],
                endpoint.announced.data_centre,
                self.relay.speeds.get_tokens_per_ms(
                    self.service.name, endpoint.announced.name
                ),
            )
        return TransferPlan((*plan.fetch, ""), (*plan.save, ""))

    async def _attempt(self, endpoint: EndpointView) -> bool:
        """Make one attempt; returns whether the caller has been answered."""
        name = endpoint.announced.name
        attempt = self._unlogged = Attempt(self, endpoint)
        self.tried.append(name)
        try:
            await attempt.run()
        except EndpointUnreachable as error:
            self.relay.endpoint_stats.health.record_failure(name)
            self.relay.forwarder.record_unreachable(endpoint.announced)
            self.failure = error
        except (ConnectionsUsedUp, EndpointBackingOff, EndpointOutOfService) as error:
            self.failure = error
        except EndpointRefused as error:
            self.sends += 1
            self.failure = error
        except RunFailure as error:
            self.record_run_failure(error)
            # What has the address has just answered: the gateway or its caller is slow.
            is_late = attempt.end_evidence is EndEvidence.LATE
            if isinstance(error, StreamBroken | AnswerTooLong) and not is_late:
                self.relay.endpoint_stats.health.record_failure(name)
            if isinstance(error, StreamBroken):
                self.relay.pool.processes.record_broken(endpoint.announced.address)
                self.evidence.record_broken(endpoint)
                if not is_late:
                    self.relay.forwarder.record_unreachable(endpoint.announced)
        else:
            self.evidence.record_answered(attempt)
            self._log_attempt(attempt, "answered")
            return True
        self.may_be_running = False
        self._log_attempt(attempt, str(self.failure))
        return False

    def record_run_failure(self, error: RunFailure) -> None:
        """Record an attempt that may have run."""
        self.sends += 1
        self.runs += 1
        self.failure = self.run_failure = error

    def _log_abandoned(self) -> None:
        """Log a request whose caller disconnected before it was answered."""
        get_metrics().count("requests_abandoned", service=self.service.name)
        received_at = self.exchange.request.received_at
        eliot.log_message(
            "request:abandoned",
            request=self.metadata.request_id,
            route=self.admission.route.name,
            service=self.service.name,
            tried=self.tried,
            started=self.exchange.started,
            total_ms=round((trio.current_time() - received_at) * 1000, 1),
            version=self.relay.cluster_view.get_version(),
        )

    def _log_no_endpoint(self) -> None:
        eliot.log_message(
            "request:no-endpoint",
            request=self.metadata.request_id,
            route=self.admission.route.name,
            service=self.service.name,
            tried=self.tried,
            endpoints=self.relay.endpoint_stats.count_unavailable(self.service),
            picture_age_s=round(self.relay.cluster_view.get_age_s(), 3),
        )

    def _log_attempt(self, attempt: Attempt, outcome: str) -> None:
        self._unlogged = None
        request = self.exchange.request
        dispatch = attempt.dispatch
        events = attempt.events
        is_broken = isinstance(self.failure, StreamBroken)
        record = self.relay.endpoint_stats.get_record(attempt.endpoint.announced.name)
        eliot.log_message(
            "request:attempt",
            request=self.metadata.request_id,
            route=self.admission.route.name,
            service=self.service.name,
            account=self.account_name or "",
            endpoint=attempt.endpoint.announced.name,
            in_flight=record.in_flight,
            reported=record.load.running if record.load is not None else -1,
            failure_rate=round(record.failure_rate, 3),
            number=len(self.tried),
            prompt_tokens=self.metadata.prompt_tokens,
            shared_parts=[part.identity for part in self.metadata.shared_parts],
            started_ms=attempt.endpoint.announced.started_ms,
            software_version=attempt.endpoint.announced.software_version,
            told_started_ms=attempt.told_started_ms,
            stream_version=self.stream_version.version,
            stream_evidence=self.stream_version.evidence,
            told_keepers=self.stream_version.told_keepers,
            sent_ms=round(attempt.sent_after_s * 1000, 1),
            connection_age_ms=round(attempt.connection_age_s * 1000, 1),
            cold=asdict(attempt.cold_send) if attempt.cold_send else None,
            transfers=dispatch.describe_transfers() if dispatch else [],
            weight_version=dispatch.weight_version if dispatch else 0,
            weights_replaced_s=round(dispatch.weights_replaced_s, 3) if dispatch else 0,
            limit_per_s=attempt.limit_per_s,
            retry_after_s=attempt.retry_after_s,
            fingerprint=self.evidence.fingerprint.digest if is_broken else "",
            status=attempt.status,
            framing=attempt.framing,
            body_bytes=attempt.body_bytes,
            partial_event=attempt.partial_event,
            resumed_after=describe_id(events.resumed_after) if events else "",
            first_event=describe_id(events.first_id) if events else "",
            last_event=describe_id(events.last_id) if events else "",
            end_evidence=attempt.end_evidence,
            end_times_ms=attempt.end_times_ms,
            outcome=outcome,
            first_ms=round(attempt.first_byte_s * 1000, 1),
            total_ms=round((trio.current_time() - request.received_at) * 1000, 1),
            version=self.relay.cluster_view.get_version(),
            picture_age_s=round(self.relay.cluster_view.get_age_s(), 3),
        )
