"""Seeded random runs of the replicated log under every fault it has to bear.

While members are killed, restarted, cut off in one or both directions and calls
are lost, clients change contracts. At every moment at most one member holds the
leader's lease; what was accepted is there at the end, in the same order on
every member; a resent command has run once.
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
    """One random run."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.accepted: dict[str, int] = {}
        self.logs: dict[int, tuple] = {}
        self.number = 0
        self.down: set[str] = set()

    def watch(self, member):
        """Compare every applied entry with what other members applied there."""

        def note(entry, outcome):
            seen = (entry.term, entry.envelope)
            assert self.logs.setdefault(entry.index, seen) == seen

        member.on_apply.append(note)

    async def check_lease(self):
        while True:
            holders = [one for one in self.cluster.get_members() if one.has_lease()]
            assert len(holders) <= 1, [one.name for one in holders]
            await trio.sleep(0.01)

    async def change(self, name):
        """Make changes, asking again under the same id until one is accepted."""
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
        self.cluster.network.heal()
        self.cluster.network.lose_share = self.random.choice((0.0, 0.05, 0.2))

    async def finish(self):
        """Repair everything and compare the members with what was accepted."""
        self.cluster.network.heal()
        self.cluster.network.lose_share = 0.0
        await self.restart()
        await self.cluster.propose(SetContract(Contract("last")))
        await self.cluster.wait_all_applied()
        for member in self.cluster.get_members():
            assert set(self.accepted) <= set(member.catalogue.contracts)
        for account, index in self.accepted.items():
            assert self.logs[index][1].command_id == account


@pytest.mark.parametrize("seed", SEEDS)
async def test_random_run(seed, tmp_path, nursery, autojump_clock):
    cluster = Cluster(tmp_path, nursery, seed=seed, snapshot_every=40)
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
    await run.finish()
    assert len(run.accepted) > 50


@pytest.mark.parametrize("seed", range(1, 5))
async def test_random_repairs(seed, tmp_path, nursery, autojump_clock):
    """Disks are lost one after the other and repaired, with changes all along."""
    cluster = Cluster(tmp_path, nursery, seed=seed, snapshot_every=40)
    names = NAMES[:3]
    await cluster.bootstrap(*names)
    choose = random.Random(seed)
    for number in range(12):
        await cluster.propose(SetContract(Contract(f"account-{number}")))
        name = choose.choice(names)
        lost = cluster.hosts[name].member.info
        cluster.kill(name)
        shutil.rmtree(tmp_path / name)
        fresh = await cluster.start(name)
        await repair(cluster, lost, fresh)
    leader = await cluster.wait_leader()
    assert len(leader.catalogue.contracts) == 12
    assert len(leader.list_voters()) == 3


async def repair(cluster, lost, fresh):
    """Replace a lost member, going on where a failed try stopped."""
    learner = MemberInfo(fresh.identity, lost.name, lost.url, voter=False)
    voter = MemberInfo(fresh.identity, lost.name, lost.url)
    with trio.fail_after(60):
        while True:
            leader = await cluster.wait_leader()
            try:
                if leader.find_member(fresh.identity) is None:
                    await leader.change_member(learner)
                if leader.find_member(fresh.identity) == learner:
                    if not await leader.wait_caught_up(fresh.identity, 10):
                        continue
                    await leader.change_member(voter)
                if leader.find_member(lost.identity) is None:
                    return
                await leader.change_member(lost, remove=True)
            except MedlarError:
                await trio.sleep(0.2)
