"""Requests that wait because this entry has just started."""

from collections.abc import Callable

import trio
from attrs import define, field

from medlarrail.core.metrics import get_metrics
from medlarrail.policy.startup import get_hold_s

POLL_INTERVAL_S = 0.04
"""Time after which a waiting request looks again: short compared to the wait, and few
wake-ups for the requests that may wait."""
DEFAULT_LEFT_S = 1.0
"""Time of a request that states no deadline, before its route is known."""


@define(eq=False)
class StartupHold:
    """The waiting requests, and when this entry started, on trio's clock."""

    started_at: float = field(factory=trio.current_time)
    held: int = 0

    async def wait(self, is_ready: Callable[[], bool], left_s: float) -> None:
        """Return once ``is_ready``, or if a request with ``left_s`` may not wait."""
        age_s = trio.current_time() - self.started_at
        hold_s = get_hold_s(age_s, left_s, self.held)
        if not hold_s or is_ready():
            return
        self.held += 1
        began_at = trio.current_time()
        try:
            with trio.move_on_after(hold_s):
                while not is_ready():
                    await trio.sleep(POLL_INTERVAL_S)
        finally:
            self.held -= 1
            outcome = "ready" if is_ready() else "not ready"
            get_metrics().count("startup_holds", outcome=outcome)
            get_metrics().observe("startup_hold", trio.current_time() - began_at)
