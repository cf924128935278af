"""Hop-by-hop headers, and detection of ambiguous message framing."""

from collections.abc import Iterator

from medlarrail.core.errors import MalformedRequest
from medlarrail.relay.metadata import Header

FORWARDED_BY = b"medlarrail-forwarded-by"
"""Header of a forwarded request: the name of the entry and its signature."""
OWN_ANSWER = b"medlarrail-own-answer"
"""Header of an answer to a forwarded request that no endpoint gave: the reason."""
END_CHECKED = b"medlarrail-end-checked"
"""Header of an answer to a forwarded request whose end the endpoint's framing does not
prove: the carrying entry sends the end only after a check."""
HOP_BY_HOP_HEADERS = frozenset(
    (
        FORWARDED_BY,
        OWN_ANSWER,
        END_CHECKED,
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


def get_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)


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
