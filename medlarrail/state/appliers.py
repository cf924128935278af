"""Functions that apply the operations to the catalogue.

There is one function for each operation, registered with ``applies``. To reject
an operation, the function raises a typed error before it changes anything.
"""

from attrs import evolve

from medlarrail.core.cluster_records import DesiredVersion
from medlarrail.core.entities import (
    DataCentre,
    Endpoint,
    EntrySession,
    SessionView,
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

LEDGER_RETENTION_S = 7 * 24 * 3600.0
MAX_BLOCKED = 1000
"""Maximum sets of blocked parts; the oldest are dropped first."""


@applies(ops.NoOperation)
def apply_no_operation(catalogue: Catalogue, index: int, envelope) -> None:
    """Add and remove marks of endpoints, and apply steps of software rollouts.

    A newer mark of an endpoint stays.
    """
    operation = envelope.operation
    for mark in operation.marks:
        current = catalogue.endpoint_marks.get(mark.name)
        if current is None or current.sort_key < mark.sort_key:
            catalogue.endpoint_marks[mark.name] = mark
    for mark in operation.removed_marks:
        if catalogue.endpoint_marks.get(mark.name) == mark:
            del catalogue.endpoint_marks[mark.name]
    for rollout in operation.rollouts:
        current = catalogue.software_rollouts.get(rollout.service)
        if current is None or current.may_become(rollout):
            catalogue.software_rollouts[rollout.service] = rollout


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
    data_centre = DataCentre(operation.name, operation.in_service)
    catalogue.data_centres[operation.name] = data_centre


@applies(ops.SetEndpointState)
def apply_endpoint_state(catalogue: Catalogue, index: int, envelope) -> None:
    """Take an endpoint in or out of service."""
    operation = envelope.operation
    endpoint = catalogue.endpoints.get(operation.name)
    if endpoint is None:
        raise NotFound(kind="endpoint", name=operation.name)
    catalogue.endpoints[operation.name] = evolve(endpoint, state=operation.state)


@applies(ops.RegisterEndpoint)
def apply_endpoint(catalogue: Catalogue, index: int, envelope) -> None:
    """Record an announcement; the state "out" set by an operator is preserved."""
    announced = envelope.operation.endpoint
    previous = catalogue.endpoints.get(announced.name)
    state = "in"
    if previous is not None and previous.state == "out":
        state = "out"
    if previous is not None and previous.incarnation == announced.incarnation:
        state = previous.state
    else:
        _reset_orders(catalogue, announced.name)
    catalogue.endpoints[announced.name] = evolve(announced, state=state)


def _reset_orders(catalogue: Catalogue, endpoint: str) -> None:
    """Mark the orders of a restarted endpoint as pending again."""
    for name, order in catalogue.orders.items():
        if order.endpoint == endpoint:
            catalogue.orders[name] = evolve(order, done=False)


@applies(ops.RemoveEndpoint)
def apply_endpoint_removal(catalogue: Catalogue, index: int, envelope) -> None:
    """Remove an endpoint, unless it has re-registered as a new incarnation."""
    operation = envelope.operation
    endpoint = catalogue.endpoints.get(operation.name)
    if endpoint is None or endpoint.incarnation != operation.incarnation:
        raise NotFound(kind="endpoint", name=operation.name)
    del catalogue.endpoints[operation.name]
    catalogue.loads.pop(operation.name, None)


@applies(ops.RegisterStore)
def apply_store(catalogue: Catalogue, index: int, envelope) -> None:
    """Record the announcement of a store."""
    store = envelope.operation.store
    catalogue.stores[store.name] = store


@applies(ops.OpenSession)
def apply_session_opening(catalogue: Catalogue, index: int, envelope) -> None:
    """Open a session, replacing the entry's previous one."""
    operation = envelope.operation
    opened = EntrySession(
        operation.entry, operation.url, operation.data_centre, epoch=index
    )
    others = [
        session for session in catalogue.view.sessions if session.entry != opened.entry
    ]
    sessions = sorted([*others, opened], key=lambda session: session.entry)
    catalogue.view = SessionView(index, tuple(sessions))


@applies(ops.LeaveSession)
def apply_session_leaving(catalogue: Catalogue, index: int, envelope) -> None:
    """Mark a session as leaving."""
    operation = envelope.operation
    session = catalogue.view.get_session(operation.entry)
    if session is None or session.epoch != operation.epoch:
        raise SessionClosed(entry=operation.entry)
    sessions = tuple(
        evolve(existing, leaving=True) if existing is session else existing
        for existing in catalogue.view.sessions
    )
    catalogue.view = SessionView(index, sessions)


@applies(ops.CloseSession)
def apply_session_closing(catalogue: Catalogue, index: int, envelope) -> None:
    """Close a session, unless a newer one has replaced it."""
    operation = envelope.operation
    session = catalogue.view.get_session(operation.entry)
    if session is None or session.epoch != operation.epoch:
        raise SessionClosed(entry=operation.entry)
    others = tuple(other for other in catalogue.view.sessions if other is not session)
    catalogue.view = SessionView(index, others)


@applies(ops.ReplaceDeployment)
def apply_deployment(catalogue: Catalogue, index: int, envelope) -> None:
    """Adopt a document with a higher version; ignore any other."""
    proposed = envelope.operation.deployment
    current = catalogue.deployment
    if current is None or proposed.version > current.version:
        catalogue.deployment = proposed


@applies(ops.SetDesiredVersion)
def apply_desired_version(catalogue: Catalogue, index: int, envelope) -> None:
    """Set a model's desired weight version; ignore an ordinal that is not higher."""
    desired = envelope.operation.desired
    current = catalogue.desired.get(desired.model)
    if desired.ordinal and current is not None and current.ordinal >= desired.ordinal:
        return
    catalogue.desired[desired.model] = desired
    for name, blocked in catalogue.blocked.items():
        if blocked.model == desired.model:
            # The crashes may have been due to the weights.
            catalogue.blocked[name] = evolve(blocked, trial_at_s=0.0)


@applies(ops.BlockParts)
def apply_block(catalogue: Catalogue, index: int, envelope) -> None:
    """Block parts; sets that contain all of them are no longer needed."""
    blocked = envelope.operation.blocked
    parts = set(blocked.parts)
    for name, other in list(catalogue.blocked.items()):
        if other.service == blocked.service and parts < set(other.parts):
            del catalogue.blocked[name]
    catalogue.blocked[blocked.name] = blocked
    while len(catalogue.blocked) > MAX_BLOCKED:
        del catalogue.blocked[next(iter(catalogue.blocked))]


@applies(ops.UnblockParts)
def apply_unblock(catalogue: Catalogue, index: int, envelope) -> None:
    """Allow requests with blocked parts again."""
    name = envelope.operation.name
    if name not in catalogue.blocked:
        raise NotFound(kind="blocked parts", name=name)
    del catalogue.blocked[name]


@applies(ops.AddSoftwareVersion)
def apply_software_version(catalogue: Catalogue, index: int, envelope) -> None:
    """Add a software version to those of a service, unless it is listed."""
    operation = envelope.operation
    versions = catalogue.software_versions.get(operation.service, ())
    if operation.version not in versions:
        catalogue.software_versions[operation.service] = (*versions, operation.version)


@applies(ops.RemoveSoftwareVersion)
def apply_software_version_removal(catalogue: Catalogue, index: int, envelope) -> None:
    """Remove a software version from those of a service."""
    operation = envelope.operation
    versions = catalogue.software_versions.get(operation.service, ())
    remaining = tuple(v for v in versions if v != operation.version)
    if remaining == versions:
        raise NotFound(kind="software version", name=operation.version)
    if remaining:
        catalogue.software_versions[operation.service] = remaining
    else:
        del catalogue.software_versions[operation.service]


@applies(ops.SetOrder)
def apply_order(catalogue: Catalogue, index: int, envelope) -> None:
    """Store an order for a registered endpoint."""
    operation = envelope.operation
    if operation.order.endpoint not in catalogue.endpoints:
        raise NotFound(kind="endpoint", name=operation.order.endpoint)
    catalogue.orders[operation.get_object_name()] = operation.order


@applies(ops.FinishOrder)
def apply_order_finish(catalogue: Catalogue, index: int, envelope) -> None:
    """Mark an order as done, unless a newer one has replaced it."""
    order = envelope.operation.order
    name = ops.SetOrder(order).get_object_name()
    if catalogue.orders.get(name) != order:
        raise NotFound(kind="order", name=name)
    catalogue.orders[name] = evolve(order, done=True)


@applies(ops.BeginLoad)
def apply_load_begin(catalogue: Catalogue, index: int, envelope) -> None:
    """Grant a load slot if the load limit and the capacity floor allow it."""
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
        candidate
        for candidate in catalogue.iterate_endpoints("model", endpoint.serves)
        if catalogue.accepts_requests(candidate)
    ]
    if len(serving) - 1 < desired.floor:
        raise LoadLimit()


