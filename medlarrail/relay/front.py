"""Admits callers' requests by the document in force and answers each of them."""

from collections.abc import Sequence

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.picture import Picture
from medlarrail.core.deployment import Deployment, ServiceRule
from medlarrail.core.errors import (
    DeploymentUnknown,
    Draining,
    MalformedRequest,
    MedlarError,
    PictureOutdated,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.isolation import IsolationPolicy
from medlarrail.policy.rates import RetryBudget
from medlarrail.policy.sizes import PromptMix
from medlarrail.policy.work import ReportingGroup
from medlarrail.relay.book import EndpointBook
from medlarrail.relay.calls import CallFacts, Dialect
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.inbound import Exchange
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.relayed import RelayedRequest
from medlarrail.relay.table import Admitted, RouteTable
from medlarrail.relay.work_exchange import WorkExchange
from medlarrail.relay.work_tally import WorkTally

FEWEST_CONNECTIONS = 2
"""Connections that an entry may always have to one endpoint."""
CONNECTIONS_SHARE = 0.9
"""Part of an endpoint's limit of connections that all entries together use."""
MAINTENANCE_INTERVAL_S = 1.0
"""Pause between two looks at idle connections: a quarter of their time."""


@frozen
class RetryPolicy:
    """The budget of repeats that all gateways share.

    In ``window_s`` seconds a service may get ``ratio`` of its requests and
    ``slack`` more as repeats.
    """

    window_s: float = 10.0
    ratio: float = 0.2
    slack: float = 10.0


@define(eq=False)
class RelayFront:
    """Answers callers' requests by this entry's picture of the deployment."""

    picture: Picture
    dialect: Dialect
    book: EndpointBook
    retries: RetryPolicy = field(factory=RetryPolicy)
    isolation: IsolationPolicy = field(factory=IsolationPolicy)
    pool: OutboundPool = field(factory=OutboundPool)
    context: ContextIndex | None = None
    work: WorkTally = field(factory=lambda: WorkTally(""))
    exchange: WorkExchange | None = None
    refuse_new: bool = False
    table: RouteTable | None = None
    mix: PromptMix = field(factory=PromptMix)
    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def __attrs_post_init__(self):
        self.picture.on_deployment.append(self._take_deployment)

    def _take_deployment(self, deployment: Deployment) -> None:
        self.table = RouteTable(deployment)

    def get_budget(self, service: str) -> RetryBudget:
        """Return this entry's part of a service's budget of repeats."""
        budget = self._budgets.get(service)
        if budget is None:
            policy = self.retries
            budget = RetryBudget(policy.window_s, policy.ratio, policy.slack)
            self._budgets[service] = budget
        return budget

    async def answer(self, exchange: Exchange) -> None:
        """Answer one request, whatever happens to it."""
        facts = None
        relayed = None
        try:
            facts = self.dialect.read_call(exchange.request.headers)
            admitted = self._admit(exchange, facts)
            relayed = RelayedRequest(self, exchange, facts, admitted)
            await relayed.run()
        except MedlarError as error:
            spare = relayed.spare if relayed is not None else None
            if spare is not None and not exchange.started:
                await spare.send(exchange)
            else:
                tried = relayed.tried if relayed is not None else ()
                await self.answer_error(exchange, error, facts, tried)

    def _admit(self, exchange: Exchange, facts: CallFacts) -> Admitted:
        if self.table is None:
            raise DeploymentUnknown()
        if self.refuse_new:
            raise Draining()
        self.require_confirmed()
        request = exchange.request
        if not request.target.startswith(b"/"):
            raise MalformedRequest(problem="the target is no path")
        return self.table.admit(request.host, request.path, facts.key)

    def require_confirmed(self) -> None:
        """Raise ``PictureOutdated`` where the picture is too old to be used."""
        age_s = self.picture.get_age()
        if not self.isolation.allows(age_s):
            raise PictureOutdated(age_s=round(age_s, 3))

    async def answer_error(
        self,
        exchange: Exchange,
        error: MedlarError,
        facts: CallFacts | None = None,
        tried: Sequence[str] = (),
    ) -> None:
        """Give the final answer that stands for ``error``.

        ``tried`` names the endpoints that the request was sent to.
        """
        refusal = self.dialect.refuse(error)
        get_metrics().count("refusals", reason=type(error).__name__)
        eliot.log_message(
            "request:refused",
            request=facts.request_id if facts else "",
            path=exchange.request.path,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            reason=str(error),
            tried=list(tried),
            version=self.picture.get_version(),
            picture_age_s=round(self.picture.get_age(), 3),
        )
        if exchange.started:
            exchange.abort()
            return
        headers, body = self.dialect.write_refusal(refusal, facts)
        await exchange.send_whole(refusal.status, headers, body)

    def find_group(self) -> ReportingGroup:
        """Return the entries that know of each other's work at engines."""
        if self.exchange is None:
            return ReportingGroup((self.work.entry,) * self.picture.entry_count)
        return self.exchange.find_group()

    async def maintain(self) -> None:
        """Close stale connections and forget endpoints that left."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            self.pool.drop_idle()
            self.book.forget_departed()
            present = {one.announced.address for one in self.picture.endpoints.values()}
            for address in set(self.pool.idle) - present:
                self.pool.drop_address(address)

    def get_connection_limit(self, service: ServiceRule) -> int:
        """Return the connections that this entry may have to one endpoint."""
        if not service.max_connections:
            return 1 << 30
        part = service.max_connections * CONNECTIONS_SHARE / self.picture.entry_count
        return max(FEWEST_CONNECTIONS, int(part))
