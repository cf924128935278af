"""Callers' connections: reads whole requests and writes their answers.

The server under the other interfaces hides what a relay must know: whether a
request was read before its connection closed, that the caller has left while
the answer is made, and that an answer broke off and must not look whole. So
this one drives the protocol library itself, one task for each connection.
"""

from collections.abc import Awaitable, Callable

import eliot
import h11
import trio
from attrs import define, field

from medlarrail.core.deployment import RequestLimits
from medlarrail.core.errors import (
    MalformedRequest,
    MedlarError,
    OverLongBody,
    OverLongHeader,
    SlowSender,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.calls import Header, InboundRequest
from medlarrail.relay.headers import check_framing, get_header
from medlarrail.transport.sockets import bind_listener, bound_silence

READ_BYTES = 65536
"""Bytes taken from a socket at once."""
LARGEST_PIPELINED_BYTES = 65536
"""Bytes read ahead while an answer is made; more waits in the kernel."""
LARGEST_BODY_WAIT_S = 10.0
"""Time in which a body has to arrive: the longest deadline of a request."""
CALLER_USER_TIMEOUT_MS = 5000
"""Time in which a caller has to acknowledge what was sent to it."""
LINGER_S = 0.5
"""Time for which unread bytes are taken after the last answer, because closing
with unread bytes would reset the connection and lose the answer."""
CLOSE_HEADER: Header = (b"Connection", b"close")

ABANDON_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


@define(eq=False)
class Exchange:
    """One request and the writing of its answer.

    ``scope`` is cancelled when the caller leaves, unless ``detached`` is set: a
    request that may not be repeated runs to its end.
    """

    connection: "InboundConnection"
    request: InboundRequest
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    detached: bool = False
    gone: bool = False
    started: bool = False

    async def send_head(
        self, status: int, headers: list[Header], length: int | None
    ) -> None:
        """Send the status and headers; without ``length`` the body is chunked."""
        self.started = True
        framing: list[Header] = []
        if length is not None:
            framing.append((b"Content-Length", str(length).encode()))
        elif self.request.method != b"HEAD":
            framing.append((b"Transfer-Encoding", b"chunked"))
        if self.connection.server.draining:
            framing.append(CLOSE_HEADER)
        await self.connection.send(
            h11.Response(status_code=status, headers=[*headers, *framing])
        )

    async def send_part(self, part: bytes) -> None:
        """Send a part of the body."""
        await self.connection.send(h11.Data(data=part))

    async def end(self) -> None:
        """End the answer as complete."""
        await self.connection.send(h11.EndOfMessage())

    async def send_whole(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer."""
        await self.send_head(status, headers, len(body))
        if body and self.request.method != b"HEAD":
            await self.send_part(body)
        await self.end()

    def abort(self) -> None:
        """Break the answer off so that it cannot look complete."""
        self.connection.broken = True


Answerer = Callable[[Exchange], Awaitable[None]]
ErrorAnswerer = Callable[[Exchange, MedlarError], Awaitable[None]]


@define(eq=False)
class InboundConnection:
    """One caller's connection."""

    stream: trio.SocketStream
    server: "InboundServer"
    protocol: h11.Connection = field(init=False)
    broken: bool = False
    _pipelined: int = 0

    def __attrs_post_init__(self):
        size = self.server.limits.header_bytes
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one():
                self.protocol.start_next_cycle()
            await self._linger()
        except ABANDON_ERRORS:
            get_metrics().count("callers_gone")
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    async def _serve_one(self) -> bool:
        """Serve one request; returns whether another may follow."""
        exchange = None
        try:
            request = await self._read_request()
            if request is None:
                return False
            exchange = Exchange(self, request)
            await self._answer(exchange)
        except MedlarError as error:
            await self._answer_unreadable(error)
            return False
        if self.broken or exchange.gone:
            return False
        states = (self.protocol.our_state, self.protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    # Reading.

    async def _read_request(self) -> InboundRequest | None:
        """Return the next whole request, or None where the caller has left."""
        try:
            head = await self._read_head()
            if head is None:
                return None
            received_at = trio.current_time()
            headers = tuple(head.headers.raw_items())
            self._check_size(head.target, headers)
            check_framing(headers)
            body = await self._read_body(headers)
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == OverLongHeader.status:
                limit = self.server.limits.header_bytes
                raise OverLongHeader(limit_bytes=limit) from error
            raise MalformedRequest(problem=str(error)) from error
        host = (get_header(headers, b"host") or b"").decode("latin1").lower()
        return InboundRequest(
            method=head.method,
            target=head.target,
            host=host.partition(":")[0],
            headers=headers,
            body=body,
            received_at=received_at,
        )

    def _check_size(self, target: bytes, headers: tuple[Header, ...]) -> None:
        """Raise ``OverLongHeader`` for a head that arrived whole but is too long."""
        limit = self.server.limits.header_bytes
        size = len(target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limit:
            raise OverLongHeader(limit_bytes=limit)

    async def _read_head(self) -> h11.Request | None:
        """Return the head of a request; None after a clean close or idle time."""
        idle_s = self.server.limits.idle_timeout_ms / 1000
        begun = bool(self.protocol.trailing_data[0])
        self._pipelined = 0
        with trio.move_on_after(self._get_head_limit(begun, idle_s)) as scope:
            while True:
                event = self.protocol.next_event()
                if isinstance(event, h11.Request):
                    return event
                if isinstance(event, h11.ConnectionClosed):
                    return None
                data = await self.stream.receive_some(READ_BYTES)
                if data and not begun:
                    begun = True
                    limit_s = self._get_head_limit(begun, idle_s)
                    scope.deadline = trio.current_time() + limit_s
                self.protocol.receive_data(data)
        if begun:
            raise SlowSender(limit_s=self._get_head_limit(True, idle_s))
        return None

    def _get_head_limit(self, begun: bool, idle_s: float) -> float:
        return self.server.limits.header_timeout_ms / 1000 if begun else idle_s

    async def _read_body(self, headers: tuple[Header, ...]) -> bytes:
        limit = self.server.limits.body_bytes
        stated = get_header(headers, b"content-length")
        if stated is not None and int(stated) > limit:
            raise OverLongBody(limit_bytes=limit)
        if self.protocol.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(LARGEST_BODY_WAIT_S):
            while True:
                event = self.protocol.next_event()
                if event is h11.NEED_DATA:
                    data = await self.stream.receive_some(READ_BYTES)
                    self.protocol.receive_data(data)
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    size += len(event.data)
                    if size > limit:
                        raise OverLongBody(limit_bytes=limit)
                elif isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
        raise SlowSender(limit_s=LARGEST_BODY_WAIT_S)

    # Answering.

    async def _answer(self, exchange: Exchange) -> None:
        """Let the server answer while this connection is watched."""
        self.server.note_begin()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, exchange)
                with exchange.scope:
                    await self.server.answer(exchange)
                nursery.cancel_scope.cancel()
        except* ABANDON_ERRORS:
            exchange.gone = True
        finally:
            self.server.note_end()
        if exchange.scope.cancelled_caught:
            exchange.gone = True

    async def _watch(self, exchange: Exchange) -> None:
        """Read ahead, and notice when the caller leaves."""
        while self._pipelined < LARGEST_PIPELINED_BYTES:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except ABANDON_ERRORS:
                data = b""
            if not data:
                get_metrics().count("callers_gone")
                exchange.gone = True
                if not exchange.detached:
                    exchange.scope.cancel()
                return
            self._pipelined += len(data)
            self.protocol.receive_data(data)

    async def _answer_unreadable(self, error: MedlarError) -> None:
        """Answer a request that could not be read, and give the connection up."""
        request = InboundRequest(b"", b"", "", (), b"", trio.current_time())
        get_metrics().count("unreadable_requests", reason=type(error).__name__)
        eliot.log_message("request:unreadable", reason=str(error))
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(self, request)
        try:
            await self.server.answer_error(exchange, error)
        except h11.LocalProtocolError as failure:
            reason = f"{error}; {failure}"
            eliot.log_message("request:unanswered", reason=reason)

    async def send(self, event) -> None:
        """Send one event of the protocol."""
        data = self.protocol.send(event)
        if data:
            await self.stream.send_all(data)

    async def _linger(self) -> None:
        """Take what still arrives, so that the close does not reset."""
        if self.broken:
            return
        with trio.move_on_after(LINGER_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(READ_BYTES):
                pass


@define(eq=False)
class InboundServer:
    """Accepts callers' connections and hands their requests to ``answer``."""

    answer: Answerer
    answer_error: ErrorAnswerer
    limits: RequestLimits = field(factory=RequestLimits)
    draining: bool = False
    """Whether each answer is the last one of its connection."""
    active: int = 0
    begun: int = 0
    """Requests begun since the start."""
    connections: int = 0
    max_connections: int = 2000
    """Connections at once; one more is closed before anything is read."""

    def note_begin(self) -> None:
        """Count a request that begins."""
        self.active += 1
        self.begun += 1

    def note_end(self) -> None:
        """Count a request that ended."""
        self.active -= 1

    async def run(
        self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; reports the bound port."""
        sock = bind_listener(host, port)
        bound_silence(sock, CALLER_USER_TIMEOUT_MS, idle_s=5, interval_s=2, probes=3)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        task_status.started(sock.getsockname()[1])
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.connections >= self.max_connections:
            get_metrics().count("connections_refused")
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        try:
            await InboundConnection(stream, self).run()
        except Exception as error:
            get_metrics().count("defects", type=type(error).__name__)
            eliot.write_traceback()
        finally:
            self.connections -= 1
