"""Judges a software version under trial, and limits the requests that it gets.

Handles a new version that fails or is slow: at once or later, only under load, or on
one route only. The version that it replaces fails, too, so its answers over the same
routes and the same time are the measure.

Plan of time. The trial lasts until the time that the stage ``full`` needs: requests in
flight at the replaced versions are lost when these stop. A version that turns bad in
the trial is therefore held to the share of the requests that the trial gets. The bound
on exposure does not cover one that turns bad in the last fifth of the duration, or so
mildly or late in the trial that it is expanded. It is rolled back if its answers show
it before the rollout completes, but in the stage ``full`` it gets all requests: at 650
a second the whole slack within 0.1 s.

Errors. At most ``FALSE_ROLLBACK_ERROR`` of the versions as good as the replaced ones
are rolled back for their answers, at whichever look: the error is divided by looks,
routes, measures and times. At most ``MAX_BAD_ODDS`` of the bad versions are expanded at
one look, taken over the mix that ``SEVERITIES`` and ``ONSET_WEIGHTS`` describe. The
mildest of them, on one rare route and late, make up most of these. Where the traffic
cannot tell them from a good version, that is rolled back, too, for too little evidence.

Not covered: a slowdown where the replaced version's answers are in the last class
already, or where gateways don't time the answers; requests without any answer, until
they count as failures; a mild version that turns bad so late that its answers in the
trial are within what chance does.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Literal

from attrs import frozen

from medlarrail.core.software_rollouts import (
    LATENCY_BOUNDS_MS,
    RolloutCounts,
    RolloutStage,
    SoftwareRolloutPolicy,
)
from medlarrail.policy.shares import get_share
from medlarrail.policy.version_comparison import (
    Comparison,
    find_slow_class,
    get_bad_odds,
    get_excess_probability,
)

RolloutAction = Literal["hold", "expand", "complete", "roll_back"]
MAX_VIEW_AGE_S = 2.0
"""Age of the cluster view from which on nothing is sent to a version under trial: the
leader may have taken it back."""
ALL_ROUTES = "all routes"
"""Subject of a check of all routes together."""

LOOKS_PER_S = 4
"""Judgements each second, by which the error is divided."""
FALSE_ROLLBACK_ERROR = 0.002
"""Probability that a good version is ever rolled back for its answers: a fifth of what
is allowed, as answers of one endpoint are not quite independent of each other."""
MAX_BAD_ODDS = 0.04
"""Odds of a bad version, if half of all were bad, up to which it is good enough. In
replays, 0.06 completed three times as many bad versions as 0.03 (3 of 2,400), and 0.03
left two thirds more good ones without enough evidence (49 instead of 27 of 300)."""
SEVERITIES = {
    "failures": (1.0, 1.8, 3.0, 5.5, 9.0),
    "slow answers": (1.0, 1.5, 2.2, 3.2, 4.5),
}
"""Shares of bad answers that are expected of bad versions, all equally often, as
multiples of the mildest one's."""
ONSET_WEIGHTS = (0.6, 0.2, 0.2)
"""Parts of the bad versions that turn bad at the order, half-way and at three quarters
of the time since; the later ones are those of the first ``WINDOW_RATIOS``."""
MIN_BAD_SHARE = 0.1
"""Least share of the responses of a bad version that fail."""
MIN_SLOW_SHARE = 0.2
"""Least share of the responses of a bad version that are slow."""
FAILURE_TOLERANCE = {"trial": 0.01, "full": 0.03}
SLOW_TOLERANCE = {"trial": 0.03, "full": 0.1}
"""Share of the answers that may be bad in addition at a good version. New endpoints
are less warm than old ones, the more so when they suddenly get all requests."""
MIN_TIMED_RATIO = 0.25
"""Part of the answers that must have a time for the times of a route to be judged."""
RARE_ROUTE_RATIO = 0.01
"""Share of all answers below which routes are judged together: no trial could show
something of each of them."""
MIN_COMPARED_ANSWERS = 5
"""Answers of the replaced versions in a time that make it a measure of its own."""

