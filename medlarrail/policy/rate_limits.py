"""Sliding-window counters and the rate limits based on them.

Handles retry storms and cold starts: every entry stays within its own share of a
limit on all entries together, so no coordination is needed. ``shares`` divides it.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

WINDOW_SLICES = 20
"""Slices per window; an event may count for up to one slice longer than the window."""


@define
class SlidingCount:
    """Number of events in the last ``window_s`` seconds, kept per time slice."""

    window_s: float
    _slices: deque[tuple[int, int]] = field(factory=deque)
    _total: int = 0

    def _evict_old(self, now: float) -> int:
        index = int(now / self.window_s * WINDOW_SLICES)
        while self._slices and self._slices[0][0] < index - WINDOW_SLICES:
            self._total -= self._slices.popleft()[1]
        return index

    def add(self, now: float, amount: int = 1) -> None:
        """Add ``amount`` events at ``now``."""
        index = self._evict_old(now)
        if self._slices and self._slices[-1][0] == index:
            self._slices[-1] = (index, self._slices[-1][1] + amount)
        else:
            self._slices.append((index, amount))
        self._total += amount

    def get(self, now: float) -> int:
        """Return the number of events in the window that ends at ``now``."""
        self._evict_old(now)
        return self._total


@define
class RetryBudget:
    """This entry's share of one service's retry budget.

    All entries together may retry ``ratio`` of the requests in a window plus
    ``slack``. An entry's share is ``ratio`` of its own requests plus its share of
    the slack; ``safety`` leaves room for entries that have just joined.
    """

    window_s: float
    ratio: float
    slack: float
    safety: float = 0.7
    _requests: SlidingCount = field(init=False)
    _retries: SlidingCount = field(init=False)

    def __attrs_post_init__(self):
        self._requests = SlidingCount(self.window_s)
        self._retries = SlidingCount(self.window_s)

    def record_request(self, now: float) -> None:
        """Record a request from a caller."""
        self._requests.add(now)

    def try_consume(self, now: float, entry_count: int) -> bool:
        """Consume one retry; returns False if this entry's share is used up."""
        allowance = self.ratio * self._requests.get(now)
        limit = self.safety * (allowance + self.slack / max(1, entry_count))
        if self._retries.get(now) + 1 > limit:
            return False
        self._retries.add(now)
        return True


@define
class ColdRateLimit:
    """This entry's share of the request rate allowed for one cold endpoint.

    A request is reserved when its endpoint is chosen and counted from when it is
    sent, which may be later: a connection has to be opened first.
    """

    _sent: SlidingCount = field(factory=lambda: SlidingCount(1.0))
    _reserved: int = 0

    def may_send(self, now: float, share: int) -> bool:
        """Return whether one more request stays within ``share`` requests a second."""
        return self._reserved + self._sent.get(now) + 1 <= share

    @contextmanager
    def reserve(self) -> Iterator[None]:
        """Count one request as if it were sent now, until the block ends."""
        self._reserved += 1
        try:
            yield
        finally:
            self._reserved -= 1

    def record_sent(self, now: float) -> None:
        """Record a sent request."""
        self._sent.add(now)

    def count_sent(self, now: float) -> int:
        """Return the number of requests sent in the last second."""
        return self._sent.get(now)
