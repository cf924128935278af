"""Clocks for measuring leases.

A lease has to expire even while its VM is suspended, so programs read the
boot-time clock. Tests read trio's clock, which may be a ``MockClock``.
"""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds since a fixed but arbitrary point in time."""


def get_boottime() -> float:
    """Return seconds since boot, counting time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def get_wall_time() -> float:
    """Return seconds since the Unix epoch, for human-readable records."""
    return time.time()


PROCESS_STARTED_AT = get_boottime()
"""Approximate start time of this process: when this module was imported."""