FULL_STAGE_RATIO = 0.2
FULL_STAGE_MIN_S = 2.0
FULL_STAGE_MAX_S = 7.0
"""Time kept for the stage ``full``: a part of the duration within these limits. It
takes about a second until all gateways have applied the stage and reported it; most
requests take less than a second, the longest six."""
LAST_EXPANSION_S = 1.4
"""Time before the deadline up to which an expansion can be completed: requests sent
before it still have most of a second."""
COMPLETION_MARGIN_S = 0.6
"""Time before the deadline at which the old endpoints are stopped although requests
run there: the verdict takes a commit to the log."""
FULL_STAGE_SEEN_S = 1.0
"""Time in the stage ``full`` before completion, so that reports of it have come."""

MAX_ROUTE_RATIO = 0.4
"""Largest part of a route's requests for the target, to keep the measure for it."""
SNAPSHOT_INTERVAL_S = 0.5
WINDOW_MIN_S = 1.5
WINDOW_RATIOS = (0.5, 0.25, 0.125)
"""Latest times that are judged on their own, as parts of the time since the order: in
the sums since then, a version that turned bad late is diluted by its good answers."""
LOCAL_ERROR = 1e-5
"""Probability for one comparison at one gateway. A mistake takes one gateway's requests
out of the trial, but each gateway judges after each answer."""


@frozen
class RolloutSnapshot:
    """The sums of all gateways' reports at an earlier time since the order."""

    elapsed_s: float
    counts: tuple[RolloutCounts, ...] = ()


@frozen
class RolloutEvidence:
    """What is known of a rollout; ``counts`` are the sums of all gateways' reports.

    ``elapsed_s`` counts from the order, ``stage_s`` from the beginning of the stage.
    ``in_flight_replaced`` requests run at the replaced versions, or None if a gateway
    has not reported that it applied the stage yet. ``earlier`` are the snapshots that
    ``add_snapshot`` kept; without them, only the sums since the order are judged.
    """

    stage: RolloutStage
    elapsed_s: float
    duration_s: float
    stage_s: float
    counts: tuple[RolloutCounts, ...] = ()
    in_flight_replaced: int | None = None
    earlier: tuple[RolloutSnapshot, ...] = ()


@frozen
class RolloutVerdict:
    """The next step of a rollout, with its evidence in words and numbers."""

    action: RolloutAction
    reason: str = ""


@frozen
class TargetTraffic:
    """One gateway's requests since it learned of a rollout.

    ``rank`` is that of this gateway among ``entry_count``; ``view_age_s`` is the time
    since a state member confirmed its view of the cluster.
    """

    stage: RolloutStage
    view_age_s: float
    sent: int = 0
    sent_to_target: int = 0
    entry_count: int = 1
    rank: int = 0


@frozen
class _Check:
    """A comparison of one measure on one route or on all together."""

    subject: str
    measure: Literal["failures", "slow answers"]
    parts: tuple[Comparison, ...]

    @property
    def bad_share(self) -> float:
        """Share of bad answers at the target."""
        return sum(part.target_bad for part in self.parts) / max(
            1, sum(part.target for part in self.parts)
        )

    def describe(self) -> str:
        """Return the numbers in words."""
        parts = self.parts
        return (
            f"{self.measure} on {self.subject}:"
            f" {sum(part.target_bad for part in parts)}"
            f" of {sum(part.target for part in parts)} at the target,"
            f" {sum(part.replaced_bad for part in parts)}"
            f" of {sum(part.replaced for part in parts)} at the replaced versions"
        )


