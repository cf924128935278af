"""The state that the log's operations build up.

``Catalogue.apply`` is deterministic: every member, and every entry that
follows the log, comes to the same state at the same index. Each operation has
one function, registered by the decorator ``applies``; it raises a typed error
to reject the operation and then must have changed nothing.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from attrs import define, evolve, field, frozen

from medlarrail.core.codec import encode_error
from medlarrail.core.entities import (
    Contract,
    DataCentre,
    DesiredVersion,
    Endpoint,
    EndpointOrder,
    EntrySession,
    LedgerKey,
    MemberInfo,
    Store,
    View,
    WeightLoad,
)
from medlarrail.core.errors import (
    IdempotencyKeyReused,
    LoadLimit,
    MedlarError,
    NotFound,
    RevisionConflict,
    SessionClosed,
)
from medlarrail.core.invariants import require
from medlarrail.state import operations as ops

KEPT_RESULTS = 20_000
"""Results of commands that are kept for resends."""

LEDGER_KEEP_S = 7 * 24 * 3600.0
"""Time for which the ledger remembers a call."""

_APPLIERS: dict[type, Callable] = {}


def applies(kind: type):
    """Register the function that applies operations of type ``kind``."""

    def register(function):
        _APPLIERS[kind] = function
        return function

    return register


@frozen
class ObjectRevision:
    """The log index that last changed an object."""

    name: str
    revision: int


@frozen
class CommandResult:
    """The outcome of a command, kept for resends."""

    command_id: str
    outcome: ops.Outcome


@frozen
class CatalogueImage:
    """The whole catalogue as a snapshot holds it."""

    index: int
    view: View
    members: tuple[MemberInfo, ...] = ()
    contracts: tuple[Contract, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    stores: tuple[Store, ...] = ()
    desired: tuple[DesiredVersion, ...] = ()
    loads: tuple[WeightLoad, ...] = ()
    orders: tuple[EndpointOrder, ...] = ()
    revisions: tuple[ObjectRevision, ...] = ()
    results: tuple[CommandResult, ...] = ()
    ledger: tuple[ops.LedgerRecord, ...] = ()


@define
class Catalogue:
    """The state at log index ``index``."""

    index: int = 0
    view: View = field(factory=View)
    members: tuple[MemberInfo, ...] = ()
    contracts: dict[str, Contract] = field(factory=dict)
    data_centres: dict[str, DataCentre] = field(factory=dict)
    endpoints: dict[str, Endpoint] = field(factory=dict)
    stores: dict[str, Store] = field(factory=dict)
    desired: dict[str, DesiredVersion] = field(factory=dict)
    loads: dict[str, WeightLoad] = field(factory=dict)
    orders: dict[str, EndpointOrder] = field(factory=dict)
    """Orders by the name of their object."""
    revisions: dict[str, int] = field(factory=dict)
    results: OrderedDict[str, ops.Outcome] = field(factory=OrderedDict)
    ledger: OrderedDict[LedgerKey, ops.LedgerRecord] = field(factory=OrderedDict)

    def apply(self, index: int, envelope: ops.Envelope) -> ops.Outcome:
        """Apply the entry at ``index``; a resent command gets its first outcome."""
        require(index == self.index + 1, "log-applied-in-order", f"{index}")
        self.index = index
        known = self.results.get(envelope.command_id)
        if envelope.command_id and known is not None:
            return known
        outcome = self._apply_once(index, envelope)
        if envelope.command_id:
            self._keep_result(envelope.command_id, outcome)
        return outcome

    def skip_to(self, index: int) -> None:
        """Pass over entries that entries need not apply."""
        require(index >= self.index, "revision-never-reverts", f"{index}")
        self.index = index

    def _apply_once(self, index: int, envelope: ops.Envelope) -> ops.Outcome:
        operation = envelope.operation
        name = operation.get_object()
        present = self.revisions.get(name, 0)
        try:
            if envelope.seen_revision not in (-1, present):
                seen = envelope.seen_revision
                raise RevisionConflict(seen=seen, present=present)
            record = _APPLIERS[type(operation)](self, index, envelope)
        except MedlarError as error:
            return ops.Outcome(index, present, encode_error(error).decode())
        if name:
            self.revisions[name] = present = index
        return ops.Outcome(index, present, record=record)

    def _keep_result(self, command_id: str, outcome: ops.Outcome) -> None:
        self.results[command_id] = outcome
        if len(self.results) > KEPT_RESULTS:
            self.results.popitem(last=False)

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Return whether new work may go to ``endpoint``."""
        return endpoint.state == "in" and self.is_data_centre_in(endpoint.data_centre)

    def is_data_centre_in(self, name: str) -> bool:
        """Return whether the data centre is in service; unlisted ones are."""
        found = self.data_centres.get(name)
        return found is None or found.in_service

    def iterate_endpoints(self, kind: str, serves: str) -> Iterator[Endpoint]:
        """Yield the endpoints that serve a model or service, in any state."""
        for endpoint in self.endpoints.values():
            if endpoint.kind == kind and endpoint.serves == serves:
                yield endpoint

    def get_image(self, with_ledger: bool = True) -> CatalogueImage:
        """Return the whole catalogue; entries take it without the ledger."""
        revisions = tuple(ObjectRevision(*item) for item in self.revisions.items())
        results = tuple(CommandResult(*item) for item in self.results.items())
        return CatalogueImage(
            index=self.index,
            view=self.view,
            members=self.members,
            contracts=tuple(self.contracts.values()),
            data_centres=tuple(self.data_centres.values()),
            endpoints=tuple(self.endpoints.values()),
            stores=tuple(self.stores.values()),
            desired=tuple(self.desired.values()),
            loads=tuple(self.loads.values()),
            orders=tuple(self.orders.values()),
            revisions=revisions,
            results=results if with_ledger else (),
            ledger=tuple(self.ledger.values()) if with_ledger else (),
        )

    @classmethod
    def from_image(cls, image: CatalogueImage) -> "Catalogue":
        """Return the catalogue that ``image`` holds."""
        return cls(
            index=image.index,
            view=image.view,
            members=image.members,
            contracts={one.account: one for one in image.contracts},
            data_centres={one.name: one for one in image.data_centres},
            endpoints={one.name: one for one in image.endpoints},
            stores={one.name: one for one in image.stores},
            desired={one.model: one for one in image.desired},
            loads={one.endpoint: one for one in image.loads},
            orders={ops.SetOrder(one).get_object(): one for one in image.orders},
            revisions={one.name: one.revision for one in image.revisions},
            results=OrderedDict((one.command_id, one.outcome) for one in image.results),
            ledger=OrderedDict((one.key, one) for one in image.ledger),
        )

    def is_dispatcher_live(self, record: ops.LedgerRecord) -> bool:
        """Return whether the session that made the attempt is still open."""
        session = self.view.get_session(record.entry)
        return session is not None and session.epoch == record.epoch


