"""Tests of the judgement of software versions, and of the limit on their requests."""

import math
import random
from collections import Counter
from collections.abc import Collection

import pytest
from attrs import evolve, frozen

from medlarrail.core.software_rollouts import (
    LATENCY_BOUNDS_MS,
    RolloutCounts,
    SoftwareRolloutPolicy,
)
from medlarrail.policy.software_rollout import (
    LAST_EXPANSION_S,
    LOOKS_PER_S,
    MAX_VIEW_AGE_S,
    RolloutEvidence,
    RolloutSnapshot,
    RolloutVerdict,
    TargetTraffic,
    add_snapshot,
    get_full_stage_s,
    get_route_ratio,
    is_locally_bad,
    judge_rollout,
    may_use_target,
)

POLICY = SoftwareRolloutPolicy()
REPORT_LOOKS = 3
"""Age of the reports, in looks: half a second's interval and the way to the leader."""
CLASSES = range(len(LATENCY_BOUNDS_MS) + 2)
"""Classes of the times of complete answers; the last one stands for failures."""


@frozen
class Load:
    """Requests a second by route, and for how long."""

    rates: tuple[float, ...]
    duration_s: float


@frozen
class Version:
    """How a version answers; ``median_ms`` and ``spread`` are those of its times.

    From ``since_s`` on, ``failing`` and ``slow`` of the answers are bad in addition:
    on the first route only or on all, always or only in bursts of load.
    """

    baselines: tuple[float, ...]
    median_ms: float = 90.0
    spread: float = 0.5
    failing: float = 0.0
    slow: float = 0.0
    since_s: float = 0.0
    is_one_route: bool = False
    is_under_load: bool = False

    def get_weights(self, route: int, now_s: float, is_burst: bool) -> list[float]:
        """Return the probability of each class of answers, failures last."""
        is_bad = (
            now_s >= self.since_s
            and (route == 0 or not self.is_one_route)
            and (is_burst or not self.is_under_load)
        )
        failing, slow = (self.failing, self.slow) if is_bad else (0.0, 0.0)
        good = (1 - self.baselines[route]) * (1 - failing)
        usual = _get_time_weights(self.median_ms, self.spread)
        slowed = _get_time_weights(3 * self.median_ms, self.spread)
        times = (
            good * ((1 - slow) * normal + slow * later)
            for normal, later in zip(usual, slowed, strict=True)
        )
        return [*times, 1 - good]


def _get_time_weights(median_ms: float, spread: float) -> list[float]:
    below = [
        0.5 * (1 + math.erf(math.log(bound / median_ms) / spread / math.sqrt(2)))
        for bound in LATENCY_BOUNDS_MS
    ]
    return [high - low for low, high in zip([0.0, *below], [*below, 1.0], strict=True)]


@frozen
class Outcome:
    """The last verdict of a replay, its time, and the target's requests until then.

    ``bound`` is the number that a bad version may get.
    """

    verdict: RolloutVerdict
    at_s: float
    exposure: int
    bound: float


def replay(load: Load, version: Version, seed: int) -> Outcome:
    """Return how the rollout of ``version`` ends; counts as the leader sees them.

    The replaced version answers likewise, but for what is bad in addition. Requests in
    flight at the replaced version end 1.5 seconds after the expansion.
    """
    draw = random.Random(seed)
    replaced = Version(version.baselines, version.median_ms, version.spread)
    tallies = {
        (route, is_target): Counter[int]()
        for route in range(len(load.rates))
        for is_target in (False, True)
    }
    rates = {str(route): int(100 * rate) for route, rate in enumerate(load.rates)}
    seen: list[tuple[RolloutCounts, ...]] = []
    earlier: tuple[RolloutSnapshot, ...] = ()
    stage, stage_at_s = "trial", 0.0
    sent = to_target = 0
    for look in range(1, math.ceil(load.duration_s * LOOKS_PER_S) + 1):
        now_s = look / LOOKS_PER_S
        is_burst = now_s % 4 >= 2
        for route, rate in enumerate(load.rates):
            ratio = get_route_ratio(rates, str(route), POLICY.exposure_ratio)
            mean = rate / LOOKS_PER_S * (1.3 if is_burst else 0.7)
            for is_target, part in ((True, ratio), (False, 1 - ratio)):
                if stage == "full":
                    part = float(is_target)
                count = _draw_count(draw, mean * part)
                if is_target and stage == "trial":
                    count = min(count, int(sent * POLICY.exposure_ratio) - to_target)
                    count = max(0, count)
                weights = (version if is_target else replaced).get_weights(
                    route, now_s, is_burst
                )
                tallies[route, is_target].update(
                    draw.choices(CLASSES, weights, k=count)
                )
                sent += count
                to_target += count * is_target
        seen.append(tuple(_to_counts(*item) for item in tallies.items()))
        counts = seen[-REPORT_LOOKS - 1] if look > REPORT_LOOKS else ()
        stage_s = now_s - stage_at_s
        verdict = judge_rollout(
            RolloutEvidence(
                stage=stage,
                elapsed_s=now_s,
                duration_s=load.duration_s,
                stage_s=stage_s,
                counts=counts,
                in_flight_replaced=0 if stage == "full" and stage_s >= 1.5 else 5,
                earlier=earlier,
            )
        )
        earlier = add_snapshot(earlier, now_s, counts)
        if verdict.action == "expand":
            stage, stage_at_s = "full", now_s
        elif verdict.action != "hold":
            break
    bound = POLICY.exposure_ratio * sum(load.rates) * load.duration_s
    return Outcome(verdict, now_s, to_target, bound + POLICY.exposure_slack)


