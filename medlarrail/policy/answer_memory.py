"""Decides which answer is given up when all that are received take too much memory.

Load pattern: faulty endpoints that send bytes without end, many at a time. Each answer
has a bound of its own, but a few dozen of them at this bound fill the memory of a
process, and the requests of all other callers end with it.

The largest answer is given up first, and what was received of it is freed at once, so
that ordinary answers are not affected by any number of endless ones.
"""

from attrs import define, field

MAX_HELD_BYTES = 24_000_000
"""Maximum bytes of all answers held by one process: with the copies that sending them
takes, less than half of what a small process has."""


@define(eq=False)
class HeldAnswer:
    """What has been received of one answer."""

    data: bytearray = field(factory=bytearray, repr=False)
    is_dropped: bool = False
    """Whether it was given up, and its data freed."""


@define(eq=False)
class AnswerMemory:
    """The answers that a process receives at the same time.

    Example::

        answer = memory.open()
        try:
            memory.add(answer, part)
        finally:
            memory.close(answer)
    """

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    answers: set[HeldAnswer] = field(factory=set)

    def open(self) -> HeldAnswer:
        """Return a new answer, which has to be closed."""
        answer = HeldAnswer()
        self.answers.add(answer)
        return answer

    def add(self, answer: HeldAnswer, part: bytes) -> None:
        """Add a part to ``answer``; drop the largest answers if there is no room."""
        if answer.is_dropped:
            return
        answer.data += part
        self.held_bytes += len(part)
        while self.held_bytes > self.limit_bytes:
            largest = max(self.answers, key=lambda held: len(held.data))
            largest.is_dropped = True
            self._free(largest)

    def close(self, answer: HeldAnswer) -> None:
        """Free what is held of ``answer``."""
        self.answers.discard(answer)
        self._free(answer)

    def _free(self, answer: HeldAnswer) -> None:
        self.held_bytes -= len(answer.data)
        answer.data = bytearray()