@applies(ops.NoOperation)
def apply_nothing(catalogue: Catalogue, index: int, envelope) -> None:
    """Change nothing."""


@applies(ops.ChangeMembers)
def apply_members(catalogue: Catalogue, index: int, envelope) -> None:
    """Replace the list of state members."""
    catalogue.members = envelope.operation.members


@applies(ops.SetContract)
def apply_contract(catalogue: Catalogue, index: int, envelope) -> None:
    """Create or replace a contract."""
    contract = envelope.operation.contract
    catalogue.contracts[contract.account] = contract


@applies(ops.DeleteContract)
def apply_contract_deletion(catalogue: Catalogue, index: int, envelope) -> None:
    """Delete a contract."""
    account = envelope.operation.account
    if account not in catalogue.contracts:
        raise NotFound(kind="contract", name=account)
    del catalogue.contracts[account]


@applies(ops.SetDataCentre)
def apply_data_centre(catalogue: Catalogue, index: int, envelope) -> None:
    """Take a data centre in or out of service."""
    operation = envelope.operation
    entry = DataCentre(operation.name, operation.in_service)
    catalogue.data_centres[operation.name] = entry


@applies(ops.SetEndpointState)
def apply_endpoint_state(catalogue: Catalogue, index: int, envelope) -> None:
    """Take an endpoint in or out of service."""
    operation = envelope.operation
    found = catalogue.endpoints.get(operation.name)
    if found is None:
        raise NotFound(kind="endpoint", name=operation.name)
    catalogue.endpoints[operation.name] = evolve(found, state=operation.state)