def _draw_count(draw: random.Random, mean: float) -> int:
    """Return a number of arrivals with a Poisson distribution's mean and variance."""
    return max(0, round(draw.gauss(mean, math.sqrt(mean))))


def _to_counts(key: tuple[int, bool], tally: Counter[int]) -> RolloutCounts:
    return RolloutCounts(
        route=str(key[0]),
        is_target=key[1],
        answers=tally.total(),
        failures=tally[CLASSES[-1]],
        latencies=tuple(tally[index] for index in CLASSES[:-1]),
    )


LOADS = {
    "four routes": Load((39, 471, 78, 54), 12),
    "two routes": Load((60, 140), 20),
    "eight routes": Load((60, 60, 60, 150, 150, 150, 150, 600), 12),
    "a minute": Load((15, 25, 60), 60),
    "short": Load((39, 471, 78, 54), 6),
}


def _draw_usual(draw: random.Random, load: Load, most: float) -> Version:
    """Return a version whose routes fail with shares up to ``most`` each."""
    baselines = tuple(draw.choice((0.0, draw.uniform(0, most))) for _ in load.rates)
    return Version(baselines, draw.choice((30, 90, 400)), draw.choice((0.3, 0.5, 0.7)))


KINDS = ("at once", "later", "under load", "one route")


def _draw_bad(draw: random.Random, load: Load, kinds: Collection[str]) -> Version:
    """Return a bad version; all shares and times of its kind are equally frequent."""
    is_failing = draw.random() < 0.5
    failing = draw.uniform(0.1, 1)
    slow = draw.uniform(0.2, 1)
    since_s = draw.uniform(0.1, 0.5) * load.duration_s
    return evolve(
        _draw_usual(draw, load, 0.14),
        failing=failing if is_failing else 0.0,
        slow=0.0 if is_failing else slow,
        since_s=since_s if "later" in kinds else 0.0,
        is_one_route="one route" in kinds,
        is_under_load="under load" in kinds,
    )


