"""Hop-by-hop headers, and detection of ambiguous message framing."""

from collections.abc import Iterator
from enum import StrEnum

from medlarrail.core.errors import MalformedRequest
from medlarrail.relay.metadata import Header

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that are never forwarded; Content-Length is generated anew."""
ALWAYS_FORWARDED = frozenset((b"host",))
"""Headers that every request needs, so a Connection header cannot strip them."""


STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Framing(StrEnum):
    """How the end of a message's body is determined."""

    NONE = "none"
    """The message has no body."""
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    """By the end of the connection, which does not prove that the body is complete."""

    @property
    def proves_end(self) -> bool:
        """Whether a body that ended early can be told from a complete one."""
        return self is not Framing.CLOSE


def get_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)


def get_framing(method: bytes, status: int, headers: tuple[Header, ...]) -> Framing:
    """Return the framing of the answer to a request with ``method`` (RFC 9112, 6.3)."""
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NONE
    if get_header(headers, b"transfer-encoding") is not None:
        return Framing.CHUNKED
    if get_header(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CLOSE


def iterate_end_to_end(headers: tuple[Header, ...]) -> Iterator[Header]:
    """Yield the end-to-end headers."""
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    } - ALWAYS_FORWARDED
    for name, value in headers:
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS and lowered not in connection_options:
            yield name, value


def check_framing(headers: tuple[Header, ...]) -> None:
    """Raise ``MalformedRequest`` for ambiguous framing or not exactly one Host header.

    Two parsers could disagree on where a request with ambiguous framing ends, and
    treat the remainder as another request (request smuggling).
    """
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    codings = [value for name, value in headers if name.lower() == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise MalformedRequest(
            problem="more than one Content-Length or Transfer-Encoding"
        )
    hosts = [value for name, value in headers if name.lower() == b"host"]
    if len(hosts) != 1:
        raise MalformedRequest(problem=f"{len(hosts)} Host headers instead of one")
