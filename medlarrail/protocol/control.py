"""Messages between entries, operators and the state members."""

from attrs import frozen

from medlarrail.core.entities import MemberInfo
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.operations import Envelope, LogEntry, Operation, Outcome

OPEN_PATH = "/internal/session/open"
CLOSE_PATH = "/internal/session/close"
RENEW_PATH = "/internal/session/renew"
FOLLOW_PATH = "/internal/follow"
PROPOSE_PATH = "/internal/propose"
CHANGE_PATH = "/v1/change"
CATALOGUE_PATH = "/v1/catalogue"
STATE_STATUS_PATH = "/v1/state"
BOOTSTRAP_PATH = "/v1/members/bootstrap"
REPLACE_PATH = "/v1/members/replace"


@frozen
class Nothing:
    """An empty message."""


@frozen
class OpenRequest:
    """Asks for a session for an entry that has none."""

    entry: str
    url: str
    data_centre: str
    command_id: str


@frozen
class OpenAnswer:
    """The epoch of the session that was opened."""

    epoch: int


@frozen
class CloseRequest:
    """Gives up a session at a shutdown."""

    entry: str
    epoch: int


@frozen
class RenewRequest:
    """Renews a session; ``applied_index`` is how far the entry followed the log."""

    entry: str
    epoch: int
    applied_index: int


@frozen
class RenewAnswer:
    """Grants a lease for an entry that has applied the log up to ``revision``.

    The entry counts ``lease_s`` from the moment at which it sent the request.
    """

    lease_s: float
    revision: int


@frozen
class FollowRequest:
    """Asks for what came after index ``after``; waits up to ``wait_s`` for it."""

    after: int
    wait_s: float


@frozen
class FollowAnswer:
    """Either the whole catalogue or the entries up to ``upto``.

    Entries that concern the ledger alone are left out.
    """

    upto: int
    image: CatalogueImage | None = None
    entries: tuple[LogEntry, ...] = ()


@frozen
class ProposeRequest:
    """Asks the leader to commit an envelope."""

    envelope: Envelope


@frozen
class ProposeAnswer:
    """The outcome of a committed envelope."""

    outcome: Outcome


@frozen
class ChangeRequest:
    """An operator's change.

    ``command_id`` makes a resend safe; ``seen_revision`` is the revision of the
    object that the operator saw, or -1 to change it whatever it is.
    """

    operation: Operation
    command_id: str
    seen_revision: int = -1


@frozen
class ChangeAnswer:
    """An accepted change and the entries that have not confirmed it yet."""

    outcome: Outcome
    unconfirmed: tuple[str, ...] = ()


@frozen
class BootstrapRequest:
    """Asks for a new cluster of the members at ``urls``."""

    urls: tuple[str, ...]


@frozen
class ReplaceRequest:
    """Asks to replace the member ``name`` by the new identity at ``url``."""

    name: str
    url: str


@frozen
class MembersAnswer:
    """The members after a change."""

    members: tuple[MemberInfo, ...]


@frozen
class SessionStatus:
    """A session as the leader sees it."""

    entry: str
    url: str
    data_centre: str
    epoch: int
    applied_index: int
    renewed_ago_s: float


@frozen
class StateStatus:
    """What a state member says of itself."""

    name: str
    identity: str
    cluster: str
    term: int
    leader: str
    has_lease: bool
    last_index: int
    commit_index: int
    snapshot_index: int
    storage_error: str
    members: tuple[MemberInfo, ...]
    sessions: tuple[SessionStatus, ...] = ()
