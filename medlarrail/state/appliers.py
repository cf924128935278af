"""What each operation does to the catalogue.

One function for each operation, registered by ``applies``. It raises a typed
error to reject the operation and then must have changed nothing.
"""

from attrs import evolve

from medlarrail.core.entities import (
    DataCentre,
    DesiredVersion,
    Endpoint,
    EntrySession,
    View,
    WeightLoad,
)
from medlarrail.core.errors import (
    IdempotencyKeyReused,
    LoadLimit,
    NotFound,
    SessionClosed,
)
from medlarrail.state import operations as ops
from medlarrail.state.catalogue import Catalogue, applies

LEDGER_KEEP_S = 7 * 24 * 3600.0
"""Time for which the ledger remembers a call."""


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


@applies(ops.ReplaceDeployment)
def apply_deployment(catalogue: Catalogue, index: int, envelope) -> None:
    """Take up a document of a higher version; any other changes nothing."""
    fresh = envelope.operation.deployment
    present = catalogue.deployment
    if present is None or fresh.version > present.version:
        catalogue.deployment = fresh


@applies(ops.SetDesiredVersion)
def apply_desired_version(catalogue: Catalogue, index: int, envelope) -> None:
    """Order a weight version for a model, unless a later one was ordered."""
    desired = envelope.operation.desired
    present = catalogue.desired.get(desired.model)
    if desired.ordinal and present is not None and present.ordinal >= desired.ordinal:
        return
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
        if catalogue.takes_new_work(one)
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
