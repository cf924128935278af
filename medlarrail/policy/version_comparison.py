"""Compares the answers of two software versions over the same routes and the same time.

Handles a version whose answers are bad (failed, or slow) more often than those of the
version that it replaces, which has bad ones, too. The share of bad ones at the replaced
version is known from a sample only. The number at the new one is therefore compared
with its predictive distribution, a beta-binomial one that contains this uncertainty. It
is exact enough at ten answers as well as at ten thousand.
"""

import functools
import math
from collections.abc import Sequence

from attrs import frozen

from medlarrail.core.software_rollouts import LATENCY_BOUNDS_MS

SLOWDOWN = 3.0
"""Factor by which the slow answers of a bad version are slower."""
MIN_TERM = 1e-5
"""Part of a sum below which further terms of it are left out."""
MAX_TAIL = 0.1
"""Probability above which the exact one makes no difference to a decision."""
MIN_STRENGTH = 1e-3
"""Smallest sum of a beta distribution's parameters, which have to be positive."""
MAX_LOSS = 0.98
"""Largest loss: at 1, a single good answer would be impossible."""
MAX_LOG_ODDS = 50.0
"""Limit that keeps the odds within what a float holds."""


@frozen
class Comparison:
    """Answers on one route, and the bad ones among them, at both versions.

    ``loss`` is the share of the good answers that become bad at the mildest version
    that must be recognised.
    """

    target: int
    target_bad: int
    replaced: int
    replaced_bad: int
    loss: float


def get_excess_probability(parts: Sequence[Comparison], tolerance: float) -> float:
    """Return how probable as many bad answers are at a good version.

    A good version may turn a share of ``tolerance`` of the good answers into bad ones.
    Probabilities above ``MAX_TAIL`` are returned as 1.
    """
    count = sum(part.target for part in parts)
    bad = sum(part.target_bad for part in parts)
    if count == 0 or any(part.replaced == 0 for part in parts):
        return 1.0
    alpha, beta = _predict(parts, [tolerance] * len(parts))
    if bad * (alpha + beta) <= count * alpha:
        return 1.0
    total = term = math.exp(_get_log_term(count, bad, alpha, beta))
    for value in range(bad, count):
        term *= (count - value) * (value + alpha)
        term /= (value + 1) * (count - value - 1 + beta)
        total += term
        if total > MAX_TAIL:
            return 1.0
        if term <= MIN_TERM * total:
            break
    return total


def get_bad_odds(parts: Sequence[Comparison], severity: float) -> float:
    """Return how much more probable the answers are at a bad version than otherwise.

    Its bad share is ``severity`` times that of the mildest bad version, and the same in
    all ``parts``. Without answers it is 1.
    """
    log_odds = 0.0
    for part in parts:
        if part.replaced == 0:
            continue
        loss = min(MAX_LOSS, severity * part.loss)
        log_odds += _get_log_probability(part, loss) - _get_log_probability(part, 0.0)
    return math.exp(min(log_odds, MAX_LOG_ODDS))


def _get_log_probability(part: Comparison, loss: float) -> float:
    alpha, beta = _predict([part], [loss])
    return _get_log_term(part.target, part.target_bad, alpha, beta)


def _predict(
    parts: Sequence[Comparison], losses: Sequence[float]
) -> tuple[float, float]:
    """Return the beta distribution of the target's share of bad answers.

    Routes are weighted by the target's answers, as its part of the requests differs
    between routes.
    """
    count = sum(part.target for part in parts) or 1
    mean = variance = 0.0
    for part, loss in zip(parts, losses, strict=True):
        # Jeffreys prior: none among the sampled answers does not mean none at all.
        good = part.replaced - part.replaced_bad + 0.5
        total = part.replaced + 1.0
        weight = part.target / count if len(parts) > 1 else 1.0
        mean += weight * (1 - (1 - loss) * good / total)
        variance += (weight * (1 - loss)) ** 2 * (
            good * (total - good) / (total * total * (total + 1))
        )
    strength = max(mean * (1 - mean) / variance - 1, MIN_STRENGTH)
    return mean * strength, (1 - mean) * strength


def _get_log_term(count: int, bad: int, alpha: float, beta: float) -> float:
    """Return the logarithm of the beta-binomial probability of ``bad``."""
    lgamma = math.lgamma
    return (
        lgamma(count + 1)
        - lgamma(bad + 1)
        - lgamma(count - bad + 1)
        + lgamma(bad + alpha)
        + lgamma(count - bad + beta)
        - lgamma(count + alpha + beta)
        - lgamma(alpha)
        - lgamma(beta)
        + lgamma(alpha + beta)
    )


@functools.lru_cache(maxsize=64)
def find_slow_class(latencies: tuple[int, ...], slow_share: float) -> tuple[int, float]:
    """Return the class from which on an answer counts as slow, and the loss at it.

    It is the class at which a version with ``slow_share`` slow answers differs most
    from the replaced one, whose ``latencies`` are given. The target's answers are not
    looked at, so the choice adds no error. The loss is 0 if no class would show it.
    Each judgement asks for the same route several times.
    """
    total = sum(latencies)
    best, best_class, best_loss = 0.0, len(LATENCY_BOUNDS_MS), 0.0
    above = total
    for index, bound in enumerate(LATENCY_BOUNDS_MS):
        above -= latencies[index]
        share = above / total
        slowed = _count_above(latencies, bound / SLOWDOWN) / total
        extra = slow_share * (slowed - share)
        score = extra / math.sqrt((share + extra) * (1 - share) + 1 / total)
        if share < 1 and score > best:
            best, best_class, best_loss = score, index + 1, extra / (1 - share)
    return best_class, best_loss


def _count_above(latencies: Sequence[int], limit_ms: float) -> float:
    """Return how many answers took longer, interpolated within a class."""
    lower, count = LATENCY_BOUNDS_MS[0] / 2, 0.0
    for index, upper in enumerate(LATENCY_BOUNDS_MS):
        if limit_ms <= lower:
            count += latencies[index]
        elif limit_ms < upper:
            part = math.log(upper / limit_ms) / math.log(upper / lower)
            count += latencies[index] * part
        lower = upper
    return count + latencies[-1]
