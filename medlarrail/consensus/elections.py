"""Leader election among the members of the replicated log.

A member becomes a candidate only after a pre-vote round showed that a quorum would
vote for it, so that a member that was partitioned off does not disrupt the others
when it reconnects. A vote is refused within the minimum election timeout of the
last contact with a leader, including contact that the previous process of this
member may have had.

After all members restarted at once there is no leader left to wait for: once each
member that might have led answers that its process has seen no leader, an election
starts immediately. A leader's lease counts only members that have followed it
since, and those refuse votes for the usual time.
"""

from functools import partial
from typing import Literal

import eliot
import trio
from attrs import define

from medlarrail.consensus.leadership import RPC_TIMEOUT_S
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import MedlarError, MemberMismatch, StorageError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    HEARTBEAT_INTERVAL_S,
)
from medlarrail.protocol.replication import VOTE_PATH, VoteAnswer, VoteRequest

CHECK_INTERVAL_S = HEARTBEAT_INTERVAL_S / 4
"""Interval between checks whether all members have restarted."""
RESTART_STAGGER_S = 2 * CHECK_INTERVAL_S
"""Delay between the election starts of two members after a full restart: longer than
the skew with which members detect it plus the duration of an election."""
RESTART_PROBE_TIMEOUT_S = 0.2
"""Time limit of the probes for a full restart: many round trips within a region."""
RESTART_ELECTION_S = 0.5
"""Time that a member leaves for the election after a full restart before it may start
one by its timeout."""
REFUSED_STAGGER_S = 3 * CHECK_INTERVAL_S
"""Delay between the next attempts of two members whose elections were refused: longer
than the votes of one take."""
MAX_REFUSED_ATTEMPTS = 3
"""Refused elections after which a member waits for a whole timeout again: the others
hear a leader that it does not, or have entries that it lacks."""
STALL_LIMIT_S = 0.5
"""Delay of a timer from which the process counts as having stood still: it could not
hear the other members meanwhile."""
GRANTED = "granted"
REFUSED = "refused"
ElectionResult = Literal["won", "refused", "ended"]
"""``refused`` if members that could have granted it a quorum did not, and ``ended`` for
any other reason."""


