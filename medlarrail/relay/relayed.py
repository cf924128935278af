"""One admitted request on its way to an endpoint and back.

A request that may not be repeated is sent on once; it is sent again only where
the endpoint states that it did not run it, or where no connection was made. A
refusal is given only while nothing ran.
"""

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.picture import PicturedEndpoint
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import (
    DeadlineExceeded,
    EndpointRefused,
    EndpointUnreachable,
    MedlarError,
    NoEndpoint,
    Overloaded,
    Refusal,
    RetryLimit,
    RunDeadlineExceeded,
    RunFailure,
    StreamBroken,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import ContextScope
from medlarrail.policy.context import TransferPlan
from medlarrail.relay.attempt import Attempt, WholeAnswer
from medlarrail.relay.calls import CallFacts, Dispatch
from medlarrail.relay.choice import EndpointChooser
from medlarrail.relay.inbound import Exchange
from medlarrail.relay.table import Admitted, choose_service
from medlarrail.relay.work_tally import WorkItem

ANSWER_GRACE_S = 0.08
"""Time past the deadline for which an endpoint's own answer to it is awaited."""
TURN_INTERVAL_S = 0.04
"""Pause between two looks of a prompt that waits for its turn: short against the
time that an engine reads a long prompt."""
LARGEST_ATTEMPTS = 6
"""Endpoints tried for one request, those included that did not run it."""


@define(eq=False)
class RelayedRequest:
    """One admitted request and its attempts."""

    front: "RelayFront"  # noqa: F821
    exchange: Exchange
    facts: CallFacts
    admitted: Admitted
    deadline: float = field(init=False)
    """On trio's clock."""
    service: ServiceRule = field(init=False)
    tried: list[str] = field(factory=list)
    runs: int = 0
    """Attempts that ran or may have run."""
    sends: int = 0
    """Attempts that reached an endpoint, those that it rejected included."""
    failure: MedlarError | None = None
    run_failure: RunFailure | None = None
    """How an attempt failed that may have run."""
    in_doubt: bool = False
    """Whether an attempt is under way that may run."""
    spare: WholeAnswer | None = None
    last_event_id: str = ""
    chooser: EndpointChooser = field(init=False)

    def __attrs_post_init__(self):
        route = self.admitted.route
        limit_ms = route.timeout_ms
        if self.facts.deadline_ms is not None:
            limit_ms = min(limit_ms, self.facts.deadline_ms)
        self.deadline = self.exchange.request.received_at + limit_ms / 1000
        name = choose_service(route, self.facts.request_id)
        self.service = self.front.table.services[name]
        self.last_event_id = self.facts.last_event_id
        self.chooser = EndpointChooser(self)

    def get_rest_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - trio.current_time()

    async def run(self) -> None:
        """Try endpoints until the caller has its answer; raises why it has none."""
        ended = False
        try:
            await self._run_in_time()
            ended = True
        except MedlarError:
            ended = True
            raise
        finally:
            # The caller left: by a cancellation, or by a write that broke.
            if not ended:
                self._log_abandoned()

    async def _run_in_time(self) -> None:
        self.front.get_budget(self.service.name).note_request(self.front.book.clock())
        with trio.move_on_at(self.deadline + ANSWER_GRACE_S) as scope:
            try:
                await self._try_endpoints()
            except Refusal:
                if self.run_failure is None:
                    raise
                # An earlier attempt may have run, so no refusal would be true.
                raise self.run_failure from None
        if scope.cancelled_caught:
            get_metrics().count("deadlines_passed", service=self.service.name)
            if self.runs or self.in_doubt:
                raise RunDeadlineExceeded()
            raise DeadlineExceeded()

    async def _try_endpoints(self) -> None:
        while True:
            endpoint = await self._take_turn()
            if endpoint is None:
                self._log_no_endpoint()
                raise self.failure or NoEndpoint(target=self.service.name)
            if await self._attempt(endpoint):
                return
            self._check_further()

    async def _take_turn(self) -> PicturedEndpoint | None:
        """Return the endpoint for the next attempt, once it is this prompt's turn.

        Raises ``Overloaded`` for a prompt that has no chance to be in time.
        """
        began_at = trio.current_time()
        while (choice := self.chooser.choose()).action == "wait":
            await trio.sleep(TURN_INTERVAL_S)
        waited_s = trio.current_time() - began_at
        if waited_s > TURN_INTERVAL_S or choice.action == "refuse":
            get_metrics().count("turns", outcome=choice.action)
            get_metrics().observe("turn_wait", waited_s)
            eliot.log_message(
                "request:turn",
                request=self.facts.request_id,
                outcome=choice.action,
                waited_ms=round(waited_s * 1000, 1),
                backlog_ms=round(choice.backlog_ms, 1),
                prompt_tokens=self.facts.prompt_tokens,
            )
        if choice.action == "refuse":
            raise self.failure or Overloaded(
                endpoint=self.service.name, retry_after_s=choice.backlog_ms / 1000
            )
        return choice.endpoint

    def _check_further(self) -> None:
        """Raise the latest failure unless another attempt is allowed."""
        allowed = self.runs == 0 or self._may_run_again()
        if not allowed or len(self.tried) >= LARGEST_ATTEMPTS:
            raise self.failure
        if self.get_rest_s() <= 0:
            raise self.failure
        self.front.require_confirmed()
        if self.sends == 0:
            return
        budget = self.front.get_budget(self.service.name)
        entry_count = self.front.picture.entry_count
        if not budget.spend(self.front.book.clock(), entry_count):
            get_metrics().count("retries_refused", service=self.service.name)
            if self.runs:
                raise self.failure
            raise RetryLimit(service=self.service.name) from self.failure
        get_metrics().count("retries", reason=type(self.failure).__name__)

    def _may_run_again(self) -> bool:
        """Return whether another run is allowed after those that failed."""
        route = self.admitted.route
        return route.repeatable and self.runs < max(1, route.max_attempts)

    def begin_work(
        self, endpoint: PicturedEndpoint, dispatch: Dispatch
    ) -> WorkItem | None:
        """See ``Relayed``: only long prompts are counted."""
        if self.service.engine is None or not self.chooser.is_long:
            return None
        tokens = self.facts.prompt_tokens
        pairs = zip(self.facts.parts, dispatch.fetch, strict=False)
        fetched = sum(part.tokens for part, source in pairs if source)
        unread = max(0, tokens - fetched)
        return self.front.work.begin(endpoint.announced.name, unread, tokens)

    def get_scope(self, version: int) -> str:
        """Return the name of the scope of this request's context."""
        account = self.admitted.account
        apart = account is not None and account.isolated
        name = account.name if apart else ""
        return str(ContextScope(name, self.facts.model, version))

    def build_dispatch(self, endpoint: PicturedEndpoint) -> Dispatch:
        """Return what goes with the request to ``endpoint``."""
        account = self.admitted.account
        engine = self.service.engine is not None
        version = endpoint.announced.get_version(self.facts.model) if engine else 0
        scope = self.get_scope(version) if engine else ""
        plan = self._plan_transfers(endpoint, scope, version)
        if engine:
            now = self.front.book.clock()
            tokens = self.facts.prompt_tokens
            self.front.mix.record(now, self.facts.own_tokens, tokens)
        return Dispatch(
            endpoint=endpoint.announced,
            deadline_ms=max(1, int(self.get_rest_s() * 1000)),
            account=account.name if account is not None else "",
            priority=self.admitted.priority if engine else None,
            cache_scope=scope,
            weight_version=version,
            last_event_id=self.last_event_id,
            fetch=plan.fetch,
            save=plan.save,
        )

    def _plan_transfers(
        self, endpoint: PicturedEndpoint, scope: str, version: int
    ) -> TransferPlan:
        """Return the transfers of the shared parts; the last part is never moved.

        What is kept is made by one weight version, so an endpoint whose version
        is not known takes part in nothing.
        """
        parts = self.facts.parts
        context = self.front.context
        if context is None or not version or len(parts) < 2:
            return TransferPlan()
        plan = context.plan(scope, parts[:-1], endpoint.announced.data_centre)
        return TransferPlan((*plan.fetch, ""), (*plan.save, ""))

    async def _attempt(self, endpoint: PicturedEndpoint) -> bool:
        """Send the request once; returns whether the caller has its answer."""
        name = endpoint.announced.name
        attempt = Attempt(self, endpoint)
        self.tried.append(name)
        try:
            await attempt.run()
        except EndpointUnreachable as error:
            self.front.book.health.note_failure(name)
            self.failure = error
        except EndpointRefused as error:
            self.sends += 1
            self.failure = error
        except RunFailure as error:
            self.sends += 1
            self.runs += 1
            self.failure = self.run_failure = error
            if isinstance(error, StreamBroken):
                self.front.book.health.note_failure(name)
        else:
            self._log(attempt, "answered")
            return True
        self.in_doubt = False
        self._log(attempt, str(self.failure))
        return False

    def _log_abandoned(self) -> None:
        """Log a request whose caller left before it had its answer."""
        get_metrics().count("requests_abandoned", service=self.service.name)
        received_at = self.exchange.request.received_at
        eliot.log_message(
            "request:abandoned",
            request=self.facts.request_id,
            route=self.admitted.route.name,
            service=self.service.name,
            tried=self.tried,
            started=self.exchange.started,
            total_ms=round((trio.current_time() - received_at) * 1000, 1),
            version=self.front.picture.get_version(),
        )

    def _log_no_endpoint(self) -> None:
        eliot.log_message(
            "request:no-endpoint",
            request=self.facts.request_id,
            route=self.admitted.route.name,
            service=self.service.name,
            tried=self.tried,
            endpoints=self.front.book.count_obstacles(self.service),
            picture_age_s=round(self.front.picture.get_age(), 3),
        )

    def _log(self, attempt: Attempt, outcome: str) -> None:
        request = self.exchange.request
        record = self.front.book.get_record(attempt.endpoint.announced.name)
        eliot.log_message(
            "request:attempt",
            request=self.facts.request_id,
            route=self.admitted.route.name,
            service=self.service.name,
            account=self.admitted.account.name if self.admitted.account else "",
            endpoint=attempt.endpoint.announced.name,
            in_flight=record.in_flight,
            reported=record.load.running if record.load is not None else -1,
            failure_rate=round(record.failure_rate, 3),
            number=len(self.tried),
            prompt_tokens=self.facts.prompt_tokens,
            transfers=attempt.dispatch.describe_transfers() if attempt.dispatch else [],
            status=attempt.status,
            outcome=outcome,
            first_ms=round(attempt.first_s * 1000, 1),
            total_ms=round((trio.current_time() - request.received_at) * 1000, 1),
            version=self.front.picture.get_version(),
            picture_age_s=round(self.front.picture.get_age(), 3),
        )
