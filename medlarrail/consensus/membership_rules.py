"""Chooses the next membership change of the leader.

The choice is a pure function of the leader's view of the members. It never returns a
change after which the responsive voters would be no quorum, and it returns one change
at a time, since the majorities of two configurations that differ by two members need
not overlap.
"""

from typing import Literal

from attrs import frozen

from medlarrail.core.entities import MemberInfo

TARGET_VOTERS = 5
"""Target number of voters: with five, two can be lost at the same time."""
REPLACE_VOTER_AFTER_S = 6.0
"""Silence after which a caught-up learner replaces a voter.

Longer than an ordinary restart or a short freeze, which must not cause a change."""
REMOVE_LEARNER_AFTER_S = 20.0
"""Silence after which a learner is removed."""
ALIVE_WITHIN_S = 1.0
"""A member whose last answer is more recent than this counts as alive."""

Reason = Literal["superseded", "promoted", "silent", "learner-gone", "joined"]


@frozen
class MemberStatus:
    """State of a listed member as seen by the leader, for which ``silent_s`` is 0."""

    info: MemberInfo
    silent_s: float
    caught_up: bool = False
    superseded: bool = False
    """Whether another identity answers at its address, which means a lost disk."""


@frozen
class MemberChange:
    """A single change to the member list."""

    member: MemberInfo
    remove: bool
    reason: Reason


def choose_change(
    members: tuple[MemberStatus, ...], applicants: tuple[MemberInfo, ...]
) -> MemberChange | None:
    """Return the next change, or None if the member list needs none."""
    for choose in (_remove_superseded, _remove_replaced, _promote, _remove_learner):
        change = choose(members)
        if change is not None:
            return change
    listed = {member.info.identity for member in members}
    for applicant in applicants:
        if applicant.identity not in listed:
            return MemberChange(applicant, remove=False, reason="joined")
    return None


def _remove_superseded(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    for member in members:
        if member.superseded and _is_removable(members, member):
            return MemberChange(member.info, remove=True, reason="superseded")
    return None


def _remove_replaced(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    """Remove a voter that has been silent too long, if a learner can replace it."""
    voters = [member for member in members if member.info.voter]
    learners = [
        member
        for member in members
        if not member.info.voter
        and member.caught_up
        and member.silent_s < ALIVE_WITHIN_S
    ]
    if len(voters) < TARGET_VOTERS or not learners:
        return None
    for member in voters:
        if member.silent_s > REPLACE_VOTER_AFTER_S and _is_removable(members, member):
            return MemberChange(member.info, remove=True, reason="silent")
    return None


def _promote(members: tuple[MemberStatus, ...]) -> MemberChange | None:
    voters = [member for member in members if member.info.voter]
    if len(voters) >= TARGET_VOTERS:
        return None
    alive = sum(member.silent_s < ALIVE_WITHIN_S for member in voters)
    for member in members:
        ready = (
            member.caught_up
            and member.silent_s < ALIVE_WITHIN_S
            and not member.superseded
        )
        if not member.info.voter and ready and 2 * (alive + 1) > len(voters) + 1:
            info = MemberInfo(member.info.identity, member.info.name, member.info.url)
            return MemberChange(info, remove=False, reason="promoted")
    return None


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
    alive = sum(member.silent_s < ALIVE_WITHIN_S for member in voters)
    return bool(voters) and 2 * alive > len(voters)