class TestReplays:
    @pytest.mark.parametrize("name", LOADS)
    @pytest.mark.parametrize("kind", KINDS)
    def test_no_bad_version_is_completed_or_gets_too_many_requests(self, kind, name):
        """Guards against a judgement that misses a kind of bad version, or is late."""
        load = LOADS[name]
        for seed in range(10):
            version = _draw_bad(random.Random(f"{kind} {seed}"), load, (kind,))
            outcome = replay(load, version, seed)
            assert outcome.verdict.action == "roll_back", (seed, version, outcome)
            assert outcome.exposure <= outcome.bound, (seed, version, outcome)

    def test_few_versions_that_turn_bad_on_a_rare_route_are_completed(self):
        """Guards against a judgement that dilutes late answers of a rare route.

        The mildest of these have a handful of bad answers more than a good version, so
        that some are completed.
        """
        outcomes = [
            replay(load, _draw_bad(random.Random(seed), load, KINDS[1::2]), seed)
            for load in LOADS.values()
            for seed in range(40)
        ]
        completed = [item for item in outcomes if item.verdict.action == "complete"]
        assert len(completed) <= 0.03 * len(outcomes)

    @pytest.mark.parametrize("name", LOADS)
    def test_good_versions_are_not_taken_for_bad_ones(self, name):
        """Guards against errors that add up over looks, routes and times."""
        load = LOADS[name]
        falsely = []
        for seed in range(100):
            version = _draw_usual(random.Random(seed), load, 0.14)
            verdict = replay(load, version, seed).verdict
            is_open = "too little evidence" in verdict.reason
            if verdict.action == "roll_back" and not is_open:
                falsely.append((seed, version, verdict))
        assert len(falsely) <= 1, falsely

    @pytest.mark.parametrize("name", ["four routes", "two routes", "eight routes"])
    def test_good_versions_are_completed_where_the_traffic_suffices(self, name):
        """Guards against a judgement that rolls back whatever is not perfect."""
        load = LOADS[name]
        outcomes = [
            replay(load, evolve(version, spread=0.3), seed)
            for seed in range(50)
            for version in [_draw_usual(random.Random(seed), load, 0.03)]
        ]
        completed = [item for item in outcomes if item.verdict.action == "complete"]
        assert len(completed) >= 0.95 * len(outcomes)
        assert all(item.at_s < load.duration_s for item in completed)

    def test_too_little_traffic_is_no_evidence(self):
        """Guards against a version that is completed as nobody saw it fail."""
        outcome = replay(Load((4, 1), 12), Version((0.0, 0.0)), 1)
        assert outcome.verdict.action == "roll_back"
        assert "too little evidence" in outcome.verdict.reason


class TestStages:
    """Judgements of a target with as few failures as the replaced versions."""

    COUNTS = (
        RolloutCounts("a", True, 500, 5, (0, 0, 495)),
        RolloutCounts("a", False, 4500, 45, (0, 0, 4455)),
    )

    def judge(self, **fields) -> str:
        usual = RolloutEvidence("trial", 9.7, 12.0, 9.7, self.COUNTS)
        return judge_rollout(evolve(usual, **fields)).action

    def test_the_trial_lasts_as_long_as_the_deadline_allows(self):
        """Guards against an early expansion, after which a fault costs all requests."""
        assert self.judge(elapsed_s=9.5) == "hold"
        assert self.judge(elapsed_s=9.7) == "expand"

    @pytest.mark.parametrize("duration_s", [3, 6, 12, 60, 300])
    def test_an_expansion_leaves_time_to_complete(self, duration_s):
        """Guards against a plan of time that begins after the last expansion."""
        assert LAST_EXPANSION_S < get_full_stage_s(duration_s) < duration_s

    def test_old_endpoints_stop_when_nothing_runs_there(self):
        """Guards against lost requests, and against waiting past the deadline."""
        full = {"stage": "full", "stage_s": 1.5, "elapsed_s": 11.2}
        assert self.judge(**full, in_flight_replaced=3) == "hold"
        assert self.judge(**full, in_flight_replaced=None) == "hold"
        assert self.judge(**full, in_flight_replaced=0) == "complete"
        near = {**full, "elapsed_s": 11.5}
        assert self.judge(**near, in_flight_replaced=3) == "complete"
        assert self.judge(**near, in_flight_replaced=None) == "complete"

    @pytest.mark.parametrize("stage", ["trial", "full"])
    def test_past_the_deadline_it_is_rolled_back(self, stage):
        """Guards against a completion after all members were away."""
        assert self.judge(stage=stage, elapsed_s=12.0) == "roll_back"

    def test_a_target_that_fails_in_the_stage_full_is_rolled_back(self):
        """Guards against a fault that shows only under the whole load."""
        counts = (RolloutCounts("a", True, 800, 105, (0, 0, 695)), self.COUNTS[1])
        assert (
            self.judge(
                stage="full",
                stage_s=1.5,
                elapsed_s=11.2,
                counts=counts,
                earlier=(RolloutSnapshot(9.7, self.COUNTS),),
                in_flight_replaced=0,
            )
            == "roll_back"
        )

    @pytest.mark.parametrize("missing", [True, False])
    def test_without_answers_of_a_version_it_is_rolled_back(self, missing):
        """Guards against a target that crashes, or one with nothing to compare to."""
        counts = tuple(item for item in self.COUNTS if item.is_target != missing)
        assert self.judge(counts=counts) == "hold"
        assert self.judge(counts=counts, elapsed_s=10.7) == "roll_back"

    def test_counts_without_times_are_judged_by_failures(self):
        """Guards against a service that no rollout of could ever end well."""
        counts = tuple(evolve(item, latencies=()) for item in self.COUNTS)
        assert self.judge(counts=counts) == "expand"


