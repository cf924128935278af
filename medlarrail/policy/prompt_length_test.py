"""Tests of the engine partition for long and short prompts."""

import random

from medlarrail.policy.prompt_length import (
    MAX_LONG_SHARE,
    MIN_LONG_SHARE,
    PromptMix,
    are_all_full,
    get_max_concurrency,
    list_engines,
)

NAMES = [f"e{number}" for number in range(9)]


class TestSplit:
    def test_partitions_are_disjoint_and_complete(self):
        long = list_engines(NAMES, "s", True, 0.7)
        short = list_engines(NAMES, "s", False, 0.7)
        assert len(long) == 6
        assert sorted([*long, *short]) == NAMES

    def test_entries_agree_in_any_order(self):
        assert list_engines(NAMES, "s", True, 0.7) == list_engines(
            NAMES[::-1], "s", True, 0.7
        )

    def test_few_engines_are_not_split(self):
        assert len(list_engines(NAMES[:3], "s", True, 0.7)) == 3

    def test_each_partition_has_an_engine(self):
        assert list_engines(NAMES[:4], "s", False, 0.99)
        assert list_engines(NAMES[:4], "s", True, 0.01)

    def test_the_share_follows_the_mix_within_bounds(self):
        mix = PromptMix()
        assert MIN_LONG_SHARE <= mix.get_long_share(0.0) <= MAX_LONG_SHARE
        mix.record(1.0, own_tokens=4000, all_tokens=17000)
        assert mix.get_long_share(1.0) == MAX_LONG_SHARE
        mix.record(1.0, own_tokens=80, all_tokens=400_000)
        assert mix.get_long_share(1.0) == MIN_LONG_SHARE

    def test_concurrency_is_limited_by_memory(self):
        assert get_max_concurrency(32, 79_000, 17_000) == 4
        assert get_max_concurrency(32, 79_000, 100) == 32
        assert get_max_concurrency(32, 0, 17_000) == 32
        assert get_max_concurrency(32, 10_000, 17_000) == 1


def replay_mix(split: bool) -> float:
    """Replay one long prompt to nine short ones on nine engines that prefill one
    prompt at a time; return the 95th percentile of the wait of short prompts."""
    rng = random.Random(4)
    busy_until = dict.fromkeys(NAMES, 0.0)
    waits = []
    now = 0.0
    for _ in range(6000):
        now += rng.expovariate(140)
        long = rng.random() < 0.1
        names = list_engines(NAMES, "s", long, 0.6) if split else NAMES
        # The better of two random engines models entries that do not see each
        # other's requests.
        name = min(rng.sample(names, 2), key=lambda engine: busy_until[engine])
        begin = max(now, busy_until[name])
        busy_until[name] = begin + (0.25 if long else 0.006)
        if not long:
            waits.append(begin - now)
    return sorted(waits)[int(len(waits) * 0.95)]


def test_short_prompts_wait_less_than_without_the_split():
    assert replay_mix(split=True) < replay_mix(split=False) / 4


def test_short_prompts_overflow_to_free_slots():
    """One of two engines for short prompts loads weights while 120 short prompts a
    second arrive, each of which holds a slot for 0.4 s: 48 slots are needed."""

    def replay(overflow):
        slots = {"s1": 32, "l1": 32, "l2": 32}
        running = dict.fromkeys(slots, 0.0)
        waited = 0
        for _ in range(240):
            for name in running:
                running[name] = max(0.0, running[name] - running[name] / 48)
            own = ["s1"]
            full = are_all_full(
                [running[name] for name in own], [slots[name] for name in own]
            )
            names = list(slots) if overflow and full else own
            chosen = min(names, key=lambda name: running[name])
            waited += running[chosen] >= slots[chosen]
            running[chosen] += 1
        return waited

    assert replay(overflow=False) > 100
    assert replay(overflow=True) == 0
