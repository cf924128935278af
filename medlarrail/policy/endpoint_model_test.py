"""Tests of the learned prefill speed under replayed answers."""

import random

import pytest
from attrs import evolve

from medlarrail.policy.endpoint_model import (
    MAX_TOKENS_PER_MS,
    MIN_SAMPLES,
    MIN_TOKENS_PER_MS,
    SPEED_TTL_S,
    FirstEvent,
    PrefillSpeeds,
)
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS
from medlarrail.policy.workload import (
    EngineWorkload,
    Prompt,
    TimeBudget,
    decide_dispatch,
)

OWN = 4_260
SHARED = 12_800
CHUNK = 2_048


def build_event(speed, engine="e1", *, queue_ms=0.0, step_ms=4.0, **changes):
    """Return the first event of a prompt that was read in chunks, with a step of other
    requests after each."""
    event = FirstEvent(engine, 1, 1, OWN + SHARED, OWN, 0.0, 0, True, 0.0)
    event = evolve(event, **changes)
    read_ms = event.unread / speed + event.unread / CHUNK * step_ms
    return evolve(event, first_ms=read_ms + queue_ms)


def replay(speed, count, seed=1, *, queued=0.3, fetched=0.0, cached=0.0, fetch_ms=190):
    """Return what one of many gateways learns from ``count`` answers of 36 engines.

    A share of the prompts ``queued`` without the gateway's knowledge, was ``fetched``
    in part, or found its shared part in the engine's memory (``cached``).
    """
    rng = random.Random(seed)
    speeds = PrefillSpeeds()
    for number in range(count):
        engine = f"e{rng.randrange(36)}"
        draw = rng.random()
        if draw < fetched:
            event = build_event(speed, engine, unread=OWN, fetched=SHARED)
            event = evolve(event, first_ms=event.first_ms + fetch_ms)
        elif draw < fetched + cached:
            read = build_event(speed, engine, unread=OWN)
            event = evolve(read, unread=OWN + SHARED, saves_parts=False)
        else:
            event = build_event(speed, engine)
        if rng.random() < queued:
            event = evolve(event, first_ms=event.first_ms + rng.uniform(20, 600))
        speeds.record(event, float(number))
    return speeds.get_tokens_per_ms(float(count))


