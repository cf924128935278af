"""Brings endpoints to the named weight versions, on the leading state member.

Orders carry the leader's term as the fencing token, so those of an earlier
leader lose against them. A new leader gives none until any order of its
predecessor has arrived. Each order names the endpoint's own count of orders, so
one that is carried out late finds that another came before it.
"""

from typing import Literal, Protocol

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.picture_desk import PictureDesk
from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import MedlarError, NotLeader, PeerError
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.weights import WeightView, choose_loads

LOOK_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.35
"""Pause between two questions to an endpoint that loads."""
OrderResult = Literal["accepted", "holds", "conflict", "fenced", "gone", "rejected"]


@frozen
class EngineState:
    """What an endpoint says of its weights and of the orders it took."""

    versions: tuple[tuple[str, int], ...]
    orders_taken: int
    busy: bool

    def get_version(self, model: str) -> int:
        """Return the loaded version of ``model``, or 0."""
        return next((version for name, version in self.versions if name == model), 0)


@frozen
class WeightOrder:
    """An order to load ``version`` of ``model`` once running requests ended."""

    endpoint: Announcement
    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int
    """The order is void if the endpoint has taken another number of orders."""


class WeightOrders(Protocol):
    """Carries orders to endpoints."""

    async def read_state(self, endpoint: Announcement) -> EngineState:
        """Return what the endpoint says of itself."""

    async def order(self, order: WeightOrder) -> OrderResult:
        """Give one order; raises ``PeerError`` where its fate is unknown."""


@frozen
class RolloutPolicy:
    """Limits of a roll-out.

    ``at_once`` endpoints load at the same time; a new leader gives no order for
    ``quiet_s`` seconds, the time within which holders may not take turns.
    """

    at_once: int = 2
    quiet_s: float = 3.2


@define
class Load:
    """A load that was ordered."""

    model: str
    version: int
    started_at: float


@define(eq=False)
class WeightKeeper:
    """Orders loads while its member leads."""

    desk: PictureDesk
    orders: WeightOrders
    policy: RolloutPolicy
    loads: dict[str, Load] = field(factory=dict)
    _term: int = -1

    async def run(self) -> None:
        """Look for endpoints with old weights until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(LOOK_INTERVAL_S)
                try:
                    self._look(nursery)
                except NotLeader:
                    continue
                except MedlarError as error:
                    reason = type(error).__name__
                    get_metrics().count("rollout_failures", reason=reason)

    def _look(self, nursery: trio.Nursery) -> None:
        self.desk.require_leading()
        leadership = self.desk.member.require_lease()
        if leadership.term != self._term:
            self._term = leadership.term
            self.loads.clear()
        self._end_announced()
        now = self.desk.clock()
        if now - leadership.elected_at < self.policy.quiet_s:
            return
        for name in choose_loads(list(self._iterate_views(now)), self.policy.at_once):
            self._begin(name, now, nursery)

    def _end_announced(self) -> None:
        """End the loads of endpoints that announced the new version by themselves.

        They do so at once, and a report lags behind that.
        """
        for name, load in list(self.loads.items()):
            known = self.desk.registry.known.get(name)
            if known is None:
                continue
            if known.announced.get_version(load.model) >= load.version:
                self._end(name, load, "announced")

    def _end(self, name: str, load: Load, source: str) -> None:
        """Let requests go to an endpoint that has loaded."""
        del self.loads[name]
        eliot.log_message(
            "weights:loaded", endpoint=name, version=load.version, source=source
        )
        self.desk.registry.set_loading(name, False)
        self.desk.wake()

    def _iterate_views(self, now: float):
        desired = self.desk.member.catalogue.desired
        for name, known in self.desk.registry.known.items():
            for weights in known.announced.models:
                wanted = desired.get(weights.model)
                if wanted is None or not wanted.ordinal:
                    continue
                load = self.loads.get(name)
                yield WeightView(
                    name=name,
                    model=weights.model,
                    version=weights.version,
                    wanted=wanted.ordinal,
                    leaving=known.announced.state != "ready",
                    loading_s=None if load is None else now - load.started_at,
                    silent_s=now - known.heard_at,
                )

    def _begin(self, name: str, now: float, nursery: trio.Nursery) -> None:
        announced = self.desk.registry.known[name].announced
        desired = self.desk.member.catalogue.desired
        model = next(
            one.model
            for one in announced.models
            if one.model in desired and one.version < desired[one.model].ordinal
        )
        load = Load(model, desired[model].ordinal, now)
        self.loads[name] = load
        if self.desk.registry.set_loading(name, True):
            self.desk.wake()
        nursery.start_soon(self._load, announced, model, load, self._term)

    async def _load(
        self, announced: Announcement, model: str, load: Load, term: int
    ) -> None:
        """Order one load and watch it until its end."""
        name = announced.name
        try:
            while self.loads.get(name) is load and self._is_present(announced):
                if await self._step(announced, model, load, term):
                    break
                await trio.sleep(POLL_INTERVAL_S)
        except NotLeader:
            eliot.log_message("weights:given-up", endpoint=name, reason="not leading")
        finally:
            if self.loads.get(name) is load:
                del self.loads[name]
            if self.desk.registry.set_loading(name, False):
                self.desk.wake()

    def _is_present(self, announced: Announcement) -> bool:
        known = self.desk.registry.known.get(announced.name)
        return known is not None and known.announced.started_ms == announced.started_ms

    async def _step(
        self, announced: Announcement, model: str, load: Load, term: int
    ) -> bool:
        """Ask for the state and order what is missing; True once it is loaded."""
        self._require_term(term)
        try:
            state = await self.orders.read_state(announced)
            if state.get_version(model) >= load.version and not state.busy:
                self.desk.registry.note_version(announced.name, model, load.version)
                if self.loads.get(announced.name) is load:
                    self._end(announced.name, load, "reported")
                return True
            if state.busy:
                return False
            self._require_term(term)
            order = WeightOrder(
                endpoint=announced,
                model=model,
                version=load.version,
                holder=self.desk.member.name,
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
        """Raise ``NotLeader`` unless this member leads in ``term`` right now."""
        leadership = self.desk.member.require_lease()
        if leadership.term != term:
            raise NotLeader()
