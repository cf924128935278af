"""Decides which answer is given up when all that are received take too much memory.

Load pattern: faulty endpoints that send bytes without end, and callers that do not read
large answers or events, many at a time. Each answer has a bound of its own, but a few
dozen of them at this bound fill the memory of a process, and the requests of all other
callers end with it.

Answers that their callers do not read are given up first, then the largest answer. What
was received of it is freed at once, so that ordinary answers are not affected by any
number of endless ones.
"""

from collections.abc import Callable

from attrs import define, field

from medlarrail.policy.held_memory import MIN_STALL_S, HeldMemory, Holding

MAX_HELD_BYTES = 24_000_000
"""Maximum bytes of all answers held by one process: with the copies that sending them
takes, less than half of what a small process has."""
MAX_ANSWER_SHARE = 0.5
"""Maximum fraction of what a process may hold for others."""


@define(eq=False)
class HeldAnswer:
    """What has been received of one answer and is not sent yet."""

    end: Callable[[], None] | None = None
    """Called if it is given up, to free what is held apart from ``data``."""
    data: bytes | bytearray = field(factory=bytearray, repr=False)
    held_bytes: int = 0
    reader: Holding | None = None
    """The connection of the caller that it is being sent to, None before."""
    is_dropped: bool = False
    """Whether it was given up, and its data freed."""

    def take_data(self) -> bytes | bytearray:
        """Return the data, which stay counted, and keep no reference to them."""
        data, self.data = self.data, bytearray()
        return data

    def is_unread(self, now: float) -> bool:
        """Return whether its caller has not read for a while."""
        reader = self.reader
        return reader is not None and reader.get_stall_s(now) >= MIN_STALL_S


@define(eq=False)
class AnswerMemory:
    """The answers that a process receives at the same time.

    Example::

        answer = memory.open()
        try:
            memory.add(answer, part, now)
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

    def open(self, end: Callable[[], None] | None = None) -> HeldAnswer:
        """Return a new answer, which has to be closed."""
        answer = HeldAnswer(end)
        self.answers.add(answer)
        return answer

    def add(self, answer: HeldAnswer, part: bytes, now: float) -> None:
        """Add a part to ``answer``; drop other answers if there is no room."""
        if not answer.is_dropped:
            answer.data += part
            self.resize(answer, len(answer.data), now)

    def resize(self, answer: HeldAnswer, size: int, now: float) -> None:
        """Count ``size`` bytes for ``answer``; drop answers if there is no room."""
        if answer.is_dropped:
            return
        self._count(size - answer.held_bytes)
        answer.held_bytes = size
        while self.held_bytes > self.limit_bytes:
            self._drop(self._choose_victim(now))

    def close(self, answer: HeldAnswer) -> None:
        """Free what is held of ``answer``."""
        self.answers.discard(answer)
        self._free(answer)

    def _choose_victim(self, now: float) -> HeldAnswer:
        """Return the largest answer that is not read, or else the largest one."""
        held = [answer for answer in self.answers if answer.held_bytes]
        unread = [answer for answer in held if answer.is_unread(now)]
        return max(unread or held, key=lambda answer: answer.held_bytes)

    def _drop(self, answer: HeldAnswer) -> None:
        answer.is_dropped = True
        self._free(answer)
        if answer.end is not None:
            answer.end()

    def _free(self, answer: HeldAnswer) -> None:
        self._count(-answer.held_bytes)
        answer.held_bytes = 0
        answer.data = bytearray()
