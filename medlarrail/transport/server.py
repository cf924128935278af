"""Serves routes over HTTP with hypercorn, within resource limits.

The server limits the size of a request body, the time in which it has to arrive
and the number of concurrent requests. ``drain_and_stop`` lets running requests
complete before the listener closes.
"""

import re
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import aclosing, contextmanager
from urllib.parse import parse_qsl, unquote

import eliot
import trio
from attrs import define, evolve, field, frozen
from hypercorn.config import Config

from medlarrail.core.errors import (
    InvariantViolation,
    MalformedRequest,
    MedlarError,
    MemoryShort,
    OverLongBody,
    SlowSender,
    TooManyConnections,
)
from medlarrail.core.json_shape import JsonShape, iterate_windows
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.policy.held_memory import SMALL_BYTES, Holding
from medlarrail.transport.bounded_connections import (
    LISTENER,
    WRITE_BYTES,
    serve_connections,
)
from medlarrail.transport.memory_gate import MemoryGate
from medlarrail.transport.routes import (
    EventStream,
    Reply,
    Request,
    Routes,
    format_error,
)
from medlarrail.transport.sockets import (
    bind_listener,
    limit_kernel_buffers,
    set_dead_peer_timeouts,
)

HTTP_KEEP_ALIVE_S = 75.0
"""Longer than any client of this project keeps an idle connection."""
MAX_HEADER_BYTES = 16 * 1024
HEARTBEAT_COMMENT = b": heartbeat\n\n"
TCP_USER_TIMEOUT_MS = 20_000
"""Time within which the peer has to acknowledge sent data."""
TCP_KEEPALIVE_IDLE_S = 20
TCP_KEEPALIVE_INTERVAL_S = 5
TCP_KEEPALIVE_PROBES = 3
FIRST_BODY_BYTES = 65536
"""Memory for the beginning of a body of unknown length."""
MAX_UNCHECKED_BYTES = 16384
"""Maximum bytes of a body that is decoded whatever its elements are. One body is
decoded at a time, and its values are freed when the message is built from them."""
JSON_BEGIN = re.compile(rb'[ \t\r\n]*[\[{"]')
"""What begins a body of JSON that can need more memory than its bytes."""
MAX_SMALL_PARTS = 32
"""Parts of any size that a body may have."""
MIN_PART_BYTES = 128
"""Mean bytes of further parts: each takes as long as a large one. Peers and operators
send their bodies in one piece."""
QUEUED_PARTS = 1
"""Parts of a body, each of up to 64 KB, that are received before they are needed."""
STREAM_HEARTBEAT_S = 5.0
"""Idle time after which a comment is sent on a stream."""


@frozen
class ServerLimits:
    """Limits of a server: sizes in bytes, times in seconds."""

    body_bytes: int = 8_000_000
    body_timeout_s: float = 10.0
    max_requests: int = 1000
    drain_limit_s: float = 600.0


