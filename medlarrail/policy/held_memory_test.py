"""Tests of the decision who may hold how much of a process's memory."""

import random

from medlarrail.policy.held_memory import (
    MIN_STALL_S,
    RESERVE_RATIO,
    SMALL_BYTES,
    SMALL_DECODED_BYTES,
    HeldMemory,
    get_budget_bytes,
)

LIMIT_BYTES = 45_000_000
LARGE_BYTES = 1_000_000
ORDINARY_BYTES = 17_000
LEGAL_BYTES = 8_000_000
"""Maximum size of a caller's body."""
CROWD = 300
TICK_S = 0.1
WAIT_S = 3.0
"""Maximum wait of a request."""


def replay(seed: int, crowd: int) -> tuple[int, int, int]:
    """Return the peak of memory, and the ordinary requests that were served and not.

    A crowd asks for large bodies, never completes them, and asks again when it is given
    up. Beside it 15 ordinary requests a second are each complete after a tick.
    """
    rng = random.Random(seed)
    memory = HeldMemory(LIMIT_BYTES)
    waiting, ordinary = [], []
    served = refused = peak = 0

    def ask(count, now):
        holding = memory.open("callers", now)
        holding.start("receiving", now)
        return memory.request(holding, count, now)

    stalled = [ask(LARGE_BYTES, 0.0) for _ in range(crowd)]
    for tick in range(600):
        now = tick * TICK_S
        for waiter in ordinary:
            memory.close(waiter.holding)
            served += 1
        waiting += [ask(ORDINARY_BYTES, now) for _ in range(rng.choice((1, 2)))]
        for victim in memory.choose_victims(now):
            memory.close(victim)
        for waiter in [one for one in stalled if one.holding.is_ended]:
            memory.cancel(waiter)
            stalled.remove(waiter)
            stalled.append(ask(LARGE_BYTES, now))
        late = [one for one in waiting if now - one.since >= WAIT_S]
        for waiter in [one for one in late if not one.is_granted]:
            memory.cancel(waiter)
            memory.close(waiter.holding)
            refused += 1
        waiting = [one for one in waiting if one not in late or one.is_granted]
        ordinary = [one for one in waiting if one.is_granted]
        waiting = [one for one in waiting if not one.is_granted]
        peak = max(peak, memory.held_bytes)
        assert memory.held_bytes == sum(one.held_bytes for one in memory.holdings)
    return peak, served, refused


class TestHeldMemory:
    def test_crowd_takes_the_memory_of_ordinary_requests(self):
        """Guards against a limit that is used up by whoever comes first."""
        for seed in range(20):
            peak, served, refused = replay(seed, CROWD)
            assert peak <= LIMIT_BYTES
            assert refused == 0
            assert served > 800

    def test_ordinary_requests_meet_a_limit_in_calm(self):
        peak, _, refused = replay(0, crowd=0)
        assert refused == 0
        assert peak < 3 * ORDINARY_BYTES

    def test_request_in_progress_is_given_up(self):
        """What runs can't be refused: a refusal says that nothing ran."""
        memory = HeldMemory(LIMIT_BYTES)
        working = memory.open("callers", 0.0)
        memory.request(working, LARGE_BYTES, 0.0)
        working.start("working", 0.0)
        waiting = memory.open("callers", 0.0)
        memory.request(waiting, LIMIT_BYTES, 0.0)
        assert memory.choose_victims(100.0) == []

    def test_drip_counts_as_progress(self):
        """Guards against clients that keep all they hold by a byte now and then."""
        memory = HeldMemory(LIMIT_BYTES)
        dripping = memory.open("callers", 0.0)
        dripping.start("receiving", 0.0)
        memory.add(dripping, LIMIT_BYTES)
        for tick in range(20):
            dripping.record_bytes(1, tick * TICK_S)
        sound = memory.open("callers", 0.0)
        sound.start("receiving", 0.0)
        memory.request(sound, SMALL_BYTES, 0.0)
        assert memory.choose_victims(2 * MIN_STALL_S) == [dripping]

    def test_largest_legal_body_never_fits(self):
        """A single body within the limits is served on the smallest VM."""
        memory = HeldMemory(get_budget_bytes(150_000_000))
        assert memory.can_ever_grant(4_194_304)
        assert HeldMemory(get_budget_bytes(0)).can_ever_grant(2 * 4_194_304)

    def test_crowd_with_a_key_holds_more_than_the_reserve(self):
        """Bodies with a key were counted without a bound."""
        memory = HeldMemory(LIMIT_BYTES)
        peers = [memory.open("peers", 0.0) for _ in range(CROWD)]
        exempt = [one for one in peers if memory.add_exempt(one, LARGE_BYTES)]
        assert 0 < memory.exempt_bytes <= RESERVE_RATIO * LIMIT_BYTES
        assert memory.held_bytes == memory.exempt_bytes == len(exempt) * LARGE_BYTES
        for holding in peers:
            memory.close(holding)
        assert memory.held_bytes == memory.exempt_bytes == 0

    def test_crowd_without_a_key_delays_peers(self):
        """The log has to go on while others hold all that there is."""
        memory = HeldMemory(LIMIT_BYTES)
        memory.add(memory.open("callers", 0.0), LIMIT_BYTES)
        assert memory.add_exempt(memory.open("peers", 0.0), 10 * LARGE_BYTES)

    def test_request_given_up_in_its_wait_is_called_slow(self):
        """Callers whose whole body had arrived were told that it had not."""
        memory = HeldMemory(LIMIT_BYTES)
        memory.add(memory.open("callers", 0.0), LIMIT_BYTES)
        holding = memory.open("callers", 0.0)
        holding.start("receiving", 0.0)
        waiter = memory.request(holding, LARGE_BYTES, 0.0)
        holding.is_ended = True
        memory.cancel(waiter)
        assert holding.is_waiting

    def test_request_that_stops_waiting_is_called_waiting(self):
        memory = HeldMemory(LIMIT_BYTES)
        memory.add(memory.open("callers", 0.0), LIMIT_BYTES)
        holding = memory.open("callers", 0.0)
        memory.cancel(memory.request(holding, LARGE_BYTES, 0.0))
        assert not holding.is_waiting


