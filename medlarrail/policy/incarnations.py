"""Decides which incarnation of an endpoint answered on a connection.

Handles a rollout in which endpoints start again at their name and address, with other
software, before entries hear of it: these are suspended, or the announcement is slow.
A name, an address and the latest announcement then belong to different processes. Only
one process has an address at a time, and its connections end with it. So the one that
announced itself while a connection was open is at the other end of that connection.
"""

from collections.abc import Iterable

from attrs import frozen


@frozen
class HeardIncarnation:
    """An incarnation of an endpoint, and when its announcements were received.

    ``started_ms`` is the Unix time of its start, 0 if it does not tell. ``first_at`` is
    an upper limit of the time of the first announcement, and ``last_at`` a lower limit
    of that of the latest one, in seconds on the clock of the connection: where they are
    uncertain, nothing is found rather than another process.
    """

    started_ms: int
    software_version: str
    first_at: float
    last_at: float


def find_incarnation(
    heard: Iterable[HeardIncarnation], opened_at: float, closed_at: float
) -> HeardIncarnation | None:
    """Return the incarnation that was heard of while a connection was open.

    ``closed_at`` is a time at which the connection was open still. None if nothing
    tells which one it was, or if several announced themselves.

    >>> before = HeardIncarnation(1000, "v1", first_at=0.0, last_at=20.0)
    >>> after = HeardIncarnation(22000, "v2", first_at=22.5, last_at=30.0)
    >>> find_incarnation([before, after], 10.0, 21.0).software_version
    'v1'
    >>> find_incarnation([before, after], 22.1, 22.4) is None
    True
    """
    found = [
        one for one in heard if one.first_at <= closed_at and one.last_at >= opened_at
    ]
    return found[0] if len(found) == 1 else None
