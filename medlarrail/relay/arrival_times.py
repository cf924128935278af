"""When the bytes of an answer arrived, and when its endpoint was last seen to run.

Endpoints that answer without a length or chunks end an answer by closing the
connection, and the kernel of an endpoint that crashed closes it, too. How long the end
may have waited tells which evidence about the process still counts.
"""

from attrs import define

from medlarrail.policy.answer_end import MAX_END_DELAY_S

RELEASE_S = 0.2
"""Time within which a link passes on what it held back, in several parts."""


@define(eq=False)
class ArrivalTimes:
    """Times of the latest answer on one connection, in seconds of its clock.

    ``record_quiet`` comes before ``record_bytes`` or ``record_end`` if nothing had
    waited when the reading began.
    """

    seen_open_at: float = 0.0
    """Latest time at which nothing waited to be received, not even an end. A link may
    have held something back."""
    end_delay_s: float = 0.0
    """Upper limit of the time for which the end waited here or was held back by a
    link, together with the bytes before it."""
    end_unread_s: float = 0.0
    """Upper limit of the time for which the end waited here."""
    end_silence_s: float = 0.0
    """Upper limit of the time between the latest bytes and the end."""
    _arrived_at: float = 0.0
    """Time before which the latest bytes had not arrived here."""
    _seen_running_at: float = 0.0
    """Latest time after which bytes arrived that no link had held back."""
    _release_ends_at: float = 0.0
    """Up to when bytes may be those that a link had held back."""

    def begin(self, now: float) -> None:
        """Start anew as a request is sent."""
        self.seen_open_at = self._arrived_at = self._seen_running_at = now
        self._release_ends_at = self.end_delay_s = 0.0

    def record_quiet(self, time_s: float) -> None:
        """Record that nothing waited to be received up to a time."""
        self.seen_open_at = time_s

    def record_bytes(self, now: float) -> None:
        """Record when the peer was last seen to run, after bytes were received.

        That nothing waited here shows when the bytes arrived, and not when they were
        sent: a link may have held them back for as long as nothing had arrived, and
        passes on what it held in several parts.
        """
        silence_s = now - self._arrived_at
        self._arrived_at = self.seen_open_at
        if silence_s > MAX_END_DELAY_S:
            self._release_ends_at = now + RELEASE_S
        elif now >= self._release_ends_at:
            self._seen_running_at = self._arrived_at

    def record_end(self, now: float) -> None:
        """Record that the end was received."""
        self.end_delay_s = now - self._seen_running_at
        self.end_unread_s = now - self.seen_open_at
        self.end_silence_s = now - self._arrived_at
