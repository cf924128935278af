"""Judges a software version under trial, and limits the requests that it gets.

Handles a new version that fails or is slow: at once or later, only under load, or on
one route only. The version that it replaces fails, too, so its answers over the same
routes and the same time are the measure.
"""

from collections.abc import Sequence
from typing import Literal

from attrs import frozen

from medlarrail.core.software_rollouts import (
    RolloutCounts,
    RolloutStage,
    SoftwareRolloutPolicy,
)

RolloutAction = Literal["hold", "expand", "complete", "roll_back"]
MAX_VIEW_AGE_S = 2.0
"""Age of the cluster view from which on nothing is sent to a version under trial: the
leader may have taken it back."""


@frozen
class RolloutEvidence:
    """What is known of a roll-out; ``counts`` are the sums of all gateways' reports.

    ``elapsed_s`` counts from the order, ``stage_s`` from the beginning of the stage.
    ``in_flight_replaced`` requests run at the replaced versions, or None if a gateway
    has not reported that it applied the stage yet.
    """

    stage: RolloutStage
    elapsed_s: float
    duration_s: float
    stage_s: float
    counts: tuple[RolloutCounts, ...] = ()
    in_flight_replaced: int | None = None


@frozen
class RolloutVerdict:
    """The next step of a roll-out, with its evidence in words and numbers."""

    action: RolloutAction
    reason: str = ""


@frozen
class TargetTraffic:
    """One gateway's requests since it learned of a roll-out.

    ``rank`` is that of this gateway among ``entry_count``; ``view_age_s`` is the time
    since a state member confirmed its view of the cluster.
    """

    stage: RolloutStage
    view_age_s: float
    sent: int = 0
    sent_to_target: int = 0
    entry_count: int = 1
    rank: int = 0


def judge_rollout(evidence: RolloutEvidence) -> RolloutVerdict:
    """Return the next step of a roll-out."""
    raise NotImplementedError


def may_use_target(traffic: TargetTraffic, policy: SoftwareRolloutPolicy) -> bool:
    """Return whether a gateway may send its next request to the target version."""
    raise NotImplementedError


def is_locally_bad(counts: Sequence[RolloutCounts]) -> bool:
    """Return whether one gateway's own counts show that the target is bad."""
    raise NotImplementedError
