"""Since when no account has been isolated, as far as one process knows.

What isolated accounts made stays at engines for a while after the last of them shares
again or is removed. Engines don't check the account when another one fetches a part.
"""

from attrs import define

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import Deployment


@define(eq=False)
class IsolationTimes:
    """Follows the deployment documents that this process has seen."""

    clock: Clock = get_boottime
    _has_isolated: bool = False
    _ended_at: float = float("-inf")

    def record(self, deployment: Deployment) -> None:
        """Record a document that is in force from now on."""
        if self._has_isolated:
            self._ended_at = self.clock()
        self._has_isolated = any(account.isolated for account in deployment.accounts)

    def record_ago(self, ago_s: float | None) -> None:
        """Record what another process has just told, see ``get_ago_s``."""
        if ago_s is not None:
            self._ended_at = max(self._ended_at, self.clock() - ago_s)

    def get_ago_s(self) -> float | None:
        """Return how long ago an account was isolated in seconds, None for never."""
        if self._has_isolated:
            return 0.0
        ago_s = self.clock() - self._ended_at
        return ago_s if ago_s < float("inf") else None
