"""Log lines on standard output, bounded in number and never waited for.

A reader that takes nothing must not stop a daemon, and a burst of requests must
not turn into a burst of writing. What is left out is counted, and the count
stands in the next line that is written.
"""

import os
from collections.abc import Callable

import orjson
from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.metrics import get_metrics

LINES_PER_S = 150.0
"""Lines a second in the long run: one for each request of a busy gateway."""
LARGEST_BURST = 600
"""Lines that may be written at once after a quiet time."""
LARGEST_PENDING_BYTES = 262144
"""Bytes that wait for a slow reader before lines are left out."""


STANDARD_OUTPUT = 1


def write_some(descriptor: int, data: bytes) -> int:
    """Write without waiting; returns the bytes that were taken."""
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0


@define
class BoundedLog:
    """A destination for ``eliot`` that writes to ``descriptor``."""

    descriptor: int
    clock: Clock = get_boottime
    write: Callable[[int, bytes], int] = write_some
    _allowance: float = LARGEST_BURST
    _counted_at: float = field(init=False)
    _pending: bytes = b""
    _left_out: int = 0

    def __attrs_post_init__(self):
        self._counted_at = self.clock()

    def __call__(self, message: dict) -> None:
        """Write one message as a line of JSON, or count it as left out."""
        now = self.clock()
        earned = (now - self._counted_at) * LINES_PER_S
        self._allowance = min(LARGEST_BURST, self._allowance + earned)
        self._counted_at = now
        if self._allowance < 1 or len(self._pending) > LARGEST_PENDING_BYTES:
            self._left_out += 1
            get_metrics().count("log_lines_left_out")
            return
        self._allowance -= 1
        if self._left_out:
            message = {**message, "lines_left_out": self._left_out}
            self._left_out = 0
        self._pending += orjson.dumps(message, default=str) + b"\n"
        self.flush()

    def flush(self) -> None:
        """Hand over what waits, as far as the reader takes it."""
        while self._pending:
            taken = self.write(self.descriptor, self._pending)
            if not taken:
                return
            self._pending = self._pending[taken:]


def open_standard_output() -> BoundedLog:
    """Return the log on standard output, which is made not to block."""
    os.set_blocking(STANDARD_OUTPUT, False)
    return BoundedLog(STANDARD_OUTPUT)
