"""Finds out for how long one process is known to have had an endpoint's address.

Handles endpoints that start again at their address before anybody hears of it. An
answer shows that the process at the other end of a connection ran from the opening of
the connection to the sending of the request. Only one process has an address at a
time, so if two such times overlap, they are of the same process. The longer the time,
the more likely it is that the process announced itself within it.
"""

from attrs import frozen

MAX_SPANS = 8
"""Spans that are remembered of one address."""


@frozen
class ProcessSpan:
    """A time in which one process ran, from ``since`` to ``until``, in seconds.

    ``started_ms`` is the Unix time of its start, 0 if it has not told that.
    """

    since: float
    until: float
    started_ms: int = 0

    def overlaps(self, other: "ProcessSpan") -> bool:
        """Return whether both share a moment, so that they are of one process."""
        return self.since <= other.until and other.since <= self.until

    def join(self, other: "ProcessSpan") -> "ProcessSpan":
        """Return the time from the begin of the earlier to the end of the later one."""
        return ProcessSpan(
            min(self.since, other.since),
            max(self.until, other.until),
            self.started_ms or other.started_ms,
        )


def add_span(
    spans: tuple[ProcessSpan, ...], span: ProcessSpan
) -> tuple[ProcessSpan, ...]:
    """Return the latest spans at an address, none of which overlap, with a further one.

    They are in the order of time. Answers come in any order, so the new one need not be
    the last.

    >>> spans = add_span((), ProcessSpan(0.0, 5.0, started_ms=1796617508282))
    >>> add_span(spans, ProcessSpan(4.0, 9.0))
    (ProcessSpan(since=0.0, until=9.0, started_ms=1796617508282),)
    """
    apart = []
    for other in spans:
        if span.overlaps(other):
            span = span.join(other)
        else:
            apart.append(other)
    return tuple(sorted([*apart, span], key=lambda one: one.until)[-MAX_SPANS:])


def find_span(spans: tuple[ProcessSpan, ...], span: ProcessSpan) -> ProcessSpan:
    """Return the known time of the process that ran in ``span``."""
    return next((one for one in spans if one.overlaps(span)), span)
