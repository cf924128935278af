"""Decides which requests are still sent to endpoints while a gateway shuts down.

Load pattern: gateways restarted in turn under load. Callers use a gateway for some
seconds after it began to shut down, while queues make answers slow, so what is sent
late cannot be answered before the process ends. A caller that is refused at once can
use another gateway.

At first requests are sent if the recent ones of their route would have ended in time:
callers cannot know of the shutdown yet. Later ones come from callers that kept an old
address, and are sent only if their deadline comes before the end, since any answer may
be longer than all recent ones.
"""

from collections import deque

from attrs import define, field

RECENT_RUNS = 64
"""Latest runs of a route that are remembered: enough to include the longest prompts."""


@define
class RunTimes:
    """Seconds from the sending of requests to the end of their answers, by route."""

    _recent: dict[str, deque[float]] = field(factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Record a run that has ended."""
        self._recent.setdefault(route, deque(maxlen=RECENT_RUNS)).append(seconds)

    def get_longest_s(self, route: str) -> float:
        """Return the time of the longest recent run, 0 if there was none."""
        return max(self._recent.get(route, ()), default=0.0)


def may_send(left_s: float, longest_s: float) -> bool:
    """Return whether a request can be answered within the ``left_s`` seconds left.

    ``longest_s`` is the time of the longest recent run of its route.

    Example: with 2 s left, a route whose answers took up to 2.2 s is not served.
    """
    return longest_s <= left_s


def must_end(left_s: float, deadline_s: float) -> bool:
    """Return whether a request ends within ``left_s`` seconds whatever its answer is.

    ``deadline_s`` is the time until its deadline.

    >>> must_end(2.0, 1.5), must_end(2.0, 8.0)
    (True, False)
    """
    return deadline_s <= left_s