@applies(ops.RegisterEndpoint)
def apply_endpoint(catalogue: Catalogue, index: int, envelope) -> None:
    """Record an announcement; an operator's "out" outlives it."""
    announced = envelope.operation.endpoint
    known = catalogue.endpoints.get(announced.name)
    state = "in"
    if known is not None and known.state == "out":
        state = "out"
    if known is not None and known.incarnation == announced.incarnation:
        state = known.state
    else:
        _renew_orders(catalogue, announced.name)
    catalogue.endpoints[announced.name] = evolve(announced, state=state)


def _renew_orders(catalogue: Catalogue, endpoint: str) -> None:
    """Mark the orders of a restarted endpoint as not done."""
    for name, order in catalogue.orders.items():
        if order.endpoint == endpoint:
            catalogue.orders[name] = evolve(order, done=False)


@applies(ops.RemoveEndpoint)
def apply_endpoint_removal(catalogue: Catalogue, index: int, envelope) -> None:
    """Forget an endpoint, unless it came back as another incarnation."""
    operation = envelope.operation
    found = catalogue.endpoints.get(operation.name)
    if found is None or found.incarnation != operation.incarnation:
        raise NotFound(kind="endpoint", name=operation.name)
    del catalogue.endpoints[operation.name]
    catalogue.loads.pop(operation.name, None)


@applies(ops.RegisterStore)
def apply_store(catalogue: Catalogue, index: int, envelope) -> None:
    """Record an announcement of a store."""
    store = envelope.operation.store
    catalogue.stores[store.name] = store


@applies(ops.OpenSession)
def apply_session_opening(catalogue: Catalogue, index: int, envelope) -> None:
    """Open a session in place of any that the entry had."""
    operation = envelope.operation
    opened = EntrySession(
        operation.entry, operation.url, operation.data_centre, epoch=index
    )
    others = [one for one in catalogue.view.sessions if one.entry != opened.entry]
    sessions = sorted([*others, opened], key=lambda one: one.entry)
    catalogue.view = View(index, tuple(sessions))


@applies(ops.LeaveSession)
def apply_session_leaving(catalogue: Catalogue, index: int, envelope) -> None:
    """Mark a session as leaving."""
    operation = envelope.operation
    found = catalogue.view.get_session(operation.entry)
    if found is None or found.epoch != operation.epoch:
        raise SessionClosed(entry=operation.entry)
    sessions = tuple(
        evolve(one, leaving=True) if one is found else one
        for one in catalogue.view.sessions
    )
    catalogue.view = View(index, sessions)


@applies(ops.CloseSession)
def apply_session_closing(catalogue: Catalogue, index: int, envelope) -> None:
    """Close a session, unless a newer one took its place."""
    operation = envelope.operation
    found = catalogue.view.get_session(operation.entry)
    if found is None or found.epoch != operation.epoch:
        raise SessionClosed(entry=operation.entry)
    others = tuple(one for one in catalogue.view.sessions if one is not found)
    catalogue.view = View(index, others)


@applies(ops.SetDesiredVersion)
def apply_desired_version(catalogue: Catalogue, index: int, envelope) -> None:
    """Order a weight version for a model."""
    desired = envelope.operation.desired
    catalogue.desired[desired.model] = desired


@applies(ops.SetOrder)
def apply_order(catalogue: Catalogue, index: int, envelope) -> None:
    """Order an adapter or a role for a known endpoint."""
    operation = envelope.operation
    if operation.order.endpoint not in catalogue.endpoints:
        raise NotFound(kind="endpoint", name=operation.order.endpoint)
    catalogue.orders[operation.get_object()] = operation.order


