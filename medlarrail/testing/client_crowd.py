"""Clients outside our control: each holds what it can of a server's memory.

A shape is an async function that uses one connection until it is cancelled or the
server closes it. Servers may refuse these clients or close their connections.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import trio
from attrs import define, field, frozen

from medlarrail.testing.scripted_endpoints import HOST

CLIENTS = 160
BODY_BYTES = 1_000_000
"""Size of a large body: legal, and all of them need more than the smallest VM has."""
ELEMENTS_BYTES = 7_900_000
"""Size of a body of many elements: below the limit of entries and state members."""
WITHHELD_BYTES = 10
"""Bytes by which an unfinished body stops short of its end."""
PIECE_BYTES = 16_384
CHUNK_BYTES = 4096
DRIP_S = 0.2
PIPELINED_REQUESTS = 1000
"""Requests that are written at once by a client that pipelines."""
SLOW_READ_BYTES = 512
READ_BYTES = 65536
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
Shape = Callable[[trio.SocketStream], Awaitable[None]]


def build_head(
    method: str, path: str, host: str, headers: dict[str, str] | None = None
) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@frozen
class Target:
    """What a crowd sends its requests to."""

    port: int
    method: str
    path: str
    host: str
    headers: dict[str, str] = field(factory=dict)
    body_bytes: int = BODY_BYTES

    def build_head(self, **headers: str) -> bytes:
        """Return the head of a request; ``_`` in header names becomes ``-``."""
        added = {name.replace("_", "-"): value for name, value in headers.items()}
        return build_head(self.method, self.path, self.host, self.headers | added)

    def build_body_head(self, **headers: str) -> bytes:
        """Return the head of a request with a large body of a stated length."""
        return self.build_head(Content_Length=str(self.body_bytes), **headers)


def stop_short(target: Target) -> Shape:
    """Return a client that sends a body at once, except for its end."""
    data = target.build_body_head() + b"x" * (target.body_bytes - WITHHELD_BYTES)

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(data)
        await trio.sleep_forever()

    return run


def stop_short_in_pieces(target: Target) -> Shape:
    """Return a client that sends a body piece by piece, except for its end."""
    piece = b"x" * PIECE_BYTES

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(target.build_body_head())
        for _ in range((target.body_bytes - WITHHELD_BYTES) // PIECE_BYTES):
            await stream.send_all(piece)
            await trio.sleep(0.01)
        await trio.sleep_forever()

    return run


def stop_short_in_chunks(target: Target, chunk_bytes: int = CHUNK_BYTES) -> Shape:
    """Return a client that sends a body in chunks, without the last one."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    head = target.build_head(Transfer_Encoding="chunked")
    chunks = chunk * (target.body_bytes // chunk_bytes)

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(head + chunks)
        await trio.sleep_forever()

    return run


def stop_short_in_small_chunks(target: Target) -> Shape:
    """Return a client that sends a body in chunks of one byte, without the last."""
    return stop_short_in_chunks(target, 1)


def _exchange(data: bytes) -> Shape:
    """Return a client that sends ``data`` and reads all that it is sent."""

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(data)
        while await stream.receive_some(READ_BYTES):
            pass

    return run


def send_many_elements(target: Target) -> Shape:
    """Return a client that sends one complete body of JSON with many small elements."""
    body = b"[" + b"{}," * ((ELEMENTS_BYTES - 4) // 3) + b"{}]"
    return _exchange(target.build_head(Content_Length=str(len(body))) + body)


def send_widest_text(target: Target) -> Shape:
    """Return a client that sends one complete body of JSON with one long string.

    Each of its characters needs four bytes once it is decoded.
    """
    wide = "\N{GRINNING FACE}".encode()
    body = b'["' + b"x" * (ELEMENTS_BYTES - 4 - len(wide)) + wide + b'"]'
    return _exchange(target.build_head(Content_Length=str(len(body))) + body)


def send_whole(target: Target) -> Shape:
    """Return a client that sends one complete body and reads the answer."""
    return _exchange(target.build_body_head() + b"x" * target.body_bytes)


def pipeline_unread(target: Target) -> Shape:
    """Return a client that sends requests without end and reads no answer."""
    data = target.build_head() * PIPELINED_REQUESTS

    async def run(stream: trio.SocketStream) -> None:
        while True:
            await stream.send_all(data)

    return run


def drip_head(target: Target) -> Shape:
    """Return a client that sends the head of a request byte by byte."""

    async def run(stream: trio.SocketStream) -> None:
        for byte in target.build_head(X_Long="x" * 1000):
            await stream.send_all(bytes([byte]))
            await trio.sleep(DRIP_S)

    return run


def read_slowly(target: Target) -> Shape:
    """Return a client that reads little of a long answer at a time."""

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(target.build_head())
        while await stream.receive_some(SLOW_READ_BYTES):
            await trio.sleep(DRIP_S)

    return run


def read_nothing(target: Target) -> Shape:
    """Return a client that sends one request and reads nothing of its answer."""

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(target.build_head())
        await trio.sleep_forever()

    return run


def read_all(target: Target) -> Shape:
    """Return a client that sends one request and reads what it is sent."""
    return _exchange(target.build_head())


def stay_idle(target: Target) -> Shape:
    """Return a client that keeps its connection after an answer, and reads no more."""

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(target.build_head())
        await stream.receive_some(READ_BYTES)
        await trio.sleep_forever()

    return run


def send_whole_to_older_version(target: Target) -> Shape:
    """Return a client of HTTP/1.0 that sends one body and keeps its connection."""
    head = target.build_body_head(Connection="keep-alive")
    data = head.replace(b"HTTP/1.1", b"HTTP/1.0", 1) + b"x" * target.body_bytes

    async def run(stream: trio.SocketStream) -> None:
        await stream.send_all(data)
        await trio.sleep_forever()

    return run


@define
class Crowd:
    """Clients of one shape; each connects again when it was refused."""

    port: int
    shape: Shape
    connected: int = 0
    """Connections made."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep all clients connected until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(self._run_client)
            task_status.started()

    async def _run_client(self) -> None:
        while True:
            with suppress(*CONNECTION_ERRORS):
                async with await trio.open_tcp_stream(HOST, self.port) as stream:
                    self.connected += 1
                    await self.shape(stream)
            await trio.sleep(0.1)


@frozen
class ProcessUsage:
    """Memory and open descriptors of a process, in bytes and as a number."""

    resident: int
    peak: int
    descriptors: int


def read_usage(process_id: int) -> ProcessUsage:
    """Return what a process uses now, and the peak of its memory."""
    folder = Path(f"/proc/{process_id}")
    values = {}
    for line in (folder / "status").read_text().splitlines():
        name, _, value = line.partition(":")
        values[name] = value.split()
    return ProcessUsage(
        resident=int(values["VmRSS"][0]) * 1024,
        peak=int(values["VmHWM"][0]) * 1024,
        descriptors=len(list((folder / "fd").iterdir())),
    )
