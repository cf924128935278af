"""A member of the replicated log: following, committing and applying.

``Elections`` elects the leader and ``Leadership`` implements the leader; both operate
on the member's state defined here. The leader's lease allows it to serve reads from
its local state: a vote is refused shortly after contact with a leader, so no other
member can lead before the lease has expired.

Membership changes add or remove one member at a time.
"""

from collections.abc import Callable
from random import Random

import eliot
import trio
from attrs import define, field

from medlarrail.consensus.elections import Elections
from medlarrail.consensus.leadership import Leadership
from medlarrail.core.clock import Clock, get_boottime, get_wall_time
from medlarrail.core.codec import decode_error
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import (
    AlreadyBootstrapped,
    CommitUnknown,
    MedlarError,
    MemberMismatch,
    MembershipChangePending,
    NotBootstrapped,
    NotFound,
    NotLeader,
    StorageError,
)
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import HEARTBEAT_INTERVAL_S
from medlarrail.protocol.replication import (
    APPEND_PATH,
    SNAPSHOT_PATH,
    VOTE_PATH,
    AppendAnswer,
    AppendRequest,
    Identity,
    MemberSilence,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from medlarrail.state.catalogue import Catalogue
from medlarrail.state.journal import Journal, Snapshot
from medlarrail.state.operations import ChangeMembers, Envelope, LogEntry, Outcome
from medlarrail.transport.client import PeerClient
from medlarrail.transport.routes import Request, route

COMMIT_TIMEOUT_S = 4.0
SNAPSHOT_INTERVAL_ENTRIES = 2000
"""Number of entries after which a member writes a snapshot."""
RETAINED_ENTRIES = 500
"""Entries that stay in the log after a snapshot, for members that lag slightly."""


@define(eq=False)
class LogMember:
    """One member of the replicated log."""

    name: str
    url: str
    journal: Journal
    peers: PeerClient
    random: Random = field(factory=Random)
    clock: Clock = get_boottime
    wall_clock: Clock = get_wall_time
    snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES
    started_at: float | None = None
    """Start time of the process, on ``clock``. The previous process of this member
    can have supported a leader only before that. None stands for the current time."""
    catalogue: Catalogue = field(init=False)
    commit_index: int = field(init=False)
    elections: Elections = field(init=False)
    leader: MemberInfo | None = None
    leadership: Leadership | None = None
    storage_error: str = ""
    leader_seen: bool = False
    """Whether this process has followed a leader or been one."""
    may_found: bool = False
    """Whether the settings mark this as the first start of the whole system."""
    apply_listeners: list[Callable[[LogEntry, Outcome], None]] = field(factory=list)
    install_listeners: list[Callable[[], None]] = field(factory=list)
    """Called after a snapshot of the leader has replaced the catalogue."""
    election_timeout_since: float = field(init=False)
    """Time from which the election timeout counts."""
    leader_contact_at: float = field(init=False)
    """Latest time at which this member may have supported a leader."""
    leader_silences: tuple[MemberSilence, ...] = ()
    """Silent members by the latest append of a leader, or by the end of leading."""
    silences_at: float = float("-inf")
    """When ``leader_silences`` was told."""
    journal_lock: trio.Lock = field(factory=trio.Lock)
    """Must be held while changing the journal."""
    _applied: trio.Event = field(factory=trio.Event)
    _nursery: trio.Nursery | None = None

    def __attrs_post_init__(self):
        self.elections = Elections(self)
        started_at = self.clock() if self.started_at is None else self.started_at
        self.election_timeout_since = started_at
        self.leader_contact_at = started_at
        self._load_snapshot()

    def _load_snapshot(self) -> None:
        snapshot = self.journal.snapshot
        if snapshot is None:
            self.catalogue = Catalogue()
        else:
            self.catalogue = Catalogue.from_image(snapshot.image)
        self.commit_index = self.catalogue.index

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Participate in the cluster until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self.elections.run()

    # State of this member.

    @property
    def identity(self) -> str:
        """Identity of this member, stored on its disk."""
        return self.journal.meta.identity

    @property
    def term(self) -> int:
        """Latest term known to this member."""
        return self.journal.meta.term

    @property
    def info(self) -> MemberInfo:
        """This member's entry in the member list."""
        listed = self.find_member(self.identity)
        return listed or MemberInfo(self.identity, self.name, self.url, voter=False)

    def describe(self) -> Identity:
        """Return the identity record of this member."""
        return Identity(
            self.identity,
            self.name,
            self.url,
            self.journal.meta.cluster,
            self.may_found,
        )

    def find_member(self, identity: str) -> MemberInfo | None:
        """Return the listed member with this identity."""
        members = self.journal.get_members()
        return next((member for member in members if member.identity == identity), None)

    def list_voters(self) -> list[str]:
        """Return the identities of the voting members."""
        return [
            member.identity for member in self.journal.get_members() if member.voter
        ]

    def is_quorum(self, identities: set[str]) -> bool:
        """Return whether ``identities`` include a majority of the voters."""
        voters = self.list_voters()
        return 2 * len(identities.intersection(voters)) > len(voters)

    def has_lease(self) -> bool:
        """Return whether this member is the leader and its lease is valid."""
        leadership = self.leadership
        return leadership is not None and self.clock() < leadership.get_lease_end()

    def require_lease(self) -> Leadership:
        """Return the leadership, or raise ``NotLeader`` with the leader's URL."""
        if not self.journal.meta.cluster:
            raise NotBootstrapped()
        if self.leadership is None or not self.has_lease():
            leader_url = self.leader.url if self.leader and not self.leadership else ""
            raise NotLeader(leader_url=leader_url)
        return self.leadership

    async def confirm_reads(self) -> None:
        """Wait until everything committed so far is applied, under a valid lease."""
        leadership = self.require_lease()
        target = max(self.commit_index, leadership.first_index)
        await self.wait_applied(target)
        self.require_lease()

    async def wait_applied(self, index: int) -> None:
        """Wait until the entry at ``index`` is applied."""
        while self.catalogue.index < index:
            await self._applied.wait()

    async def wait_applied_after(self, index: int) -> None:
        """Wait until an entry after ``index`` is applied."""
        await self.wait_applied(index + 1)

    # Role transitions.

    async def adopt_term(self, term: int) -> None:
        """Adopt a newer term, which ends a leadership of an older one.

        It ends also if the new term cannot be stored.
        """
        if term <= self.term:
            return
        try:
            async with self.journal_lock:
                if term > self.term:
                    await self.journal.save_vote(term, "")
        except StorageError as error:
            self.handle_storage_error(error)
        self.step_down("newer-term")

    def start_leading(self, term: int) -> None:
        """Become the leader of ``term`` after winning its election."""
        self.leader_seen = True
        self.leadership = Leadership(
            self, term, self.clock(), self._list_earlier_silences()
        )
        self.leader = self.info
        eliot.log_message("leader:elected", member=self.name, term=term)
        get_metrics().count("elections_won")
        self._nursery.start_soon(self.leadership.run)

    def _list_earlier_silences(self) -> dict[str, float]:
        """Return how long members have been silent, in seconds by identity.

        The last leader measured the silence of the others; all of them, and it, have
        not been heard since.
        """
        passed_s = self.clock() - self.silences_at
        silences = {
            silence.identity: silence.silent_s + passed_s
            for silence in self.leader_silences
        }
        if self.leader is not None:
            silences[self.leader.identity] = self.clock() - self.leader_contact_at
        return silences

    def _record_silences(self, silences: tuple[MemberSilence, ...]) -> None:
        self.leader_silences = silences
        self.silences_at = self.clock()

    def step_down(self, reason: str) -> None:
        """Stop leading, if this member is the leader."""
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = None
        self._record_silences(leadership.list_silences())
        self.election_timeout_since = self.clock()
        leadership.end()
        eliot.log_message(
            "leader:stepped-down",
            member=self.name,
            reason=reason,
            term=leadership.term,
            led_s=round(self.clock() - leadership.elected_at, 3),
            answered_ago_s=leadership.list_answer_ages(),
        )
        get_metrics().count("leader_step_downs", reason=reason)

    def handle_storage_error(self, error: StorageError) -> None:
        """Record the error and step down, because no entry can be made durable."""
        if not self.storage_error:
            eliot.log_message("storage:failed", member=self.name, error=str(error))
        get_metrics().count("storage_errors", type=type(error).__name__)
        self.storage_error = str(error)
        self.step_down("storage-failed")

    async def propose(self, envelope: Envelope) -> Outcome:
        """Append an envelope to the log and return its outcome once committed.

        Raises ``NotLeader`` if nothing was written, and ``CommitUnknown`` if the
        outcome is unknown and has to be requested again with the same command id.
        """
        proposal = self.require_lease().add_proposal(envelope)
        with trio.move_on_after(COMMIT_TIMEOUT_S):
            await proposal.done.wait()
        result = proposal.result or CommitUnknown()
        if isinstance(result, MedlarError):
            raise result
        return result

    # Following.

    def _require_identity(self, expected: str) -> None:
        if expected != self.identity:
            raise MemberMismatch(expected=expected, actual=self.identity)

    @route("POST", VOTE_PATH, VoteRequest)
    async def handle_vote(self, request: Request) -> VoteAnswer:
        """Grant or refuse a vote."""
        self._require_identity(request.message.to_identity)
        return await self.elections.vote(request.message)

    async def _accept_leader(self, leader: MemberInfo, term: int) -> bool:
        """Record contact with ``leader``; return False if its term is outdated."""
        if term < self.term or not self.journal.meta.cluster:
            return False
        require(
            self.leadership is None or self.leadership.term < term,
            "one-leader-in-a-term",
            f"term {term}",
        )
        if term > self.term:
            self.step_down("newer-leader")
            await self.journal.save_vote(term, "")
        self.election_timeout_since = self.clock()
        self.leader_contact_at = self.clock()
        self.leader_seen = True
        if self.leader is None or self.leader.identity != leader.identity:
            eliot.log_message("leader:following", member=self.name, leader=leader.name)
        self.leader = leader
        return True

    @route("POST", APPEND_PATH, AppendRequest)
    async def handle_append(self, request: Request) -> AppendAnswer:
        """Append entries from the leader."""
        message: AppendRequest = request.message
        self._require_identity(message.to_identity)
        async with self.journal_lock:
            if not await self._accept_leader(message.leader, message.term):
                return self._answer_leader(False, self.journal.last_index)
            self._record_silences(message.silences)
            if not self._matches_previous(message):
                last = min(self.journal.last_index, message.prev_index - 1)
                return self._answer_leader(False, last)
            await self._store_entries(message.entries)
            matched = message.prev_index + len(message.entries)
            self.commit(min(message.commit_index, matched))
            return self._answer_leader(True, self.journal.last_index)

    def _answer_leader(self, taken: bool, last_index: int) -> AppendAnswer:
        return AppendAnswer(self.term, taken, last_index, knows_rollouts=True)

    def _matches_previous(self, message: AppendRequest) -> bool:
        if message.prev_index < self.journal.first_index - 1:
            return True
        return self.journal.get_term(message.prev_index) == message.prev_term

    async def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append new entries, replacing those that conflict."""
        new_entries = [
            entry
            for entry in entries
            if entry.index >= self.journal.first_index
            and self.journal.get_term(entry.index) != entry.term
        ]
        if not new_entries:
            return
        start = new_entries[0].index
        require(
            start > self.commit_index,
            "committed-entries-stay",
            f"{start} at commit {self.commit_index}",
        )
        suffix = tuple(entry for entry in entries if entry.index >= start)
        try:
            await self.journal.append(suffix)
            self.storage_error = ""
        except StorageError as error:
            self.handle_storage_error(error)
            raise

    @route("POST", SNAPSHOT_PATH, SnapshotRequest)
    async def handle_snapshot(self, request: Request) -> AppendAnswer:
        """Install a snapshot from the leader, or the initial one of a cluster."""
        message: SnapshotRequest = request.message
        self._require_identity(message.to_identity)
        async with self.journal_lock:
            cluster = self.journal.meta.cluster
            if cluster not in ("", message.snapshot.cluster):
                raise AlreadyBootstrapped(member=self.name)
            if cluster and not await self._accept_leader(message.leader, message.term):
                return self._answer_leader(False, self.journal.last_index)
            await self._install_snapshot(message.snapshot)
            self.election_timeout_since = self.clock()
            return self._answer_leader(True, self.journal.last_index)

    async def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a snapshot, unless the log already contains its last entry.

        Entries after it may have been acknowledged, so they must not be dropped.
        """
        if self.journal.get_term(snapshot.index) == snapshot.term:
            self.commit(snapshot.index)
        elif snapshot.index > self.commit_index:
            await self.journal.install(snapshot)
            self._load_snapshot()
            for notify in self.install_listeners:
                notify()
            self._notify_applied()

    # Applying.

    def commit(self, index: int) -> None:
        """Apply the log up to ``index``, which a quorum stores."""
        if index <= self.commit_index:
            return
        require(index <= self.journal.last_index, "commit-within-log", f"{index}")
        self.commit_index = index
        for entry in self.journal.get_entries(
            self.catalogue.index + 1, index - self.catalogue.index
        ):
            self._apply(entry)
        self._notify_applied()
        if self._is_snapshot_due():
            self._nursery.start_soon(self._compact)
        is_list_committed = self.journal.get_members_index() <= index
        if is_list_committed and self.identity not in self.list_voters():
            self.step_down("removed")

    def _apply(self, entry: LogEntry) -> None:
        outcome = self.catalogue.apply(entry.index, entry.envelope)
        for notify in self.apply_listeners:
            notify(entry, outcome)
        if self.leadership is not None:
            error = decode_error(outcome.error.encode()) if outcome.error else None
            self.leadership.complete_applied(entry.index, error or outcome)

    def _notify_applied(self) -> None:
        self._applied.set()
        self._applied = trio.Event()

    def _is_snapshot_due(self) -> bool:
        log_length = self.catalogue.index - self.journal.first_index
        return log_length >= self.snapshot_interval_entries + self._get_retained_count()

    def _get_retained_count(self) -> int:
        return min(RETAINED_ENTRIES, self.snapshot_interval_entries // 4)

    async def _compact(self) -> None:
        """Write a snapshot, retaining some entries for members that lag."""
        async with self.journal_lock:
            if not self._is_snapshot_due():
                return
            try:
                await self.journal.compact(self._build_snapshot())
                get_metrics().count("snapshots_written")
            except StorageError as error:
                self.handle_storage_error(error)

    def _build_snapshot(self) -> Snapshot:
        index = self.catalogue.index
        base_index = index - self._get_retained_count()
        return Snapshot(
            index=index,
            term=self.journal.get_term(index),
            members=self._get_members_at(index),
            image=self.catalogue.get_image(),
            cluster=self.journal.meta.cluster,
            base_index=base_index,
            base_term=self.journal.get_term(base_index),
        )

    def _get_members_at(self, index: int) -> tuple[MemberInfo, ...]:
        if self.journal.get_members_index() <= index:
            return self.journal.get_members()
        return self.catalogue.members

    # Membership.

    async def change_member(self, target: MemberInfo, remove: bool = False) -> Outcome:
        """Add, promote or remove one member.

        Only one change may be in progress at a time, and none before the leader has
        committed an entry of its own term.
        """
        leadership = self.require_lease()
        pending = self.journal.get_members_index() > self.commit_index
        if pending or self.commit_index < leadership.first_index:
            raise MembershipChangePending()
        members = self.journal.get_members()
        if remove and target not in members:
            raise NotFound(kind="member", name=target.name)
        others = [member for member in members if member.identity != target.identity]
        listed = tuple(others if remove else [*others, target])
        return await self.propose(Envelope(ChangeMembers(listed)))

    async def wait_caught_up(self, identity: str, timeout_s: float) -> bool:
        """Return whether a learner stores all committed entries before the timeout."""
        with trio.move_on_after(timeout_s):
            while True:
                progress = self.require_lease().progress.get(identity)
                if progress and progress.match_index >= self.commit_index:
                    return True
                await trio.sleep(HEARTBEAT_INTERVAL_S / 5)
        return False