def judge_rollout(evidence: RolloutEvidence) -> RolloutVerdict:
    """Return the next step of a rollout."""
    left_s = evidence.duration_s - evidence.elapsed_s
    if left_s <= 0:
        return RolloutVerdict("roll_back", "no verdict by the deadline")
    checks = _get_checks(evidence.counts, evidence.counts)
    recent = _get_recent_checks(evidence)
    if reason := _find_bad(evidence, checks, recent):
        return RolloutVerdict("roll_back", reason)
    if evidence.stage == "full":
        return _judge_full(evidence, left_s)
    if left_s > get_full_stage_s(evidence.duration_s):
        return RolloutVerdict("hold", "the trial has not ended")
    open_point = _find_open_point(checks, recent)
    if open_point is None:
        return RolloutVerdict("expand", f"good enough; {_summarize(checks)}")
    if left_s > LAST_EXPANSION_S:
        return RolloutVerdict("hold", open_point)
    return RolloutVerdict("roll_back", f"too little evidence: {open_point}")


def get_full_stage_s(duration_s: float) -> float:
    """Return the time before the deadline at which the trial should end."""
    wanted_s = max(FULL_STAGE_MIN_S, FULL_STAGE_RATIO * duration_s)
    return min(wanted_s, FULL_STAGE_MAX_S)


def add_snapshot(
    earlier: Sequence[RolloutSnapshot],
    elapsed_s: float,
    counts: Sequence[RolloutCounts],
) -> tuple[RolloutSnapshot, ...]:
    """Return the snapshots to keep for later judgements."""
    if earlier and elapsed_s - earlier[-1].elapsed_s < SNAPSHOT_INTERVAL_S:
        return tuple(earlier)
    oldest_s = elapsed_s * (1 - WINDOW_RATIOS[0]) - 2 * SNAPSHOT_INTERVAL_S
    kept = (snapshot for snapshot in earlier if snapshot.elapsed_s >= oldest_s)
    return (*kept, RolloutSnapshot(elapsed_s, tuple(counts)))


def get_route_ratio(
    sent_by_route: Mapping[str, int], route: str, ratio: float
) -> float:
    """Return which part of a route's requests a gateway should draw for the target.

    The trial's requests are divided equally between the routes, as far as these have
    enough: at a tenth of each, a route with 39 of 650 requests a second would show 4 a
    second, too few for a version that is bad there only. ``may_use_target`` limits the
    sum of them.
    """
    wanted = ratio * sum(sent_by_route.values())
    limits = sorted(MAX_ROUTE_RATIO * sent for sent in sent_by_route.values())
    level = 0.0
    for index, limit in enumerate(limits):
        level = wanted / (len(limits) - index)
        if limit >= level:
            break
        wanted -= limit
    sent = sent_by_route.get(route, 0)
    if sent == 0:
        return max(ratio, MAX_ROUTE_RATIO)
    return min(MAX_ROUTE_RATIO, level / sent)


