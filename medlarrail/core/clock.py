"""Clocks that leases are measured on.

A lease has to run on while its VM is suspended, so programs read the boot-time
clock. Tests read trio's clock, which a ``MockClock`` drives.
"""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds since a fixed but arbitrary moment."""


def get_boottime() -> float:
    """Return seconds since boot, counting time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def get_wall_time() -> float:
    """Return seconds since the Unix epoch, for records that people read."""
    return time.time()


PROCESS_STARTED_AT = get_boottime()
"""When this process began, as early as the project's code can tell."""
