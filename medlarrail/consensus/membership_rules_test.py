"""Tests of the choice of membership changes."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from medlarrail.consensus.membership_rules import (
    REMOVE_LEARNER_AFTER_S,
    REPLACE_VOTER_AFTER_S,
    TARGET_VOTERS,
    MemberStatus,
    choose_change,
    count_spare_voters,
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


def list_voters(members):
    return {member.info.identity for member in members if member.info.voter}


def make_change(members, change):
    """Return ``members`` after ``change``."""
    if change.remove:
        return tuple(
            member
            for member in members
            if member.info.identity != change.member.identity
        )
    return tuple(
        evolve(member, info=change.member)
        if member.info.identity == change.member.identity
        else member
        for member in members
    )


LEARNER = build_member("l", voter=False, caught_up=True)


class TestChooseChange:
    def test_full_cluster_needs_no_change(self):
        assert choose_change(tuple(build_voters(5)), ()) is None

    def test_caught_up_learner_is_promoted(self):
        change = choose_change((*build_voters(4), LEARNER), ())
        assert change.member.voter and change.reason == "promoted"

    def test_fourth_voter_is_added_only_before_a_fifth(self):
        assert choose_change((*build_voters(3), LEARNER), ()) is None
        other = build_member("m", voter=False, caught_up=True)
        change = choose_change((*build_voters(3), LEARNER, other), ())
        assert change.member.voter and change.reason == "promoted"

    def test_member_with_lost_disk_is_removed_first(self):
        lost = build_member("lost", silent_s=0.5, superseded=True)
        change = choose_change((*build_voters(4), lost, LEARNER), ())
        assert change.remove and change.member.name == "lost"

    def test_short_silence_causes_no_change(self):
        members = build_voters(5, lost=1, silent_s=REPLACE_VOTER_AFTER_S - 1)
        assert choose_change((*members, LEARNER), ()) is None

    def test_learner_replaces_voter_after_long_silence(self):
        members = (*build_voters(5, lost=1), LEARNER)
        change = choose_change(members, ())
        assert change.member.identity == "v0" and not change.member.voter
        assert change.reason == "silent"
        change = choose_change(make_change(members, change), ())
        assert change.member.identity == "l" and change.member.voter

    @pytest.mark.parametrize("count", range(2, 6))
    def test_dead_voter_stays_among_few(self, count):
        """The successor was promoted and the dead voter kept below five voters."""
        members = (*build_voters(count, lost=int(count > 2)), LEARNER)
        before = count_spare_voters(members)
        while change := choose_change(members, ()):
            members = make_change(members, change)
        voters = [member for member in members if member.info.voter]
        assert all(member.is_alive for member in voters) and len(voters) % 2
        assert count_spare_voters(members) == before + 1

    def test_silent_voter_of_an_even_number_loses_its_vote(self):
        change = choose_change(tuple(build_voters(4, lost=1)), ())
        assert not change.member.voter and change.reason == "even"

    def test_unsettled_leader_only_adds_learners(self):
        """A new leader took members that it had not reached yet for lost."""
        applicant = MemberInfo("n", "n", "mem://n", voter=False)
        members = (*build_voters(5, lost=1), LEARNER)
        change = choose_change(members, (applicant,), settled=False)
        assert change.reason == "joined"
        assert choose_change(members, (), settled=False) is None

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
        members = tuple(members)
        before = count_spare_voters(members)
        for _ in range(3 * len(members)):
            change = choose_change(members, ())
            if change is None:
                break
            old_voters = list_voters(members)
            members = make_change(members, change)
            voters = list_voters(members)
            assert len(voters ^ old_voters) <= 1
            assert len(voters) <= max(TARGET_VOTERS, len(old_voters))
            if voters != old_voters:
                assert count_spare_voters(members) >= max(before, 0)
            before = count_spare_voters(members)
        else:
            raise AssertionError("the changes do not end")