class TestPrefillSpeeds:
    def test_unknown_speed_is_the_default(self):
        speeds = PrefillSpeeds()
        for _ in range(MIN_SAMPLES - 1):
            speeds.record(build_event(157), 1.0)
        assert speeds.get_tokens_per_ms(1.0) == PREFILL_TOKENS_PER_MS

    @pytest.mark.parametrize("speed", [48.2, 50.7, 56.6, 157.0])
    def test_a_third_of_the_prompts_queue_unknown_to_the_gateway(self, speed):
        """Within 12 answers the speed is right within a third, whatever the engines:
        the constant was a third of the fastest ones."""
        for seed in range(20):
            learned = replay(speed, 12, seed)
            assert 0.65 * speed < learned <= speed

    def test_five_answers_are_enough(self):
        assert replay(157, MIN_SAMPLES, queued=0.0) > 100

    def test_parts_in_engine_memory_are_not_mistaken_for_speed(self):
        """A part that is being saved is in the memory of the engine that read it, and
        no message says so: the prompt seems to be read four times as fast."""
        for seed in range(20):
            assert replay(50.7, 40, seed, cached=0.4) < 1.1 * 50.7

    def test_slow_fetches_do_not_reduce_the_speed(self):
        """A fetch of 4.2 GB takes 190 ms of a link: the prompt seems to be read at a
        third of the speed. Answers with fetches alone show nothing."""
        for seed in range(20):
            assert replay(50.7, 40, seed, fetched=0.9) > 0.75 * 50.7
            assert replay(50.7, 40, seed, fetched=1.0) == PREFILL_TOKENS_PER_MS

    def test_short_fetches_show_fast_engines(self):
        """Where nearly all prompts are fetched, in 5 ms, few are read whole."""
        assert replay(157, 30, fetched=1.0, fetch_ms=5) > 85

    def test_a_burst_leaves_the_speed(self):
        """All prompts of a burst queue; the gateway knows of the backlog."""
        speeds = PrefillSpeeds()
        for number in range(10):
            speeds.record(build_event(157, f"e{number}"), 1.0)
        before = speeds.get_tokens_per_ms(1.0)
        for number in range(100):
            event = build_event(157, f"e{number % 10}", queue_ms=400, backlog=40_000)
            speeds.record(event, 2.0)
        assert speeds.get_tokens_per_ms(2.0) == before

    def test_one_engine_with_false_answers_does_not_decide(self):
        speeds = PrefillSpeeds()
        for number in range(12):
            speeds.record(build_event(50.7, f"e{number}"), float(number))
            speeds.record(build_event(5_000, "bad", step_ms=0.0), float(number))
        assert speeds.get_tokens_per_ms(12.0, "e1") < 1.1 * 50.7
        assert speeds.get_tokens_per_ms(12.0, "bad") <= 4 * 50.7

    def test_extreme_answers_are_bounded(self):
        for speed, bound in ((9_000, MAX_TOKENS_PER_MS), (1, MIN_TOKENS_PER_MS)):
            speeds = PrefillSpeeds()
            for number in range(30):
                speeds.record(build_event(speed, f"e{number}", step_ms=0.0), 1.0)
            assert speeds.get_tokens_per_ms(1.0) == bound

    def test_slower_engine_is_learned_apart(self):
        """Endpoints of one to three times speed."""
        speeds = PrefillSpeeds()
        for number in range(6):
            speeds.record(build_event(150, "fast"), float(number))
            speeds.record(build_event(50, "slow"), float(number))
        assert speeds.get_tokens_per_ms(6.0, "fast") > 1.8 * (
            speeds.get_tokens_per_ms(6.0, "slow")
        )

    def test_restart_and_new_weights_keep_the_speed_until_there_is_evidence(self):
        speeds = PrefillSpeeds()
        for number in range(8):
            speeds.record(build_event(157, "e1"), float(number))
        before = speeds.get_tokens_per_ms(8.0, "e1")
        new = {"started_ms": 2, "weight_version": 2}
        speeds.record(build_event(50, "e1", **new), 9.0)
        assert speeds.get_tokens_per_ms(9.0, "e1") == before
        # A late answer of the incarnation before is no evidence.
        assert speeds.record(build_event(157, "e1"), 9.5) is None
        for number in range(4):
            speeds.record(build_event(50, "e1", **new), 10.0 + number)
        assert speeds.get_tokens_per_ms(14.0, "e1") < 0.5 * before

    def test_speed_is_kept_without_answers_and_expires(self):
        speeds = PrefillSpeeds()
        for number in range(8):
            speeds.record(build_event(157, f"e{number}"), float(number))
        learned = speeds.get_tokens_per_ms(8.0)
        speeds.drop_departed([])
        assert speeds.get_tokens_per_ms(300.0, "e1") == learned
        assert speeds.get_tokens_per_ms(8.0 + SPEED_TTL_S) == PREFILL_TOKENS_PER_MS


def test_fast_engines_are_not_left_idle():
    """A prompt was made to wait for a backlog of 0.44 s that the constant took for 1.4
    s, and a deadline that the engine would meet was refused."""
    engine = EngineWorkload("e1", unread=70_000)
    learned = evolve(engine, tokens_per_ms=replay(157, 12))
    prompt = Prompt(OWN + SHARED, OWN)
    late = TimeBudget(target_left_ms=1_000, left_ms=1_200, target_ms=1_000)
    assert decide_dispatch(engine, prompt, late) == "refuse"
    assert decide_dispatch(learned, prompt, late) == "send"
