"""Tests of calls that run at most once, on an in-memory network.

A service counts the calls that it runs. Whatever fails in between, it never
runs a key twice, and a call reported as not run has not run.
"""

import random
from collections import Counter

import pytest
import trio

from medlarrail.core.entities import LedgerKey, StoredAnswer
from medlarrail.core.errors import (
    EndpointUnreachable,
    IdempotencyKeyReused,
    LedgerUnavailable,
    MedlarError,
    OutcomeUnknown,
    Refusal,
    SessionExpired,
    StreamBroken,
)
from medlarrail.core.timing import SESSION_LEASE_S
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.entries import EntryHost

STATES = ("state-1", "state-2", "state-3")
KEY = LedgerKey("lea-college", "seat-12")
DIGEST = "digest"


class CountingService:
    """Counts runs by key; can be slow, break or refuse."""

    def __init__(self):
        self.runs = Counter()
        self.delay_s = 0.02
        self.error = None

    def make_send(self, key=KEY):
        async def send():
            error = self.error
            if error is not None and issubclass(error, Refusal):
                raise error
            self.runs[key] += 1
            await trio.sleep(self.delay_s)
            if error is not None:
                raise error
            return StoredAnswer(200, "application/json", f"run {self.runs[key]}")

        return send


class SuspendingState:
    """A state client whose VM is suspended while it commits the dispatch."""

    def __init__(self, entry):
        self.entry = entry

    async def propose(self, envelope, limit_s):
        outcome = await self.entry.state.propose(envelope, limit_s)
        self.entry.clock.offset_s += SESSION_LEASE_S
        return outcome


