"""Chooses the next membership change of the leader.

The choice is a pure function of the leader's view of the members. It never returns a
change after which the responsive voters would be no quorum, or could bear fewer losses
than before. It returns one change at a time, since the majorities of two configurations
that differ by two members need not overlap.

A silent voter that a caught-up learner can replace becomes a learner itself. If it
answers again, it still receives the log and can replace the next voter.
"""

from typing import Literal

from attrs import evolve, frozen

from medlarrail.core.entities import MemberInfo

TARGET_VOTERS = 5
"""Target number of voters: with five, two can be lost at the same time."""
REPLACE_VOTER_AFTER_S = 2.0
"""Silence after which a caught-up learner replaces a voter.

With the longest election and the learner's start it has to fit into the time after
which a deployment counts a replaced machine as whole again."""
REMOVE_LEARNER_AFTER_S = 20.0
"""Silence after which a learner is removed."""
ALIVE_WITHIN_S = 1.0
"""A member whose last answer is more recent than this counts as alive."""

Reason = Literal["superseded", "promoted", "silent", "even", "learner-gone", "joined"]


@frozen
class MemberStatus:
    """State of a listed member as seen by the leader, for which ``silent_s`` is 0."""

    info: MemberInfo
    silent_s: float
    caught_up: bool = False
    superseded: bool = False
    """Whether another identity answers at its address, which means a lost disk."""

    @property
    def is_alive(self) -> bool:
        """Whether the member answered the leader a moment ago and is still there."""
        return self.silent_s < ALIVE_WITHIN_S and not self.superseded


@frozen
class MemberChange:
    """A single change to the member list."""

    member: MemberInfo
    remove: bool
    reason: Reason


def choose_change(
    members: tuple[MemberStatus, ...],
    applicants: tuple[MemberInfo, ...],
    settled: bool = True,
) -> MemberChange | None:
    """Return the next change, or None if the member list needs none.

    ``settled`` tells whether all members that run have had the time to answer this
    leader. Until then it only adds learners.
    """
    if settled:
        for choose in (_remove_superseded, _demote_silent, _promote, _remove_learner):
            change = choose(members)
            if change is not None:
                return change
    listed = {member.info.identity for member in members}
    for applicant in applicants:
        if applicant.identity not in listed:
            return MemberChange(applicant, remove=False, reason="joined")
    return None


def count_spare_voters(members: tuple[MemberStatus, ...]) -> int:
    """Return how many of the voters that answer can be lost without losing the quorum.

    The number is negative if they are no quorum.
    """
    voters = [member for member in members if member.info.voter]
    return sum(member.is_alive for member in voters) - (len(voters) // 2 + 1)


def _remove_superseded(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    for member in members:
        if member.superseded and _is_removable(members, member):
            return MemberChange(member.info, remove=True, reason="superseded")
    return None


def _demote_silent(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    """Take the vote of a silent voter if that lets the others bear more losses.

    With an even number of voters the removal alone does, as it lowers the quorum. With
    an odd number a learner has to be promoted after it.
    """
    voters = [member for member in members if member.info.voter]
    is_even = len(voters) % 2 == 0
    if not is_even and not any(map(_is_promotable, members)):
        return None
    for member in voters:
        if member.silent_s > REPLACE_VOTER_AFTER_S and _is_removable(members, member):
            reason = "even" if is_even else "silent"
            learner = evolve(member.info, voter=False)
            return MemberChange(learner, remove=False, reason=reason)
    return None


def _promote(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    """Promote a learner if that, or the next promotion, adds to the losses to bear."""
    voters = [member for member in members if member.info.voter]
    learners = [member for member in members if _is_promotable(member)]
    if len(voters) >= TARGET_VOTERS or not learners:
        return None
    if len(voters) % 2 and len(learners) < 2:
        return None
    alive = sum(member.is_alive for member in voters)
    if 2 * (alive + 1) <= len(voters) + 1:
        return None
    voter = evolve(learners[0].info, voter=True)
    return MemberChange(voter, remove=False, reason="promoted")


def _is_promotable(member: MemberStatus) -> bool:
    return not member.info.voter and member.caught_up and member.is_alive


def _remove_learner(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    for member in members:
        if not member.info.voter and member.silent_s > REMOVE_LEARNER_AFTER_S:
            return MemberChange(member.info, remove=True, reason="learner-gone")
    return None


def _is_removable(members: tuple[MemberStatus, ...], lost: MemberStatus) -> bool:
    """Return whether the responsive voters are still a quorum without ``lost``."""
    if not lost.info.voter:
        return True
    voters = [member for member in members if member.info.voter and member is not lost]
    alive = sum(member.is_alive for member in voters)
    return bool(voters) and 2 * alive > len(voters)
