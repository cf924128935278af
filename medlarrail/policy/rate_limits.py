"""Sliding-window counters and the rate limits based on them.

Handles retry storms, cold starts and endpoints in need, which name a rate: every entry
stays within its own share of a limit on all entries together, so no coordination is
needed. ``shares`` divides it.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field, frozen

from medlarrail.policy.shares import get_share

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

    def get_wait_s(self, now: float, limit: int) -> float:
        """Return the time until less than ``limit`` events are in the window."""
        remaining = self.get(now)
        slice_s = self.window_s / WINDOW_SLICES
        for index, amount in self._slices:
            if remaining < limit:
                return 0.0
            remaining -= amount
            if remaining < limit:
                return max(0.0, (index + WINDOW_SLICES + 1) * slice_s - now)
        return 0.0 if remaining < limit else self.window_s


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


SHORT_WINDOW_S = 1.0
LONG_WINDOW_S = 4.0
NAMED_RATE_RATIO = 0.9
"""Fraction of the rate that an endpoint names which the known entries use; the
remainder covers entries that have just joined."""


@frozen
class SendLimit:
    """The requests that an entry may send to an endpoint within a window."""

    count: int
    window_s: float = SHORT_WINDOW_S


def get_named_limit(per_s: float, entry_count: int, rank: int) -> SendLimit:
    """Return an entry's part of the rate that an endpoint names for all entries.

    The window is longer where a part would be less than one request a second. Where
    that is too little for every entry, only those of the lowest ranks use the endpoint,
    and one of them always does: its answers tell when the limit ends.

    >>> get_named_limit(11.5, 7, 0)
    SendLimit(count=2, window_s=1.0)
    >>> [get_named_limit(1.4, 7, rank).count for rank in range(7)]
    [1, 1, 1, 1, 1, 0, 0]
    """
    total = int(NAMED_RATE_RATIO * per_s)
    if total >= entry_count:
        return SendLimit(get_share(total, entry_count, rank))
    total = max(1, int(NAMED_RATE_RATIO * per_s * LONG_WINDOW_S))
    return SendLimit(get_share(total, entry_count, rank), LONG_WINDOW_S)


@define
class SendRate:
    """The requests that this entry has sent to one endpoint.

    A request is reserved when its endpoint is chosen and counted from when it is
    sent, which may be later: a connection has to be opened first.
    """

    _sent: dict[float, SlidingCount] = field(
        factory=lambda: {
            window_s: SlidingCount(window_s)
            for window_s in (SHORT_WINDOW_S, LONG_WINDOW_S)
        }
    )
    """By the length of the window."""
    _reserved: int = 0

    def may_send(self, now: float, limit: SendLimit) -> bool:
        """Return whether one more request stays within ``limit``."""
        sent = self._sent[limit.window_s].get(now)
        return self._reserved + sent + 1 <= limit.count

    def get_wait_s(self, now: float, limit: SendLimit) -> float:
        """Return the time until another request may be sent, as far as is known."""
        return self._sent[limit.window_s].get_wait_s(now, limit.count)

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
        for sent in self._sent.values():
            sent.add(now)

    def count_sent(self, now: float) -> int:
        """Return the number of requests sent in the last second."""
        return self._sent[SHORT_WINDOW_S].get(now)
