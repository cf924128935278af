"""Eviction policies for stored context.

A policy returns a score for an extent; the lowest score is evicted first.
"""

import math
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

REUSE_HALF_LIFE_S = 1800.0
"""Idle time after which the odds of a reuse are half as high."""
PRIOR_CONTEXTS = 20
PRIOR_RATE = 0.3
"""Reuse rate assumed for an account until enough of its contexts were seen; it counts
as much as ``PRIOR_CONTEXTS`` stored contexts."""


@frozen
class Candidate:
    """The properties of an extent that a policy scores.

    ``idle_s`` is the time since its last use, ``reuse_rate`` the share of the
    account's stored contexts that were reused.
    """

    size: int
    uses: int
    idle_s: float
    reuse_rate: float = PRIOR_RATE


@define
class ReuseRates:
    """How often the stored contexts of each account are reused."""

    _stored: Counter = field(factory=Counter)
    _reused: Counter = field(factory=Counter)

    def record_stored(self, account: str) -> None:
        """Count a context that was stored."""
        self._stored[account] += 1

    def record_reuse(self, account: str) -> None:
        """Count the first reuse of a stored context."""
        self._reused[account] += 1

    def get_rate(self, account: str) -> float:
        """Return the share of reused contexts, smoothed by a prior for new accounts."""
        reused = self._reused[account] + PRIOR_RATE * PRIOR_CONTEXTS
        return reused / (self._stored[account] + PRIOR_CONTEXTS)


Policy = Callable[[Candidate], float]
_POLICIES: dict[str, Policy] = {}


def eviction_policy(name: str):
    """Register a policy under ``name``."""

    def register(function: Policy) -> Policy:
        _POLICIES[name] = function
        return function

    return register


def get_policy(name: str) -> Policy:
    """Return the policy registered under ``name``."""
    return _POLICIES[name]


@eviction_policy("lru")
def score_by_recency(candidate: Candidate) -> float:
    """Score by the time since the last use only."""
    return -candidate.idle_s


@eviction_policy("value")
def score_by_value(candidate: Candidate) -> float:
    """Score by the expected saving per byte: recompute cost times reuse probability.

    The recompute cost is proportional to the size, so the two cancel out. What
    remains is the probability of a reuse: the account's rate, increased by each
    observed reuse and decreasing with idle time, because a context that was going
    to be reused would probably have been reused by then.
    """
    odds = candidate.reuse_rate / max(1e-6, 1.0 - candidate.reuse_rate)
    odds *= 1.0 + math.log1p(candidate.uses)
    decayed_odds = odds / (1.0 + (candidate.idle_s / REUSE_HALF_LIFE_S) ** 2)
    return decayed_odds / (1.0 + decayed_odds)
