"""Tests of members that are replaced one after the other.

Of ``count`` members one is lost at a time. It counts as lost until its successor has
run for ``CATCH_UP_S``, and from then on the voters that run have to bear another loss.
"""

import random
import shutil

import pytest
import trio

from medlarrail.core.entities import Contract
from medlarrail.state.operations import SetContract
from medlarrail.testing.cluster import Cluster

CATCH_UP_S = 4.0
"""Time from its start after which a deployment counts a new member as whole."""
SUCCESSOR_AFTER_S = 1.0
"""Time from the end of a member to the start of its successor."""
STARTUP_S = 0.7
"""Time that a process takes from its start to its first call."""
SETTLING_S = 20.0
"""Time in which all members of a new cluster have joined."""
RESTART_S = 3.5
"""Time from the end of a member to its return with its disk."""


class Members:
    """The members of a cluster, lost and replaced one at a time."""

    def __init__(self, cluster, count, seed):
        self.cluster = cluster
        self.names = [f"m{number}" for number in range(count)]
        self.number = count
        self.random = random.Random(seed)

    async def start(self):
        self.cluster.seeds = tuple(self.names[:3])
        for name in self.names:
            await self.cluster.start(name)
        await trio.sleep(SETTLING_S)
        self.cluster.first_start = False

    def choose(self, which):
        """Return the name of the leading member, of another voter, or of any."""
        leader = self.cluster.find_leader()
        assert leader is not None
        if which == "leader":
            return leader.name
        if which == "voter":
            voters = leader.list_voters()
            return self.random.choice(
                [
                    host.member.name
                    for host in self.cluster.hosts.values()
                    if host.member.identity in voters and host.member is not leader
                ]
            )
        return self.random.choice(self.names)

    async def start_successor(self):
        """Start a new member at a new address, with live seeds."""
        name = f"m{self.number}"
        self.number += 1
        self.cluster.seeds = (*self.random.sample(self.names, 2), "gone")
        await trio.sleep(STARTUP_S)
        await self.cluster.start(name, STARTUP_S)
        self.names.append(name)
        await trio.sleep(CATCH_UP_S - STARTUP_S)

    async def replace(self, name):
        self.cluster.kill(name)
        self.names.remove(name)
        await trio.sleep(SUCCESSOR_AFTER_S)
        await self.start_successor()

    async def replace_in_advance(self, name):
        """Start the successor before the member ends."""
        await self.start_successor()
        self.cluster.kill(name)
        self.names.remove(name)
        await trio.sleep(CATCH_UP_S)

    async def restart(self, name):
        self.cluster.kill(name)
        await trio.sleep(RESTART_S)
        await self.cluster.start(name, STARTUP_S)
        await trio.sleep(CATCH_UP_S)

    async def wipe(self, name):
        self.cluster.kill(name)
        shutil.rmtree(self.cluster.path / name)
        await trio.sleep(SUCCESSOR_AFTER_S)
        await self.cluster.start(name, STARTUP_S)
        await trio.sleep(CATCH_UP_S)

    def count_spare_voters(self):
        """Return how many more losses the leader's voters bear; -1 without a leader."""
        leader = self.cluster.find_leader()
        if leader is None:
            return -1
        running = {member.identity for member in self.cluster.get_members()}
        voters = set(leader.list_voters())
        return len(voters & running) - (len(voters) // 2 + 1)


async def start_members(tmp_path, nursery, count, seed) -> Members:
    cluster = Cluster(tmp_path, nursery, seed=seed, first_start=True)
    members = Members(cluster, count, seed)
    await members.start()
    return members


@pytest.mark.parametrize("count", [3, 4])
async def test_two_of_few_members_replaced_one_after_the_other(
    count, tmp_path, nursery, autojump_clock
):
    """A dead voter was kept among four, so that the second loss left two of them."""
    members = await start_members(tmp_path, nursery, count, seed=1)
    for name in ("m0", "m1"):
        await members.replace(name)
        await trio.sleep(SETTLING_S)
        assert members.count_spare_voters() >= 1
    await members.cluster.propose(SetContract(Contract("after")))


@pytest.mark.parametrize("seed", range(1, 11))
async def test_leaders_replaced_in_quick_succession(
    seed, tmp_path, nursery, autojump_clock
):
    """Each new leader counted the silence of its predecessors from its own election,
    for longer than the next leader lived, so that dead voters remained."""
    members = await start_members(tmp_path, nursery, 5, seed)
    for _ in range(3):
        await members.replace(members.choose("leader"))
        assert members.count_spare_voters() >= 1
    await members.cluster.propose(SetContract(Contract("after")))


@pytest.mark.parametrize("count", range(3, 10))
async def test_random_losses_leave_voters_to_spare(
    replacement_seed, count, tmp_path, nursery, autojump_clock
):
    """Guards against any order of losses after which the next one ends the quorum."""
    members = await start_members(tmp_path, nursery, count, replacement_seed)
    kinds = (members.replace, members.replace_in_advance, members.restart, members.wipe)
    for number in range(8):
        which = members.random.choice(("leader", "voter", "any"))
        lose = members.random.choice(kinds)
        await lose(members.choose(which))
        spare = members.count_spare_voters()
        assert spare >= 1, (number, which, lose.__name__)
    await members.cluster.propose(SetContract(Contract("after")))
