"""Tests of the rule that changes the members."""

from hypothesis import given
from hypothesis import strategies as st

from medlarrail.consensus.membership_rules import (
    ANSWERING_S,
    FORGET_LEARNER_S,
    REPLACE_AFTER_S,
    WANTED_VOTERS,
    SeenMember,
    choose_change,
)
from medlarrail.core.entities import MemberInfo


def build_member(name, voter=True, silent_s=0.0, **facts):
    return SeenMember(MemberInfo(name, name, f"mem://{name}", voter), silent_s, **facts)


def build_voters(count, lost=0, silent_s=REPLACE_AFTER_S + 1):
    return [
        build_member(f"v{number}", silent_s=silent_s if number < lost else 0.0)
        for number in range(count)
    ]


LEARNER = build_member("l", voter=False, caught_up=True)


class TestChooseChange:
    def test_a_full_cluster_stays(self):
        assert choose_change(tuple(build_voters(5)), ()) is None

    def test_a_caught_up_learner_is_promoted(self):
        change = choose_change((*build_voters(3), LEARNER), ())
        assert change.member.voter and change.reason == "promoted"

    def test_a_lost_disk_is_removed_first(self):
        lost = build_member("lost", silent_s=0.5, superseded=True)
        change = choose_change((*build_voters(4), lost, LEARNER), ())
        assert change.remove and change.member.name == "lost"

    def test_a_short_silence_replaces_nobody(self):
        members = build_voters(5, lost=1, silent_s=REPLACE_AFTER_S - 1)
        assert choose_change((*members, LEARNER), ()) is None

    def test_a_long_silence_gives_the_place_to_a_learner(self):
        change = choose_change((*build_voters(5, lost=1), LEARNER), ())
        assert change.remove and change.reason == "silent"

    def test_a_long_silence_without_a_learner_changes_nothing(self):
        assert choose_change(tuple(build_voters(5, lost=2)), ()) is None

    def test_a_learner_that_is_gone_is_dropped(self):
        gone = build_member("l", voter=False, silent_s=FORGET_LEARNER_S + 1)
        change = choose_change((*build_voters(5), gone), ())
        assert change.remove and change.reason == "learner-gone"

    def test_an_applicant_learns_first(self):
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
            unique_by=lambda one: one.info.identity,
        )
    )
    def test_those_that_answer_stay_a_quorum(self, members):
        change = choose_change(tuple(members), ())
        if change is None:
            return
        voters = {one.info.identity: one for one in members if one.info.voter}
        if change.remove and change.member.voter:
            del voters[change.member.identity]
        elif not change.remove and change.member.voter:
            assert len(voters) < WANTED_VOTERS
            voters[change.member.identity] = next(
                one for one in members if one.info.identity == change.member.identity
            )
        else:
            return
        alive = sum(one.silent_s < ANSWERING_S for one in voters.values())
        assert 2 * alive > len(voters)
