"""Seeded random runs of the replicated log under injected faults.

Clients change contracts while members are killed, restarted and cut off in one or
both directions and calls are lost. At most one member holds the leader's lease at any
time. At the end every accepted change is present, in the same order on every member,
and a resent command was executed once.
"""

import random
import shutil

import pytest
import trio

from medlarrail.core.entities import Contract, MemberInfo
from medlarrail.core.errors import MedlarError
from medlarrail.state.operations import Envelope, SetContract
from medlarrail.testing.cluster import Cluster

NAMES = ("a", "b", "c", "d", "e")
RUN_S = 60.0
SEEDS = range(1, 9)


class Run:
    """State and fault injection of one random run."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.accepted: dict[str, int] = {}
        self.logs: dict[int, tuple] = {}
        self.number = 0
        self.down: set[str] = set()

    def watch(self, member):
        """Check that all members apply the same entry at each index."""

        def check_entry(entry, outcome):
            applied = (entry.term, entry.envelope)
            assert self.logs.setdefault(entry.index, applied) == applied

        member.apply_listeners.append(check_entry)

    async def check_lease(self):
        while True:
            holders = [
                member for member in self.cluster.get_members() if member.has_lease()
            ]
            assert len(holders) <= 1, [member.name for member in holders]
            await trio.sleep(0.01)

    async def change(self, name):
        """Make changes, retrying each with the same command id until it is accepted."""
        while True:
            self.number += 1
            account = f"{name}-{self.number}"
            envelope = Envelope(SetContract(Contract(account)), account)
            while account not in self.accepted:
                members = self.cluster.get_members()
                member = self.random.choice(members) if members else None
                try:
                    outcome = await member.propose(envelope)
                    self.accepted[account] = outcome.index
                except (MedlarError, AttributeError):
                    await trio.sleep(0.1)
            await trio.sleep(self.random.uniform(0, 0.2))

    async def disturb(self):
        while True:
            await trio.sleep(self.random.uniform(0.1, 2.0))
            action = self.random.choice(
                (self.kill, self.restart, self.cut_one_way, self.isolate, self.heal)
            )
            await action()

    async def kill(self):
        if len(self.down) < 2:
            name = self.random.choice([n for n in NAMES if n not in self.down])
            self.down.add(name)
            self.cluster.kill(name)

    async def restart(self):
        for name in list(self.down):
            self.down.discard(name)
            self.watch(await self.cluster.start(name))

    async def cut_one_way(self):
        left, right = self.random.sample(NAMES, 2)
        urls = (self.cluster.get_url(left), self.cluster.get_url(right))
        self.cluster.network.cut.add(urls)

    async def isolate(self):
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.network.isolate(leader.url)

    async def heal(self):
        self.cluster.network.clear_cuts()
        self.cluster.network.loss_rate = self.random.choice((0.0, 0.05, 0.2))

    async def check_final_state(self):
        """End all faults and check that every member has the accepted changes."""
        self.cluster.network.clear_cuts()
        self.cluster.network.loss_rate = 0.0
        await self.restart()
        await self.cluster.propose(SetContract(Contract("last")))
        await self.cluster.wait_all_applied()
        for member in self.cluster.get_members():
            assert set(self.accepted) <= set(member.catalogue.contracts)
        for account, index in self.accepted.items():
            assert self.logs[index][1].command_id == account


@pytest.mark.parametrize("seed", SEEDS)
async def test_random_faults(seed, tmp_path, nursery, autojump_clock):
    cluster = Cluster(tmp_path, nursery, seed=seed, snapshot_interval_entries=40)
    await cluster.bootstrap(*NAMES)
    run = Run(cluster, seed)
    for member in cluster.get_members():
        run.watch(member)
    with trio.move_on_after(RUN_S):
        async with trio.open_nursery() as inner:
            inner.start_soon(run.check_lease)
            inner.start_soon(run.disturb)
            for name in ("x", "y", "z"):
                inner.start_soon(run.change, name)
    await run.check_final_state()
    assert len(run.accepted) > 50


@pytest.mark.parametrize("seed", range(1, 5))
async def test_random_repairs(seed, tmp_path, nursery, autojump_clock):
    """Members lose their disks one after the other and are replaced, amid changes."""
    cluster = Cluster(tmp_path, nursery, seed=seed, snapshot_interval_entries=40)
    names = NAMES[:3]
    await cluster.bootstrap(*names)
    choose = random.Random(seed)
    for number in range(12):
        await cluster.propose(SetContract(Contract(f"account-{number}")))
        name = choose.choice(names)
        lost = cluster.hosts[name].member.info
        cluster.kill(name)
        shutil.rmtree(tmp_path / name)
        replacement = await cluster.start(name)
        await replace_lost_member(cluster, lost, replacement)
    leader = await cluster.wait_leader()
    assert len(leader.catalogue.contracts) == 12
    assert len(leader.list_voters()) == 3


async def replace_lost_member(cluster, lost, replacement):
    """Replace a lost member, continuing where a failed attempt stopped."""
    learner = MemberInfo(replacement.identity, lost.name, lost.url, voter=False)
    voter = MemberInfo(replacement.identity, lost.name, lost.url)
    with trio.fail_after(60):
        while True:
            leader = await cluster.wait_leader()
            try:
                if leader.find_member(replacement.identity) is None:
                    await leader.change_member(learner)
                if leader.find_member(replacement.identity) == learner:
                    if not await leader.wait_caught_up(replacement.identity, 10):
                        continue
                    await leader.change_member(voter)
                if leader.find_member(lost.identity) is None:
                    return
                await leader.change_member(lost, remove=True)
            except MedlarError:
                await trio.sleep(0.2)
