"""The leader's side of the replicated log: proposals, replication and the lease.

One task appends proposals in batches; one task per peer sends entries and
heartbeats. Entries stored by a quorum are committed. Answers from a quorum also
extend the leader's lease, because a member grants no vote before the election timeout
since its last contact with a leader has passed.
"""

import trio
from attrs import define, evolve, field

from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import (
    CommitUnknown,
    MedlarError,
    MemberMismatch,
    StorageError,
)
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
    AppendAnswer,
    AppendRequest,
    MemberSilence,
    SnapshotRequest,
)
from medlarrail.state.operations import Envelope, LogEntry, NoOperation, Outcome

RPC_TIMEOUT_S = 0.6
SNAPSHOT_TIMEOUT_S = 8.0
SETTLING_S = 1.0
"""Time after an election in which every member that runs answers the leader: longer
than the timeout of a call and a heartbeat interval."""
REPORT_SILENCE_S = 1.0
"""Silence from which a member is named in the appends to the others."""
MAX_BATCH_ENTRIES = 256
"""Maximum entries in one append."""


@define
class Proposal:
    """An envelope that is waiting to be committed."""

    envelope: Envelope
    done: trio.Event = field(factory=trio.Event)
    result: Outcome | MedlarError | None = None

    def complete(self, result: Outcome | MedlarError) -> None:
        """Deliver the outcome or error to the proposer; the first result stays."""
        if self.result is None:
            self.result = result
        self.done.set()


@define
class PeerProgress:
    """Replication progress of one peer, as the leader tracks it."""

    next_index: int
    match_index: int = 0
    heard_at: float = float("-inf")
    """Time at which the peer was last heard before this leader's requests."""
    answered_at: float = float("-inf")
    """Send time of the latest request that the peer answered."""
    identity_replaced: bool = False
    """Whether a member with another identity answers at the peer's address."""
    knows_rollouts: bool | None = None
    """Whether the peer applies software rollouts; None until it has answered."""
    wake: trio.Event = field(factory=trio.Event)

    def record_match(self, index: int) -> None:
        """Record that the peer stores the log up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1

    def rewind(self, last_index: int) -> None:
        """Move ``next_index`` back to where the peer's log may match."""
        self.next_index = max(1, min(self.next_index - 1, last_index + 1))


