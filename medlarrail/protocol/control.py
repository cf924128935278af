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
class OpenRequest:
    """Requests a session for an entry that has none."""

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
    """Closes a session at shutdown."""

    entry: str
    epoch: int


@frozen
class RenewRequest:
    """Renews a session; ``applied_index`` is the entry's last applied log index."""

    entry: str
    epoch: int
    applied_index: int


@frozen
class RenewAnswer:
    """Grants a lease for an entry that has applied the log up to ``revision``.

    The entry measures ``lease_s`` from the time at which it sent the request.
    """

    lease_s: float
    revision: int


@frozen
class FollowRequest:
    """Long-polls for up to ``wait_s`` for the log entries after index ``after``."""

    after: int
    wait_s: float


@frozen
class FollowAnswer:
    """Either the complete catalogue or the log entries up to ``upto``.

    Log entries that affect only the ledger are omitted.
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

    ``command_id`` makes a resend idempotent; ``seen_revision`` is the revision of the
    object that the operator read, or -1 to change it unconditionally.
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
    """Asks to form a new cluster of the members at ``urls``."""

    urls: tuple[str, ...]


@frozen
class ReplaceRequest:
    """Asks to replace the member ``name`` with the new identity at ``url``."""

    name: str
    url: str


@frozen
class MembersAnswer:
    """The members after a change."""

    members: tuple[MemberInfo, ...]


@frozen
class SessionStatus:
    """The leader's record of a session."""

    entry: str
    url: str
    data_centre: str
    epoch: int
    applied_index: int
    renewed_ago_s: float


@frozen
class StateStatus:
    """The status of a state member."""

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
