"""Runtime checks of invariants.

``require`` always raises and counts a typed error; unlike ``assert``, it is not
removed by ``python -O``.
"""

from medlarrail.core.errors import InvariantViolation
from medlarrail.core.metrics import get_metrics

VIOLATIONS_METRIC = "invariant_violations"


def require(condition: bool, invariant: str, detail: str = "") -> None:
    """Raise and count ``InvariantViolation`` unless ``condition`` holds.

    Example: ``require(in_use <= limit, "permits-within-limit", "engine-1")``.
    """
    if condition:
        return
    get_metrics().count(VIOLATIONS_METRIC, invariant=invariant)
    raise InvariantViolation(invariant=invariant, detail=detail)