class TestDecoding:
    def test_bodies_come_before_those_that_wait_to_be_decoded(self):
        """Bodies that were received filled the account, and none was decoded."""
        memory = HeldMemory(LIMIT_BYTES)
        received = memory.open("callers", 0.0)
        memory.add(received, int((1 - RESERVE_RATIO) * LIMIT_BYTES))
        body = memory.request(memory.open("callers", 0.0), LARGE_BYTES, 0.0)
        decoding = memory.request(received, LARGE_BYTES, 1.0, is_decoding=True)
        assert decoding.is_granted
        assert not body.is_granted

    def test_decoded_bodies_fill_the_reserve_of_small_requests(self):
        memory = HeldMemory(LIMIT_BYTES)
        holding = memory.open("callers", 0.0)
        limit_bytes = memory.get_decoding_limit(holding)
        assert memory.request(holding, limit_bytes, 0.0, is_decoding=True).is_granted
        other = memory.open("callers", 0.0)
        large = SMALL_DECODED_BYTES + 1
        assert not memory.request(other, large, 0.0, is_decoding=True).is_granted
        ordinary = memory.open("callers", 0.0)
        assert memory.request(ordinary, ORDINARY_BYTES, 0.0).is_granted
        small = memory.request(ordinary, 4 * ORDINARY_BYTES, 0.0, is_decoding=True)
        assert small.is_granted

    def test_largest_legal_text_is_never_decoded(self):
        """A single body within the limits is served on the smallest VM."""
        memory = HeldMemory(get_budget_bytes(150_000_000))
        holding = memory.open("callers", 0.0)
        memory.request(holding, LEGAL_BYTES, 0.0)
        assert memory.get_decoding_limit(holding) >= 4 * LEGAL_BYTES

    def test_all_received_bodies_wait_for_each_other(self):
        """Each holds what the others wait for, so that one has to be given up."""
        memory = HeldMemory(LIMIT_BYTES)
        holdings = [memory.open("callers", 0.0) for _ in range(3)]
        for holding in holdings:
            holding.start("receiving", 0.0)
            memory.add(holding, LIMIT_BYTES // 4)
        waiters = [
            memory.request(holding, LIMIT_BYTES // 2, 0.0, is_decoding=True)
            for holding in holdings
        ]
        assert not any(waiter.is_granted for waiter in waiters)
        victims = memory.choose_victims(2 * MIN_STALL_S)
        assert victims
        for holding in victims:
            memory.close(holding)
            memory.cancel(next(one for one in waiters if one.holding is holding))
        assert any(waiter.is_granted for waiter in waiters)
