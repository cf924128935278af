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
MAX_BATCH_ORIGINS = 40
"""Maximum origins in one datagram, about 4 KB."""


@frozen
class StreamOrigin:
    """The service and software version that began the stream with this key."""

    stream: str
    service: str
    software_version: str


@frozen
class StreamOrigins:
    """Origins of streams that an entry tells a state member."""

    origins: tuple[StreamOrigin, ...]


@frozen
class OriginQuery:
    """Asks for the origin of a stream; the reply goes to ``reply_to``."""

    number: int
    reply_to: str
    stream: str


@frozen
class OriginReply:
    """The answer to the query of this number; None for an unknown stream."""

    number: int
    origin: StreamOrigin | None = None


def get_stream_key(request_id: str) -> str:
    """Return the key of the stream whose first event this request brought.

    >>> len(get_stream_key("r1"))
    16
    """
    return f"{get_weight(request_id, 'stream'):016x}"
