"""Tests of the replicated log on an in-memory network."""

import shutil

import pytest
import trio
from attrs import evolve

from medlarrail.consensus.bootstrap import bootstrap_cluster
from medlarrail.core.entities import Contract, MemberInfo
from medlarrail.core.errors import (
    AlreadyBootstrapped,
    CommitUnknown,
    MedlarError,
    MemberMismatch,
    NotLeader,
    RevisionConflict,
)
from medlarrail.core.timing import ELECTION_TIMEOUT_MAX_S
from medlarrail.protocol.replication import (
    SNAPSHOT_PATH,
    VOTE_PATH,
    AppendAnswer,
    SnapshotRequest,
    VoteAnswer,
    VoteRequest,
)
from medlarrail.state.operations import Envelope, SetContract
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.logs import collect_messages

NAMES = ("leith", "perth", "tay")


def build_change(number: int) -> SetContract:
    return SetContract(Contract(f"account-{number}"))


@pytest.fixture
async def cluster(tmp_path, nursery):
    cluster = Cluster(tmp_path, nursery)
    await cluster.bootstrap(*NAMES)
    return cluster


def list_accounts(member) -> set[str]:
    return set(member.catalogue.contracts)


class TestReplication:
    async def test_change_reaches_every_member(self, cluster, autojump_clock):
        await cluster.propose(build_change(1))
        await cluster.wait_all_applied()
        for member in cluster.get_members():
            assert list_accounts(member) == {"account-1"}

    async def test_changes_survive_loss_of_leader(self, cluster, autojump_clock):
        await cluster.propose(build_change(1))
        cluster.kill((await cluster.wait_leader()).name)
        await cluster.propose(build_change(2))
        leader = await cluster.wait_leader()
        assert list_accounts(leader) == {"account-1", "account-2"}

    async def test_leader_without_quorum_commits_nothing(self, cluster, autojump_clock):
        leader = await cluster.wait_leader()
        for name in NAMES:
            if name != leader.name:
                cluster.kill(name)
        with pytest.raises(MedlarError) as caught:
            await leader.propose(Envelope(build_change(1)))
        assert isinstance(caught.value, CommitUnknown)
        await trio.sleep(3 * ELECTION_TIMEOUT_MAX_S)
        with pytest.raises(NotLeader):
            await leader.propose(Envelope(build_change(2)))

    async def test_restarted_member_catches_up_after_400_changes(
        self, cluster, autojump_clock
    ):
        await cluster.propose(build_change(0))
        follower = next(name for name in NAMES if name != cluster.find_leader().name)
        cluster.kill(follower)
        for number in range(1, 400):
            await cluster.propose(build_change(number))
        member = await cluster.start(follower)
        await cluster.wait_all_applied()
        assert len(list_accounts(member)) == 400

    async def test_isolated_leader_loses_lease_before_next_election(
        self, cluster, autojump_clock
    ):
        old = await cluster.wait_leader()
        cluster.network.isolate(old.url)
        with trio.fail_after(10):
            while True:
                leaders = [
                    member for member in cluster.get_members() if member.has_lease()
                ]
                assert len(leaders) <= 1
                if leaders and leaders[0] is not old:
                    break
                await trio.sleep(0.01)
        cluster.network.clear_cuts()
        await cluster.propose(build_change(1))
        await cluster.wait_all_applied()
        assert list_accounts(old) == {"account-1"}

    async def test_member_without_leader_contact_cannot_depose_leader(
        self, cluster, autojump_clock
    ):
        leader = await cluster.wait_leader()
        follower = next(
            member for member in cluster.get_members() if member is not leader
        )
        cluster.network.cut.add((leader.url, follower.url))
        term = leader.term
        for _ in range(1000):
            await trio.sleep(0.01)
            assert leader.has_lease() and leader.term == term

    async def test_newer_term_ends_a_process_with_a_full_disk(
        self, cluster, autojump_clock
    ):
        """The error of storing the term was not handled."""
        leader = await cluster.wait_leader()
        folder = leader.journal.folder
        folder.quota_bytes = folder.get_size()
        await leader.adopt_term(leader.term + 5)
        assert leader.leadership is None and leader.storage_error
        folder.quota_bytes = 0
        assert await cluster.wait_leader()

    async def test_leader_with_full_disk_steps_down(self, cluster, autojump_clock):
        leader = await cluster.wait_leader()
        folder = leader.journal.folder
        folder.quota_bytes = folder.get_size() + 10
        await cluster.propose(build_change(1), "c1")
        assert leader.storage_error
        assert (await cluster.wait_leader()) is not leader
        folder.quota_bytes = 0
        await cluster.wait_all_applied()
        assert list_accounts(leader) == {"account-1"}
        assert not leader.storage_error