class TestMayUseTarget:
    @pytest.mark.parametrize("rate", [30, 650, 2000])
    def test_all_gateways_together_keep_within_the_bound(self, rate):
        """Guards against parts that add up to more than what a bad version may get.

        Of 85 gateways, ten restart four times, and ten count only 60 gateways.
        """
        draw = random.Random(rate)
        gateways = [
            TargetTraffic("trial", 0.1, entry_count=60 if rank < 10 else 85, rank=rank)
            for rank in range(85)
        ]
        requests = rate * 12
        to_target = 0
        for number in range(requests):
            rank = draw.randrange(85)
            traffic = gateways[rank]
            if 10 <= rank < 20 and draw.random() < 4 / (requests / 85):
                traffic = evolve(traffic, sent=0, sent_to_target=0)
            uses = may_use_target(traffic, POLICY)
            to_target += uses
            gateways[rank] = evolve(
                traffic,
                sent=traffic.sent + 1,
                sent_to_target=traffic.sent_to_target + uses,
            )
            assert to_target <= POLICY.exposure_ratio * (number + 1) + 50
        # The trial needs what it may use.
        assert to_target >= 0.9 * POLICY.exposure_ratio * requests - 25

    def test_a_gateway_that_restarts_again_and_again_keeps_to_few_requests(self):
        """Guards against a part of the slack that each process uses anew."""
        traffic = TargetTraffic("trial", 0.1, sent_to_target=1)
        assert may_use_target(evolve(traffic, sent_to_target=0), POLICY)
        assert not may_use_target(traffic, POLICY)

    @pytest.mark.parametrize("stage", ["trial", "full"])
    def test_an_old_view_allows_nothing(self, stage):
        """Guards against a suspended gateway that uses a version taken back since."""
        traffic = TargetTraffic(stage, MAX_VIEW_AGE_S, sent=1000)
        assert not may_use_target(traffic, POLICY)
        assert may_use_target(evolve(traffic, view_age_s=1.9), POLICY)

    def test_the_stage_full_has_no_limit(self):
        """Guards against requests that go to the old versions until these stop."""
        assert may_use_target(TargetTraffic("full", 0.1, 10, 10), POLICY)


class TestGetRouteRatio:
    SENT = {"rare": 39, "main": 471, "second": 78, "third": 54}

    def test_routes_get_equal_numbers_within_the_share_of_all(self):
        """Guards against a rare route of which the trial shows next to nothing."""
        target = {
            route: get_route_ratio(self.SENT, route, 0.1) * sent
            for route, sent in self.SENT.items()
        }
        assert sum(target.values()) == pytest.approx(64.2)
        assert target["rare"] == pytest.approx(0.4 * 39)
        assert target["main"] == pytest.approx(target["second"])

    def test_one_route_gets_the_share(self):
        """Guards against a single route of which most requests are refused a try."""
        assert get_route_ratio({"only": 500}, "only", 0.1) == pytest.approx(0.1)
        assert get_route_ratio({}, "only", 0.1) == 0.4


class TestIsLocallyBad:
    def test_a_gateway_sees_that_nearly_everything_fails(self):
        """Guards against callers that get failures until the leader has counted."""
        replaced = RolloutCounts("a", False, 100, 2, (0, 98))
        assert is_locally_bad([RolloutCounts("a", True, 8, 8), replaced])
        slow = RolloutCounts("a", True, 12, 0, (0, 0, 0, 0, 12))
        assert is_locally_bad([slow, replaced])

    def test_chance_is_not_taken_for_a_fault(self):
        """Guards against gateways that leave the trial for what the old one does."""
        draw = random.Random(5)
        bad = 0
        for _ in range(300):
            target = sum(draw.random() < 0.14 for _ in range(15))
            replaced = sum(draw.random() < 0.14 for _ in range(100))
            bad += is_locally_bad(
                [
                    RolloutCounts("a", True, 15, target),
                    RolloutCounts("a", False, 100, replaced),
                ]
            )
        assert bad == 0
        assert not is_locally_bad([])
        assert not is_locally_bad([RolloutCounts("a", True, 3, 3)])
