"""Reads and writes HTTP messages as the platform's callers and endpoints do.

Independent of the product's own reading of messages, which the soak checks.
"""

from collections.abc import AsyncIterator, Mapping

import orjson
import trio
from attrs import define, field, frozen

READ_BYTES = 65536
CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
NO_LINKS: Mapping[str, str] = {}


class EndedEarly(Exception):
    """The connection was closed in the regular way inside a message."""


@frozen
class Head:
    """First line and headers of a message; header names in lower case."""

    first_line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def framing(self) -> str:
        """What ends the body: ``chunks``, ``length`` or ``close``."""
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            return "chunks"
        return "length" if "content-length" in self.headers else "close"


@define
class MessageReader:
    """Reads messages from one connection.

    Raises ``EndedEarly`` after a regular close inside a message, and trio's
    ``BrokenResourceError`` after a reset.
    """

    stream: trio.SocketStream
    read_bytes: int = READ_BYTES
    pause_s: float = 0.0
    """Pause before each read: a slow reader."""
    _buffer: bytearray = field(factory=bytearray)

    async def _receive(self) -> None:
        if self.pause_s:
            await trio.sleep(self.pause_s)
        part = await self.stream.receive_some(self.read_bytes)
        if not part:
            raise EndedEarly
        self._buffer += part

    async def _read_until(self, mark: bytes) -> bytes:
        while (end := self._buffer.find(mark)) < 0:
            await self._receive()
        data = bytes(self._buffer[:end])
        del self._buffer[: end + len(mark)]
        return data

    async def _take(self, size: int) -> bytes:
        """Return up to ``size`` bytes, at least one."""
        if not self._buffer:
            await self._receive()
        data = bytes(self._buffer[:size])
        del self._buffer[: len(data)]
        return data

    async def read_head(self) -> Head:
        """Return the next head."""
        lines = (await self._read_until(b"\r\n\r\n")).decode("latin1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        return Head(lines[0], {name.lower(): value.strip() for name, _, value in pairs})

    async def iterate_body(self, head: Head) -> AsyncIterator[bytes]:
        """Yield the body of a message as it arrives."""
        if head.framing == "chunks":
            while size := int(await self._read_until(b"\r\n"), 16):
                while size:
                    part = await self._take(size)
                    size -= len(part)
                    yield part
                await self._read_until(b"\r\n")
            await self._read_until(b"\r\n")
        elif head.framing == "length":
            size = int(head.headers["content-length"])
            while size:
                part = await self._take(size)
                size -= len(part)
                yield part
        elif head.first_line.startswith("HTTP/"):
            while True:
                try:
                    yield await self._take(self.read_bytes)
                except EndedEarly:
                    return

    async def read_body(self, head: Head) -> bytes:
        """Return the whole body of a message."""
        return b"".join([part async for part in self.iterate_body(head)])


def build_head(first_line: str, headers: dict[str, object]) -> bytes:
    """Return the bytes of a head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def fetch(
    method: str, url: str, body: object = None
) -> tuple[Head, bytes] | None:
    """Make one control call; return the answer, None without one in time."""
    data = b"" if body is None else orjson.dumps(body)
    address, _, path = url.removeprefix("http://").partition("/")
    host, _, port = address.partition(":")
    headers = {
        "Host": address,
        "Connection": "close",
        "Content-Type": "application/json",
        "Content-Length": len(data),
    }
    try:
        with trio.move_on_after(CALL_TIMEOUT_S):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(
                    build_head(f"{method} /{path} HTTP/1.1", headers) + data
                )
                reader = MessageReader(stream)
                head = await reader.read_head()
                return head, await reader.read_body(head)
    except (OSError, EndedEarly, trio.BrokenResourceError):
        pass
    return None


def reroute(url: str, links: Mapping[str, str]) -> str:
    """Return the URL by way of the link to its host, if there is one.

    >>> reroute("http://a:1/config", {"http://a:1": "http://b:2"})
    'http://b:2/config'
    """
    scheme, _, rest = url.partition("://")
    address, slash, path = rest.partition("/")
    base = f"{scheme}://{address}"
    return links.get(base, base) + slash + path


async def call(
    method: str, url: str, body: object = None, links: Mapping[str, str] = NO_LINKS
) -> Head | None:
    """Make one control call; return the head of the answer, None without one in time.

    Redirects are followed. ``links`` has the URL at which each host is reached, if it
    is not its own.
    """
    for _ in range(1 + MAX_REDIRECTS):
        answer = await fetch(method, reroute(url, links), body)
        if answer is None:
            return None
        head, _ = answer
        if head.status != 307:
            return head
        url = head.headers["location"]
    return None


async def call_any(
    method: str,
    urls: list[str],
    path: str,
    body: object = None,
    links: Mapping[str, str] = NO_LINKS,
) -> bool:
    """Make a control call at one member after the other until one acknowledges it."""
    for url in urls:
        head = await call(method, url + path, body, links)
        if head is not None and head.status < 300:
            return True
    return False
