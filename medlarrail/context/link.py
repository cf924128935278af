"""Schedules transfers over one limited link and learns its rate.

Restores for waiting callers go first, then copies between stores, then the
fetching of contexts to keep. Transfers go one after the other in small parts,
so that a restore never waits for more than one part.
"""

import heapq
from enum import IntEnum

import trio
from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime

START_RATE_BYTES_PER_S = 50_000_000.0
LEARNING_SHARE = 0.3
"""Weight of the latest transfer in the learnt rate."""
SMALLEST_SAMPLE_BYTES = 1024


class TransferKind(IntEnum):
    """Kinds of transfer, the most urgent first."""

    RESTORE = 0
    COPY = 1
    KEEP = 2


@define(order=True)
class _Turn:
    kind: TransferKind
    sequence: int
    size: int = field(order=False)
    ready: trio.Event = field(factory=trio.Event, order=False)


@define
class Link:
    """The link between a store and one other process."""

    clock: Clock = get_boottime
    rate_bytes_per_s: float = START_RATE_BYTES_PER_S
    _waiting: list[_Turn] = field(factory=list)
    _running: _Turn | None = None
    _started_at: float = 0.0
    _sequence: int = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def get_rate(self) -> float:
        """Return the rate, lowered by a running transfer that takes too long."""
        if self._running is None:
            return self.rate_bytes_per_s
        elapsed_s = self.clock() - self._started_at
        if elapsed_s <= self._running.size / self.rate_bytes_per_s:
            return self.rate_bytes_per_s
        return max(1.0, min(self.rate_bytes_per_s, self._running.size / elapsed_s))

    def estimate_wait(self, kind: TransferKind) -> float:
        """Return the seconds before a new transfer of ``kind`` would start."""
        ahead = sum(one.size for one in self._waiting if one.kind <= kind)
        if self._running is not None:
            ahead += self._running.size
        return ahead / self.get_rate()

    async def transfer(self, kind: TransferKind, size: int, work):
        """Run ``work`` when its turn comes; it moves ``size`` bytes."""
        turn = _Turn(kind, self._sequence, size)
        self._sequence += 1
        heapq.heappush(self._waiting, turn)
        self._start_next()
        try:
            await turn.ready.wait()
            self._started_at = self.clock()
            result = await work()
            self._learn(size, self.clock() - self._started_at)
            return result
        finally:
            if self._running is turn:
                self._running = None
            else:
                self._waiting.remove(turn)
                heapq.heapify(self._waiting)
            self._start_next()

    def _start_next(self) -> None:
        if self._running is None and self._waiting:
            self._running = heapq.heappop(self._waiting)
            self._started_at = self.clock()
            self._running.ready.set()

    def _learn(self, size: int, elapsed_s: float) -> None:
        if size < SMALLEST_SAMPLE_BYTES:
            return
        sample = size / max(elapsed_s, 1e-6)
        share = LEARNING_SHARE
        self.rate_bytes_per_s += share * (sample - self.rate_bytes_per_s)
