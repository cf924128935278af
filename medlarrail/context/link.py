"""Schedules transfers over one link by priority and estimates the link's rate.

Restores for waiting callers have the highest priority, then copies between
stores, then fetches of contexts to store. Transfers run one at a time in small
parts, so that a restore waits for at most one part of lower priority.
"""

import heapq
from enum import IntEnum

import trio
from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime

INITIAL_RATE_BYTES_PER_S = 50_000_000.0
RATE_EWMA_WEIGHT = 0.3
"""Weight of the latest transfer in the moving average of the rate."""
MIN_SAMPLE_BYTES = 1024
"""Size below which a transfer does not update the estimated rate."""


class TransferKind(IntEnum):
    """Kinds of transfer, in descending order of priority."""

    RESTORE = 0
    COPY = 1
    KEEP = 2
    """Fetches of contexts that the store saves."""


@define(order=True)
class _QueuedTransfer:
    kind: TransferKind
    sequence: int
    size: int = field(order=False)
    ready: trio.Event = field(factory=trio.Event, order=False)


@define
class Link:
    """The link between a store and one other process."""

    clock: Clock = get_boottime
    rate_bytes_per_s: float = INITIAL_RATE_BYTES_PER_S
    _waiting: list[_QueuedTransfer] = field(factory=list)
    _running: _QueuedTransfer | None = None
    _started_at: float = 0.0
    _sequence: int = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def get_rate(self) -> float:
        """Return the estimated rate, lowered if the running transfer is overdue."""
        if self._running is None:
            return self.rate_bytes_per_s
        elapsed_s = self.clock() - self._started_at
        if elapsed_s <= self._running.size / self.rate_bytes_per_s:
            return self.rate_bytes_per_s
        return max(1.0, min(self.rate_bytes_per_s, self._running.size / elapsed_s))

    def estimate_wait(self, kind: TransferKind) -> float:
        """Return the estimated seconds until a new transfer of ``kind`` starts."""
        bytes_ahead = sum(
            queued.size for queued in self._waiting if queued.kind <= kind
        )
        if self._running is not None:
            bytes_ahead += self._running.size
        return bytes_ahead / self.get_rate()

    async def transfer(self, kind: TransferKind, size: int, work):
        """Run ``work``, which transfers ``size`` bytes, as soon as it is scheduled."""
        queued = _QueuedTransfer(kind, self._sequence, size)
        self._sequence += 1
        heapq.heappush(self._waiting, queued)
        self._start_next()
        try:
            await queued.ready.wait()
            self._started_at = self.clock()
            result = await work()
            self._update_rate(size, self.clock() - self._started_at)
            return result
        finally:
            if self._running is queued:
                self._running = None
            else:
                self._waiting.remove(queued)
                heapq.heapify(self._waiting)
            self._start_next()

    def _start_next(self) -> None:
        if self._running is None and self._waiting:
            self._running = heapq.heappop(self._waiting)
            self._started_at = self.clock()
            self._running.ready.set()

    def _update_rate(self, size: int, elapsed_s: float) -> None:
        if size < MIN_SAMPLE_BYTES:
            return
        sample_rate = size / max(elapsed_s, 1e-6)
        weight = RATE_EWMA_WEIGHT
        self.rate_bytes_per_s += weight * (sample_rate - self.rate_bytes_per_s)
