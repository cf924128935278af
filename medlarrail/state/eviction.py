"""Policies that rate what kept context is worth.

A policy returns a number for an extent; the lowest goes first.
"""

import math
from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

RETURN_TIME_S = 1800.0
"""Idle time after which a context that has not returned is half as likely to."""
PRIOR_KEPT = 20
PRIOR_RATE = 0.3
"""What is assumed of an account before enough of its contexts were seen."""


@frozen
class Candidate:
    """What a policy knows of an extent.

    ``idle_s`` is the time since its last use, ``return_rate`` the share of the
    account's kept contexts that returned.
    """

    size: int
    uses: int
    idle_s: float
    return_rate: float = PRIOR_RATE


@define
class ReturnRates:
    """How often the contexts of each account return."""

    _kept: Counter = field(factory=Counter)
    _returned: Counter = field(factory=Counter)

    def note_kept(self, account: str) -> None:
        """Count a context that was kept."""
        self._kept[account] += 1

    def note_return(self, account: str) -> None:
        """Count the first return of a kept context."""
        self._returned[account] += 1

    def get_rate(self, account: str) -> float:
        """Return the share that returned, from a prior for new accounts."""
        returned = self._returned[account] + PRIOR_RATE * PRIOR_KEPT
        return returned / (self._kept[account] + PRIOR_KEPT)


Policy = Callable[[Candidate], float]
_POLICIES: dict[str, Policy] = {}


def eviction_policy(name: str):
    """Register a policy under ``name``."""

    def register(function: Policy) -> Policy:
        _POLICIES[name] = function
        return function

    return register


def get_policy(name: str) -> Policy:
    """Return the policy of that name."""
    return _POLICIES[name]


@eviction_policy("lru")
def rate_by_recency(candidate: Candidate) -> float:
    """Rate by the time since the last use alone."""
    return -candidate.idle_s


@eviction_policy("value")
def rate_by_value(candidate: Candidate) -> float:
    """Rate by the saving for each byte: cost to recompute times return likelihood.

    The cost to recompute grows with the bytes, so it cancels out against the
    size. What remains is the likelihood of a return: that of the account, raised
    by each return seen, and falling with idle time as what would have returned
    by then has not.
    """
    odds = candidate.return_rate / max(1e-6, 1.0 - candidate.return_rate)
    odds *= 1.0 + math.log1p(candidate.uses)
    faded = odds / (1.0 + (candidate.idle_s / RETURN_TIME_S) ** 2)
    return faded / (1.0 + faded)
