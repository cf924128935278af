"""Policies that rate what kept context is worth.

A policy returns a number for an extent; the lowest goes first.
"""

import math
from collections.abc import Callable

from attrs import frozen

RETURN_TIME_S = 1800.0
"""Idle time over which the likelihood of a return falls by a factor of e."""

PRIOR_USES = 0.5


@frozen
class Candidate:
    """What a policy knows of an extent; ``idle_s`` is the time since its use."""

    size: int
    uses: int
    idle_s: float


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
    size; what remains is how likely the context is to return. It grows with
    past returns and falls with idle time, more slowly for what returned often.
    """
    uses = candidate.uses + PRIOR_USES
    return uses * math.exp(-candidate.idle_s / (RETURN_TIME_S * math.sqrt(uses + 1)))
