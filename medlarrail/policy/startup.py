"""Decides how long requests wait for an entry that has just started.

Load pattern: all machines come back from a loss of power at the same moment, and their
callers with them. A leader is elected, and endpoints announce themselves, within a
second or so. A caller that is refused comes back after that time and may have no try
left; one that waits is served as soon as possible.
"""

START_S = 3.0
"""Age of the process up to which what it lacks is expected soon."""
MAX_HOLD_S = 1.0
MAX_HOLD_RATIO = 0.4
"""Part of the time left to a request for which it waits: the rest is for serving it, or
for another try of its caller."""
MAX_HELD = 200
"""Requests that wait at the same time."""


def get_hold_s(age_s: float, left_s: float, held: int) -> float:
    """Return the time for which a request waits, 0 if it is refused at once.

    ``age_s`` is the age of the process, ``left_s`` the time left to the request, and
    ``held`` the number of requests that wait already.

    >>> get_hold_s(age_s=0.5, left_s=1.5, held=10)
    0.6
    >>> get_hold_s(age_s=60.0, left_s=1.5, held=0)
    0.0
    """
    if held >= MAX_HELD:
        return 0.0
    return round(max(0.0, min(MAX_HOLD_S, MAX_HOLD_RATIO * left_s, START_S - age_s)), 3)
