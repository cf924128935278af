"""Elections among the members of the replicated log.

A member stands only after a probe showed that a quorum would vote for it, so
that one that was cut off does not disturb the others when it comes back. A vote
is refused while a leader was heard from recently.
"""

import trio
from attrs import define

from medlarrail.consensus.leadership import RPC_TIMEOUT_S
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import MedlarError, StorageError
from medlarrail.core.timing import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    HEARTBEAT_INTERVAL_S,
)
from medlarrail.protocol.replication import VOTE_PATH, VoteAnswer, VoteRequest


@define(eq=False)
class Elections:
    """Watches the leader for ``member``, votes and stands for election."""

    member: "LogMember"  # noqa: F821

    async def run(self) -> None:
        """Stand for election whenever the leader is lost."""
        member = self.member
        while True:
            timeout_s = member.random.uniform(
                ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S
            )
            while member.clock() < member.patient_since + timeout_s:
                await trio.sleep(HEARTBEAT_INTERVAL_S / 2)
            if member.leadership is None:
                await self._stand()
            elif member.leadership.has_lost_quorum():
                member.step_down("quorum-lost")
            else:
                await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _stand(self) -> None:
        member = self.member
        member.patient_since = member.clock()
        if member.identity not in member.list_voters():
            return
        if not await self._collect_votes(member.term + 1, only_probe=True):
            return
        term = member.term + 1
        if not await self._vote_for_self(term):
            return
        won = await self._collect_votes(term, only_probe=False)
        if won and member.term == term:
            member.start_leading(term)

    async def _vote_for_self(self, term: int) -> bool:
        member = self.member
        try:
            async with member.disk:
                if member.leadership is not None or member.term >= term:
                    return False
                await member.journal.save_vote(term, member.identity)
        except StorageError as error:
            member.note_storage_error(error)
            return False
        member.storage_error = ""
        return True

    async def _collect_votes(self, term: int, only_probe: bool) -> bool:
        """Ask the other voters; returns whether a quorum granted its vote."""
        member = self.member
        granted = {member.identity}
        async with trio.open_nursery() as nursery:

            async def ask(peer: MemberInfo) -> None:
                if await self._ask(peer, term, only_probe):
                    granted.add(peer.identity)
                if member.is_quorum(granted):
                    nursery.cancel_scope.cancel()

            for peer in member.journal.get_members():
                if peer.voter and peer.identity != member.identity:
                    nursery.start_soon(ask, peer)
        return member.is_quorum(granted)

    async def _ask(self, peer: MemberInfo, term: int, only_probe: bool) -> bool:
        member = self.member
        request = VoteRequest(
            to_identity=peer.identity,
            candidate=member.identity,
            term=term,
            last_index=member.journal.last_index,
            last_term=member.journal.last_term,
            only_probe=only_probe,
        )
        try:
            answer = await member.peers.call(
                peer.url, VOTE_PATH, request, VoteAnswer, RPC_TIMEOUT_S
            )
        except MedlarError:
            return False
        if not only_probe:
            await member.learn_term(answer.term)
        return answer.granted

    async def vote(self, message: VoteRequest) -> VoteAnswer:
        """Give or refuse a vote; a probe changes nothing."""
        member = self.member
        if not self._may_vote(message):
            return VoteAnswer(member.term, granted=False)
        if message.only_probe:
            return VoteAnswer(member.term, granted=True)
        async with member.disk:
            if not self._may_vote(message) or self._has_voted(message):
                return VoteAnswer(member.term, granted=False)
            member.step_down("vote-for-another")
            await member.journal.save_vote(message.term, message.candidate)
        member.patient_since = member.clock()
        return VoteAnswer(member.term, granted=True)

    def _has_voted(self, message: VoteRequest) -> bool:
        """Return whether this term's vote went to another candidate."""
        voted_for = self.member.journal.meta.voted_for
        same_term = message.term == self.member.term
        return same_term and voted_for not in ("", message.candidate)

    def _may_vote(self, message: VoteRequest) -> bool:
        member = self.member
        if not member.journal.meta.cluster or message.term < member.term:
            return False
        if member.has_lease():
            return False
        if member.clock() < member.leader_heard_at + ELECTION_TIMEOUT_MIN_S:
            return False
        own = (member.journal.last_term, member.journal.last_index)
        return (message.last_term, message.last_index) >= own
