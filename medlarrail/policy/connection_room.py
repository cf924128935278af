"""Decides which connections a server keeps open, and which serve a single request.

Load pattern: endpoints and gateways by the thousand connect to a state member, as after
an election, and all of its connections are in use or were just made. An operator or a
peer that calls now needs an answer as much as they do, and can't be told from them
before its request has been read. Connections beyond the limit therefore serve one short
request each.
"""

from enum import Enum

RESERVED_CONNECTIONS = 128
"""Connections beyond the limit: a call takes milliseconds, so that they serve thousands
of calls a second."""
SINGLE_REQUEST_S = 1.0
"""Time within which the request on such a connection has to arrive."""


class Admission(Enum):
    """What a new connection may do."""

    KEPT = "kept"
    SINGLE = "single"
    """It is closed after one request."""
    REFUSED = "refused"


def choose_admission(open_count: int, limit: int, has_memory: bool) -> Admission:
    """Return what a new connection may do beside ``open_count`` others.

    None of them is idle for long enough to be closed in its place.

    >>> choose_admission(3399, 3400, True).value
    'kept'
    >>> choose_admission(3400, 3400, True).value
    'single'
    >>> choose_admission(3528, 3400, True).value
    'refused'
    """
    if not has_memory or open_count >= limit + RESERVED_CONNECTIONS:
        return Admission.REFUSED
    return Admission.KEPT if open_count < limit else Admission.SINGLE
