"""Authenticated datagrams between the processes of one deployment.

They carry updates whose loss is repaired by the next message. The seal is an HMAC
that proves that the sender has the deployment's key. It neither encrypts the content
nor prevents replay, so receivers have to check the age of the content.
"""

import hmac

import trio
from attrs import define, field

from medlarrail.core.metrics import get_metrics

SEAL_BYTES = 16
"""Length of the seal: half of an HMAC-SHA-256, enough for short-lived content."""
MAX_DATAGRAM_BYTES = 8192
"""Longest datagram that is received."""


def seal(key: str, body: bytes) -> bytes:
    """Return ``body`` prefixed with its seal."""
    return hmac.digest(key.encode(), body, "sha256")[:SEAL_BYTES] + body


def open_sealed(key: str, data: bytes) -> bytes | None:
    """Return the body of a sealed datagram, or None if the seal is invalid.

    >>> open_sealed("k", seal("k", b"news"))
    b'news'
    """
    body = data[SEAL_BYTES:]
    return body if hmac.compare_digest(seal(key, body), data) else None


@define(eq=False)
class DatagramPort:
    """Sends and receives sealed datagrams at ``address``, a ``host:port``."""

    address: str
    key: str
    _socket: trio.socket.SocketType = field(init=False)

    async def open(self) -> None:
        """Bind the address; raises ``OSError`` if it is in use."""
        host, _, port = self.address.rpartition(":")
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((host, int(port)))

    def get_port(self) -> int:
        """Return the bound port."""
        return self._socket.getsockname()[1]

    async def send(self, address: str, body: bytes) -> None:
        """Send to one address; a failure is counted but not raised, like a loss."""
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(seal(self.key, body), (host, int(port)))
        except OSError as error:
            get_metrics().count("datagrams_unsent", reason=type(error).__name__)

    async def receive(self) -> bytes:
        """Return the body of the next datagram with a valid seal."""
        while True:
            try:
                data = await self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The kernel reports that an earlier datagram reached a closed port.
                get_metrics().count("datagrams_failed", reason=type(error).__name__)
                continue
            body = open_sealed(self.key, data)
            if body is not None:
                return body
            get_metrics().count("datagrams_unsealed")

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
