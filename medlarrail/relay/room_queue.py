"""Requests that wait at this entry for room at the endpoints of one service."""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

import trio
from attrs import define, field

from medlarrail.policy.admission_room import Waiter


@define(eq=False)
class RoomQueue:
    """The waiting requests, the urgent first."""

    _waiters: set[Waiter] = field(factory=set)
    _numbers: Iterator[int] = field(factory=count)
    _changed: trio.Event = field(factory=trio.Event)

    @contextmanager
    def join(self, priority: int, deadline: float) -> Iterator[Waiter]:
        """Add a request until the block ends; ``deadline`` is on trio's clock."""
        waiter = Waiter(priority, deadline, next(self._numbers))
        self._waiters.add(waiter)
        try:
            yield waiter
        finally:
            self._waiters.discard(waiter)
            self.notify()

    def count_ahead(self, waiter: Waiter) -> int:
        """Return the number of requests that go before ``waiter``."""
        return sum(other.sort_key < waiter.sort_key for other in self._waiters)

    def notify(self) -> None:
        """Wake the waiting requests: one has left, or an endpoint may have room."""
        if self._waiters:
            self._changed.set()
            self._changed = trio.Event()

    async def wait_changed(self, limit_s: float) -> None:
        """Wait for a notification, for ``limit_s`` at most."""
        with trio.move_on_after(limit_s):
            await self._changed.wait()
