"""The state machine of the replicated log.

``Catalogue.apply`` is deterministic: every member, and every entry that
follows the log, reaches the same state at the same index. Each operation is
applied by a function in ``appliers``, registered with the decorator ``applies``.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from medlarrail.core.announcements import EndpointMark
from medlarrail.core.cluster_records import (
    BlockedParts,
    DesiredVersion,
    ServiceVersions,
)
from medlarrail.core.codec import encode_error
from medlarrail.core.deployment import Deployment
from medlarrail.core.entities import (
    Contract,
    DataCentre,
    Endpoint,
    EndpointOrder,
    LedgerKey,
    MemberInfo,
    SessionView,
    Store,
    WeightLoad,
)
from medlarrail.core.errors import (
    MedlarError,
    RevisionConflict,
)
from medlarrail.core.invariants import require
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.state import operations as ops

MAX_STORED_RESULTS = 20_000
"""Command results retained to answer resends; the oldest are evicted first."""

_APPLIERS: dict[type, Callable] = {}


def applies(kind: type):
    """Register the function that applies operations of type ``kind``."""

    def register(function):
        _APPLIERS[kind] = function
        return function

    return register


@frozen
class ObjectRevision:
    """The index of the log entry that last changed an object."""

    name: str
    revision: int


@frozen
class CommandResult:
    """The outcome of a command, retained to answer resends."""

    command_id: str
    outcome: ops.Outcome


@frozen
class CatalogueImage:
    """The complete catalogue in the form stored in a snapshot."""

    index: int
    view: SessionView
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
    blocked: tuple[BlockedParts, ...] = ()
    software_versions: tuple[ServiceVersions, ...] = ()
    endpoint_marks: tuple[EndpointMark, ...] = ()
    software_rollouts: tuple[SoftwareRollout, ...] = ()


@define
class Catalogue:
    """The state at log index ``index``."""

    index: int = 0
    view: SessionView = field(factory=SessionView)
    members: tuple[MemberInfo, ...] = ()
    contracts: dict[str, Contract] = field(factory=dict)
    data_centres: dict[str, DataCentre] = field(factory=dict)
    endpoints: dict[str, Endpoint] = field(factory=dict)
    stores: dict[str, Store] = field(factory=dict)
    desired: dict[str, DesiredVersion] = field(factory=dict)
    loads: dict[str, WeightLoad] = field(factory=dict)
    orders: dict[str, EndpointOrder] = field(factory=dict)
    """Orders by the object name of the ``SetOrder`` operation."""
    revisions: dict[str, int] = field(factory=dict)
    results: OrderedDict[str, ops.Outcome] = field(factory=OrderedDict)
    ledger: OrderedDict[LedgerKey, ops.LedgerRecord] = field(factory=OrderedDict)
    deployment: Deployment | None = None
    blocked: dict[str, BlockedParts] = field(factory=dict)
    software_versions: dict[str, tuple[str, ...]] = field(factory=dict)
    """By service, the software versions that may have begun streams which go on."""
    endpoint_marks: dict[str, EndpointMark] = field(factory=dict)
    """What was acknowledged to endpoints that left or are leaving, by their name."""
    software_rollouts: dict[str, SoftwareRollout] = field(factory=dict)
    """The latest software rollout of each service."""

    def apply(self, index: int, envelope: ops.Envelope) -> ops.Outcome:
        """Apply the log entry at ``index``; a resent command gets its first outcome."""
        require(index == self.index + 1, "log-applied-in-order", f"{index}")
        self.index = index
        previous = self.results.get(envelope.command_id)
        if envelope.command_id and previous is not None:
            return previous
        outcome = self._apply_once(index, envelope)
        if envelope.command_id:
            self._store_result(envelope.command_id, outcome)
        return outcome

    def advance_index(self, index: int) -> None:
        """Advance to ``index`` past log entries that need not be applied here."""
        require(index >= self.index, "revision-never-reverts", f"{index}")
        self.index = index

    def _apply_once(self, index: int, envelope: ops.Envelope) -> ops.Outcome:
        operation = envelope.operation
        name = operation.get_object_name()
        current = self.revisions.get(name, 0)
        try:
            if envelope.seen_revision not in (-1, current):
                seen = envelope.seen_revision
                raise RevisionConflict(seen=seen, present=current)
            record = _APPLIERS[type(operation)](self, index, envelope)
        except MedlarError as error:
            return ops.Outcome(index, current, encode_error(error).decode())
        if name:
            self.revisions[name] = current = index
        return ops.Outcome(index, current, record=record)

    def _store_result(self, command_id: str, outcome: ops.Outcome) -> None:
        self.results[command_id] = outcome
        if len(self.results) > MAX_STORED_RESULTS:
            self.results.popitem(last=False)

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Return whether new requests may be sent to ``endpoint``."""
        return endpoint.state == "in" and self.is_data_centre_in_service(
            endpoint.data_centre
        )

    def accepts_requests(self, endpoint: Endpoint) -> bool:
        """Return whether ``endpoint`` is in service and not loading weights."""
        return self.is_in_service(endpoint) and endpoint.name not in self.loads

    def is_data_centre_in_service(self, name: str) -> bool:
        """Return whether the data centre is in service, the default if unlisted."""
        data_centre = self.data_centres.get(name)
        return data_centre is None or data_centre.in_service

    def iterate_endpoints(self, kind: str, serves: str) -> Iterator[Endpoint]:
        """Yield the endpoints that serve a model or service, in any state."""
        for endpoint in self.endpoints.values():
            if endpoint.kind == kind and endpoint.serves == serves:
                yield endpoint

    def get_image(self, with_ledger: bool = True) -> CatalogueImage:
        """Return the complete catalogue, by default with the ledger and the results.

        Entries need neither.
        """
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
            blocked=tuple(self.blocked.values()),
            software_versions=self.list_software_versions(),
            endpoint_marks=tuple(self.endpoint_marks.values()),
            software_rollouts=tuple(self.software_rollouts.values()),
        )

    def list_software_versions(self) -> tuple[ServiceVersions, ...]:
        """Return the software versions of each service."""
        return tuple(
            ServiceVersions(service, versions)
            for service, versions in self.software_versions.items()
        )

    @classmethod
    def from_image(cls, image: CatalogueImage) -> "Catalogue":
        """Return a catalogue restored from ``image``."""
        return cls(
            index=image.index,
            view=image.view,
            members=image.members,
            contracts={contract.account: contract for contract in image.contracts},
            data_centres={centre.name: centre for centre in image.data_centres},
            endpoints={endpoint.name: endpoint for endpoint in image.endpoints},
            stores={store.name: store for store in image.stores},
            desired={version.model: version for version in image.desired},
            loads={load.endpoint: load for load in image.loads},
            orders={
                ops.SetOrder(order).get_object_name(): order for order in image.orders
            },
            revisions={item.name: item.revision for item in image.revisions},
            results=OrderedDict(
                (result.command_id, result.outcome) for result in image.results
            ),
            ledger=OrderedDict((record.key, record) for record in image.ledger),
            deployment=image.deployment,
            blocked={blocked.name: blocked for blocked in image.blocked},
            software_versions={
                item.service: item.versions for item in image.software_versions
            },
            endpoint_marks={mark.name: mark for mark in image.endpoint_marks},
            software_rollouts={
                rollout.service: rollout for rollout in image.software_rollouts
            },
        )

    def is_dispatcher_live(self, record: ops.LedgerRecord) -> bool:
        """Return whether the session that made the attempt is still open."""
        session = self.view.get_session(record.entry)
        return session is not None and session.epoch == record.epoch
