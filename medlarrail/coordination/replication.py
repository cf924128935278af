"""The replicated log: elections, replication and commits.

One task watches for a lost leader, and while a member leads, one task for each
other member sends it entries and heartbeats. A vote is refused while a leader
was heard from recently, which gives the leader a lease: it may answer from its
own state until the election timeout has passed since a quorum last answered.

Changes of members add or remove one member at a time.
"""

from collections.abc import Callable
from random import Random

import eliot
import trio
from attrs import define, evolve, field

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
from medlarrail.core.timing import (
    CLOCK_DRIFT_MARGIN_S,
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    HEARTBEAT_INTERVAL_S,
)
from medlarrail.protocol.replication import (
    APPEND_PATH,
    SNAPSHOT_PATH,
    VOTE_PATH,
    AppendAnswer,
    AppendRequest,
    Identity,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from medlarrail.state.catalogue import Catalogue
from medlarrail.state.journal import Journal, Snapshot
from medlarrail.state.operations import (
    ChangeMembers,
    Envelope,
    LogEntry,
    NoOperation,
    Outcome,
)
from medlarrail.transport.client import Peers
from medlarrail.transport.routes import Request, route

RPC_TIMEOUT_S = 0.6
SNAPSHOT_TIMEOUT_S = 8.0
COMMIT_TIMEOUT_S = 4.0
LARGEST_BATCH = 256
"""Entries in one append."""
SNAPSHOT_EVERY = 2000
"""Entries after which a member writes a snapshot."""
KEPT_BEHIND_SNAPSHOT = 500
"""Entries that a snapshot leaves in the log for members that lag a little."""


@define
class Proposal:
    """An envelope that waits for its commit."""

    envelope: Envelope
    done: trio.Event = field(factory=trio.Event)
    result: Outcome | MedlarError | None = None

    def settle(self, result: Outcome | MedlarError) -> None:
        """Give the proposer its outcome or error."""
        if self.result is None:
            self.result = result
        self.done.set()


@define
class PeerProgress:
    """What the leader knows of one other member."""

    next_index: int
    match_index: int = 0
    answered_at: float = float("-inf")
    """Sending time of the latest request that the member answered."""
    wake: trio.Event = field(factory=trio.Event)


@define
class Leadership:
    """State that a member has only while it leads in ``term``."""

    term: int
    scope: trio.CancelScope
    since: float
    progress: dict[str, PeerProgress] = field(factory=dict)
    queue: list[Proposal] = field(factory=list)
    waiting: dict[int, Proposal] = field(factory=dict)
    queued: trio.Event = field(factory=trio.Event)
    first_index: int = 0
    """Index of the entry that opened the term."""


@define
class LogMember:
    """One member of the replicated log."""

    name: str
    url: str
    journal: Journal
    peers: Peers
    random: Random = field(factory=Random)
    clock: Clock = get_boottime
    wall_clock: Clock = get_wall_time
    snapshot_every: int = SNAPSHOT_EVERY
    catalogue: Catalogue = field(init=False)
    commit_index: int = field(init=False)
    leader: MemberInfo | None = None
    leadership: Leadership | None = None
    storage_error: str = ""
    on_apply: list[Callable[[LogEntry, Outcome], None]] = field(factory=list)
    _heard_at: float = field(init=False)
    """When this member last had a reason not to stand for election."""
    _leader_heard_at: float = field(init=False)
    """When a leader may last have been promised this member's support."""
    _disk: trio.Lock = field(factory=trio.Lock)
    _applied: trio.Event = field(factory=trio.Event)
    _nursery: trio.Nursery | None = None

    def __attrs_post_init__(self):
        self._heard_at = self.clock()
        self._leader_heard_at = self.clock()
        self._load_snapshot()

    def _load_snapshot(self) -> None:
        snapshot = self.journal.snapshot
        if snapshot is None:
            self.catalogue = Catalogue()
        else:
            self.catalogue = Catalogue.from_image(snapshot.image)
        self.commit_index = self.catalogue.index

    # Facts about this member.

    @property
    def identity(self) -> str:
        """Identity of this member's disk."""
        return self.journal.meta.identity

    @property
    def term(self) -> int:
        """Latest term that this member knows."""
        return self.journal.meta.term

    @property
    def info(self) -> MemberInfo:
        """This member as others list it."""
        found = self.find_member(self.identity)
        return found or MemberInfo(self.identity, self.name, self.url, voter=False)

    def find_member(self, identity: str) -> MemberInfo | None:
        """Return the listed member with this identity."""
        members = self.journal.get_members()
        return next((one for one in members if one.identity == identity), None)

    def list_voters(self) -> list[str]:
        """Return the identities of the voting members."""
        return [one.identity for one in self.journal.get_members() if one.voter]

    def is_quorum(self, identities: set[str]) -> bool:
        """Return whether ``identities`` hold a majority of the voters."""
        voters = self.list_voters()
        return 2 * len(identities.intersection(voters)) > len(voters)

    def has_lease(self) -> bool:
        """Return whether no other member can lead now."""
        return self.leadership is not None and self.clock() < self._get_lease_end()

    def _get_lease_end(self) -> float:
        progress = self.leadership.progress
        times = [
            self.clock() if one == self.identity else progress[one].answered_at
            for one in self.list_voters()
            if one == self.identity or one in progress
        ]
        times.sort(reverse=True)
        needed = len(self.list_voters()) // 2
        if needed >= len(times):
            return float("-inf")
        return times[needed] + ELECTION_TIMEOUT_MIN_S - CLOCK_DRIFT_MARGIN_S

    def require_lease(self) -> Leadership:
        """Return the leadership, or raise ``NotLeader`` with the leader's URL."""
        if not self.journal.meta.cluster:
            raise NotBootstrapped()
        if self.leadership is None or not self.has_lease():
            known = self.leader.url if self.leader and not self.leadership else ""
            raise NotLeader(leader_url=known)
        return self.leadership

    async def confirm_reads(self) -> None:
        """Return once everything committed so far is applied, under the lease."""
        leadership = self.require_lease()
        target = max(self.commit_index, leadership.first_index)
        await self.wait_applied(target)
        self.require_lease()

    async def wait_applied(self, index: int) -> None:
        """Return once the entry at ``index`` is applied."""
        while self.catalogue.index < index:
            await self._applied.wait()

    async def wait_change(self, index: int) -> None:
        """Return once an entry after ``index`` is applied."""
        await self.wait_applied(index + 1)

    # Life of the member.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take part in the cluster until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._watch_leader()

    async def _watch_leader(self) -> None:
        while True:
            timeout = self.random.uniform(
                ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
            )
            while self.clock() < self._heard_at + timeout:
                await trio.sleep(HEARTBEAT_INTERVAL_S / 2)
            if self.leadership is not None:
                self._check_own_lease()
                await trio.sleep(HEARTBEAT_INTERVAL_S)
            else:
                await self._stand_for_election()

    def _check_own_lease(self) -> None:
        """Step down when no quorum answered for longer than an election takes."""
        age = self.clock() - self.leadership.since
        lost = self._get_lease_end() + ELECTION_TIMEOUT_MAX_S < self.clock()
        if lost and age > ELECTION_TIMEOUT_MAX_S:
            self._step_down("quorum lost")

    async def _stand_for_election(self) -> None:
        self._heard_at = self.clock()
        if self.identity not in self.list_voters():
            return
        try:
            if not await self._collect_votes(self.term + 1, only_probe=True):
                return
            term = self.term + 1
            async with self._disk:
                if self.leadership is not None or self.term >= term:
                    return
                await self.journal.save_vote(term, self.identity)
            self.storage_error = ""
        except StorageError as error:
            self._note_storage_error(error)
            return
        if await self._collect_votes(term, only_probe=False) and self.term == term:
            self._start_leading(term)

    async def _collect_votes(self, term: int, only_probe: bool) -> bool:
        granted = {self.identity}
        async with trio.open_nursery() as nursery:

            async def ask(member: MemberInfo) -> None:
                request = VoteRequest(
                    to_identity=member.identity,
                    candidate=self.identity,
                    term=term,
                    last_index=self.journal.last_index,
                    last_term=self.journal.last_term,
                    only_probe=only_probe,
                )
                try:
                    answer = await self.peers.call(
                        member.url, VOTE_PATH, request, VoteAnswer, RPC_TIMEOUT_S
                    )
                except MedlarError:
                    return
                await self._learn_term(answer.term if not only_probe else 0)
                if answer.granted:
                    granted.add(member.identity)
                if self.is_quorum(granted):
                    nursery.cancel_scope.cancel()

            for member in self.journal.get_members():
                if member.voter and member.identity != self.identity:
                    nursery.start_soon(ask, member)
        return self.is_quorum(granted)

    async def _learn_term(self, term: int) -> None:
        if term <= self.term:
            return
        async with self._disk:
            if term > self.term:
                await self.journal.save_vote(term, "")
        self._step_down("newer term")

    def _start_leading(self, term: int) -> None:
        leadership = Leadership(term, trio.CancelScope(), since=self.clock())
        self.leadership = leadership
        self.leader = self.info
        eliot.log_message("leader:elected", member=self.name, term=term)
        get_metrics().count("elections_won")
        self._nursery.start_soon(self._lead, leadership)

    def _step_down(self, reason: str) -> None:
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = None
        self._heard_at = self.clock()
        leadership.scope.cancel()
        for proposal in [*leadership.queue, *leadership.waiting.values()]:
            proposal.settle(CommitUnknown())
        eliot.log_message("leader:stepped-down", member=self.name, reason=reason)
        get_metrics().count("leader_step_downs", reason=reason.replace(" ", "-"))

    def _note_storage_error(self, error: StorageError) -> None:
        if not self.storage_error:
            eliot.log_message("storage:failed", member=self.name, error=str(error))
        get_metrics().count("storage_errors", type=type(error).__name__)
        self.storage_error = str(error)
        self._step_down("storage failed")

    # Leading.

    async def _lead(self, leadership: Leadership) -> None:
        with leadership.scope:
            async with trio.open_nursery() as nursery:
                opening = Proposal(Envelope(NoOperation()))
                leadership.queue.insert(0, opening)
                leadership.queued.set()
                leadership.first_index = self.journal.last_index + 1
                nursery.start_soon(self._replicate_to_members, leadership)
                await self._append_proposals(leadership)

    async def _append_proposals(self, leadership: Leadership) -> None:
        while True:
            await leadership.queued.wait()
            leadership.queued = trio.Event()
            while leadership.queue:
                await self._append_batch(leadership)

    async def _append_batch(self, leadership: Leadership) -> None:
        batch = leadership.queue[:LARGEST_BATCH]
        async with self._disk:
            if self.leadership is not leadership:
                return
            start = self.journal.last_index + 1
            entries = tuple(
                LogEntry(
                    start + offset,
                    leadership.term,
                    evolve(one.envelope, at_s=self.wall_clock()),
                )
                for offset, one in enumerate(batch)
            )
            try:
                with trio.CancelScope(shield=True):
                    await self.journal.append(entries)
            except StorageError as error:
                self._note_storage_error(error)
                return
        del leadership.queue[: len(batch)]
        for entry, proposal in zip(entries, batch, strict=True):
            leadership.waiting[entry.index] = proposal
        for progress in leadership.progress.values():
            progress.wake.set()
        await self._advance_commit(leadership)

    async def _replicate_to_members(self, leadership: Leadership) -> None:
        """Keep one task running for each other member that is listed."""
        async with trio.open_nursery() as nursery:
            while True:
                for member in self.journal.get_members():
                    known = member.identity in leadership.progress
                    if member.identity != self.identity and not known:
                        progress = PeerProgress(self.journal.last_index + 1)
                        leadership.progress[member.identity] = progress
                        nursery.start_soon(self._replicate_to, leadership, member)
                await trio.sleep(HEARTBEAT_INTERVAL_S / 2)

    async def _replicate_to(self, leadership: Leadership, member: MemberInfo) -> None:
        progress = leadership.progress[member.identity]
        while self.find_member(member.identity) is not None:
            progress.wake = trio.Event()
            sent_at = self.clock()
            try:
                answer = await self._send_to(leadership, member, progress)
            except MedlarError as error:
                get_metrics().count("append_failures", type=type(error).__name__)
                await trio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            await self._learn_term(answer.term)
            if self.leadership is not leadership:
                return
            progress.answered_at = max(progress.answered_at, sent_at)
            await self._note_progress(leadership, progress, answer)
            if progress.next_index > self.journal.last_index:
                with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                    await progress.wake.wait()
        leadership.progress.pop(member.identity, None)

    async def _send_to(
        self, leadership: Leadership, member: MemberInfo, progress: PeerProgress
    ) -> AppendAnswer:
        prev_index = progress.next_index - 1
        prev_term = self.journal.get_term(prev_index)
        if prev_term < 0:
            return await self._send_snapshot(leadership, member, progress)
        entries = self.journal.get_entries(progress.next_index, LARGEST_BATCH)
        request = AppendRequest(
            to_identity=member.identity,
            leader=self.info,
            term=leadership.term,
            prev_index=prev_index,
            prev_term=prev_term,
            commit_index=self.commit_index,
            entries=entries,
        )
        answer = await self.peers.call(
            member.url, APPEND_PATH, request, AppendAnswer, RPC_TIMEOUT_S
        )
        if answer.taken:
            matched = prev_index + len(entries)
            progress.match_index = max(progress.match_index, matched)
            progress.next_index = progress.match_index + 1
        return answer

    async def _send_snapshot(
        self, leadership: Leadership, member: MemberInfo, progress: PeerProgress
    ) -> AppendAnswer:
        snapshot = self.journal.snapshot
        request = SnapshotRequest(member.identity, self.info, leadership.term, snapshot)
        get_metrics().count("snapshots_sent")
        answer = await self.peers.call(
            member.url, SNAPSHOT_PATH, request, AppendAnswer, SNAPSHOT_TIMEOUT_S
        )
        if answer.taken:
            progress.match_index = max(progress.match_index, snapshot.index)
            progress.next_index = progress.match_index + 1
        return answer

    async def _note_progress(
        self, leadership: Leadership, progress: PeerProgress, answer: AppendAnswer
    ) -> None:
        if answer.taken:
            await self._advance_commit(leadership)
        else:
            before = min(progress.next_index - 1, answer.last_index + 1)
            progress.next_index = max(1, before)

    async def _advance_commit(self, leadership: Leadership) -> None:
        """Commit what a quorum holds; only entries of the own term count."""
        matches = sorted(
            (
                self.journal.last_index
                if one == self.identity
                else leadership.progress[one].match_index
                for one in self.list_voters()
                if one == self.identity or one in leadership.progress
            ),
            reverse=True,
        )
        needed = len(self.list_voters()) // 2
        if needed >= len(matches):
            return
        index = matches[needed]
        if index > self.commit_index and (
            self.journal.get_term(index) == leadership.term
        ):
            await self._commit(index)

    async def propose(self, envelope: Envelope) -> Outcome:
        """Put an envelope into the log and return its outcome once committed.

        Raises ``NotLeader`` before anything was written, and ``CommitUnknown``
        where the outcome has to be asked for again under the same command id.
        """
        leadership = self.require_lease()
        proposal = Proposal(envelope)
        leadership.queue.append(proposal)
        leadership.queued.set()
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
        """Give or refuse a vote."""
        message: VoteRequest = request.message
        self._require_identity(message.to_identity)
        if not self._may_vote(message):
            return VoteAnswer(self.term, granted=False)
        if message.only_probe:
            return VoteAnswer(self.term, granted=True)
        async with self._disk:
            if message.term < self.term or not self._may_vote(message):
                return VoteAnswer(self.term, granted=False)
            voted_for = self.journal.meta.voted_for
            if message.term == self.term and voted_for not in ("", message.candidate):
                return VoteAnswer(self.term, granted=False)
            self._step_down("vote for another")
            await self.journal.save_vote(message.term, message.candidate)
        self._heard_at = self.clock()
        return VoteAnswer(self.term, granted=True)

    def _may_vote(self, message: VoteRequest) -> bool:
        if not self.journal.meta.cluster or message.term < self.term:
            return False
        if self.leadership is not None and self.has_lease():
            return False
        if self.clock() < self._leader_heard_at + ELECTION_TIMEOUT_MIN_S:
            return False
        own = (self.journal.last_term, self.journal.last_index)
        return (message.last_term, message.last_index) >= own

    async def _accept_leader(self, leader: MemberInfo, term: int) -> bool:
        """Return whether ``leader`` leads the latest term; note that it lives."""
        if term < self.term or not self.journal.meta.cluster:
            return False
        require(
            self.leadership is None or self.leadership.term < term,
            "one-leader-in-a-term",
            f"term {term}",
        )
        if term > self.term:
            self._step_down("newer leader")
            await self.journal.save_vote(term, "")
        self._heard_at = self.clock()
        self._leader_heard_at = self.clock()
        if self.leader is None or self.leader.identity != leader.identity:
            eliot.log_message("leader:following", member=self.name, leader=leader.name)
        self.leader = leader
        return True

    @route("POST", APPEND_PATH, AppendRequest)
    async def handle_append(self, request: Request) -> AppendAnswer:
        """Take entries from the leader."""
        message: AppendRequest = request.message
        self._require_identity(message.to_identity)
        async with self._disk:
            if not await self._accept_leader(message.leader, message.term):
                return AppendAnswer(self.term, False, self.journal.last_index)
            if not self._matches_previous(message):
                last = min(self.journal.last_index, message.prev_index - 1)
                return AppendAnswer(self.term, False, last)
            await self._store_entries(message.entries)
            matched = message.prev_index + len(message.entries)
            await self._commit(min(message.commit_index, matched))
            return AppendAnswer(self.term, True, self.journal.last_index)

    def _matches_previous(self, message: AppendRequest) -> bool:
        if message.prev_index < self.journal.first_index - 1:
            return True
        return self.journal.get_term(message.prev_index) == message.prev_term

    async def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the entries that are new; conflicting ones are replaced."""
        fresh = tuple(
            entry
            for entry in entries
            if entry.index >= self.journal.first_index
            and self.journal.get_term(entry.index) != entry.term
        )
        if not fresh:
            return
        require(
            fresh[0].index > self.commit_index,
            "committed-entries-stay",
            f"{fresh[0].index} at commit {self.commit_index}",
        )
        start = fresh[0].index
        whole = tuple(entry for entry in entries if entry.index >= start)
        try:
            await self.journal.append(whole)
            self.storage_error = ""
        except StorageError as error:
            self._note_storage_error(error)
            raise

    @route("POST", SNAPSHOT_PATH, SnapshotRequest)
    async def handle_snapshot(self, request: Request) -> AppendAnswer:
        """Take a snapshot from the leader, or the first one of a cluster."""
        message: SnapshotRequest = request.message
        self._require_identity(message.to_identity)
        async with self._disk:
            cluster = self.journal.meta.cluster
            if cluster not in ("", message.snapshot.cluster):
                raise AlreadyBootstrapped(member=self.name)
            if cluster and not await self._accept_leader(message.leader, message.term):
                return AppendAnswer(self.term, False, self.journal.last_index)
            if self._holds_entry_of(message.snapshot):
                await self._commit(message.snapshot.index)
            elif message.snapshot.index > self.commit_index:
                await self.journal.install(message.snapshot)
                self._load_snapshot()
                self._wake_appliers()
            self._heard_at = self.clock()
            return AppendAnswer(self.term, True, self.journal.last_index)

    def _holds_entry_of(self, snapshot: Snapshot) -> bool:
        """Return whether the log leads on from the snapshot.

        Entries after it may be acknowledged, so they must not be dropped.
        """
        return self.journal.get_term(snapshot.index) == snapshot.term

    # Applying.

    async def _commit(self, index: int) -> None:
        if index <= self.commit_index:
            return
        require(index <= self.journal.last_index, "commit-within-log", f"{index}")
        self.commit_index = index
        for entry in self.journal.get_entries(
            self.catalogue.index + 1, index - self.catalogue.index
        ):
            self._apply(entry)
        self._wake_appliers()
        if self._is_snapshot_due():
            self._nursery.start_soon(self._compact)
        settled = self.journal.get_members_index() <= index
        if settled and self.identity not in self.list_voters():
            self._step_down("removed")

    def _is_snapshot_due(self) -> bool:
        held = self.catalogue.index - self.journal.first_index
        return held >= self.snapshot_every + self._get_kept_behind()

    def _get_kept_behind(self) -> int:
        return min(KEPT_BEHIND_SNAPSHOT, self.snapshot_every // 4)

    def _apply(self, entry: LogEntry) -> None:
        outcome = self.catalogue.apply(entry.index, entry.envelope)
        for notify in self.on_apply:
            notify(entry, outcome)
        if self.leadership is None:
            return
        proposal = self.leadership.waiting.pop(entry.index, None)
        if proposal is not None:
            error = decode_error(outcome.error.encode()) if outcome.error else None
            proposal.settle(error or outcome)

    def _wake_appliers(self) -> None:
        self._applied.set()
        self._applied = trio.Event()

    async def _compact(self) -> None:
        """Write a snapshot that leaves some entries for members that lag."""
        async with self._disk:
            if not self._is_snapshot_due():
                return
            index = self.catalogue.index
            base_index = index - self._get_kept_behind()
            snapshot = Snapshot(
                index=index,
                term=self.journal.get_term(index),
                members=self._get_members_at(index),
                image=self.catalogue.get_image(),
                cluster=self.journal.meta.cluster,
                base_index=base_index,
                base_term=self.journal.get_term(base_index),
            )
            try:
                await self.journal.compact(snapshot)
                get_metrics().count("snapshots_written")
            except StorageError as error:
                self._note_storage_error(error)

    def _get_members_at(self, index: int) -> tuple[MemberInfo, ...]:
        if self.journal.get_members_index() <= index:
            return self.journal.get_members()
        return self.catalogue.members

    # Membership.

    def describe(self) -> Identity:
        """Return who this member is."""
        return Identity(self.identity, self.name, self.url, self.journal.meta.cluster)

    async def change_member(self, changed: MemberInfo, remove: bool = False) -> Outcome:
        """Add, promote or remove one member.

        Only one change may be under way, and only after the leader committed an
        entry of its own term.
        """
        leadership = self.require_lease()
        pending = self.journal.get_members_index() > self.commit_index
        if pending or self.commit_index < leadership.first_index:
            raise MembershipChangePending()
        members = self.journal.get_members()
        if remove and changed not in members:
            raise NotFound(kind="member", name=changed.name)
        others = [one for one in members if one.identity != changed.identity]
        listed = tuple(others if remove else [*others, changed])
        return await self.propose(Envelope(ChangeMembers(listed)))

    async def wait_caught_up(self, identity: str, timeout_s: float) -> bool:
        """Return whether a learner came to hold everything committed in time."""
        with trio.move_on_after(timeout_s):
            while True:
                progress = self.require_lease().progress.get(identity)
                if progress and progress.match_index >= self.commit_index:
                    return True
                await trio.sleep(HEARTBEAT_INTERVAL_S / 5)
        return False
