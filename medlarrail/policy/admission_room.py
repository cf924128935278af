"""Divides the room of an endpoint that fails if it has to reject many requests.

Handles an overload of endpoints that name the rejections per second that they bear and
fall over beyond them. Their queues may shrink without a word, so that the only sure
room is that of the requests that they run. It is divided among all entries in whole
parts, and what exceeds its part waits at the entry. Where the endpoints have less room
than there are entries, those without a part hand their requests to those with one.

An endpoint that rejects a request all the same is left alone for a while.
"""

from collections import deque
from typing import Literal

from attrs import define, field, frozen

from medlarrail.policy.shares import get_share

REJECTION_PAUSE_S = 1.0
"""Time for which an entry leaves an endpoint alone that rejected one of its requests:
the span in which the endpoint counts them."""
ABANDONED_S = 0.5
"""Time for which a request that was given up on is counted as running: its endpoint
notices that later than the entry."""
STATEMENT_TTL_S = 5.0
"""Age up to which a statement of an endpoint counts. Each of its answers renews it."""

MAX_WAIT_SHARE = 0.8
"""Share of the time left that the expected wait of a new request may take: a request
that waits for nothing takes a place from another."""

WaitAction = Literal["wait", "refuse"]


@define
class RejectionLimit:
    """What an endpoint last said of the rejections that it bears; times in seconds.

    ``per_s`` is None if it said that it bears any number.
    """

    per_s: float | None = None
    said_at: float = float("-inf")
    rejected_at: float = float("-inf")
    _abandoned_at: deque[float] = field(factory=deque)

    def record_abandoned(self, now: float) -> None:
        """Record a request of this entry that may still run, though it was given up."""
        self._drop_ended(now)
        self._abandoned_at.append(now)

    def _drop_ended(self, now: float) -> None:
        while self._abandoned_at and now - self._abandoned_at[0] > ABANDONED_S:
            self._abandoned_at.popleft()

    def record(self, per_s: float | None, now: float) -> None:
        """Record the statement in an answer."""
        self.per_s = per_s
        self.said_at = now

    def is_in_force(self, now: float, service_said_at: float) -> bool:
        """Return whether the endpoint may fall over.

        ``service_said_at`` is the time at which any endpoint of the service last named
        a limit: it holds for those that have not been heard since.
        """
        if self.per_s is not None and now - self.said_at < STATEMENT_TTL_S:
            return True
        return self.said_at < service_said_at > now - STATEMENT_TTL_S

    def has_room(
        self, now: float, in_flight: int, slots: int, entry_count: int, rank: int
    ) -> bool:
        """Return whether the entry of this rank may send one more request."""
        if now - self.rejected_at < REJECTION_PAUSE_S:
            return False
        self._drop_ended(now)
        running = in_flight + len(self._abandoned_at)
        return running < get_share(slots, entry_count, rank)


@frozen
class Waiter:
    """A request that waits for room; ``priority`` 0 is the highest."""

    priority: int
    deadline: float
    number: int

    @property
    def sort_key(self) -> tuple[int, float, int]:
        """Sort key: the urgent first, then those with the least time left."""
        return (self.priority, self.deadline, self.number)


def decide_wait(ahead: int, room: int, answer_s: float, left_s: float) -> WaitAction:
    """Return whether a request waits for room or is refused at once.

    ``ahead`` requests go first and ``room`` run at a time, each for ``answer_s``. One
    whose turn would come too late is refused, so that its caller may try elsewhere.

    >>> decide_wait(ahead=3, room=2, answer_s=0.1, left_s=1.0)
    'wait'
    >>> decide_wait(ahead=40, room=2, answer_s=0.1, left_s=1.0)
    'refuse'
    """
    expected_s = get_wait_s(ahead, room, answer_s)
    return "refuse" if expected_s > MAX_WAIT_SHARE * left_s else "wait"


def get_wait_s(ahead: int, room: int, answer_s: float) -> float:
    """Return the time until a request behind ``ahead`` others is answered."""
    return (ahead // max(1, room) + 1) * answer_s
