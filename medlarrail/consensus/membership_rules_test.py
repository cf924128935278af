"""Tests of the choice of membership changes."""

from hypothesis import given
from hypothesis import strategies as st

from medlarrail.consensus.membership_rules import (
    ALIVE_WITHIN_S,
    REMOVE_LEARNER_AFTER_S,
    REPLACE_VOTER_AFTER_S,
    TARGET_VOTERS,
    MemberStatus,
    choose_change,
)
from medlarrail.core.entities import MemberInfo


def build_member(name, voter=True, silent_s=0.0, **flags):
    return MemberStatus(
        MemberInfo(name, name, f"mem://{name}", voter), silent_s, **flags
    )


def build_voters(count, lost=0, silent_s=REPLACE_VOTER_AFTER_S + 1):
    return [
        build_member(f"v{number}", silent_s=silent_s if number < lost else 0.0)
        for number in range(count)
    ]


LEARNER = build_member("l", voter=False, caught_up=True)


class TestChooseChange:
    def test_full_cluster_needs_no_change(self):
        assert choose_change(tuple(build_voters(5)), ()) is None

    def test_caught_up_learner_is_promoted(self):
        change = choose_change((*build_voters(3), LEARNER), ())
        assert change.member.voter and change.reason == "promoted"

    def test_member_with_lost_disk_is_removed_first(self):
        lost = build_member("lost", silent_s=0.5, superseded=True)
        change = choose_change((*build_voters(4), lost, LEARNER), ())
        assert change.remove and change.member.name == "lost"

    def test_short_silence_causes_no_change(self):
        members = build_voters(5, lost=1, silent_s=REPLACE_VOTER_AFTER_S - 1)
        assert choose_change((*members, LEARNER), ()) is None

    def test_learner_replaces_voter_after_long_silence(self):
        change = choose_change((*build_voters(5, lost=1), LEARNER), ())
        assert change.remove and change.reason == "silent"

    def test_silent_voter_stays_without_learner(self):
        assert choose_change(tuple(build_voters(5, lost=2)), ()) is None

    def test_silent_learner_is_removed(self):
        silent = build_member("l", voter=False, silent_s=REMOVE_LEARNER_AFTER_S + 1)
        change = choose_change((*build_voters(5), silent), ())
        assert change.remove and change.reason == "learner-gone"

    def test_applicant_joins_as_learner(self):
        applicant = MemberInfo("n", "n", "mem://n", voter=False)
        change = choose_change(tuple(build_voters(5)), (applicant,))
        assert change.reason == "joined" and not change.member.voter
        listed = (*build_voters(5), build_member("n", voter=False))
        assert choose_change(listed, (applicant,)) is None

    @given(
        st.lists(
            st.builds(
                build_member,
                st.uuids().map(str),
                st.booleans(),
                st.sampled_from((0.0, 0.5, 3.0, 7.0, 30.0)),
                caught_up=st.booleans(),
                superseded=st.booleans(),
            ),
            min_size=1,
            max_size=9,
            unique_by=lambda member: member.info.identity,
        )
    )
    def test_responsive_voters_remain_a_quorum(self, members):
        change = choose_change(tuple(members), ())
        if change is None:
            return
        voters = {
            member.info.identity: member for member in members if member.info.voter
        }
        if change.remove and change.member.voter:
            del voters[change.member.identity]
        elif not change.remove and change.member.voter:
            assert len(voters) < TARGET_VOTERS
            voters[change.member.identity] = next(
                member
                for member in members
                if member.info.identity == change.member.identity
            )
        else:
            return
        alive = sum(member.silent_s < ALIVE_WITHIN_S for member in voters.values())
        assert 2 * alive > len(voters)