@define(eq=False)
class Elections:
    """Monitors the leader on behalf of ``member``, votes and runs elections."""

    member: "LogMember"  # noqa: F821
    resumed_at: float = float("-inf")
    """Time at which this process last went on after it had stood still."""

    async def run(self) -> None:
        """Start an election whenever the leader is lost.

        A process that took long to start has not heard any leader meanwhile, and
        after a full restart the timeouts of all members would have passed together.
        """
        latest_since = self.member.clock() - ELECTION_TIMEOUT_MIN_S + RESTART_ELECTION_S
        self.member.election_timeout_since = max(
            self.member.election_timeout_since, latest_since
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._elect_after_full_restart)
            await self._watch_leader()

    async def _watch_leader(self) -> None:
        member = self.member
        while True:
            timeout_s = member.random.uniform(
                ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
            )
            while (left_s := self._get_time_left_s(timeout_s)) > 0:
                await self._sleep(min(HEARTBEAT_INTERVAL_S / 2, left_s))
            if member.leadership is None:
                await self._run_elections()
            elif member.leadership.has_lost_quorum():
                member.step_down("quorum-lost")
            else:
                await self._sleep(HEARTBEAT_INTERVAL_S)

    def _get_time_left_s(self, timeout_s: float) -> float:
        return self.member.election_timeout_since + timeout_s - self.member.clock()

    async def _sleep(self, duration_s: float) -> None:
        """Sleep, and notice whether the process stood still meanwhile."""
        began_at = self.member.clock()
        await trio.sleep(duration_s)
        stalled_s = self.member.clock() - began_at - duration_s
        if stalled_s > STALL_LIMIT_S:
            self.resumed_at = self.member.clock()
            eliot.log_message(
                "process:resumed",
                member=self.member.name,
                stalled_s=round(stalled_s, 3),
            )

    async def _elect_after_full_restart(self) -> None:
        """Start elections at once after a full restart, until a leader is seen."""
        while not self.member.leader_seen:
            if await self._may_elect_after_full_restart():
                await self._start_election(all_restarted=True)
            await trio.sleep(CHECK_INTERVAL_S)

    async def _may_elect_after_full_restart(self) -> bool:
        """Return whether this member may start an election after a full restart.

        All members detect the full restart when the last one has started, so each
        then waits for its own delay, and starts no election if it has voted
        meanwhile.
        """
        member = self.member
        election_timeout_since = member.election_timeout_since
        voters = member.journal.list_recent_voters()
        voter_ids = sorted(voter.identity for voter in voters)
        if member.leader_seen or member.identity not in voter_ids:
            return False
        if member.clock() < election_timeout_since + RESTART_STAGGER_S:
            return False
        restarted = {member.identity}
        with trio.move_on_after(RESTART_PROBE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for peer in voters:
                    if peer.identity != member.identity:
                        nursery.start_soon(self._probe_restarted, peer, restarted)
        if not restarted.issuperset(voter_ids):
            return False
        await trio.sleep(RESTART_STAGGER_S * voter_ids.index(member.identity))
        return (
            not member.leader_seen
            and member.election_timeout_since == election_timeout_since
        )

    async def _probe_restarted(self, peer: MemberInfo, restarted: set[str]) -> None:
        """Add a peer to ``restarted`` if its current process has seen no leader."""
        request = self._build_request(peer, self.member.term, only_probe=True)
        try:
            answer = await self.member.peers.call(
                peer.url, VOTE_PATH, request, VoteAnswer, RPC_TIMEOUT_S
            )
        except MemberMismatch:
            # The peer lost its disk, so the process that held that identity has ended.
            restarted.add(peer.identity)
        except MedlarError as error:
            reason = type(error).__name__
            get_metrics().count("restart_checks_failed", reason=reason)
        else:
            if answer.restarted:
                restarted.add(peer.identity)

    async def _run_elections(self) -> None:
        """Start an election, and again soon while the others refuse it.

        Two members whose timeouts passed within the time of a vote refuse each other.
        Their next attempts follow each other in the order of the voters.
        """
        member = self.member
        for _ in range(MAX_REFUSED_ATTEMPTS):
            if await self._start_election() != "refused":
                return
            timeout_since = member.election_timeout_since
            earlier = [one for one in member.list_voters() if one < member.identity]
            await self._sleep(REFUSED_STAGGER_S * (1 + len(earlier)))
            if member.election_timeout_since != timeout_since:
                # It has voted for another member, or heard a leader.
                return

    async def _start_election(self, all_restarted: bool = False) -> ElectionResult:
        member = self.member
        member.election_timeout_since = member.clock()
        if member.identity not in member.list_voters():
            return "ended"
        collect_votes = partial(self._collect_votes, all_restarted=all_restarted)
        # Another election in the term of the pre-votes ends this one.
        term = member.term + 1
        result = await collect_votes(term, only_probe=True)
        if result != "won":
            return result
        if not await self._vote_for_self(term):
            return "ended"
        result = await collect_votes(term, only_probe=False)
        if result == "won" and member.term == term:
            member.start_leading(term)
        return result

    async def _vote_for_self(self, term: int) -> bool:
        member = self.member
        try:
            async with member.journal_lock:
                if member.leadership is not None or member.term >= term:
                    return False
                await member.journal.save_vote(term, member.identity)
        except StorageError as error:
            member.handle_storage_error(error)
            return False
        member.storage_error = ""
        return True

    async def _collect_votes(
        self, term: int, only_probe: bool, all_restarted: bool
    ) -> ElectionResult:
        """Request votes from the other voters; return whether a quorum granted them."""
        member = self.member
        granted = {member.identity}
        results: dict[str, str] = {}
        async with trio.open_nursery() as nursery:

            async def request_vote(peer: MemberInfo) -> None:
                request = self._build_request(peer, term, only_probe, all_restarted)
                results[peer.name] = await self._request_vote(peer, request)
                if results[peer.name] == GRANTED:
                    granted.add(peer.identity)
                if member.is_quorum(granted):
                    nursery.cancel_scope.cancel()

            for peer in member.journal.get_members():
                if peer.voter and peer.identity != member.identity:
                    nursery.start_soon(request_vote, peer)
        if member.is_quorum(granted):
            return "won"
        eliot.log_message(
            "election:failed",
            member=member.name,
            term=term,
            only_probe=only_probe,
            last_index=member.journal.last_index,
            last_term=member.journal.last_term,
            results=results,
        )
        answered = granted | {
            peer.identity
            for peer in member.journal.get_members()
            if results.get(peer.name) == REFUSED
        }
        return "refused" if member.is_quorum(answered) else "ended"

    def _build_request(
        self,
        peer: MemberInfo,
        term: int,
        only_probe: bool,
        all_restarted: bool = False,
    ) -> VoteRequest:
        journal = self.member.journal
        return VoteRequest(
            to_identity=peer.identity,
            candidate=self.member.identity,
            term=term,
            last_index=journal.last_index,
            last_term=journal.last_term,
            only_probe=only_probe,
            all_restarted=all_restarted,
        )

    async def _request_vote(self, peer: MemberInfo, request: VoteRequest) -> str:
        """Return ``GRANTED``, ``REFUSED`` or the type of the error."""
        member = self.member
        try:
            answer = await member.peers.call(
                peer.url, VOTE_PATH, request, VoteAnswer, RPC_TIMEOUT_S
            )
        except MedlarError as error:
            return type(error).__name__
        if not request.only_probe:
            await member.adopt_term(answer.term)
        return GRANTED if answer.granted else REFUSED

    async def vote(self, message: VoteRequest) -> VoteAnswer:
        """Grant or refuse a vote; a pre-vote probe changes no state."""
        member = self.member
        if not self._may_vote(message):
            return self._build_answer(granted=False)
        if message.only_probe:
            return self._build_answer(granted=True)
        async with member.journal_lock:
            if not self._may_vote(message) or self._has_voted(message):
                return self._build_answer(granted=False)
            member.step_down("vote-for-another")
            await member.journal.save_vote(message.term, message.candidate)
        member.election_timeout_since = member.clock()
        return self._build_answer(granted=True)

    def _build_answer(self, granted: bool) -> VoteAnswer:
        member = self.member
        restarted = bool(member.journal.meta.cluster) and not member.leader_seen
        return VoteAnswer(member.term, granted, restarted)

    def _has_voted(self, message: VoteRequest) -> bool:
        """Return whether this term's vote was cast for another candidate."""
        voted_for = self.member.journal.meta.voted_for
        same_term = message.term == self.member.term
        return same_term and voted_for not in ("", message.candidate)

    def _may_vote(self, message: VoteRequest) -> bool:
        member = self.member
        if not member.journal.meta.cluster or message.term < member.term:
            return False
        if member.has_lease():
            return False
        no_lease_possible = message.all_restarted and not member.leader_seen
        leader_recent = (
            member.clock() < member.leader_contact_at + ELECTION_TIMEOUT_MIN_S
        )
        if leader_recent and not no_lease_possible:
            return False
        own_last = (member.journal.last_term, member.journal.last_index)
        return (message.last_term, message.last_index) >= own_last
