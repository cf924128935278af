"""Tests of the trials of requests that may crash endpoints."""

import random

import pytest
from attrs import define, field

from medlarrail.cluster.crash_ledger import CrashLedger, Incarnation, RecordedCrash
from medlarrail.cluster.request_trials import (
    DECISION_DELAY_S,
    MAX_TRIAL_S,
    RESULT_TIMEOUT_S,
    RequestTrials,
)
from medlarrail.core.cluster_records import REQUEST_KEY_PREFIX, SharedPart
from medlarrail.policy.crashing_requests import NEVER_S, get_request_trial_delay_s

JUDGED_S = DECISION_DELAY_S + 0.01
"""Time after a trial's crash at which it is judged."""


@define(eq=False)
class Watched:
    """A ledger with its trials, and a clock that tests set, in seconds."""

    now: float = 100.0
    ledger: CrashLedger = field(init=False)
    trials: RequestTrials = field(init=False)
    _crashes: int = 0

    def __attrs_post_init__(self):
        self.ledger = CrashLedger(lambda: self.now)
        self.trials = RequestTrials(self.ledger)

    def crash(self, *names: str, age_s: float = 0.0, blocked: str = "") -> None:
        """Record the crash of an endpoint on which these requests ran."""
        self._crashes += 1
        keys = {get_key(name) for name in names}
        crash = RecordedCrash("guide", "", self.now - age_s, keys)
        explained = [get_key(name) for name in blocked]
        self.ledger.record_crash(Incarnation(str(self._crashes), 1), crash, explained)
        self.trials.record_crash("guide", keys)

    def complete(self, *names: str) -> None:
        """Record that requests were answered completely."""
        keys = {get_key(name) for name in names}
        self.trials.record_completed("guide", keys)
        self.ledger.record_completed("guide", keys)

    def grant(self, name: str) -> bool:
        """Return whether a request may be sent now."""
        return self.trials.grant(SharedPart("guide", get_key(name)))

    def wait(self, seconds: float) -> list[str]:
        """Let time pass, and return the requests that turned out to be guilty."""
        self.now += seconds
        return [
            request.key.removeprefix(REQUEST_KEY_PREFIX)
            for request in self.trials.take_failed()
        ]


def get_key(name: str) -> str:
    """Return the key of a request."""
    return REQUEST_KEY_PREFIX + name


def crash_twice(*names: str) -> Watched:
    """Return a ledger with two crashes under the same requests."""
    watched = Watched()
    for _ in range(2):
        watched.crash(*names)
        watched.now += 1.0
    return watched


class TestRequestTrials:
    def test_a_request_is_on_trial_after_one_crash(self):
        watched = Watched()
        watched.crash("a", "b")
        assert all(watched.grant("a") for _ in range(3))

    def test_a_request_runs_twice_while_it_is_on_trial(self):
        watched = crash_twice("a")
        assert watched.grant("a")
        assert not watched.grant("a")
        watched.crash("a")
        assert not watched.grant("a")
        assert watched.wait(JUDGED_S) == ["a"]

    def test_two_suspects_are_on_trial_at_once(self):
        """If both ran, a crash would tell nothing."""
        watched = crash_twice("a", "b")
        assert watched.grant("a")
        assert not watched.grant("b")
        watched.complete("a")
        assert watched.grant("a")
        assert watched.grant("b")
        watched.crash("b", "a")
        assert watched.wait(JUDGED_S) == ["b"]

    def test_a_trial_beside_another_suspect_blocks_the_request(self):
        """It had been sent before it was a suspect, and still ran."""
        watched = crash_twice("a", "b")
        assert watched.grant("a")
        watched.crash("a", "b")
        assert watched.wait(JUDGED_S) == []
        assert watched.grant("b")

    def test_a_late_report_of_an_earlier_crash_decides_the_trial(self):
        watched = crash_twice("a")
        assert watched.grant("a")
        watched.crash("a", age_s=0.5)
        assert watched.wait(JUDGED_S) == []

    def test_a_trial_without_a_result_holds_up_the_others(self):
        watched = crash_twice("a", "b")
        assert watched.grant("a")
        watched.now += MAX_TRIAL_S
        assert watched.grant("b")

    def test_a_late_crash_does_not_decide_the_trial(self):
        """Another request's trial had begun meanwhile."""
        watched = crash_twice("a", "b")
        assert watched.grant("a")
        watched.now += MAX_TRIAL_S
        assert watched.grant("b")
        watched.complete("b")
        assert not watched.grant("a")
        watched.crash("a")
        assert watched.wait(JUDGED_S) == ["a"]

    def test_a_lost_trial_is_the_last(self):
        watched = crash_twice("a")
        assert watched.grant("a")
        watched.now += RESULT_TIMEOUT_S
        assert watched.grant("a")

    def test_endpoints_that_end_together_count_as_several_crashes(self):
        watched = Watched()
        for _ in range(5):
            watched.crash("a")
        assert all(watched.grant("a") for _ in range(2))

    def test_a_part_of_prompts_is_taken_for_the_cause(self):
        """Whole requests are left out of the search for parts."""
        watched = Watched()
        for _ in range(6):
            watched.crash("a")
            watched.now += 1.0
        assert watched.ledger.find_causes() == []

    def test_a_blocked_request_is_tried_again_and_again(self):
        """Three attempts are allowed, and its trial was one."""
        assert get_request_trial_delay_s(0) == 60.0
        assert get_request_trial_delay_s(1) == NEVER_S


ENDPOINTS = 6
RUN_S = 0.05
CRASH_INTERVAL_S = 2.0
RATES_PER_S = (20.0, 5.0, 1.0, 0.2, 0.05)
"""How often the requests of a few kinds come again."""


def play_random_crashes(seed: int, crashes: int = 60) -> list[str]:
    """Return the sound requests that are blocked while endpoints crash at random."""
    rng = random.Random(seed)
    watched = Watched()
    names = [(f"{rate}-{number}", rate) for rate in RATES_PER_S for number in range(8)]
    blocked: list[str] = []
    for _ in range(crashes):
        gap_s = rng.expovariate(1 / CRASH_INTERVAL_S)
        watched.now += gap_s
        for name, rate in names:
            if rng.random() > rate * gap_s or not watched.grant(name):
                continue
            is_crashed = rng.random() < RUN_S / CRASH_INTERVAL_S / ENDPOINTS
            if not is_crashed:
                watched.complete(name)
            else:
                watched.crash(name)
        watched.crash(
            *(name for name, rate in names if rng.random() < rate * RUN_S / ENDPOINTS)
        )
        blocked += watched.wait(JUDGED_S)
    return blocked


class TestWrongBlocks:
    @pytest.mark.parametrize("first_seed", range(0, 200, 50))
    def test_sound_requests_are_blocked_beside_random_crashes(self, first_seed):
        """Endpoints crash every 2 s, 12,000 times in all the seeds."""
        blocked = [
            name
            for seed in range(first_seed, first_seed + 50)
            for name in play_random_crashes(seed)
        ]
        assert len(blocked) <= 1