def may_use_target(traffic: TargetTraffic, policy: SoftwareRolloutPolicy) -> bool:
    """Return whether a gateway may send its next request to the target version.

    In the trial a gateway keeps to the share of its own requests, so that the sum over
    all gateways keeps to it whatever they know of each other. Half of the slack lets
    them begin before they have sent many requests. It is used only as fast as requests
    come, as a gateway that restarts uses its part again; the other half covers that,
    and gateways that count each other differently.
    """
    if traffic.view_age_s >= MAX_VIEW_AGE_S:
        return False
    if traffic.stage == "full":
        return True
    earned = policy.exposure_ratio * (traffic.sent + 1)
    part = get_share(policy.exposure_slack // 2, traffic.entry_count, traffic.rank)
    return traffic.sent_to_target + 1 <= earned + min(part, 1 + int(earned))


def is_locally_bad(counts: Sequence[RolloutCounts]) -> bool:
    """Return whether one gateway's own counts show that the target is bad."""
    return any(
        get_excess_probability(check.parts, _get_tolerance(check, "trial"))
        < LOCAL_ERROR
        for check in _get_checks(counts, counts)
    )


def _judge_full(evidence: RolloutEvidence, left_s: float) -> RolloutVerdict:
    """Return complete as soon as the replaced versions can be stopped."""
    in_flight = evidence.in_flight_replaced
    if in_flight == 0 and evidence.stage_s >= FULL_STAGE_SEEN_S:
        return RolloutVerdict("complete", "nothing in flight at the replaced versions")
    known = "an unknown number of" if in_flight is None else str(in_flight)
    reason = f"{known} requests in flight at the replaced versions"
    if left_s <= COMPLETION_MARGIN_S:
        return RolloutVerdict("complete", f"{reason}, but the deadline is near")
    return RolloutVerdict("hold", reason)


def _find_bad(
    evidence: RolloutEvidence,
    checks: Sequence[_Check],
    recent: Sequence[Sequence[_Check]],
) -> str | None:
    """Return the answers that show that the target is bad, None if they don't.

    Half of the error is for the sums since the order, half for the latest times.
    """
    looks = math.ceil(LOOKS_PER_S * evidence.duration_s)
    error = FALSE_ROLLBACK_ERROR / looks / max(1, len(checks)) / 2
    recent_error = error / len(WINDOW_RATIOS)
    limited = [(check, error) for check in checks]
    limited += [(check, recent_error) for group in recent for check in group]
    for check, limit in limited:
        tolerance = _get_tolerance(check, evidence.stage)
        probability = get_excess_probability(check.parts, tolerance)
        if probability < limit:
            return f"{check.describe()} (p = {probability:.1e}, limit {limit:.1e})"
    return None


def _find_open_point(
    checks: Sequence[_Check], recent: Sequence[Sequence[_Check]]
) -> str | None:
    """Return why the target is not shown to be good enough yet, None if it is."""
    if not checks:
        return "no answers"
    odds = {
        (index, check): weight * _get_weighted_odds(check, group)
        for index, weight in enumerate(ONSET_WEIGHTS)
        for group in [recent[index - 1] or checks if index else checks]
        for check in group
    }
    total = sum(odds.values())
    if total <= MAX_BAD_ODDS:
        return None
    _, check = max(odds, key=lambda key: odds[key])
    return (
        f"odds {total:.2f} of a bad version, limit {MAX_BAD_ODDS},"
        f" most for {check.describe()}"
    )


def _get_weighted_odds(check: _Check, group: Sequence[_Check]) -> float:
    """Return the odds of a bad version by one check.

    Half of the bad versions fail and half are slow, half of them on all routes and half
    on one.
    """
    severities = SEVERITIES[check.measure]
    odds = (get_bad_odds(check.parts, severity) for severity in severities)
    routes = sum(item.measure == check.measure for item in group) - 1
    weight = 0.5
    if routes > 0:
        weight *= 0.5 if check.subject == ALL_ROUTES else 0.5 / routes
    return weight * sum(odds) / len(severities)


def _get_tolerance(check: _Check, stage: RolloutStage) -> float:
    is_failure = check.measure == "failures"
    return (FAILURE_TOLERANCE if is_failure else SLOW_TOLERANCE)[stage]


def _summarize(checks: Sequence[_Check]) -> str:
    """Return the overall numbers, and those of the route with most bad answers."""
    worst = max(checks, key=lambda check: check.bad_share)
    overall = (check for check in checks if check.subject == ALL_ROUTES)
    return "; ".join(dict.fromkeys(check.describe() for check in (*overall, worst)))


def _get_recent_checks(evidence: RolloutEvidence) -> list[list[_Check]]:
    """Return the checks of each latest time, none where there is no snapshot of it."""
    result: list[list[_Check]] = []
    used: set[float] = set()
    for ratio in WINDOW_RATIOS:
        window_s = max(WINDOW_MIN_S, ratio * evidence.elapsed_s)
        since = max(
            (
                snapshot
                for snapshot in evidence.earlier
                if snapshot.elapsed_s <= evidence.elapsed_s - window_s
            ),
            key=lambda snapshot: snapshot.elapsed_s,
            default=None,
        )
        if since is None or since.elapsed_s in used:
            result.append([])
            continue
        used.add(since.elapsed_s)
        counts = _subtract(evidence.counts, since.counts)
        result.append(_get_checks(counts, evidence.counts))
    return result


def _subtract(
    counts: Sequence[RolloutCounts], earlier: Sequence[RolloutCounts]
) -> list[RolloutCounts]:
    """Return the answers since ``earlier``.

    Sums decrease if a gateway's reports are forgotten; they count as none then.
    """
    before = {(item.route, item.is_target): item for item in earlier}
    result: list[RolloutCounts] = []
    for item in counts:
        old = before.get((item.route, item.is_target))
        if old is None:
            result.append(item)
            continue
        answers = max(0, item.answers - old.answers)
        result.append(
            RolloutCounts(
                route=item.route,
                is_target=item.is_target,
                answers=answers,
                failures=min(answers, max(0, item.failures - old.failures)),
                latencies=tuple(
                    max(0, new - count)
                    for new, count in zip(
                        _get_classes(item), _get_classes(old), strict=True
                    )
                ),
            )
        )
    return result


def _get_checks(
    counts: Sequence[RolloutCounts], total_counts: Sequence[RolloutCounts]
) -> list[_Check]:
    """Return the checks of each route and of all together.

    ``total_counts`` are the sums since the order. They say which answers are slow, and
    are the measure where the replaced versions gave hardly an answer in the time that
    ``counts`` cover, as in the stage ``full``.
    """
    target = {item.route: item for item in counts if item.is_target}
    replaced = {item.route: item for item in counts if not item.is_target}
    totals = {
        item.route: item
        for item in total_counts
        if not item.is_target and item.answers > 0
    }
    answers = sum(item.answers for item in total_counts)
    grouped: dict[str, list[str]] = {}
    for route in sorted(totals):
        is_rare = totals[route].answers < RARE_ROUTE_RATIO * answers
        grouped.setdefault("rare routes" if is_rare else route, []).append(route)
    failures: dict[str, list[Comparison]] = {}
    times: dict[str, list[Comparison]] = {}
    for subject, routes in grouped.items():
        for route in routes:
            new = target.get(route, RolloutCounts(route, True))
            old = replaced.get(route, RolloutCounts(route, False))
            if old.answers < MIN_COMPARED_ANSWERS:
                old = totals[route]
            failures.setdefault(subject, []).append(
                Comparison(
                    target=new.answers,
                    target_bad=new.failures,
                    replaced=old.answers,
                    replaced_bad=old.failures,
                    loss=MIN_BAD_SHARE,
                )
            )
            if part := _compare_times(new, old, totals[route]):
                times.setdefault(subject, []).append(part)
    checks: list[_Check] = []
    for measure, groups in (("failures", failures), ("slow answers", times)):
        checks += [
            _Check(name, measure, tuple(parts)) for name, parts in groups.items()
        ]
        if len(groups) > 1:
            parts = tuple(part for group in groups.values() for part in group)
            checks.append(_Check(ALL_ROUTES, measure, parts))
    return checks


def _get_classes(counts: RolloutCounts) -> tuple[int, ...]:
    """Return the answers by class, of which a report may hold fewer."""
    size = len(LATENCY_BOUNDS_MS) + 1
    return (*counts.latencies, *(0,) * size)[:size]


def _compare_times(
    new: RolloutCounts, old: RolloutCounts, total: RolloutCounts
) -> Comparison | None:
    """Return the slow answers at both versions, None if times can't be judged."""
    times_new, times_old, times_total = (
        _get_classes(item) for item in (new, old, total)
    )
    if sum(times_total) <= MIN_TIMED_RATIO * total.answers:
        return None
    if sum(times_new) < MIN_TIMED_RATIO * (new.answers - new.failures):
        return None
    if sum(times_old) < MIN_COMPARED_ANSWERS:
        times_old = times_total
    slow_class, loss = find_slow_class(times_total, MIN_SLOW_SHARE)
    if loss == 0:
        return None
    return Comparison(
        target=sum(times_new),
        target_bad=sum(times_new[slow_class:]),
        replaced=sum(times_old),
        replaced_bad=sum(times_old[slow_class:]),
        loss=loss,
    )
