"""How the end of an answer's body is determined.

A party that stores, passes on or acts upon an answer must not take the end of the
connection for more than it is: the sender may have broken off.
"""

from collections.abc import Iterable
from enum import StrEnum

STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Framing(StrEnum):
    """What shows where the body ends."""

    NONE = "none"
    """The message has no body."""
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    """Only the end of the connection."""

    @property
    def proves_end(self) -> bool:
        """Whether a body that ended early can be told from a complete one."""
        return self is not Framing.CLOSE


def get_framing(
    method: bytes, status: int, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Return the framing of the answer to a request with ``method`` (RFC 9112, 6.3).

    Example: ``get_framing(b"GET", 200, [(b"Content-Length", b"2")])`` returns
    ``Framing.LENGTH``.
    """
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NONE
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE
