"""Decides which answer is given up when all that are received take too much memory.

Load pattern: faulty endpoints that send bytes without end, many at a time. Each answer
has a bound of its own, but a few dozen of them at this bound fill the memory of a
process, and the requests of all other callers end with it.

The largest answer is given up first, and what was received of it is freed at once, so
that ordinary answers are not affected by any number of endless ones.
"""

from attrs import define, field

from medlarrail.policy.held_memory import HeldMemory, Holding

MAX_HELD_BYTES = 24_000_000
"""Maximum bytes of all answers held by one process: with the copies that sending them
takes, less than half of what a small process has."""
MAX_ANSWER_SHARE = 0.5
"""Maximum fraction of what a process may hold for others."""


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
    account: HeldMemory | None = None
    """The account of the process that the answers are a part of."""
    holding: Holding | None = None
    """The answers in ``account``; they depend on endpoints and are never given up
    for a caller."""

    @classmethod
    def build(cls, account: HeldMemory) -> "AnswerMemory":
        """Return the memory for answers as a part of ``account``."""
        limit_bytes = min(MAX_HELD_BYTES, int(MAX_ANSWER_SHARE * account.limit_bytes))
        holding = account.open("answers", 0.0)
        holding.state = "working"
        return cls(limit_bytes, account=account, holding=holding)

    def _count(self, count: int) -> None:
        self.held_bytes += count
        if self.account is not None:
            self.account.add(self.holding, count)

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
        self._count(len(part))
        while self.held_bytes > self.limit_bytes:
            largest = max(self.answers, key=lambda held: len(held.data))
            largest.is_dropped = True
            self._free(largest)

    def close(self, answer: HeldAnswer) -> None:
        """Free what is held of ``answer``."""
        self.answers.discard(answer)
        self._free(answer)

    def _free(self, answer: HeldAnswer) -> None:
        self._count(-len(answer.data))
        answer.data = bytearray()
