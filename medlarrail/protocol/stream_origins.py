"""Datagrams about the software version at which streams began.

What endpoints of two software versions write does not fit together. Entries tell the
state members which version began a stream, and ask them when a caller goes on with one
that another entry served.
"""

from attrs import frozen

from medlarrail.core.placement import get_weight

RECORD_PREFIX = b"O"
QUERY_PREFIX = b"P"
REPLY_PREFIX = b"S"
MAX_CANDIDATES = 8
"""Maximum streams with one content among which that of a caller is looked for."""


@frozen
class StreamOrigin:
    """The service and software version that began the stream with this key.

    Unless ``proven``, the version is the one that was announced of ``endpoint``, whose
    process may have been another one. The connection on which it sent the first event
    tells which. Programs that do not know of it leave the endpoint empty.
    """

    stream: str
    service: str
    software_version: str
    endpoint: str = ""
    opened_ago_s: float = 0.0
    """Seconds since the connection was opened, when this was sent. It may have been
    earlier, by the time that messages took."""
    open_for_s: float = 0.0
    """Lower limit of the seconds for which it was open after that; below 0 if it may
    have been opened earlier."""
    proven: bool = False
    content: str = ""
    """Key of what the request asks for, the same if a caller sends it again; empty from
    programs that do not tell it."""

    def contradicts(self, other: "StreamOrigin") -> bool:
        """Return whether another origin of the same stream cannot be true, too."""
        mine = (self.service, self.software_version)
        return mine != (other.service, other.software_version)


@frozen
class StreamOrigins:
    """Origins of streams that an entry tells a state member.

    Entries of the version before send up to 25 in one datagram, 4.5 KB.
    """

    origins: tuple[StreamOrigin, ...]


@frozen
class OriginQuery:
    """Asks for the origin of a stream; the reply goes to ``reply_to``.

    With ``content`` it asks for those of all streams of the same request instead.
    """

    number: int
    reply_to: str
    stream: str
    content: str = ""


@frozen
class OriginReply:
    """The answer to the query of this number; None for an unknown stream."""

    number: int
    origin: StreamOrigin | None = None
    kept_for_s: float | None = None
    """Seconds for which the member has kept all origins that it was told, None from one
    that does not tell."""
    candidates: tuple[StreamOrigin, ...] | None = None
    """Origins of streams with the content that was asked for, one more than
    ``MAX_CANDIDATES`` if there are more. None from one that keeps no contents."""


def get_stream_key(request_id: str) -> str:
    """Return the key of the stream whose first event this request brought.

    >>> len(get_stream_key("r1"))
    16
    """
    return f"{get_weight(request_id, 'stream'):016x}"
