"""Messages between the members of the replicated log.

Every request names the identity that it is addressed to: a member whose disk was
lost has a new identity and rejects requests to the old one.
"""

from attrs import frozen

from medlarrail.core.entities import MemberInfo
from medlarrail.state.journal import Snapshot
from medlarrail.state.operations import LogEntry

APPEND_PATH = "/internal/append"
VOTE_PATH = "/internal/vote"
SNAPSHOT_PATH = "/internal/snapshot"
IDENTITY_PATH = "/internal/identity"


@frozen
class MemberSilence:
    """Time in seconds, by the leader's clock, for which a member has not answered."""

    identity: str
    silent_s: float


@frozen
class AppendRequest:
    """Log entries after ``prev_index``, or a heartbeat if there are none.

    ``silences`` lists the members that the leader has not heard lately, so that its
    successor need not measure their silence anew.
    """

    to_identity: str
    leader: MemberInfo
    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    silences: tuple[MemberSilence, ...] = ()


@frozen
class AppendAnswer:
    """Whether the entries were accepted, and the last index in the member's log."""

    term: int
    taken: bool
    last_index: int
    knows_rollouts: bool = False
    """Whether the member applies the software rollouts in the log; members of an
    older version ignore them."""


@frozen
class VoteRequest:
    """Requests a vote; with ``only_probe`` it changes no state of the voter.

    ``all_restarted`` means that the candidate found every possible leader restarted,
    so that no earlier leader remains whose lease a voter must respect.
    """

    to_identity: str
    candidate: str
    term: int
    last_index: int
    last_term: int
    only_probe: bool
    all_restarted: bool = False


@frozen
class VoteAnswer:
    """Whether the vote was granted, and the voter's term.

    ``restarted`` means that the voter's process has seen no leader yet, including
    itself.
    """

    term: int
    granted: bool
    restarted: bool = False


@frozen
class SnapshotRequest:
    """A complete snapshot for a member that lags too far behind for log entries."""

    to_identity: str
    leader: MemberInfo
    term: int
    snapshot: Snapshot


@frozen
class Identity:
    """The identity of a state member and the cluster that it belongs to.

    ``may_found`` means that it was started with permission to form a cluster.
    """

    identity: str
    name: str
    url: str
    cluster: str
    may_found: bool = False
