"""Rolls out the desired weight versions to endpoints, on the leading state member.

Orders carry the leader's term as a fencing token, so endpoints reject those of an
earlier leader. A new leader sends no order until any order of its predecessor must
have arrived. Each order contains the expected number of orders that the endpoint has
accepted, so an order that is delayed past another one is rejected.
"""

from typing import Literal, Protocol

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import MedlarError, NotLeader, PeerError
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.rollout import RolloutView, choose_endpoints_to_load

CHECK_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.35
"""Interval between polls of an endpoint that is loading."""
OrderResult = Literal["accepted", "holds", "conflict", "fenced", "gone", "rejected"]


@frozen
class EngineState:
    """State that an endpoint reports: its weights and the orders that it accepted."""

    versions: tuple[tuple[str, int], ...]
    orders_taken: int
    busy: bool

    def get_version(self, model: str) -> int:
        """Return the loaded version of ``model``, or 0."""
        return next((version for name, version in self.versions if name == model), 0)


@frozen
class WeightOrder:
    """An order to load ``version`` of ``model`` once running requests have ended."""

    endpoint: Announcement
    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int
    """The endpoint rejects the order if it has accepted a different number."""


class WeightOrderSender(Protocol):
    """Sends orders to endpoints."""

    async def read_state(self, endpoint: Announcement) -> EngineState:
        """Return the state that the endpoint reports."""

    async def order(self, order: WeightOrder) -> OrderResult:
        """Send one order; raises ``PeerError`` if its outcome is unknown."""


@frozen
class RolloutPolicy:
    """Limits of a rollout.

    At most ``at_once`` endpoints load at the same time. A new leader sends no order
    for ``quiet_s`` seconds, the time within which the holder of orders must not change.
    """

    at_once: int = 2
    quiet_s: float = 3.2


@define
class OrderedLoad:
    """A load of weights that an endpoint was ordered to run."""

    model: str
    version: int
    started_at: float


@define(eq=False)
class WeightRollout:
    """Orders endpoints to load weights while its member leads."""

    view_server: ClusterViewServer
    orders: WeightOrderSender
    policy: RolloutPolicy
    loads: dict[str, OrderedLoad] = field(factory=dict)
    _term: int = -1

    async def run(self) -> None:
        """Order loads for endpoints with outdated weights until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                try:
                    self._check_endpoints(nursery)
                except NotLeader:
                    continue
                except MedlarError as error:
                    reason = type(error).__name__
                    get_metrics().count("rollout_failures", reason=reason)

    def _check_endpoints(self, nursery: trio.Nursery) -> None:
        self.view_server.require_leading()
        leadership = self.view_server.member.require_lease()
        if leadership.term != self._term:
            self._term = leadership.term
            self.loads.clear()
        self._complete_announced_loads()
        now = self.view_server.clock()
        if now - leadership.elected_at < self.policy.quiet_s:
            return
        for name in choose_endpoints_to_load(
            list(self._iterate_views(now)), self.policy.at_once
        ):
            self._start_load(name, now, nursery)

    def _complete_announced_loads(self) -> None:
        """Complete the loads of endpoints that announced the new version.

        An endpoint announces a new version at once, while its polled reports lag.
        """
        for name, load in list(self.loads.items()):
            record = self.view_server.registry.endpoints.get(name)
            if record is None:
                continue
            if record.announced.get_version(load.model) >= load.version:
                self._complete_load(name, load, "announced")

    def _complete_load(self, name: str, load: OrderedLoad, source: str) -> None:
        """Complete a load, so that the endpoint receives requests again."""
        del self.loads[name]
        eliot.log_message(
            "weights:loaded", endpoint=name, version=load.version, source=source
        )
        self.view_server.registry.set_loading(name, False)
        self.view_server.notify_waiters()

    def _iterate_views(self, now: float):
        desired = self.view_server.member.catalogue.desired
        for name, record in self.view_server.registry.endpoints.items():
            for weights in record.announced.models:
                target = desired.get(weights.model)
                if target is None or not target.ordinal:
                    continue
                load = self.loads.get(name)
                yield RolloutView(
                    name=name,
                    model=weights.model,
                    version=weights.version,
                    desired=target.ordinal,
                    leaving=record.announced.state != "ready",
                    loading_s=None if load is None else now - load.started_at,
                    silent_s=now - record.announced_at,
                )

    def _start_load(self, name: str, now: float, nursery: trio.Nursery) -> None:
        announced = self.view_server.registry.endpoints[name].announced
        desired = self.view_server.member.catalogue.desired
        model = next(
            weights.model
            for weights in announced.models
            if weights.model in desired
            and weights.version < desired[weights.model].ordinal
        )
        load = OrderedLoad(model, desired[model].ordinal, now)
        self.loads[name] = load
        if self.view_server.registry.set_loading(name, True):
            self.view_server.notify_waiters()
        nursery.start_soon(self._run_load, announced, model, load, self._term)

    async def _run_load(
        self, announced: Announcement, model: str, load: OrderedLoad, term: int
    ) -> None:
        """Order one load and poll the endpoint until it has ended."""
        name = announced.name
        try:
            while self.loads.get(name) is load and self._is_present(announced):
                if await self._advance_load(announced, model, load, term):
                    break
                await trio.sleep(POLL_INTERVAL_S)
        except NotLeader:
            eliot.log_message(
                "weights:load-abandoned", endpoint=name, reason="not leading"
            )
        finally:
            if self.loads.get(name) is load:
                del self.loads[name]
            if self.view_server.registry.set_loading(name, False):
                self.view_server.notify_waiters()

    def _is_present(self, announced: Announcement) -> bool:
        record = self.view_server.registry.endpoints.get(announced.name)
        return (
            record is not None and record.announced.started_ms == announced.started_ms
        )

    async def _advance_load(
        self, announced: Announcement, model: str, load: OrderedLoad, term: int
    ) -> bool:
        """Read the state and order the load if needed; return whether it has ended."""
        self._require_term(term)
        try:
            state = await self.orders.read_state(announced)
            if state.get_version(model) >= load.version and not state.busy:
                self.view_server.registry.record_version(
                    announced.name, model, load.version
                )
                if self.loads.get(announced.name) is load:
                    self._complete_load(announced.name, load, "reported")
                return True
            if state.busy:
                return False
            self._require_term(term)
            order = WeightOrder(
                endpoint=announced,
                model=model,
                version=load.version,
                holder=self.view_server.member.name,
                fencing=term,
                orders_taken=state.orders_taken,
            )
            result = await self.orders.order(order)
        except PeerError as error:
            get_metrics().count("orders_unanswered", reason=type(error).__name__)
            eliot.log_message(
                "weights:unanswered", endpoint=announced.name, reason=str(error)
            )
            return False
        get_metrics().count("orders_given", result=result)
        eliot.log_message(
            "weights:ordered",
            endpoint=announced.name,
            version=load.version,
            fencing=term,
            orders_taken=order.orders_taken,
            result=result,
        )
        return result == "gone"

    def _require_term(self, term: int) -> None:
        """Raise ``NotLeader`` unless this member currently leads in ``term``."""
        leadership = self.view_server.member.require_lease()
        if leadership.term != term:
            raise NotLeader()
