"""Tests of the order of waiting prompts, under replayed bursts."""

import pytest
from attrs import evolve

from medlarrail.policy.prompt_turns import (
    LOOKS_PER_TURN,
    RATE_WINDOW_S,
    PromptTurns,
    get_retry_after_s,
)
from medlarrail.policy.workload import DISPATCH_MARGIN_MS, IDLE_MS, decide_dispatch
from medlarrail.testing.engine_replay import (
    PET_FOOD,
    ROSTERS,
    SMALL,
    Decision,
    EngineReplay,
)

LEARNED = {"pet food": 46.1, "rosters": 120.2, "small": 50.9}
"""Speeds as learned from engines of 50.7, 157 and 56.6 tokens per ms."""


def dispatch_at_last_chance(engine, prompt, budget, wait_ms, entry_count, draw):
    """Earlier policy: each prompt looks on its own and is sent at its last chance."""
    backlog_ms = engine.unread / engine.tokens_per_ms
    first_ms = backlog_ms + prompt.unread / engine.tokens_per_ms
    lacks_memory = engine.held and engine.memory_tokens < engine.held + prompt.tokens
    if not lacks_memory and (
        first_ms <= budget.target_left_ms or backlog_ms <= IDLE_MS
    ):
        return Decision("send")
    if first_ms > budget.left_ms:
        return Decision("refuse", backlog_ms / 1000)
    if first_ms + DISPATCH_MARGIN_MS < budget.left_ms:
        return Decision("wait")
    refused = lacks_memory or backlog_ms > budget.target_ms
    return Decision("refuse" if refused else "send", backlog_ms / 1000)


def dispatch(engine, prompt, budget, wait_ms, entry_count, draw):
    action = decide_dispatch(engine, prompt, budget, wait_ms, entry_count)
    return Decision(action, get_retry_after_s(budget.patience_ms, draw))


def limit_patience(load):
    """Callers of streams give up after four times the latency target."""
    return evolve(load, left_ms=min(load.left_ms, max(2000, 4 * load.target_ms)))


class TestBurst:
    """Long prompts 2.6 times the usual rate for 6 s with a quarter of the engines away.

    Prompts that were late already were sent at their last chance and when an engine
    seemed idle to many, and made those late that could have been in time.
    """

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_more_are_in_time_on_fast_engines(self, seed):
        load = limit_patience(
            evolve(ROSTERS, burst_at=(1.0, 7.0), away_at=(0.5, 9.0), end_at=10.0)
        )
        before = EngineReplay(load, dispatch_at_last_chance, 50.0, False, seed).run()
        after = EngineReplay(load, dispatch, LEARNED["rosters"], True, seed).run()
        assert after.get_worth() > 1.2 * before.get_worth()
        assert after.get_shares()["in time"] > 1.4 * before.get_shares()["in time"]
        # An answer after the caller has given up takes the place of another.
        assert after.get_shares().get("failed", 0.0) < 0.01

    @pytest.mark.parametrize("limit", [limit_patience, lambda load: load])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_moderate_overload_is_no_worse(self, limit, seed):
        load = limit(PET_FOOD)
        before = EngineReplay(load, dispatch_at_last_chance, 50.0, False, seed).run()
        after = EngineReplay(load, dispatch, LEARNED["pet food"], True, seed).run()
        assert after.get_worth() > before.get_worth() + 0.01
        assert after.get_shares().get("refused", 0.0) < 0.01
        assert after.get_shares().get("failed", 0.0) < 0.01

    @pytest.mark.parametrize("limit", [limit_patience, lambda load: load])
    def test_a_small_deployment_is_no_worse(self, limit):
        load = limit(SMALL)
        worths = {"before": 0.0, "after": 0.0}
        for seed in range(1, 9):
            before = EngineReplay(load, dispatch_at_last_chance, 50.0, False, seed)
            after = EngineReplay(load, dispatch, LEARNED["small"], True, seed)
            worths["before"] += before.run().get_worth()
            worths["after"] += after.run().get_worth()
        assert worths["after"] > worths["before"]

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_many_gateways_fill_the_queues_of_the_engines(self, seed):
        """Each of 63 gateways sent as long as a prompt would just be in time, and those
        that others sent meanwhile made it late."""

        def fill(engine, prompt, budget, wait_ms, entry_count, draw):
            return dispatch(engine, prompt, budget, wait_ms, 1, draw)

        load = limit_patience(PET_FOOD)
        speed = LEARNED["pet food"]
        before = EngineReplay(load, fill, speed, True, seed).run()
        after = EngineReplay(load, dispatch, speed, True, seed).run()
        assert after.get_shares()["in time"] > before.get_shares()["in time"]

    def test_usual_load_is_all_in_time(self):
        load = limit_patience(evolve(ROSTERS, burst=1.0, end_at=8.0))
        shares = EngineReplay(load, dispatch, LEARNED["rosters"]).run().get_shares()
        assert shares["in time"] > 0.98


class TestPromptTurns:
    def build(self, count, latest_start=0.0):
        turns = PromptTurns()
        prompts = [
            turns.join(10.0, 9.0 + 0.01 * number, latest_start, 15.0)
            for number in range(count)
        ]
        return turns, prompts

    def test_one_late_prompt_looks_at_a_time(self):
        """A thousand prompts that looked at once sent twenty to the same engine."""
        turns, prompts = self.build(30)
        assert [p for p in prompts if turns.has_turn(p, 10.0)] == prompts[:1]
        turns.leave(prompts[0], 10.0, sent=True)
        assert turns.has_turn(prompts[1], 10.0)

    def test_prompts_that_can_be_in_time_look_on_their_own(self):
        turns, prompts = self.build(3, latest_start=11.0)
        assert all(turns.has_turn(prompt, 10.0) for prompt in prompts)

    def test_a_prompt_that_no_engine_takes_does_not_block_others(self):
        """A large prompt waits for memory that smaller ones don't need."""
        turns, prompts = self.build(3)
        prompts[0].looks = LOOKS_PER_TURN
        assert turns.has_turn(prompts[1], 10.0)
        assert not turns.has_turn(prompts[0], 10.0)
        for prompt in prompts[1:]:
            prompt.looks = LOOKS_PER_TURN
        assert turns.has_turn(prompts[0], 10.0)

    def test_every_prompt_looks_at_its_last_chance(self):
        turns, prompts = self.build(5)
        assert all(turns.has_turn(prompt, 15.0) for prompt in prompts)

    def test_wait_follows_from_the_prompts_ahead_and_the_rate(self):
        turns, prompts = self.build(12)
        assert turns.get_wait_s(10.1, 10.1) is None
        for number in range(4):
            turns.leave(prompts[number], 11.0 + number / 10, sent=True)
        assert turns.get_wait_s(12.0, 12.0) == 9 * RATE_WINDOW_S / 4

    def test_refused_callers_return_apart(self):
        """A burst that is told to come back after a second is a burst again."""
        times = sorted(get_retry_after_s(2000, f"r{number}") for number in range(200))
        assert times[0] >= 2.0 and times[-1] <= 6.0
        for begin in range(2, 6):
            assert sum(begin <= time < begin + 1 for time in times) < 80