@define(eq=False)
class Leadership:
    """The leadership of ``member`` during one term."""

    member: "LogMember"  # noqa: F821
    term: int
    elected_at: float
    earlier_silences: dict[str, float] = field(factory=dict)
    """Silence of members at the election in seconds, by identity."""
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    progress: dict[str, PeerProgress] = field(factory=dict)
    queue: list[Proposal] = field(factory=list)
    pending: dict[int, Proposal] = field(factory=dict)
    proposal_queued: trio.Event = field(factory=trio.Event)
    first_index: int = 0
    """Index of the first entry of the term."""

    # The lease.

    def get_lease_end(self) -> float:
        """Return the time until which no other member can be the leader."""
        member = self.member
        voters = member.list_voters()
        answer_times = [
            member.clock()
            if voter == member.identity
            else self.progress[voter].answered_at
            for voter in voters
            if voter == member.identity or voter in self.progress
        ]
        answer_times.sort(reverse=True)
        quorum_index = len(voters) // 2
        if quorum_index >= len(answer_times):
            return float("-inf")
        return (
            answer_times[quorum_index] + ELECTION_TIMEOUT_MIN_S - CLOCK_DRIFT_MARGIN_S
        )

    def has_lost_quorum(self) -> bool:
        """Return whether the lease ended more than the longest election timeout ago."""
        now = self.member.clock()
        if now < self.elected_at + ELECTION_TIMEOUT_MAX_S:
            return False
        return self.get_lease_end() + ELECTION_TIMEOUT_MAX_S < now

    def list_answer_ages(self) -> dict[str, float]:
        """Return the age in seconds of each listed peer's latest answer, by name.

        A peer that has not answered this leader is left out.
        """
        now = self.member.clock()
        return {
            peer.name: round(now - self.progress[peer.identity].answered_at, 3)
            for peer in self.member.journal.get_members()
            if peer.identity in self.progress
            and self.progress[peer.identity].answered_at >= self.elected_at
        }

    def get_silence_s(self, identity: str) -> float:
        """Return for how long a peer has been silent, in seconds.

        Time for which this member itself stood still does not count.
        """
        progress = self.progress.get(identity)
        if progress is None:
            return 0.0
        heard_at = max(
            progress.heard_at, progress.answered_at, self.member.elections.resumed_at
        )
        return self.member.clock() - heard_at

    def is_settled(self) -> bool:
        """Return whether every member that runs has had the time to answer."""
        begin = max(self.elected_at, self.member.elections.resumed_at)
        return self.member.clock() - begin >= SETTLING_S

    def list_silences(self) -> tuple[MemberSilence, ...]:
        """Return the members that have not answered lately."""
        silences = (
            MemberSilence(identity, round(self.get_silence_s(identity), 3))
            for identity in self.progress
        )
        return tuple(
            silence for silence in silences if silence.silent_s > REPORT_SILENCE_S
        )

    # Proposals.

    def add_proposal(self, envelope: Envelope) -> Proposal:
        """Queue an envelope to be appended to the log."""
        proposal = Proposal(envelope)
        self.queue.append(proposal)
        self.proposal_queued.set()
        return proposal

    def complete_applied(self, index: int, result: Outcome | MedlarError) -> None:
        """Deliver the result of the entry at ``index`` to its proposer."""
        proposal = self.pending.pop(index, None)
        if proposal is not None:
            proposal.complete(result)

    def end(self) -> None:
        """Stop leading; pending proposals may still be committed by another leader."""
        self.scope.cancel()
        for proposal in [*self.queue, *self.pending.values()]:
            proposal.complete(CommitUnknown())

    async def run(self) -> None:
        """Lead until the term ends."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.queue.insert(0, Proposal(Envelope(NoOperation())))
                self.proposal_queued.set()
                self.first_index = self.member.journal.last_index + 1
                nursery.start_soon(self._replicate)
                await self._append_proposals()

    async def _append_proposals(self) -> None:
        while True:
            await self.proposal_queued.wait()
            self.proposal_queued = trio.Event()
            while self.queue:
                await self._append_batch()

    async def _append_batch(self) -> None:
        member = self.member
        batch = self.queue[:MAX_BATCH_ENTRIES]
        async with member.journal_lock:
            if member.leadership is not self:
                return
            entries = self._build_entries(batch)
            try:
                with trio.CancelScope(shield=True):
                    await member.journal.append(entries)
            except StorageError as error:
                member.handle_storage_error(error)
                return
        del self.queue[: len(batch)]
        for entry, proposal in zip(entries, batch, strict=True):
            self.pending[entry.index] = proposal
        for progress in self.progress.values():
            progress.wake.set()
        await self._advance_commit()

    def _build_entries(self, batch: list[Proposal]) -> tuple[LogEntry, ...]:
        first_index = self.member.journal.last_index + 1
        now_s = self.member.wall_clock()
        return tuple(
            LogEntry(
                first_index + offset, self.term, evolve(proposal.envelope, at_s=now_s)
            )
            for offset, proposal in enumerate(batch)
        )

    # Replication.

    async def _replicate(self) -> None:
        """Run one replication task for each listed peer."""
        async with trio.open_nursery() as nursery:
            while True:
                for peer in self.member.journal.get_members():
                    tracked = peer.identity in self.progress
                    if peer.identity != self.member.identity and not tracked:
                        next_index = self.member.journal.last_index + 1
                        silent_s = self.earlier_silences.pop(peer.identity, 0.0)
                        self.progress[peer.identity] = PeerProgress(
                            next_index, heard_at=self.member.clock() - silent_s
                        )
                        nursery.start_soon(self._replicate_to, peer)
                await trio.sleep(HEARTBEAT_INTERVAL_S / 2)

    async def _replicate_to(self, peer: MemberInfo) -> None:
        member = self.member
        progress = self.progress[peer.identity]
        while member.find_member(peer.identity) is not None:
            progress.wake = trio.Event()
            sent_at = member.clock()
            try:
                answer = await self._send(peer, progress)
            except MedlarError as error:
                progress.identity_replaced = isinstance(error, MemberMismatch)
                get_metrics().count("append_failures", type=type(error).__name__)
                await trio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            await member.adopt_term(answer.term)
            if member.leadership is not self:
                return
            progress.answered_at = max(progress.answered_at, sent_at)
            progress.knows_rollouts = answer.knows_rollouts
            if answer.taken:
                await self._advance_commit()
            else:
                progress.rewind(answer.last_index)
            if progress.next_index > member.journal.last_index:
                with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                    await progress.wake.wait()
        self.progress.pop(peer.identity, None)

    async def _send(self, peer: MemberInfo, progress: PeerProgress) -> AppendAnswer:
        """Send the entries the peer lacks, or a snapshot if they were compacted."""
        journal = self.member.journal
        prev_index = progress.next_index - 1
        prev_term = journal.get_term(prev_index)
        if prev_term < 0:
            return await self._send_snapshot(peer, progress)
        entries = journal.get_entries(progress.next_index, MAX_BATCH_ENTRIES)
        request = AppendRequest(
            to_identity=peer.identity,
            leader=self.member.info,
            term=self.term,
            prev_index=prev_index,
            prev_term=prev_term,
            commit_index=self.member.commit_index,
            entries=entries,
            silences=self.list_silences(),
        )
        answer = await self.member.peers.call(
            peer.url, APPEND_PATH, request, AppendAnswer, RPC_TIMEOUT_S
        )
        if answer.taken:
            progress.record_match(prev_index + len(entries))
        return answer

    async def _send_snapshot(
        self, peer: MemberInfo, progress: PeerProgress
    ) -> AppendAnswer:
        snapshot = self.member.journal.snapshot
        request = SnapshotRequest(peer.identity, self.member.info, self.term, snapshot)
        get_metrics().count("snapshots_sent")
        answer = await self.member.peers.call(
            peer.url, SNAPSHOT_PATH, request, AppendAnswer, SNAPSHOT_TIMEOUT_S
        )
        if answer.taken:
            progress.record_match(snapshot.index)
        return answer

    async def _advance_commit(self) -> None:
        """Commit entries that a quorum stores, if the last is of the current term."""
        member = self.member
        voters = member.list_voters()
        match_indexes = sorted(
            (
                member.journal.last_index
                if voter == member.identity
                else self.progress[voter].match_index
                for voter in voters
                if voter == member.identity or voter in self.progress
            ),
            reverse=True,
        )
        quorum_index = len(voters) // 2
        if quorum_index >= len(match_indexes):
            return
        index = match_indexes[quorum_index]
        is_current_term = member.journal.get_term(index) == self.term
        if index > member.commit_index and is_current_term:
            member.commit(index)
