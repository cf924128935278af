"""Authenticated datagrams between the processes of one deployment.

They carry updates whose loss is repaired by the next message. Each has an
HMAC, which proves that the sender has the deployment's key. It neither hides the
content nor prevents replay, so receivers have to check the age of the content.
"""

import hmac
import socket
import sys
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import TypeVar

import trio
from attrs import define, field

from medlarrail.core.codec import decode
from medlarrail.core.errors import CallerError
from medlarrail.core.metrics import get_metrics

T = TypeVar("T")
MAC_BYTES = 16
"""Length of the MAC: half of an HMAC-SHA-256, enough for short-lived content."""
MAX_DATAGRAM_BYTES = 8192
"""Longest datagram that is received."""
MAX_KEYS = 8
"""Keys whose MACs are remembered as begun; a process uses one."""
MAX_BATCH = 32
"""Datagrams received in one turn of the event loop."""
SO_RXQ_OVFL = 40
"""Linux's option for a socket to tell how many datagrams did not fit in it."""
ANCILLARY_BYTES = 64
"""Space for that number."""


def sign_datagram(key: str, body: bytes) -> bytes:
    """Return ``body`` prefixed with its MAC."""
    mac = _begin_mac(key).copy()
    mac.update(body)
    return mac.digest()[:MAC_BYTES] + body


@lru_cache(maxsize=MAX_KEYS)
def _begin_mac(key: str) -> hmac.HMAC:
    """Return the state of a MAC before the first byte; it must not be updated."""
    return hmac.new(key.encode(), digestmod="sha256")


def verify_datagram(key: str, data: bytes) -> bytes | None:
    """Return the body of a signed datagram, or None if its MAC is invalid.

    >>> verify_datagram("k", sign_datagram("k", b"news"))
    b'news'
    """
    body = data[MAC_BYTES:]
    return body if hmac.compare_digest(sign_datagram(key, body), data) else None


def decode_datagram(body: bytes, kind: type[T], counter: str) -> T | None:
    """Return the message in a datagram, or None for an unreadable one.

    ``counter`` counts unreadable ones by their type: nobody waits for an error.
    """
    try:
        return decode(body, kind)
    except CallerError as error:
        get_metrics().count(counter, type=type(error).__name__)
        return None


@define(eq=False)
class DatagramSocket:
    """Sends and receives signed datagrams at ``address``, a ``host:port``."""

    address: str
    key: str
    dropped: int = field(default=0, init=False)
    """Datagrams that did not fit in the socket, up to the latest one received."""
    _socket: socket.socket = field(init=False)

    async def open(self) -> None:
        """Bind the address; raises ``OSError`` if it is in use."""
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, SO_RXQ_OVFL, 1)
        self._socket.bind(_split_address(self.address))

    def get_port(self) -> int:
        """Return the bound port."""
        return self._socket.getsockname()[1]

    def send(self, addresses: Iterable[str], body: bytes) -> None:
        """Send the same datagram to each address, without waiting.

        Failures are counted, as losses would go unnoticed; a full send buffer is one.
        """
        data = sign_datagram(self.key, body)
        for address in addresses:
            try:
                self._socket.sendto(data, _split_address(address))
            except OSError as error:
                get_metrics().count("datagrams_unsent", reason=type(error).__name__)

    async def receive(self) -> list[bytes]:
        """Return the bodies of the datagrams that have arrived, at least one.

        Those without a valid MAC are dropped.
        """
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            if bodies := list(self._iterate_arrived()):
                return bodies

    def has_arrived(self) -> bool:
        """Return whether a datagram waits to be received."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # The kernel's report on an earlier datagram, which was removed by this.
            return True
        return True

    def _iterate_arrived(self) -> Iterator[bytes]:
        for _ in range(MAX_BATCH):
            try:
                data, ancillary, *_ = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, ANCILLARY_BYTES
                )
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports that an earlier datagram reached a closed port.
                get_metrics().count("datagrams_failed", reason=type(error).__name__)
                continue
            for _, kind, value in ancillary:
                if kind == SO_RXQ_OVFL:
                    self.dropped = int.from_bytes(value, sys.byteorder)
            body = verify_datagram(self.key, data)
            if body is None:
                get_metrics().count("datagrams_unsealed")
            else:
                yield body

    def close(self) -> None:
        """Close the socket; ``receive`` raises ``trio.ClosedResourceError``."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