class Deployment:
    """Three state members, three entries and one service."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.service = CountingService()
        self.entries = []

    async def start(self):
        await self.cluster.bootstrap(*STATES)
        for number in (1, 2, 3):
            self.entries.append(EntryHost(self.cluster, f"entry-{number}"))
            await self.entries[-1].start()
        return self

    async def buy(self, entry=0, key=KEY, digest=DIGEST, limit_s=10.0):
        deadline = trio.current_time() + limit_s
        send = self.service.make_send(key)
        return await self.entries[entry].ledger.run_once(key, digest, send, deadline)


@pytest.fixture
async def deployment(tmp_path, nursery, autojump_clock):
    return await Deployment(Cluster(tmp_path, nursery)).start()


class TestRepeats:
    async def test_a_repeat_through_another_entry_gets_the_same_answer(
        self, deployment, autojump_clock
    ):
        first = await deployment.buy(0)
        assert await deployment.buy(1) == first
        assert deployment.service.runs[KEY] == 1

    async def test_concurrent_calls_run_once_and_get_the_same_answer(
        self, deployment, autojump_clock
    ):
        deployment.service.delay_s = 1.0
        answers = []

        async def buy(entry):
            answers.append(await deployment.buy(entry))

        async with trio.open_nursery() as nursery:
            for entry in (0, 1, 2, 0):
                nursery.start_soon(buy, entry)
        assert len(set(answers)) == 1
        assert deployment.service.runs[KEY] == 1

    async def test_the_same_key_for_another_request_is_an_error(
        self, deployment, autojump_clock
    ):
        await deployment.buy(0)
        with pytest.raises(IdempotencyKeyReused):
            await deployment.buy(1, digest="other")

    async def test_accounts_do_not_share_keys(self, deployment, autojump_clock):
        await deployment.buy(0)
        other = LedgerKey("other", KEY.key)
        assert (await deployment.buy(1, key=other)).body == "run 1"
        assert deployment.service.runs == {KEY: 1, other: 1}


class TestFailures:
    async def test_a_repeat_that_reaches_its_deadline_is_unknown(
        self, deployment, autojump_clock
    ):
        deployment.service.delay_s = 3.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.buy, 0)
            await trio.sleep(0.5)
            for limit_s in (0.0, 0.001, 0.5):
                with pytest.raises(OutcomeUnknown):
                    await deployment.buy(1, limit_s=limit_s)
        assert deployment.service.runs[KEY] == 1

    async def test_a_call_that_was_never_sent_may_be_retried(
        self, deployment, autojump_clock
    ):
        deployment.service.error = EndpointUnreachable
        with pytest.raises(EndpointUnreachable) as caught:
            await deployment.buy(0)
        assert caught.value.ledger_asked
        assert deployment.service.runs[KEY] == 0
        deployment.service.error = None
        assert (await deployment.buy(1)).body == "run 1"

    async def test_a_call_with_a_broken_answer_is_unknown_and_never_resent(
        self, deployment, autojump_clock
    ):
        deployment.service.error = StreamBroken
        with pytest.raises(OutcomeUnknown):
            await deployment.buy(0)
        deployment.service.error = None
        for entry in (0, 1, 2):
            with pytest.raises(OutcomeUnknown):
                await deployment.buy(entry)
        assert deployment.service.runs[KEY] == 1

    async def test_a_killed_entry_leaves_an_unknown_outcome(
        self, deployment, autojump_clock
    ):
        deployment.service.delay_s = 5.0
        with trio.move_on_after(1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.buy, 0)
                await trio.sleep(0.5)
                deployment.entries[0].kill()
                nursery.cancel_scope.cancel()
        with pytest.raises(OutcomeUnknown):
            await deployment.buy(1)
        assert deployment.service.runs[KEY] == 1

    async def test_a_call_is_not_sent_without_a_quorum(
        self, deployment, autojump_clock
    ):
        leader = await deployment.cluster.wait_leader()
        for name in STATES:
            if name != leader.name:
                deployment.cluster.kill(name)
        with pytest.raises(LedgerUnavailable):
            await deployment.buy(0)
        assert deployment.service.runs[KEY] == 0
        for name in STATES:
            if name != leader.name:
                await deployment.cluster.start(name)
        await trio.sleep(20)
        assert (await deployment.buy(1)).body == "run 1"
        assert deployment.service.runs[KEY] == 1

    async def test_an_answer_that_cannot_be_committed_is_committed_later(
        self, deployment, autojump_clock
    ):
        deployment.service.delay_s = 1.0
        network = deployment.cluster.network
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def cut():
                await trio.sleep(0.5)
                network.isolate(deployment.entries[0].url)

            with pytest.raises(OutcomeUnknown):
                await deployment.buy(0)
        network.clear_cuts()
        await trio.sleep(5)
        assert (await deployment.buy(1)).body == "run 1"
        assert deployment.service.runs[KEY] == 1

    async def test_an_entry_suspended_before_sending_does_not_send(
        self, deployment, autojump_clock
    ):
        entry = deployment.entries[0]
        entry.ledger.state = SuspendingState(entry)
        with pytest.raises(SessionExpired):
            await deployment.buy(0)
        assert deployment.service.runs[KEY] == 0
        assert (await deployment.buy(1)).body == "run 1"
        assert deployment.service.runs[KEY] == 1


class Chaos:
    """Clients that repeat calls while entries, network and service fail."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.answers: dict[LedgerKey, set] = {}
        self.in_flight = Counter()
        self.number = 0

    async def client(self, name):
        while True:
            self.number += 1
            key = LedgerKey("lea-college", f"{name}-{self.number}")
            async with trio.open_nursery() as nursery:
                for _ in range(self.random.randrange(1, 4)):
                    nursery.start_soon(self.call, key)

    async def call(self, key):
        """Call until an answer or an unknown outcome, through any entry."""
        for _ in range(6):
            entry = self.random.randrange(3)
            self.in_flight[key] += 1
            is_only_call = self.in_flight[key] == 1
            try:
                answer = await self.deployment.buy(entry, key, limit_s=5.0)
                self.answers.setdefault(key, set()).add(answer)
                return
            except OutcomeUnknown:
                return
            except Refusal as error:
                reported_not_run = getattr(error, "ledger_asked", False)
                if reported_not_run and is_only_call and self.in_flight[key] == 1:
                    assert self.deployment.service.runs[key] == 0
                await trio.sleep(self.random.uniform(0, 0.5))
            except MedlarError:
                await trio.sleep(self.random.uniform(0, 0.5))
            finally:
                self.in_flight[key] -= 1

    async def disturb(self):
        service = self.deployment.service
        network = self.deployment.cluster.network
        while True:
            await trio.sleep(self.random.uniform(0.2, 1.5))
            action = self.random.randrange(6)
            service.delay_s = self.random.choice((0.01, 0.3, 2.0))
            service.error = self.random.choice(
                (None, None, None, StreamBroken, EndpointUnreachable)
            )
            network.loss_rate = self.random.choice((0.0, 0.0, 0.1))
            if action == 0:
                entry = self.random.choice(self.deployment.entries)
                network.isolate(entry.url)
            elif action == 1:
                leader = self.deployment.cluster.find_leader()
                if leader is not None:
                    network.isolate(leader.url)
            elif action == 2:
                entry = self.random.choice(self.deployment.entries)
                entry.clock.offset_s += SESSION_LEASE_S
            else:
                network.clear_cuts()


@pytest.mark.parametrize("seed", range(1, 7))
async def test_random_run(seed, tmp_path, nursery, autojump_clock):
    deployment = await Deployment(Cluster(tmp_path, nursery, seed=seed)).start()
    chaos = Chaos(deployment, seed)
    with trio.move_on_after(30):
        async with trio.open_nursery() as inner:
            inner.start_soon(chaos.disturb)
            for name in ("x", "y", "z"):
                inner.start_soon(chaos.client, name)
    runs = deployment.service.runs
    assert max(runs.values()) == 1
    assert all(len(answers) == 1 for answers in chaos.answers.values())
    assert all(runs[key] == 1 for key in chaos.answers)
    assert len(chaos.answers) > 10
