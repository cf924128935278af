"""Callers' connections: reads complete requests and writes their answers.

The HTTP server used for the other interfaces hides what a relay needs to know:
whether a request was read before its connection closed, whether the caller
disconnects before it is answered, and whether an answer was cut off and must not
look complete. This server therefore drives h11 directly, with one task per
connection.
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
from medlarrail.relay.headers import check_framing, get_header
from medlarrail.relay.metadata import Header, InboundRequest
from medlarrail.transport.framing import Framing
from medlarrail.transport.sockets import (
    bind_listener,
    set_dead_peer_timeouts,
    set_reset_on_close,
)

READ_BYTES = 65536
"""Maximum bytes per read from a socket."""
MAX_PIPELINED_BYTES = 65536
"""Maximum bytes read ahead during an answer; the remainder stays in the kernel."""
BODY_TIMEOUT_S = 10.0
"""Maximum time to receive a body: the longest deadline of a request."""
CALLER_USER_TIMEOUT_MS = 5000
"""Maximum time for a caller to acknowledge sent data (TCP_USER_TIMEOUT)."""
LINGER_TIMEOUT_S = 0.5
"""Maximum time to drain unread bytes after the last answer: closing a socket with
unread bytes resets the connection, and the answer may be lost."""
CLOSE_HEADER: Header = (b"Connection", b"close")

DISCONNECT_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


@define(eq=False)
class ServerExchange:
    """One request, with the methods to send its answer.

    ``scope`` is cancelled when the caller disconnects, unless ``detached`` is set: a
    request that may not be retried runs to completion.
    """

    connection: "InboundConnection"
    request: InboundRequest
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    detached: bool = False
    caller_left: bool = False
    started: bool = False
    framing: Framing | None = None
    """The framing of the answer, None before it was started."""

    async def send_head(
        self, status: int, headers: list[Header], framing: Framing, length: int = 0
    ) -> None:
        """Send the status and headers; ``length`` is sent with ``Framing.LENGTH``.

        With ``Framing.CLOSE``, the connection is closed after the answer. The same
        replaces ``Framing.CHUNKED`` for callers that do not know chunks.
        """
        if framing is Framing.CHUNKED and not self.connection.knows_chunks:
            framing = Framing.CLOSE
        self.started = True
        self.framing = framing
        framing_headers: list[Header] = []
        if framing is Framing.LENGTH:
            framing_headers.append((b"Content-Length", str(length).encode()))
        elif framing is Framing.CHUNKED:
            framing_headers.append((b"Transfer-Encoding", b"chunked"))
        elif framing is Framing.CLOSE:
            self.connection.frame_by_close()
        if self.connection.server.draining:
            framing_headers.append(CLOSE_HEADER)
        await self.connection.send(
            h11.Response(status_code=status, headers=[*headers, *framing_headers])
        )

    async def send_part(self, part: bytes) -> None:
        """Send a part of the body."""
        await self.connection.send(h11.Data(data=part))

    async def end(self) -> None:
        """Complete the answer."""
        await self.connection.send(h11.EndOfMessage())
        if self.framing is Framing.CLOSE:
            self.connection.allow_regular_close()

    async def send_whole(
        self,
        status: int,
        headers: list[Header],
        body: bytes,
        framing: Framing = Framing.LENGTH,
    ) -> None:
        """Send an answer with all of its body."""
        await self.send_head(status, headers, framing, len(body))
        if body and self.request.method != b"HEAD":
            await self.send_part(body)
        await self.end()

    def get_caller_host(self) -> str:
        """Return the IP address that the caller has connected from, or an empty string
        if it has disconnected."""
        try:
            return self.connection.stream.socket.getpeername()[0]
        except OSError:
            return ""

    def abort(self) -> None:
        """Cut the answer off so that it cannot look complete."""
        self.connection.aborted = True


RequestHandler = Callable[[ServerExchange], Awaitable[None]]
ErrorHandler = Callable[[ServerExchange, MedlarError], Awaitable[None]]


@define(eq=False)
class InboundConnection:
    """One caller's connection."""

    stream: trio.SocketStream
    server: "InboundServer"
    protocol: h11.Connection = field(init=False)
    aborted: bool = False
    _pipelined: int = 0

    def __attrs_post_init__(self):
        size = self.server.limits.header_bytes
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_request():
                self.protocol.start_next_cycle()
            await self._linger()
        except DISCONNECT_ERRORS:
            get_metrics().count("callers_gone")
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    async def _serve_request(self) -> bool:
        """Serve one request; returns whether the connection can be reused."""
        exchange = None
        try:
            request = await self._read_request()
            if request is None:
                return False
            exchange = ServerExchange(self, request)
            await self._answer(exchange)
        except MedlarError as error:
            await self._answer_unreadable(error)
            return False
        if self.aborted or exchange.caller_left:
            return False
        states = (self.protocol.our_state, self.protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    # Reading.

    async def _read_request(self) -> InboundRequest | None:
        """Return the next complete request, or None if the caller disconnected."""
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
        """Raise ``OverLongHeader`` if a complete head exceeds the size limit."""
        limit = self.server.limits.header_bytes
        size = len(target) + sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limit:
            raise OverLongHeader(limit_bytes=limit)

    async def _read_head(self) -> h11.Request | None:
        """Return the head of a request; None after a clean close or idle timeout."""
        idle_s = self.server.limits.idle_timeout_ms / 1000
        started = bool(self.protocol.trailing_data[0])
        self._pipelined = 0
        with trio.move_on_after(self._get_head_timeout(started, idle_s)) as scope:
            while True:
                event = self.protocol.next_event()
                if isinstance(event, h11.Request):
                    return event
                if isinstance(event, h11.ConnectionClosed):
                    return None
                data = await self.stream.receive_some(READ_BYTES)
                if data and not started:
                    started = True
                    limit_s = self._get_head_timeout(started, idle_s)
                    scope.deadline = trio.current_time() + limit_s
                self.protocol.receive_data(data)
        if started:
            raise SlowSender(limit_s=self._get_head_timeout(True, idle_s))
        return None

    def _get_head_timeout(self, started: bool, idle_s: float) -> float:
        return self.server.limits.header_timeout_ms / 1000 if started else idle_s

    async def _read_body(self, headers: tuple[Header, ...]) -> bytes:
        limit = self.server.limits.body_bytes
        declared = get_header(headers, b"content-length")
        if declared is not None and int(declared) > limit:
            raise OverLongBody(limit_bytes=limit)
        if self.protocol.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(BODY_TIMEOUT_S):
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
        raise SlowSender(limit_s=BODY_TIMEOUT_S)

    # Answering.

    async def _answer(self, exchange: ServerExchange) -> None:
        """Let the server answer while watching for a disconnect."""
        self.server.record_start()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_disconnect, exchange)
                with exchange.scope:
                    await self.server.answer(exchange)
                nursery.cancel_scope.cancel()
        except* DISCONNECT_ERRORS:
            exchange.caller_left = True
        finally:
            self.server.record_end()
        if exchange.scope.cancelled_caught:
            exchange.caller_left = True

    async def _watch_disconnect(self, exchange: ServerExchange) -> None:
        """Read ahead to detect a disconnect of the caller."""
        while self._pipelined < MAX_PIPELINED_BYTES:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except DISCONNECT_ERRORS:
                data = b""
            if not data:
                get_metrics().count("callers_gone")
                exchange.caller_left = True
                if not exchange.detached:
                    exchange.scope.cancel()
                return
            self._pipelined += len(data)
            self.protocol.receive_data(data)

    async def _answer_unreadable(self, error: MedlarError) -> None:
        """Answer a request that could not be read; the connection closes after it."""
        request = InboundRequest(b"", b"", "", (), b"", trio.current_time())
        get_metrics().count("unreadable_requests", reason=type(error).__name__)
        eliot.log_message("request:malformed", reason=str(error))
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = ServerExchange(self, request)
        try:
            await self.server.answer_error(exchange, error)
        except h11.LocalProtocolError as failure:
            reason = f"{error}; {failure}"
            eliot.log_message("request:error-answer-failed", reason=reason)

    async def send(self, event) -> None:
        """Send one h11 event."""
        data = self.protocol.send(event)
        if data:
            await self.stream.send_all(data)

    @property
    def knows_chunks(self) -> bool:
        """Whether the caller can receive a body in chunks."""
        return (self.protocol.their_http_version or b"1.0") >= b"1.1"

    def frame_by_close(self) -> None:
        """Make a regular close end the body of the next answer.

        Until ``allow_regular_close`` is called, any close resets the connection, also
        if this process ends: the caller takes a regular one for the end of the body.
        """
        # h11 sends a body without a length in chunks, except to HTTP/1.0 peers.
        self.protocol.their_http_version = b"1.0"
        set_reset_on_close(self.stream, True)

    def allow_regular_close(self) -> None:
        """Close the connection regularly from now on; see ``frame_by_close``."""
        set_reset_on_close(self.stream, False)

    async def _linger(self) -> None:
        """Drain incoming bytes, so that closing does not reset the connection."""
        if self.aborted or self.protocol.our_state is h11.SEND_BODY:
            return
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await self.stream.send_eof()
            while await self.stream.receive_some(READ_BYTES):
                pass


@define(eq=False)
class InboundServer:
    """Accepts callers' connections and passes their requests to ``answer``."""

    answer: RequestHandler
    answer_error: ErrorHandler
    limits: RequestLimits = field(factory=RequestLimits)
    draining: bool = False
    """Whether connections are closed after their next answer."""
    active: int = 0
    started_count: int = 0
    """Requests started since the server started."""
    connections: int = 0
    max_connections: int = 2000
    """Maximum concurrent connections; further ones are closed without being read."""

    def record_start(self) -> None:
        """Record the start of a request."""
        self.active += 1
        self.started_count += 1

    def record_end(self) -> None:
        """Record the end of a request."""
        self.active -= 1

    async def run(
        self, host: str, port: int, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; reports the bound port."""
        sock = bind_listener(host, port)
        set_dead_peer_timeouts(
            sock, CALLER_USER_TIMEOUT_MS, idle_s=5, interval_s=2, probes=3
        )
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
