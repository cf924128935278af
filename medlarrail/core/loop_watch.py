"""Notices that the event loop did not run, as in a process that is suspended."""

import trio
from attrs import define, field

TICK_S = 0.025
"""Time between two notes that the loop runs."""


@define(eq=False)
class LoopWatch:
    """The latest times, on trio's clock, at which the event loop is known to have run.

    After a suspension, other tasks may run before or after ``run`` does. The tick
    before the latest one is from before the suspension in both cases.

    There are ticks only while a task waits for something and has called ``begin_wait``:
    each one costs about as much as a message between two processes.
    """

    _previous_tick_at: float = float("-inf")
    _tick_at: float = float("-inf")
    _waits: int = 0
    """Tasks that wait now."""
    _wait_began: trio.Event = field(factory=trio.Event)

    async def run(self) -> None:
        """Note the time while a task waits, until cancelled."""
        while True:
            if not self._waits:
                # Without ticks, a task knows no later time than the begin of its wait.
                self._previous_tick_at = self._tick_at = float("-inf")
                self._wait_began = trio.Event()
                await self._wait_began.wait()
            self._previous_tick_at = self._tick_at
            self._tick_at = trio.current_time()
            await trio.sleep(TICK_S)

    def begin_wait(self) -> None:
        """Note that a task begins to wait; ``end_wait`` has to follow."""
        self._waits += 1
        self._wait_began.set()

    def end_wait(self) -> None:
        """Note that a task does not wait any more."""
        self._waits -= 1

    @property
    def awake_at(self) -> float:
        """A time at which the loop ran, before any suspension that has just ended.

        It may be earlier than the begin of a wait.
        """
        return self._previous_tick_at
