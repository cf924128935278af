"""Serves routes over HTTP with hypercorn, within bounds.

The server bounds the body's size and the time in which it has to arrive, and
the number of requests served at once. ``drain`` lets every running request end
before the listener closes.
"""

import socket
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from urllib.parse import parse_qsl, unquote

import eliot
import trio
from attrs import define, evolve, field, frozen
from hypercorn.config import Config
from hypercorn.trio import serve

from medlarrail.core.errors import (
    InvariantViolation,
    MedlarError,
    OverLongBody,
    SlowSender,
    TooManyConnections,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.transport.routes import (
    EventStream,
    Reply,
    Request,
    Routes,
    format_error,
)
from medlarrail.transport.sockets import bind_listener, bound_silence

KEEP_ALIVE_S = 75.0
"""Longer than any client of ours keeps an idle connection."""
LARGEST_HEADER_BYTES = 16 * 1024
HEARTBEAT_COMMENT = b": heartbeat\n\n"
SILENCE_LIMIT_MS = 20_000
"""Time in which the other end has to take what was sent to it."""
KEEP_ALIVE_IDLE_S = 20
KEEP_ALIVE_INTERVAL_S = 5
KEEP_ALIVE_PROBES = 3
STREAM_HEARTBEAT_S = 5.0
"""Silence after which a stream carries a comment."""


@frozen
class ServerLimits:
    """Bounds of a server: sizes in bytes, times in seconds."""

    body_bytes: int = 8_000_000
    body_timeout_s: float = 10.0
    max_requests: int = 1000
    drain_limit_s: float = 600.0


@define
class HttpServer:
    """An ASGI application over ``routes``."""

    routes: Routes
    limits: ServerLimits = field(factory=ServerLimits)
    active: int = 0
    _idle: trio.Event = field(factory=trio.Event)
    _stop: trio.Event = field(factory=trio.Event)

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(self, scope, receive, send) -> None:
        self.active += 1
        try:
            answer = await self._answer(scope, receive)
            await _send_answer(answer, receive, send)
        finally:
            self.active -= 1
            if self.active == 0:
                self._idle.set()
                self._idle = trio.Event()

    async def _answer(self, scope, receive) -> Reply | EventStream:
        request = _build_request(scope, b"")
        try:
            if self.active > self.limits.max_requests:
                raise TooManyConnections(limit=self.limits.max_requests)
            body = await _read_body(receive, self.limits)
            return await self.routes.answer(evolve(request, body=body))
        except MedlarError as error:
            return format_error(error, request.headers)
        except Exception as error:
            return _format_defect(error)

    async def wait_idle(self) -> None:
        """Return once no request is being served."""
        while self.active:
            await self._idle.wait()

    def stop(self) -> None:
        """Close the listener; running requests may end first."""
        self._stop.set()

    async def run(
        self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on ``host:port`` until ``stop``; reports the bound port."""
        listener = _bind(host, port)
        bound_port = listener.getsockname()[1]
        config = _build_config(listener, self.limits)
        task_status.started(bound_port)
        await serve(self, config, shutdown_trigger=self._stop.wait)


def _format_defect(error: Exception) -> Reply:
    """Return the answer for an exception that no part of the program foresaw."""
    get_metrics().count("defects", type=type(error).__name__)
    eliot.write_traceback()
    detail = f"{type(error).__name__}: {error}"
    return format_error(InvariantViolation(invariant="no-defect", detail=detail))


def _bind(host: str, port: int) -> socket.socket:
    """Return a listener whose connections the kernel ends when they go silent.

    The server's library shields its writes from cancellation, so a write to a
    caller that takes nothing can be ended by the kernel alone.
    """
    listener = bind_listener(host, port)
    bound_silence(
        listener,
        SILENCE_LIMIT_MS,
        KEEP_ALIVE_IDLE_S,
        KEEP_ALIVE_INTERVAL_S,
        KEEP_ALIVE_PROBES,
    )
    return listener


def _build_config(listener: socket.socket, limits: ServerLimits) -> Config:
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = limits.drain_limit_s
    config.h11_max_incomplete_size = LARGEST_HEADER_BYTES
    config.include_server_header = False
    return config


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


async def _read_body(receive, limits: ServerLimits) -> bytes:
    parts: list[bytes] = []
    size = 0
    with trio.move_on_after(limits.body_timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                break
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > limits.body_bytes:
                raise OverLongBody(limit_bytes=limits.body_bytes)
            if not message.get("more_body", False):
                return b"".join(parts)
    raise SlowSender(limit_s=limits.body_timeout_s)


def _build_request(scope, body: bytes) -> Request:
    return Request(
        method=scope["method"],
        path=unquote(scope["path"]),
        headers={k.decode("latin1"): v.decode("latin1") for k, v in scope["headers"]},
        query=dict(parse_qsl(scope["query_string"].decode("latin1"))),
        body=body,
    )


async def _send_answer(answer: Reply | EventStream, receive, send) -> None:
    if isinstance(answer, EventStream):
        await _send_stream(answer, receive, send)
        return
    headers = {
        "content-type": answer.content_type,
        "content-length": str(len(answer.body)),
        **answer.headers,
    }
    await send(_build_start(answer.status, headers))
    await send({"type": "http.response.body", "body": answer.body})


def _build_start(status: int, headers: dict[str, str]) -> dict:
    pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
    return {"type": "http.response.start", "status": status, "headers": pairs}


async def _send_stream(answer: EventStream, receive, send) -> None:
    """Send the chunks; a caller that goes away cancels the one who makes them.

    While there is nothing to send, a comment tells the caller that the
    connection lives.
    """
    headers = {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        **answer.headers,
    }
    sender = _StreamSender(send)
    await send(_build_start(200, headers))
    async with aclosing(answer.chunks), trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        nursery.start_soon(sender.send_heartbeats)
        async for chunk in answer.chunks:
            await sender.send_part(chunk)
        await sender.send_end()
        nursery.cancel_scope.cancel()


@define
class _StreamSender:
    """Sends parts of one stream, and heartbeats between them."""

    send: Callable[[dict], Awaitable[None]]
    sent_at: float = field(factory=trio.current_time)
    _lock: trio.Lock = field(factory=trio.Lock)

    async def send_part(self, part: bytes) -> None:
        async with self._lock:
            self.sent_at = trio.current_time()
            await self.send(
                {"type": "http.response.body", "body": part, "more_body": True}
            )

    async def send_end(self) -> None:
        async with self._lock:
            await self.send({"type": "http.response.body", "body": b""})

    async def send_heartbeats(self) -> None:
        while True:
            due_at = self.sent_at + STREAM_HEARTBEAT_S
            if trio.current_time() >= due_at:
                await self.send_part(HEARTBEAT_COMMENT)
            else:
                await trio.sleep_until(due_at)


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            get_metrics().count("callers_gone")
            scope.cancel()
            return


async def run_until_drained(
    server: HttpServer, leave: Callable[[], Awaitable[None]]
) -> None:
    """Tell the others with ``leave``, let requests end, then stop ``server``."""
    await leave()
    with trio.move_on_after(server.limits.drain_limit_s):
        await server.wait_idle()
    server.stop()
