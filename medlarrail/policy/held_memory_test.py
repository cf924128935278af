"""Tests of the decision who may hold how much of a process's memory."""

import random

from medlarrail.policy.held_memory import (
    MIN_STALL_S,
    RESERVE_RATIO,
    SMALL_BYTES,
    HeldMemory,
    get_budget_bytes,
)

LIMIT_BYTES = 45_000_000
LARGE_BYTES = 1_000_000
ORDINARY_BYTES = 17_000
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
