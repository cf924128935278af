"""Decides which incarnation of an endpoint answered on a connection.

Handles a rollout in which endpoints start again at their name and address, with other
software, before entries hear of it: these are suspended, or the announcement is slow.
A name, an address and the latest announcement then belong to different processes. Only
one process has an address at a time, and its connections end with it. So the one that
announced itself while a connection was open is at the other end of that connection.
"""

from collections.abc import Iterable

from attrs import frozen

MAX_CLOCK_STEP_MS = 5000
"""Time by which the clock of a VM may be set back between two starts."""


@frozen
class HeardIncarnation:
    """An incarnation of an endpoint, and when its announcements were received.

    ``started_ms`` is the Unix time of its start, 0 if it does not tell. ``first_at`` is
    an upper limit of the time of the first announcement, and ``last_at`` a lower limit
    of that of the latest one, in seconds on the clock of the connection: where they are
    uncertain, nothing is found rather than another process. ``address`` is where it
    serves, empty if that is not told.
    """

    started_ms: int
    software_version: str
    first_at: float
    last_at: float
    address: str = ""


def list_possible(
    heard: Iterable[HeardIncarnation],
    opened_at: float,
    closed_at: float,
    address: str = "",
) -> list[HeardIncarnation]:
    """Return the incarnations that were heard of while a connection was open.

    The arguments are those of ``find_incarnation``.
    """
    return [
        one
        for one in heard
        if one.first_at <= closed_at
        and one.last_at >= opened_at
        and (not address or one.address in ("", address))
    ]


def find_incarnation(
    heard: Iterable[HeardIncarnation],
    opened_at: float,
    closed_at: float,
    address: str = "",
) -> HeardIncarnation | None:
    """Return the incarnation that was heard of while a connection was open.

    ``closed_at`` is a time at which the connection was open still, and ``address`` that
    of its other end, empty if it is not known. None if nothing tells which one it was.

    Of several at this address, the others have ended before the one of the connection
    started: they were heard of before it closed, and two do not run at a time. So it is
    the one with the latest start, if a step of the clock cannot have put it there.

    >>> before = HeardIncarnation(1000, "v1", first_at=0.0, last_at=20.0)
    >>> after = HeardIncarnation(22000, "v2", first_at=22.5, last_at=30.0)
    >>> find_incarnation([before, after], 10.0, 21.0).software_version
    'v1'
    >>> find_incarnation([before, after], 22.1, 22.4) is None
    True
    """
    found = list_possible(heard, opened_at, closed_at, address)
    if len(found) <= 1:
        return found[0] if found else None
    if not address or not all(one.address and one.started_ms for one in found):
        return None
    *_, previous, latest = sorted(found, key=lambda one: one.started_ms)
    is_later = latest.started_ms - previous.started_ms > MAX_CLOCK_STEP_MS
    return latest if is_later else None