class TestSnapshots:
    @pytest.fixture
    async def cluster(self, tmp_path, nursery):
        cluster = Cluster(tmp_path, nursery, snapshot_interval_entries=50)
        await cluster.bootstrap(*NAMES)
        return cluster

    async def test_lagging_member_gets_snapshot(self, cluster, autojump_clock):
        leader = await cluster.wait_leader()
        follower = next(name for name in NAMES if name != leader.name)
        cluster.kill(follower)
        for number in range(200):
            await cluster.propose(build_change(number))
        member = await cluster.start(follower)
        await cluster.wait_all_applied()
        assert len(list_accounts(member)) == 200
        assert member.journal.first_index > 100

    async def test_restart_from_snapshot_keeps_all_changes(
        self, cluster, autojump_clock
    ):
        for number in range(130):
            await cluster.propose(build_change(number), f"command-{number}")
        await cluster.wait_all_applied()
        for name in NAMES:
            cluster.kill(name)
        for name in NAMES:
            await cluster.start(name)
        again = await cluster.propose(build_change(5), "command-5")
        leader = await cluster.wait_leader()
        assert len(list_accounts(leader)) == 130
        assert again.index < 20

    async def test_late_snapshot_drops_no_acknowledged_entry(
        self, cluster, autojump_clock
    ):
        for number in range(60):
            await cluster.propose(build_change(number))
        await cluster.wait_all_applied()
        leader = await cluster.wait_leader()
        follower = next(
            member for member in cluster.get_members() if member is not leader
        )
        before = follower.journal.last_index
        late = evolve(
            leader.journal.snapshot,
            index=before - 5,
            term=leader.journal.get_term(before - 5),
        )
        follower.commit_index = before - 10
        message = SnapshotRequest(follower.identity, leader.info, leader.term, late)
        await leader.peers.call(follower.url, SNAPSHOT_PATH, message, AppendAnswer, 1)
        assert follower.journal.last_index >= before


class TestCommands:
    async def test_resent_command_gets_first_outcome(self, cluster, autojump_clock):
        first = await cluster.propose(build_change(1), "c1")
        again = await cluster.propose(build_change(1), "c1")
        assert again == first

    async def test_concurrent_changes_of_one_revision_conflict(
        self, cluster, autojump_clock
    ):
        first = await cluster.propose(build_change(1), "c1", seen=0)
        with pytest.raises(RevisionConflict) as caught:
            await cluster.propose(build_change(1), "c2", seen=0)
        assert caught.value.present == first.revision