@applies(ops.EndLoad)
def apply_load_end(catalogue: Catalogue, index: int, envelope) -> None:
    """Release a load slot and record the version that was loaded."""
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
def apply_ledger_dispatch(
    catalogue: Catalogue, index: int, envelope
) -> ops.LedgerRecord:
    """Record an attempt, unless an earlier one may have run."""
    operation = envelope.operation
    _delete_expired_records(catalogue, envelope.at_s)
    prior = catalogue.ledger.get(operation.key)
    if prior is not None and prior.digest != operation.digest:
        raise IdempotencyKeyReused()
    if prior is not None and prior.state != "not_dispatched":
        return prior
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
def apply_ledger_finish(catalogue: Catalogue, index: int, envelope) -> ops.LedgerRecord:
    """Record the result of an attempt; a stored answer is never replaced."""
    operation = envelope.operation
    prior = catalogue.ledger.get(operation.key)
    if prior is None:
        raise NotFound(kind="ledger-record", name=operation.key.key)
    if prior.nonce != operation.nonce or prior.state in (
        "done",
        "not_dispatched",
    ):
        return prior
    if prior.state == "unknown" and operation.state != "done":
        return prior
    record = evolve(prior, state=operation.state, answer=operation.answer)
    catalogue.ledger[operation.key] = record
    return record


def _delete_expired_records(catalogue: Catalogue, now_s: float) -> None:
    """Delete expired records up to the first whose call may still be running."""
    while catalogue.ledger:
        oldest = next(iter(catalogue.ledger.values()))
        if oldest.at_s > now_s - LEDGER_RETENTION_S or oldest.state == "dispatched":
            return
        del catalogue.ledger[oldest.key]
