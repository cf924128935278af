"""Which single change of members the leader makes next.

A pure function of what the leader sees. It never proposes a change after which
the voters that answer would be no quorum, and it proposes one at a time, since
the majorities of two lists that differ by two members need not meet.
"""

from typing import Literal

from attrs import frozen

from medlarrail.core.entities import MemberInfo

WANTED_VOTERS = 5
"""Voters that a cluster grows to: two may be lost at once."""
REPLACE_AFTER_S = 6.0
"""Silence after which a caught-up learner takes a voter's place.

Longer than an ordinary restart or a short freeze, so that those change nothing."""
FORGET_LEARNER_S = 20.0
"""Silence after which a member that does not vote is dropped."""
ANSWERING_S = 1.0
"""A member that answered more recently than this counts as alive."""

Reason = Literal["superseded", "promoted", "silent", "learner-gone", "joined"]


@frozen
class SeenMember:
    """A listed member as the leader sees it; ``silent_s`` is 0 for the leader."""

    info: MemberInfo
    silent_s: float
    caught_up: bool = False
    superseded: bool = False
    """Another identity answers at this member's address: its disk is lost."""


@frozen
class MemberChange:
    """One change of the list of members."""

    member: MemberInfo
    remove: bool
    reason: Reason


def choose_change(
    members: tuple[SeenMember, ...], applicants: tuple[MemberInfo, ...]
) -> MemberChange | None:
    """Return the next change, or None where the list is as it should be."""
    for choose in (_remove_superseded, _remove_replaced, _promote, _drop_learner):
        change = choose(members)
        if change is not None:
            return change
    listed = {one.info.identity for one in members}
    for applicant in applicants:
        if applicant.identity not in listed:
            return MemberChange(applicant, remove=False, reason="joined")
    return None


def _remove_superseded(members: tuple[SeenMember, ...]) -> MemberChange | None:
    for one in members:
        if one.superseded and _is_removable(members, one):
            return MemberChange(one.info, remove=True, reason="superseded")
    return None


def _remove_replaced(members: tuple[SeenMember, ...]) -> MemberChange | None:
    """Remove a voter that is silent for long, if a learner can take its place."""
    voters = [one for one in members if one.info.voter]
    learners = [
        one
        for one in members
        if not one.info.voter and one.caught_up and one.silent_s < ANSWERING_S
    ]
    if len(voters) < WANTED_VOTERS or not learners:
        return None
    for one in voters:
        if one.silent_s > REPLACE_AFTER_S and _is_removable(members, one):
            return MemberChange(one.info, remove=True, reason="silent")
    return None


def _promote(members: tuple[SeenMember, ...]) -> MemberChange | None:
    voters = [one for one in members if one.info.voter]
    if len(voters) >= WANTED_VOTERS:
        return None
    alive = sum(one.silent_s < ANSWERING_S for one in voters)
    for one in members:
        ready = one.caught_up and one.silent_s < ANSWERING_S and not one.superseded
        if not one.info.voter and ready and 2 * (alive + 1) > len(voters) + 1:
            info = MemberInfo(one.info.identity, one.info.name, one.info.url)
            return MemberChange(info, remove=False, reason="promoted")
    return None


def _drop_learner(members: tuple[SeenMember, ...]) -> MemberChange | None:
    for one in members:
        if not one.info.voter and one.silent_s > FORGET_LEARNER_S:
            return MemberChange(one.info, remove=True, reason="learner-gone")
    return None


def _is_removable(members: tuple[SeenMember, ...], lost: SeenMember) -> bool:
    """Return whether the voters that answer are a quorum without ``lost``."""
    if not lost.info.voter:
        return True
    voters = [one for one in members if one.info.voter and one is not lost]
    alive = sum(one.silent_s < ANSWERING_S for one in voters)
    return bool(voters) and 2 * alive > len(voters)