class TestLostDisk:
    async def lose_disk(self, cluster, name):
        cluster.kill(name)
        shutil.rmtree(cluster.path / name)
        return await cluster.start(name)

    async def test_wiped_member_does_not_vote_under_old_identity(
        self, cluster, autojump_clock
    ):
        leader = await cluster.wait_leader()
        name = next(candidate for candidate in NAMES if candidate != leader.name)
        old = cluster.hosts[name].member.identity
        member = await self.lose_disk(cluster, name)
        request = VoteRequest(old, leader.identity, 99, 99, 99, only_probe=False)
        with pytest.raises(MemberMismatch):
            await leader.peers.call(member.url, VOTE_PATH, request, VoteAnswer, 1)
        await trio.sleep(3 * ELECTION_TIMEOUT_MAX_S)
        assert member.leadership is None and member.term == 0

    async def test_second_bootstrap_is_refused(self, cluster, autojump_clock):
        await self.lose_disk(cluster, "tay")
        urls = tuple(cluster.get_url(name) for name in NAMES)
        with pytest.raises(AlreadyBootstrapped):
            await bootstrap_cluster(cluster.network.connect("mem://operator"), urls)

    async def test_second_disk_loss_after_repair_loses_no_changes(
        self, cluster, autojump_clock
    ):
        for number in range(20):
            await cluster.propose(build_change(number))
        leader = await cluster.wait_leader()
        first, second = [name for name in NAMES if name != leader.name]
        lost = cluster.hosts[first].member.info
        repaired = await self.lose_disk(cluster, first)
        await replace_member(leader, lost, repaired)
        await self.lose_disk(cluster, second)
        cluster.kill(leader.name)
        await cluster.start(leader.name)
        await cluster.propose(build_change(20))
        await cluster.wait_all_applied()
        assert len(list_accounts(repaired)) == 21


async def replace_member(leader, lost: MemberInfo, repaired) -> None:
    learner = MemberInfo(repaired.identity, lost.name, lost.url, voter=False)
    await leader.change_member(learner)
    assert await leader.wait_caught_up(repaired.identity, 10)
    voter = MemberInfo(repaired.identity, lost.name, lost.url)
    await leader.change_member(voter)
    await leader.change_member(lost, remove=True)


class TestElections:
    @pytest.mark.parametrize("seed", range(1, 21))
    async def test_elections_that_cross_end_a_new_leader(
        self, seed, tmp_path, nursery, autojump_clock
    ):
        """A candidate whose pre-votes had been granted asked for votes in a later term,
        after another had won the term of the pre-votes."""
        cluster = Cluster(tmp_path, nursery, seed=seed)
        cluster.network.delay_s = 0.04
        await cluster.bootstrap(*NAMES)
        await cluster.wait_leader()
        await trio.sleep(3)
        for _ in range(5):
            leader = await cluster.wait_leader()
            cluster.kill(leader.name)
            with collect_messages("leader:stepped-down") as ends:
                await trio.sleep(8)
            assert not ends
            await cluster.start(leader.name)
            await trio.sleep(3)

    async def test_members_that_check_together_split_the_votes(
        self, tmp_path, nursery, autojump_clock
    ):
        """Timeouts were noticed in steps of an eighth of a second from the last contact
        with the leader, which is the same moment for all."""
        late = 0
        for seed in range(40):
            cluster = Cluster(tmp_path / str(seed), nursery, seed=seed)
            await cluster.bootstrap(*NAMES)
            await trio.sleep(3)
            leader = await cluster.wait_leader()
            cluster.kill(leader.name)
            with trio.move_on_after(ELECTION_TIMEOUT_MAX_S + 0.2):
                await cluster.wait_leader()
            late += cluster.find_leader() is None
            for name in list(cluster.hosts):
                cluster.kill(name)
        assert late <= 1


class TestLogs:
    async def test_log_does_not_tell_why_there_is_no_leader(
        self, tmp_path, nursery, autojump_clock
    ):
        """Guards against a cluster without a leader whose logs name no reason."""
        cluster = Cluster(tmp_path, nursery)
        await cluster.bootstrap(*NAMES)
        leader = await cluster.wait_leader()
        with collect_messages("leader:stepped-down") as ends:
            cluster.network.isolate(leader.url)
            await trio.sleep(6)
        assert ends[0]["reason"] == "quorum-lost"
        assert all(age_s > 1 for age_s in ends[0]["answered_ago_s"].values())
        for name in NAMES:
            if name != leader.name:
                cluster.network.isolate(cluster.get_url(name))
        with collect_messages("election:failed") as failures:
            await trio.sleep(6)
        results = {result for line in failures for result in line["results"].values()}
        assert results == {"PeerTimeout"}
