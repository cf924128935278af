"""Failure detection for the network paths of one entry, and its retry budgets.

An entry that cannot reach an endpoint suspects only its own path to that
endpoint, not the endpoint itself. The suspicion expires after a back-off time
that doubles with each consecutive failure, and any success clears it.
"""

from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime

INITIAL_BACK_OFF_S = 0.25
MAX_BACK_OFF_S = 4.0
MAX_RETRY_BUDGET = 10.0
"""Maximum number of retries that an account can accumulate."""


@define
class PathBackOff:
    """Consecutive failures on one path, and when its back-off ends."""

    failures: int = 0
    until: float = float("-inf")


@define
class PathHealth:
    """Back-off state of the paths from this entry to its peers, by peer name."""

    clock: Clock = get_boottime
    _back_offs: dict[str, PathBackOff] = field(factory=dict)

    def is_suspected(self, name: str) -> bool:
        """Return whether the path to ``name`` is in back-off after a failure."""
        back_off = self._back_offs.get(name)
        return back_off is not None and self.clock() < back_off.until

    def record_failure(self, name: str) -> None:
        """Suspect the path for a time that doubles with each consecutive failure."""
        back_off = self._back_offs.setdefault(name, PathBackOff())
        delay_s = min(MAX_BACK_OFF_S, INITIAL_BACK_OFF_S * 2**back_off.failures)
        back_off.failures += 1
        back_off.until = self.clock() + delay_s

    def record_success(self, name: str) -> None:
        """Clear the suspicion."""
        self._back_offs.pop(name, None)


@define
class RetryBudgets:
    """Retries left to each account; every request earns a fraction of one."""

    _remaining: dict[str, float] = field(factory=dict)

    def earn(self, account: str, ratio: float) -> None:
        """Add the fraction of a retry that one request earns."""
        remaining = self._remaining.get(account, MAX_RETRY_BUDGET)
        self._remaining[account] = min(MAX_RETRY_BUDGET, remaining + ratio)

    def spend(self, account: str) -> bool:
        """Consume one retry; returns False if the budget is exhausted."""
        remaining = self._remaining.get(account, MAX_RETRY_BUDGET)
        if remaining < 1.0:
            return False
        self._remaining[account] = remaining - 1.0
        return True