@define
class HttpServer:
    """An ASGI application over ``routes``."""

    routes: Routes
    limits: ServerLimits = field(factory=ServerLimits)
    gate: MemoryGate = field(factory=MemoryGate)
    answers: AnswerMemory | None = None
    """The account of large answers until they are sent; None if those who ask are
    trusted to read them."""
    active: int = 0
    _idle_event: trio.Event = field(factory=trio.Event)
    _stop_event: trio.Event = field(factory=trio.Event)

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(self, scope, receive, send) -> None:
        self.active += 1
        try:
            messages = _BodyMessages(receive)
            answer = await self._answer(scope, messages.receive)
            async with trio.open_nursery() as nursery:
                if not messages.is_complete:
                    nursery.start_soon(messages.discard)
                with self._count_answer(answer, scope):
                    await _send_answer(answer, receive, send)
                nursery.cancel_scope.cancel()
        finally:
            self.active -= 1
            if self.active == 0:
                self._idle_event.set()
                self._idle_event = trio.Event()

    @contextmanager
    def _count_answer(self, answer: Reply | EventStream, scope) -> Iterator[None]:
        """Count a large answer while it is sent, or give up its connection for it."""
        size = len(answer.body) if isinstance(answer, Reply) else 0
        if self.answers is None or size <= SMALL_BYTES:
            yield
            return
        connection = scope["state"]

        def drop() -> None:
            is_unread = held.is_unread(trio.current_time())
            get_metrics().count("answers_dropped", is_unread=is_unread)
            eliot.log_message("answer:dropped", bytes=size, is_unread=is_unread)
            connection["abort"]()

        held = self.answers.open(drop)
        held.reader = connection["holding"]
        held.reader.start("working", trio.current_time())
        try:
            self.answers.resize(held, size, trio.current_time())
            yield
        finally:
            self.answers.close(held)

    async def _answer(self, scope, receive) -> Reply | EventStream:
        request = _build_request(scope, b"")
        try:
            if self.active > self.limits.max_requests:
                raise TooManyConnections(limit=self.limits.max_requests)
            scope = trio.CancelScope()
            with self.gate.open(LISTENER, scope.cancel) as holding:
                body = await self._read_body(request, receive, holding, scope)
                holding.start("working", trio.current_time())
                return await self.routes.answer(evolve(request, body=body))
        except MedlarError as error:
            return format_error(error, request.headers)
        except Exception as error:
            return _format_unexpected_error(error)

    async def _read_body(
        self, request: Request, receive, holding: Holding, scope: trio.CancelScope
    ) -> bytes:
        """Return the body; a large one waits for memory, and to be decoded."""
        declared = request.headers.get("content-length", "")
        size = int(declared) if declared.isdecimal() else 0
        is_checked = (
            size > MAX_UNCHECKED_BYTES or "transfer-encoding" in request.headers
        )
        if size > self.limits.body_bytes:
            raise OverLongBody(limit_bytes=self.limits.body_bytes)
        holding.start("receiving", trio.current_time())
        is_trusted = is_checked and self.routes.check_head(request)
        reader = _BodyReader(self.gate, holding, self.limits, is_trusted)
        with scope:
            await reader.acquire(size)
            body = await reader.read(receive)
            if is_checked and not is_trusted:
                await self._wait_to_decode(body, holding)
            return body
        if holding.is_waiting:
            raise MemoryShort()
        raise SlowSender(limit_s=round(holding.get_stall_s(trio.current_time()), 3))

    async def _wait_to_decode(self, body: bytes, holding: Holding) -> None:
        """Wait until there is memory for the values of a body of JSON.

        Raises ``OverComplexBody`` and ``MemoryShort``. Senders with a key of the system
        do not wait: they are trusted to send messages of the ordinary shape.
        """
        if JSON_BEGIN.match(body) is None:
            return
        shape = JsonShape()
        for window in iterate_windows(body):
            shape.add(window)
            await trio.lowlevel.checkpoint()
        await self.gate.acquire_for_decoding(holding, shape.estimate_decoded_bytes())

    async def wait_idle(self) -> None:
        """Return once no request is being served."""
        while self.active:
            await self._idle_event.wait()

    def stop(self) -> None:
        """Close the listener; running requests may complete first."""
        self._stop_event.set()

    async def run(
        self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on ``host:port`` until ``stop``; report the bound port."""
        listener = _bind_listener(host, port)
        bound_port = listener.getsockname()[1]
        config = _build_config(self.limits)
        task_status.started(bound_port)
        await serve_connections(
            self, config, listener, self.gate, self._stop_event.wait
        )


@define
class _BodyMessages:
    """The messages with the parts of a request's body."""

    _receive: Callable[[], Awaitable[dict]]
    is_complete: bool = False
    """Whether the last one was received."""

    async def receive(self) -> dict:
        message = await self._receive()
        has_more = message.get("more_body", False)
        self.is_complete = message["type"] == "http.disconnect" or not has_more
        return message

    async def discard(self) -> None:
        """Receive what is left of a body that was refused.

        hypercorn can't end a request while a part of its body waits to be received,
        and the connection would stay open for ever.
        """
        while not self.is_complete:
            await self.receive()


def _format_unexpected_error(error: Exception) -> Reply:
    """Return the answer for an unexpected exception, and log its traceback."""
    get_metrics().count("defects", type=type(error).__name__)
    eliot.write_traceback()
    detail = f"{type(error).__name__}: {error}"
    return format_error(InvariantViolation(invariant="no-defect", detail=detail))


def _bind_listener(host: str, port: int) -> socket.socket:
    """Return a listener whose unresponsive connections are closed by the kernel.

    hypercorn shields its writes from cancellation, so only the kernel can end a
    write to a caller that does not read.
    """
    listener = bind_listener(host, port)
    set_dead_peer_timeouts(
        listener,
        TCP_USER_TIMEOUT_MS,
        TCP_KEEPALIVE_IDLE_S,
        TCP_KEEPALIVE_INTERVAL_S,
        TCP_KEEPALIVE_PROBES,
    )
    limit_kernel_buffers(listener)
    return listener


def _build_config(limits: ServerLimits) -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = HTTP_KEEP_ALIVE_S
    config.graceful_timeout = limits.drain_limit_s
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.max_app_queue_size = QUEUED_PARTS
    return config


@define
class _BodyReader:
    """Receives one body into a growing buffer, which is part of the account."""

    gate: MemoryGate
    holding: Holding
    limits: ServerLimits
    is_trusted: bool
    """Whether the sender has a key of the system, and waits only if many megabytes of
    such senders are held."""
    acquired: int = 0
    body: bytearray = field(factory=bytearray)

    async def acquire(self, count: int) -> None:
        """Count ``count`` bytes more, after a wait if there is no room."""
        is_exempt = self.is_trusted and self.gate.memory.add_exempt(self.holding, count)
        if count and not is_exempt:
            await self.gate.acquire(self.holding, count)
            self.holding.start("receiving", trio.current_time())
        self.acquired += count

    async def read(self, receive) -> bytes:
        """Return the body; raises ``CallerError`` and ``MemoryShort``."""
        limits = self.limits
        parts = 0
        with trio.move_on_after(limits.body_timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    break
                part = message.get("body", b"")
                parts += 1
                if len(self.body) + len(part) > limits.body_bytes:
                    raise OverLongBody(limit_bytes=limits.body_bytes)
                if parts > MAX_SMALL_PARTS + len(self.body) // MIN_PART_BYTES:
                    raise MalformedRequest(problem="the body is in very small chunks")
                while len(self.body) + len(part) > self.acquired:
                    await self.acquire(max(FIRST_BODY_BYTES, self.acquired))
                self.body += part
                self.holding.record_bytes(len(part), trio.current_time())
                if not message.get("more_body", False):
                    return bytes(self.body)
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
    await send(_build_response_start(answer.status, headers))
    # Each part is copied until it is written.
    body = answer.body
    for start in range(0, len(body), WRITE_BYTES):
        part = body[start : start + WRITE_BYTES]
        await send({"type": "http.response.body", "body": part, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def _build_response_start(status: int, headers: dict[str, str]) -> dict:
    pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
    return {"type": "http.response.start", "status": status, "headers": pairs}


async def _send_stream(answer: EventStream, receive, send) -> None:
    """Send the chunks; a disconnect of the caller cancels their producer.

    While there is nothing to send, comments show the caller that the connection is
    alive.
    """
    headers = {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        **answer.headers,
    }
    sender = _StreamSender(send)
    await send(_build_response_start(200, headers))
    async with aclosing(answer.chunks), trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        nursery.start_soon(sender.send_heartbeats)
        async for chunk in answer.chunks:
            await sender.send_part(chunk)
        await sender.send_end()
        nursery.cancel_scope.cancel()


@define
class _StreamSender:
    """Sends the parts of one stream, and heartbeats while it is idle."""

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


async def drain_and_stop(
    server: HttpServer, leave: Callable[[], Awaitable[None]]
) -> None:
    """Announce the shutdown with ``leave``, finish requests, then stop ``server``."""
    await leave()
    with trio.move_on_after(server.limits.drain_limit_s):
        await server.wait_idle()
    server.stop()
