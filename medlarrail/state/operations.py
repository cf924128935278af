"""Operations of the replicated log.

Each operation is an ``attrs`` class that derives from ``Operation``; on the
wire and on disk it is tagged with its class name. ``Envelope`` adds the command
id and the expected object revision that make a command safe to resend.
"""

from typing import ClassVar, Literal

from attrs import field, frozen

from medlarrail.core.announcements import EndpointMark
from medlarrail.core.cluster_records import BlockedParts, DesiredVersion
from medlarrail.core.codec import register_tagged
from medlarrail.core.deployment import Deployment
from medlarrail.core.entities import (
    Contract,
    Endpoint,
    EndpointOrder,
    EndpointState,
    LedgerKey,
    MemberInfo,
    Store,
    StoredAnswer,
)
from medlarrail.core.incarnations import EndpointIncarnation
from medlarrail.core.software_rollouts import SoftwareRollout

LedgerState = Literal["dispatched", "done", "not_dispatched", "unknown"]


@frozen
class Operation:
    """Base class of the operations."""

    applies_to_entries: ClassVar[bool] = True
    """Whether entries apply it; they keep no ledger, so they skip ledger operations."""

    def get_object_name(self) -> str:
        """Return the name of the object whose revision the operation changes."""
        return ""


@frozen
class NoOperation(Operation):
    """The first log entry of a leader's term, and the carrier of what came later.

    ``incarnations`` have announced themselves to the leader; they change no catalogue.
    These are fields of a known operation because members of an older version ignore
    unknown fields, but cannot apply an unknown operation.
    """

    marks: tuple[EndpointMark, ...] = ()
    removed_marks: tuple[EndpointMark, ...] = ()
    rollouts: tuple[SoftwareRollout, ...] = ()
    incarnations: tuple[EndpointIncarnation, ...] = ()


@frozen
class ChangeMembers(Operation):
    """Replaces the list of state members."""

    members: tuple[MemberInfo, ...]

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return "members"


@frozen
class SetContract(Operation):
    """Creates or replaces a contract."""

    contract: Contract

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"contract/{self.contract.account}"


@frozen
class DeleteContract(Operation):
    """Deletes a contract."""

    account: str

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"contract/{self.account}"


@frozen
class SetDataCentre(Operation):
    """Takes a data centre in or out of service."""

    name: str
    in_service: bool

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"data-centre/{self.name}"


@frozen
class SetEndpointState(Operation):
    """Takes an endpoint in or out of service, or marks it as leaving."""

    name: str
    state: EndpointState

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"endpoint/{self.name}"


@frozen
class RegisterEndpoint(Operation):
    """Records the announcement of an endpoint."""

    endpoint: Endpoint


@frozen
class RemoveEndpoint(Operation):
    """Removes an endpoint that has stopped reporting."""

    name: str
    incarnation: str


@frozen
class RegisterStore(Operation):
    """Records the announcement of a store."""

    store: Store


@frozen
class OpenSession(Operation):
    """Opens a session for an entry, replacing its previous one."""

    entry: str
    url: str
    data_centre: str


@frozen
class LeaveSession(Operation):
    """Marks a session as leaving: its entry is about to shut down."""

    entry: str
    epoch: int


@frozen
class CloseSession(Operation):
    """Closes the session that was opened at ``epoch``."""

    entry: str
    epoch: int


@frozen
class ReplaceDeployment(Operation):
    """Replaces the deployment document, unless the current version is as high."""

    deployment: Deployment

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return "deployment"


@frozen
class SetDesiredVersion(Operation):
    """Sets the desired weight version of a model."""

    desired: DesiredVersion

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"order/{self.desired.model}"


@frozen
class BlockParts(Operation):
    """Blocks requests with parts that crash endpoints, or updates their trials."""

    blocked: BlockedParts

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"blocked/{self.blocked.name}"


@frozen
class UnblockParts(Operation):
    """Allows requests with blocked parts again."""

    name: str

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"blocked/{self.name}"


@frozen
class AddSoftwareVersion(Operation):
    """Records that endpoints of a service with this software version may serve."""

    service: str
    version: str

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"software/{self.service}"


@frozen
class RemoveSoftwareVersion(Operation):
    """Records that no stream of this software version can still go on."""

    service: str
    version: str

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"software/{self.service}"


@frozen
class SetOrder(Operation):
    """Orders an adapter or a role for one endpoint."""

    order: EndpointOrder

    def get_object_name(self) -> str:
        """See ``Operation``."""
        return f"order/{self.order.endpoint}/{self.order.kind}"


@frozen
class FinishOrder(Operation):
    """Records that an endpoint has carried out an order."""

    order: EndpointOrder


@frozen
class BeginLoad(Operation):
    """Requests one of the limited slots for weight loads."""

    endpoint: str
    weight_version: str
    epoch: int


@frozen
class EndLoad(Operation):
    """Releases the slot of a weight load that ended."""

    endpoint: str
    weight_version: str
    loaded: bool


@frozen
class LedgerDispatch(Operation):
    """Records that a non-repeatable call is about to be sent.

    ``nonce`` identifies this attempt, ``entry`` and ``epoch`` identify the session
    that makes it, and ``digest`` is the digest of the request.
    """

    applies_to_entries = False
    key: LedgerKey
    digest: str
    entry: str
    epoch: int
    nonce: str


@frozen
class LedgerFinish(Operation):
    """Records the result of the attempt ``nonce``."""

    applies_to_entries = False
    key: LedgerKey
    nonce: str
    state: LedgerState
    answer: StoredAnswer | None = None


@frozen
class Envelope:
    """An operation with its metadata in the log.

    ``seen_revision`` is the object's revision that the author read, or -1 to apply
    the operation unconditionally; ``at_s`` is the leader's wall clock in seconds
    since the Unix epoch.
    """

    operation: Operation
    command_id: str = ""
    seen_revision: int = -1
    at_s: float = 0.0


@frozen
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    envelope: Envelope


@frozen
class LedgerRecord:
    """The recorded state of one non-repeatable call."""

    key: LedgerKey
    digest: str
    entry: str
    epoch: int
    nonce: str
    state: LedgerState
    at_s: float
    answer: StoredAnswer | None = field(default=None, repr=False)


@frozen
class Outcome:
    """The result of applying an envelope.

    ``error`` is an encoded error or empty; ``revision`` is the current revision
    of the object; ``record`` is the ledger's record after a ledger operation.
    """

    index: int
    revision: int = 0
    error: str = ""
    record: LedgerRecord | None = None


register_tagged(Operation)
