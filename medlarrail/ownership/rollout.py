"""Rolls out weight versions, adapters and roles to endpoints.

Each owner converges its endpoints: it reserves a load slot in the replicated
log, which enforces the load limit and the capacity floor for the whole
deployment, sends the order with the epoch of its view as the fencing token, and
polls the endpoint's actual state. For an endpoint that does not check fencing
tokens, it first waits until no earlier owner can still send orders.
"""

import secrets

import eliot
import trio
from attrs import define

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.log_client import LogClient
from medlarrail.cluster.session import Session
from medlarrail.core.cluster_records import DesiredVersion
from medlarrail.core.entities import EndpointOrder
from medlarrail.core.errors import (
    FencedOff,
    LoadLimit,
    MedlarError,
    NotFound,
    OwnershipUnsettled,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import CLOCK_DRIFT_MARGIN_S, SESSION_LEASE_S
from medlarrail.ownership.ownership import OwnedEndpoint, OwnedEndpoints
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoints import (
    ENDPOINT_STATE_PATH,
    ORDER_PATH,
    EndpointReport,
    Order,
)
from medlarrail.state.operations import BeginLoad, EndLoad, Envelope, FinishOrder
from medlarrail.transport.client import PeerClient

CHECK_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.2
ORDER_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 120.0
COMMAND_ID_BYTES = 8


@define
class Rollout:
    """Converges the endpoints that this entry owns."""

    session: Session
    state: LogClient
    follower: Follower
    owners: OwnedEndpoints
    peers: PeerClient

    async def run(self) -> None:
        """Repeatedly converge endpoints that differ from what was ordered."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                for owned in list(self.owners.owned.values()):
                    desired = self._find_desired(owned)
                    if desired is not None:
                        nursery.start_soon(self._converge, owned, desired)
                for order in list(self.follower.catalogue.orders.values()):
                    owned = self.owners.find_owned(order.endpoint)
                    if owned is not None and not order.done:
                        nursery.start_soon(self._deliver_order, owned, order)

    async def _deliver_order(self, owned: OwnedEndpoint, order: EndpointOrder) -> None:
        """Send an order to one endpoint and record that it was accepted."""
        try:
            await self._wait_sole_owner(owned)
            await self._send_order(owned, order.kind, order.value)
            await self._propose(FinishOrder(order))
            eliot.log_message("order:done", endpoint=order.endpoint, kind=order.kind)
        except MedlarError as error:
            get_metrics().count("order_failures", type=type(error).__name__)

    def _find_desired(self, owned: OwnedEndpoint) -> DesiredVersion | None:
        """Return the version that the endpoint has yet to load, if any."""
        endpoint = owned.endpoint
        if endpoint.kind != "model" or not self.session.is_valid():
            return None
        if endpoint.state != "in" or owned.limiter.is_silent():
            return None
        desired = self.follower.catalogue.desired.get(endpoint.serves)
        loading = endpoint.name in self.follower.catalogue.loads
        if desired is None:
            return None
        if endpoint.weight_version == desired.weight_version and not loading:
            return None
        return desired

    async def _converge(self, owned: OwnedEndpoint, desired: DesiredVersion) -> None:
        name = owned.endpoint.name
        try:
            await self._reserve_load_slot(name, desired)
            loaded = await self._load(owned, desired)
            operation = EndLoad(name, desired.weight_version, loaded)
            await self._propose(operation)
            get_metrics().count("weight_loads", loaded=str(loaded).lower())
            eliot.log_message("weights:loaded", endpoint=name, loaded=loaded)
        except (LoadLimit, NotFound) as error:
            get_metrics().count("weight_loads_put_off", reason=type(error).__name__)
        except MedlarError as error:
            get_metrics().count("weight_load_failures", type=type(error).__name__)

    async def _reserve_load_slot(self, name: str, desired: DesiredVersion) -> None:
        epoch = self.session.require_lease()
        operation = BeginLoad(name, desired.weight_version, epoch)
        index = await self._propose(operation)
        await self.follower.wait_index(index)

    async def _propose(self, operation) -> int:
        command_id = f"load-{secrets.token_hex(COMMAND_ID_BYTES)}"
        outcome = await self.state.propose(Envelope(operation, command_id))
        return outcome.index

    async def _load(self, owned: OwnedEndpoint, desired: DesiredVersion) -> bool:
        """Order the version and return whether the endpoint loaded it in time."""
        await self._wait_sole_owner(owned)
        with trio.move_on_after(LOAD_TIMEOUT_S):
            while True:
                actual = await self._get_state(owned)
                if actual.weight_version == desired.weight_version:
                    return True
                if actual.loading != desired.weight_version:
                    await self._send_order(
                        owned, "load-weights", desired.weight_version
                    )
                await trio.sleep(POLL_INTERVAL_S)
        return False

    async def _wait_sole_owner(self, owned: OwnedEndpoint) -> None:
        """Wait until earlier owners' leases expired, if fencing is not checked."""
        if owned.endpoint.checks_fencing:
            return
        leases_end = owned.owned_since + SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S
        while self.owners.clock() < leases_end:
            await trio.sleep(POLL_INTERVAL_S)

    async def _get_state(self, owned: OwnedEndpoint) -> EndpointReport:
        return await self.peers.call(
            owned.endpoint.url,
            ENDPOINT_STATE_PATH,
            EmptyMessage(),
            EndpointReport,
            ORDER_TIMEOUT_S,
        )

    async def _send_order(self, owned: OwnedEndpoint, kind: str, value: str) -> None:
        """Send the order, or raise if ownership or the lease was lost."""
        self.session.require_lease()
        if self.owners.find_owned(owned.endpoint.name) is not owned:
            raise OwnershipUnsettled(endpoint=owned.endpoint.name)
        order = Order(kind, value, self.owners.view_epoch)
        try:
            await self.peers.call(
                owned.endpoint.url, ORDER_PATH, order, EndpointReport, ORDER_TIMEOUT_S
            )
        except FencedOff:
            get_metrics().count("orders_fenced_off")
            raise
