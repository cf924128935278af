"""Endpoints that fall over if they have to reject many requests."""

from collections import deque

import trio
from attrs import define, field

from medlarrail.testing.partitioned_site import PartitionedSite
from medlarrail.testing.scripted_endpoints import (
    ScriptedConnection,
    build_answer,
    get_value,
)

REJECTION_WINDOW_S = 1.0
DOWN_S = 2.0


@define(eq=False)
class BrittleEndpoint:
    """Runs ``slots`` requests at a time and lets ``queue`` others wait.

    While ``max_rejections`` is set, it says so in each answer. If it ``may_fall``, it
    falls over if it rejects more within a second. ``served`` counts complete answers.
    """

    site: PartitionedSite
    slots: int
    run_s: float
    queue: int = 0
    max_rejections: float | None = None
    may_fall: bool = False
    served: int = 0
    falls: int = 0
    _requests: int = 0
    _down_until: float = float("-inf")
    _rejected_at: deque[float] = field(factory=deque)
    _free: trio.Semaphore = field(init=False)

    def __attrs_post_init__(self):
        self._free = trio.Semaphore(self.slots)

    async def answer(self, connection: ScriptedConnection, request: bytes) -> None:
        """Answer as a script does."""
        if trio.current_time() < self._down_until:
            connection.reset()
            return
        headers = {}
        if self.max_rejections is not None:
            headers["X_Max_Rejections_Per_S"] = f"{self.max_rejections}"
        if self._requests >= self.slots + self.queue:
            self._record_rejection()
            answer = build_answer(request, status=b"503 Full", X_Not_Run="1", **headers)
            await connection.send(answer)
            return
        self._requests += 1
        try:
            async with self._free:
                self.site.runs[get_value(request, b"x-request-id").decode()] += 1
                await trio.sleep(self.run_s)
        finally:
            self._requests -= 1
        await connection.send(build_answer(request, **headers))
        self.served += 1

    def _record_rejection(self) -> None:
        now = trio.current_time()
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        limit = self.max_rejections
        if self.may_fall and limit is not None and len(self._rejected_at) > limit:
            self.falls += 1
            self._down_until = now + DOWN_S
            self._rejected_at.clear()
