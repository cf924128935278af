"""What one entry suspects of its own paths, and its retry budgets.

An entry that cannot reach an endpoint suspects only the pair of itself and that
endpoint. The suspicion ends by itself after a pause that doubles with each
failure in a row, and any success clears it.
"""

from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime

FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0
LARGEST_BUDGET = 10.0
"""Retries that an account can save up."""


@define
class Suspicion:
    """Failures in a row on one path."""

    failures: int = 0
    until: float = float("-inf")


@define
class PairHealth:
    """Suspicions of this entry's paths to endpoints, by name."""

    clock: Clock = get_boottime
    _suspicions: dict[str, Suspicion] = field(factory=dict)

    def is_suspected(self, name: str) -> bool:
        """Return whether the path to ``name`` failed a moment ago."""
        found = self._suspicions.get(name)
        return found is not None and self.clock() < found.until

    def note_failure(self, name: str) -> None:
        """Suspect the path for a pause that doubles with each failure."""
        found = self._suspicions.setdefault(name, Suspicion())
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**found.failures)
        found.failures += 1
        found.until = self.clock() + pause_s

    def note_success(self, name: str) -> None:
        """Clear the suspicion."""
        self._suspicions.pop(name, None)


@define
class RetryBudgets:
    """Retries that each account has left; every request earns a part of one."""

    _left: dict[str, float] = field(factory=dict)

    def earn(self, account: str, ratio: float) -> None:
        """Add what one request earns."""
        left = self._left.get(account, LARGEST_BUDGET)
        self._left[account] = min(LARGEST_BUDGET, left + ratio)

    def spend(self, account: str) -> bool:
        """Take one retry; returns False where the budget is spent."""
        left = self._left.get(account, LARGEST_BUDGET)
        if left < 1.0:
            return False
        self._left[account] = left - 1.0
        return True
