"""The state that the log's operations build up.

``Catalogue.apply`` is deterministic: every member, and every entry that
follows the log, comes to the same state at the same index. What an operation
does is a function in ``appliers``, registered by the decorator ``applies``.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from medlarrail.core.codec import encode_error
from medlarrail.core.deployment import Deployment
from medlarrail.core.entities import (
    Contract,
    DataCentre,
    DesiredVersion,
    Endpoint,
    EndpointOrder,
    LedgerKey,
    MemberInfo,
    Store,
    View,
    WeightLoad,
)
from medlarrail.core.errors import (
    MedlarError,
    RevisionConflict,
)
from medlarrail.core.invariants import require
from medlarrail.state import operations as ops

KEPT_RESULTS = 20_000
"""Results of commands that are kept for resends."""

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
    deployment: Deployment | None = None


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
    deployment: Deployment | None = None

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

    def takes_new_work(self, endpoint: Endpoint) -> bool:
        """Return whether ``endpoint`` is in service and loads no weights."""
        return self.is_in_service(endpoint) and endpoint.name not in self.loads

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
            deployment=self.deployment,
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
            deployment=image.deployment,
        )

    def is_dispatcher_live(self, record: ops.LedgerRecord) -> bool:
        """Return whether the session that made the attempt is still open."""
        session = self.view.get_session(record.entry)
        return session is not None and session.epoch == record.epoch
