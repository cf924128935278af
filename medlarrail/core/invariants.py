"""Invariants that the programs check while they run.

``require`` raises a typed error and counts, in every run; it does not depend
on ``assert``, which ``python -O`` removes.
"""

from medlarrail.core.errors import InvariantViolation
from medlarrail.core.metrics import get_metrics

VIOLATIONS = "invariant_violations"


def require(condition: bool, invariant: str, detail: str = "") -> None:
    """Raise ``InvariantViolation`` and count it unless ``condition`` holds.

    Example: ``require(in_use <= limit, "permits-within-limit", "engine-1")``.
    """
    if condition:
        return
    get_metrics().count(VIOLATIONS, invariant=invariant)
    raise InvariantViolation(invariant=invariant, detail=detail)
