"""Rate-limited, non-blocking log lines on standard output.

A stalled reader must not block a daemon, and a burst of requests must not become
a burst of writes. Dropped lines are counted, and the count is added to the next
line that is written.
"""

import os
from collections.abc import Callable

import orjson
from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.metrics import get_metrics

SUSTAINED_LINES_PER_S = 150.0
"""Sustained rate of lines: one for each request of a busy gateway."""
MAX_BURST_LINES = 600
"""Lines that may be written at once after an idle period."""
MAX_PENDING_BYTES = 262144
"""Bytes buffered for a slow reader before lines are dropped."""
STANDARD_OUTPUT = 1


def write_nonblocking(descriptor: int, data: bytes) -> int:
    """Write without blocking; return the number of bytes written."""
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0


@define
class BoundedLog:
    """An ``eliot`` destination that writes to ``descriptor`` under a token bucket."""

    descriptor: int
    clock: Clock = get_boottime
    write: Callable[[int, bytes], int] = write_nonblocking
    _tokens: float = MAX_BURST_LINES
    _refilled_at: float = field(init=False)
    _pending: bytes = b""
    _dropped_lines: int = 0

    def __attrs_post_init__(self):
        self._refilled_at = self.clock()

    def __call__(self, message: dict) -> None:
        """Write one message as a line of JSON, or count it as dropped."""
        now = self.clock()
        new_tokens = (now - self._refilled_at) * SUSTAINED_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped_lines += 1
            get_metrics().count("log_lines_left_out")
            return
        self._tokens -= 1
        if self._dropped_lines:
            message = {**message, "lines_left_out": self._dropped_lines}
            self._dropped_lines = 0
        self._pending += orjson.dumps(message, default=str) + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write the pending bytes until the reader accepts no more."""
        while self._pending:
            written = self.write(self.descriptor, self._pending)
            if not written:
                return
            self._pending = self._pending[written:]


def open_standard_output() -> BoundedLog:
    """Return a log on standard output, which becomes non-blocking."""
    os.set_blocking(STANDARD_OUTPUT, False)
    return BoundedLog(STANDARD_OUTPUT)