@applies(ops.FinishOrder)
def apply_order_end(catalogue: Catalogue, index: int, envelope) -> None:
    """Mark an order as done, unless a newer one took its place."""
    order = envelope.operation.order
    name = ops.SetOrder(order).get_object()
    if catalogue.orders.get(name) != order:
        raise NotFound(kind="order", name=name)
    catalogue.orders[name] = evolve(order, done=True)


@applies(ops.BeginLoad)
def apply_load_begin(catalogue: Catalogue, index: int, envelope) -> None:
    """Give a load slot while the limit and the capacity floor allow it."""
    operation = envelope.operation
    endpoint = catalogue.endpoints.get(operation.endpoint)
    if endpoint is None:
        raise NotFound(kind="endpoint", name=operation.endpoint)
    desired = catalogue.desired.get(endpoint.serves)
    if desired is None or desired.weight_version != operation.weight_version:
        raise NotFound(kind="order", name=endpoint.serves)
    if operation.endpoint not in catalogue.loads:
        _check_load_limits(catalogue, endpoint, desired)
    catalogue.loads[operation.endpoint] = WeightLoad(
        operation.endpoint, operation.weight_version, operation.epoch
    )


def _check_load_limits(
    catalogue: Catalogue, endpoint: Endpoint, desired: DesiredVersion
) -> None:
    if len(catalogue.loads) >= desired.max_loads:
        raise LoadLimit()
    serving = [
        one
        for one in catalogue.iterate_endpoints("model", endpoint.serves)
        if catalogue.is_in_service(one) and one.name not in catalogue.loads
    ]
    if len(serving) - 1 < desired.floor:
        raise LoadLimit()


@applies(ops.EndLoad)
def apply_load_end(catalogue: Catalogue, index: int, envelope) -> None:
    """Give back a load slot and record the version that was loaded."""
    operation = envelope.operation
    load = catalogue.loads.get(operation.endpoint)
    if load is None or load.weight_version != operation.weight_version:
        raise NotFound(kind="load", name=operation.endpoint)
    del catalogue.loads[operation.endpoint]
    endpoint = catalogue.endpoints.get(operation.endpoint)
    if operation.loaded and endpoint is not None:
        catalogue.endpoints[operation.endpoint] = evolve(
            endpoint, weight_version=operation.weight_version
        )


@applies(ops.LedgerDispatch)
def apply_dispatch(catalogue: Catalogue, index: int, envelope) -> ops.LedgerRecord:
    """Record an attempt, unless one was made that may have run."""
    operation = envelope.operation
    _drop_old_records(catalogue, envelope.at_s)
    known = catalogue.ledger.get(operation.key)
    if known is not None and known.digest != operation.digest:
        raise IdempotencyKeyReused()
    if known is not None and known.state != "not_dispatched":
        return known
    session = catalogue.view.get_session(operation.entry)
    if session is None or session.epoch != operation.epoch:
        raise SessionClosed(entry=operation.entry)
    record = ops.LedgerRecord(
        key=operation.key,
        digest=operation.digest,
        entry=operation.entry,
        epoch=operation.epoch,
        nonce=operation.nonce,
        state="dispatched",
        at_s=envelope.at_s,
    )
    catalogue.ledger[operation.key] = record
    return record


@applies(ops.LedgerFinish)
def apply_finish(catalogue: Catalogue, index: int, envelope) -> ops.LedgerRecord:
    """Record how an attempt ended; a stored answer is never replaced."""
    operation = envelope.operation
    known = catalogue.ledger.get(operation.key)
    if known is None:
        raise NotFound(kind="ledger-record", name=operation.key.key)
    if known.nonce != operation.nonce or known.state in ("done", "not_dispatched"):
        return known
    if known.state == "unknown" and operation.state != "done":
        return known
    record = evolve(known, state=operation.state, answer=operation.answer)
    catalogue.ledger[operation.key] = record
    return record


def _drop_old_records(catalogue: Catalogue, now_s: float) -> None:
    """Drop records past their time; a record that may still run is kept."""
    while catalogue.ledger:
        oldest = next(iter(catalogue.ledger.values()))
        if oldest.at_s > now_s - LEDGER_KEEP_S or oldest.state == "dispatched":
            return
        del catalogue.ledger[oldest.key]
