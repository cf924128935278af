"""Counts over a sliding window, and the limits that rest on them.

Answers the retry storm and the cold start: every entry keeps within its own
part of a limit that holds for all entries together, so nobody has to be asked.
"""

from collections import deque

from attrs import define, field

WINDOW_SLICES = 20
"""Slices of a window; an event counts up to one slice longer than the window."""


@define
class SlidingCount:
    """Events within the last ``window_s`` seconds, in slices."""

    window_s: float
    _slices: deque[tuple[int, int]] = field(factory=deque)
    _total: int = 0

    def _drop_old(self, now: float) -> int:
        number = int(now / self.window_s * WINDOW_SLICES)
        while self._slices and self._slices[0][0] < number - WINDOW_SLICES:
            self._total -= self._slices.popleft()[1]
        return number

    def add(self, now: float, amount: int = 1) -> None:
        """Count an event at ``now``."""
        number = self._drop_old(now)
        if self._slices and self._slices[-1][0] == number:
            self._slices[-1] = (number, self._slices[-1][1] + amount)
        else:
            self._slices.append((number, amount))
        self._total += amount

    def get(self, now: float) -> int:
        """Return the events of the window that ends at ``now``."""
        self._drop_old(now)
        return self._total


@define
class RetryBudget:
    """This entry's part of one service's budget of repeats.

    All entries together may repeat ``ratio`` of the requests of a window and
    ``slack`` more. An entry's part is ``ratio`` of its own requests and its part
    of the slack; ``safety`` leaves room for entries that just came.
    """

    window_s: float
    ratio: float
    slack: float
    safety: float = 0.7
    _requests: SlidingCount = field(init=False)
    _repeats: SlidingCount = field(init=False)

    def __attrs_post_init__(self):
        self._requests = SlidingCount(self.window_s)
        self._repeats = SlidingCount(self.window_s)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.add(now)

    def spend(self, now: float, entry_count: int) -> bool:
        """Take one repeat; returns False where the part is spent."""
        earned = self.ratio * self._requests.get(now)
        part = self.safety * (earned + self.slack / max(1, entry_count))
        if self._repeats.get(now) + 1 > part:
            return False
        self._repeats.add(now)
        return True


@define
class ColdBound:
    """This entry's part of what one cold endpoint bears in a second."""

    _sent: SlidingCount = field(factory=lambda: SlidingCount(1.0))

    def may_send(self, now: float, per_s: float, entry_count: int) -> bool:
        """Return whether one more request keeps within the part.

        ``per_s`` is for all entries; each may send at least one in a second.
        """
        part = max(1.0, per_s / max(1, entry_count))
        return self._sent.get(now) + 1 <= part

    def note_sent(self, now: float) -> None:
        """Count a request that was sent."""
        self._sent.add(now)
