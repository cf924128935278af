"""Orders the long prompts that wait at an entry, and estimates their wait.

Handles bursts of long prompts before many entries. Each waiting prompt looked for an
idle engine ten times a second: with a thousand of them, some twenty saw the same engine
before its coordinator had heard of the first, and all were sent there. New prompts,
which could still be in time, then found every engine busy with late ones.

Prompts that can still be in time look on their own. Of the others, one at each entry
has the turn: the one that waits longest. Those that would wait for longer than their
callers do are refused, and their callers return spread over a time that outlasts a
burst.
"""

from collections import deque
from random import Random

from attrs import define, field

RATE_WINDOW_S = 2.0
"""Time over which the dispatches of waiting prompts are counted: a burst ends within
seconds."""
MIN_RATE_S = 0.5
"""Time of waiting before a rate is known."""
LOOKS_PER_TURN = 5
"""Looks after which the turn passes on: a large prompt may wait for memory while there
is enough for others."""
MIN_RETURN_RATIO = 1.0
MAX_RETURN_RATIO = 3.0
"""Bounds of Retry-After, relative to the time that a caller waits. What was refused
would have waited for longer than that."""


@define(eq=False)
class WaitingPrompt:
    """A prompt that waits.

    ``latest_start`` is the last time at which an idle engine would still answer it
    within its latency target, and ``last_chance`` the same for its caller's patience.
    """

    received_at: float
    latest_start: float
    last_chance: float
    joined_at: float
    looks: int = 0

    def is_late(self, now: float) -> bool:
        """Return whether the prompt can't meet its latency target any more."""
        return now > self.latest_start


@define
class PromptTurns:
    """The prompts that wait for the engines of a service at one entry."""

    waiting: list[WaitingPrompt] = field(factory=list)
    _sent_at: deque[float] = field(factory=deque)

    def join(
        self, now: float, received_at: float, latest_start: float, last_chance: float
    ) -> WaitingPrompt:
        """Add a prompt that no engine could take yet."""
        prompt = WaitingPrompt(received_at, latest_start, last_chance, now)
        self.waiting.append(prompt)
        return prompt

    def leave(self, prompt: WaitingPrompt, now: float, sent: bool) -> None:
        """Remove a prompt; ``sent`` tells whether an engine took it."""
        self.waiting.remove(prompt)
        if sent:
            self._sent_at.append(now)

    def has_turn(self, prompt: WaitingPrompt, now: float) -> bool:
        """Return whether a prompt may look for an engine now.

        At its last chance it has to be sent or refused.
        """
        if not prompt.is_late(now) or now >= prompt.last_chance:
            return True
        return prompt is min(
            (other for other in self.waiting if other.is_late(now)),
            key=lambda other: (other.looks // LOOKS_PER_TURN, other.received_at),
        )

    def get_wait_s(self, now: float, received_at: float) -> float | None:
        """Return the time until a late prompt would be sent, None if that is unknown.

        It follows from the prompts that wait longer and the rate at which waiting
        prompts were sent lately.
        """
        while self._sent_at and now - self._sent_at[0] > RATE_WINDOW_S:
            self._sent_at.popleft()
        ahead = sum(other.received_at < received_at for other in self.waiting)
        began_at = min((other.joined_at for other in self.waiting), default=now)
        window_s = min(RATE_WINDOW_S, now - began_at)
        if window_s < MIN_RATE_S:
            return None
        return (ahead + 1) * window_s / max(1, len(self._sent_at))


def get_retry_after_s(patience_ms: float, draw: str) -> float:
    """Return the time after which a refused caller is to return.

    Callers that were refused together return apart: ``draw`` is hashed.
    """
    ratio = Random(draw).uniform(MIN_RETURN_RATIO, MAX_RETURN_RATIO)
    return ratio * patience_ms / 1000
