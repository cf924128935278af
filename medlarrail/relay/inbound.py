"""Callers' connections: reads complete requests and writes their answers.

The HTTP server used for the other interfaces hides what a relay needs to know:
whether a request was read before its connection closed, whether the caller
disconnects before it is answered, and whether an answer was cut off and must not
look complete. This server therefore drives h11 directly, with one task per
connection.
"""

import re
from collections.abc import Awaitable, Callable

import eliot
import h11
import trio
from attrs import define, evolve, field

from medlarrail.core.deployment import RequestLimits
from medlarrail.core.errors import (
    MalformedRequest,
    MedlarError,
    MemoryShort,
    OverLongBody,
    OverLongHeader,
    SlowSender,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.held_memory import Holding
from medlarrail.relay.chunked_body import ChunkedBody
from medlarrail.relay.headers import check_framing, get_header
from medlarrail.relay.metadata import Header, InboundRequest
from medlarrail.transport.framing import Framing
from medlarrail.transport.memory_gate import MemoryGate
from medlarrail.transport.sockets import (
    bind_listener,
    is_closed_by_peer,
    limit_kernel_buffers,
    set_dead_peer_timeouts,
    set_reset_on_close,
)

READ_BYTES = 65536
"""Maximum bytes per read from a socket."""
HEAD_READ_BYTES = 16384
"""Maximum bytes per read of the head of a request."""
MAX_PIPELINED_BYTES = 16384
"""Maximum bytes read ahead on a connection; the remainder stays in the kernel."""
WRITE_BYTES = 65536
"""Bytes of a long answer that are written at a time."""
FIRST_CHUNKS_BYTES = 2 * READ_BYTES
"""Memory for the beginning of a body of unknown length."""
CONNECTION_BYTES = 32768
"""Memory that each connection needs: its objects and what is read ahead."""
HEAD_END = re.compile(rb"\n\r?\n")
BLANK_LINES = (b"\r", b"\n")
FIRST_PRINTABLE = 0x21
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
        """Send a part of the body; of a long one a little at a time is copied."""
        if len(part) <= WRITE_BYTES:
            await self.connection.send(h11.Data(data=part))
            return
        try:
            for begin in range(0, len(part), WRITE_BYTES):
                piece = part[begin : begin + WRITE_BYTES]
                await self.connection.send(h11.Data(data=piece))
        finally:
            # A cancellation leaves this frame in a reference cycle.
            del part

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

    async def require_caller(self) -> None:
        """End this request if its caller has disconnected already.

        While the event loop is far behind, the task that reads ahead notices that too
        late: the request would be sent on for nobody.
        """
        if not self.detached and is_closed_by_peer(self.connection.stream):
            get_metrics().count("callers_gone")
            self.caller_left = True
            self.scope.cancel()
            await trio.lowlevel.checkpoint_if_cancelled()

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
    """One caller's connection.

    Received bytes stay in ``received`` until they are needed, so that what is read
    ahead is bounded. ``protocol`` parses the head of one request and writes its answer.
    """

    stream: trio.SocketStream
    server: "InboundServer"
    holding: Holding
    protocol: h11.Connection = field(init=False)
    received: bytearray = field(factory=bytearray)
    aborted: bool = False

    def __attrs_post_init__(self):
        self._start_message()

    def _start_message(self) -> None:
        size = self.server.limits.header_bytes
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    async def run(self, scope: trio.CancelScope) -> None:
        """Serve requests until either side closes the connection.

        ``scope`` is cancelled if the connection is given up for lack of memory.
        """
        try:
            with scope:
                while await self._serve_request():
                    self.holding.start("idle", trio.current_time())
                    self._start_message()
                await self._linger()
            if scope.cancelled_caught:
                await self._end_for_memory()
        except DISCONNECT_ERRORS:
            get_metrics().count("callers_gone")
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    async def _end_for_memory(self) -> None:
        """Tell a caller whose request was not received completely that it did not run.

        Any other connection is closed without an answer.
        """
        if self.holding.state != "receiving" or self.protocol.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            return
        stall_s = self.holding.get_stall_s(trio.current_time())
        error = SlowSender(limit_s=round(stall_s, 3))
        if self.holding.is_waiting:
            error = MemoryShort()
        self._drop_received()
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await self._answer_unreadable(error)
            await self._linger()

    def _drop_received(self) -> None:
        """Free what was received of a request that is not served."""
        self.received = bytearray()
        surplus = self.holding.held_bytes - CONNECTION_BYTES
        self.server.gate.memory.add(self.holding, -max(0, surplus))

    async def _serve_request(self) -> bool:
        """Serve one request; returns whether the connection can be reused."""
        exchange = None
        try:
            request = await self._read_request()
            if request is None:
                return False
            if self.holding.is_ended:
                # The scope is cancelled: nothing may run from here on.
                await trio.lowlevel.checkpoint()
            self.holding.start("working", trio.current_time())
            exchange = ServerExchange(self, request)
            await self._answer(exchange)
        except MedlarError as error:
            self._drop_received()
            await self._answer_unreadable(error)
            return False
        self._release_body(exchange)
        if self.received and not self.server.allows_pipelining:
            get_metrics().count("pipelined_connections_closed")
            return False
        if self.aborted or exchange.caller_left:
            return False
        return self.protocol.our_state is h11.DONE

    def _release_body(self, exchange: ServerExchange) -> None:
        """Return the memory of a request that was answered."""
        surplus = self.holding.held_bytes - CONNECTION_BYTES
        if surplus > 0:
            # Frames that a cancellation left in reference cycles have the exchange.
            exchange.request = evolve(exchange.request, body=b"")
            self.server.gate.memory.add(self.holding, -surplus)

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

    async def _receive(self, max_bytes: int) -> bool:
        """Receive some bytes; return False at the end of the stream."""
        data = await self.stream.receive_some(max_bytes)
        self.received += data
        self.holding.record_bytes(len(data), trio.current_time())
        return bool(data)

    async def _read_head(self) -> h11.Request | None:
        """Return the head of a request; None after a clean close or idle timeout."""
        idle_s = self.server.limits.idle_timeout_ms / 1000
        started = bool(self.received)
        if started:
            self.holding.start("receiving", trio.current_time())
        searched = 0
        with trio.move_on_after(self._get_head_timeout(started, idle_s)) as scope:
            while True:
                end = HEAD_END.search(self.received, max(0, searched - 2))
                if end is not None or self.received[:1] in BLANK_LINES:
                    return self._parse_head(
                        len(self.received) if end is None else end.end()
                    )
                self._check_incomplete_head()
                searched = len(self.received)
                if not await self._receive(HEAD_READ_BYTES):
                    return self._parse_end()
                if not started:
                    started = True
                    self.holding.start("receiving", trio.current_time())
                    limit_s = self._get_head_timeout(started, idle_s)
                    scope.deadline = trio.current_time() + limit_s
        if started:
            raise SlowSender(limit_s=self._get_head_timeout(True, idle_s))
        return None

    def _parse_head(self, size: int) -> h11.Request:
        """Parse the head in the first ``size`` received bytes."""
        self.protocol.receive_data(self.received[:size])
        del self.received[:size]
        event = self.protocol.next_event()
        if not isinstance(event, h11.Request):
            raise MalformedRequest(problem="no request line received")
        return event

    def _parse_end(self) -> None:
        """Return None if the stream ended between requests; raises otherwise."""
        if self.received:
            raise MalformedRequest(problem="peer unexpectedly closed connection")

    def _check_incomplete_head(self) -> None:
        limit = self.server.limits.header_bytes
        if len(self.received) > limit:
            raise OverLongHeader(limit_bytes=limit)
        if self.received and self.received[0] < FIRST_PRINTABLE:
            raise MalformedRequest(problem="illegal request line")

    def _get_head_timeout(self, started: bool, idle_s: float) -> float:
        return self.server.limits.header_timeout_ms / 1000 if started else idle_s

    async def _read_body(self, headers: tuple[Header, ...]) -> bytes:
        limit = self.server.limits.body_bytes
        declared = get_header(headers, b"content-length")
        size = int(declared) if declared is not None else 0
        if size > limit:
            raise OverLongBody(limit_bytes=limit)
        is_chunked = get_header(headers, b"transfer-encoding") is not None
        if not size and not is_chunked:
            return b""
        if size:
            await self._acquire(size)
        if self.protocol.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.holding.start("receiving", trio.current_time())
        with trio.move_on_after(BODY_TIMEOUT_S):
            read = self._read_chunks(limit) if is_chunked else self._read_sized(size)
            return await read
        raise SlowSender(limit_s=BODY_TIMEOUT_S)

    async def _acquire(self, count: int) -> None:
        """Wait for memory; reading stops meanwhile."""
        await self.server.gate.acquire(self.holding, count)
        self.holding.start("receiving", trio.current_time())

    async def _read_sized(self, size: int) -> bytes:
        while len(self.received) < size:
            if not await self._receive(min(READ_BYTES, size - len(self.received))):
                raise MalformedRequest(problem="peer closed before the body was whole")
        body = bytes(memoryview(self.received)[:size])
        self.received = self.received[size:]
        return body

    async def _read_chunks(self, limit: int) -> bytes:
        chunked = ChunkedBody(self.received, limit, self.server.limits.header_bytes)
        acquired = 0
        while True:
            chunked.decode()
            if chunked.is_complete:
                return bytes(chunked.body)
            if len(chunked.body) + READ_BYTES > acquired:
                # Doubled, as the buffer is.
                more = max(FIRST_CHUNKS_BYTES, acquired)
                await self._acquire(more)
                acquired += more
            if not await self._receive(READ_BYTES):
                raise MalformedRequest(problem="peer closed before the body was whole")

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
        while len(self.received) < MAX_PIPELINED_BYTES:
            try:
                is_open = await self._receive(MAX_PIPELINED_BYTES - len(self.received))
            except DISCONNECT_ERRORS:
                is_open = False
            if not is_open:
                get_metrics().count("callers_gone")
                exchange.caller_left = True
                if not exchange.detached:
                    exchange.scope.cancel()
                return

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
        if not data:
            return
        holding = self.holding
        state = holding.state
        holding.start("writing", trio.current_time())
        try:
            await self.stream.send_all(data)
        finally:
            if not holding.is_ended:
                holding.start(state, trio.current_time())

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
    """Maximum concurrent connections; for a further one the most idle one is closed."""
    name: str = "callers"
    """Name of this listener in counters and log lines."""
    gate: MemoryGate = field(factory=MemoryGate)
    allows_pipelining: bool = True
    """Whether requests that were sent before the answer to an earlier one are served;
    otherwise their connection is closed after that answer."""

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
        limit_kernel_buffers(sock)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        task_status.started(sock.getsockname()[1])
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.connections >= self.max_connections and not self.gate.end_idle(
            self.name
        ):
            await self._refuse_connection(stream)
            return
        scope = trio.CancelScope()
        self.connections += 1
        try:
            with self.gate.open(self.name, scope.cancel) as holding:
                if not self._admit(holding):
                    await self._refuse_connection(stream)
                    return
                await InboundConnection(stream, self, holding).run(scope)
        except Exception as error:
            get_metrics().count("defects", type=type(error).__name__)
            eliot.write_traceback()
        finally:
            self.connections -= 1

    def _admit(self, holding: Holding) -> bool:
        """Count a connection; return whether there is memory for it, or will be.

        Probes are always let in: their number is small.
        """
        memory = self.gate.memory
        has_room = memory.get_room() >= CONNECTION_BYTES
        if not has_room and not self.gate.end_idle(None) and self.allows_pipelining:
            return False
        memory.add(holding, CONNECTION_BYTES)
        return True

    async def _refuse_connection(self, stream: trio.SocketStream) -> None:
        """Close a connection without reading from it."""
        get_metrics().count("connections_refused")
        self.gate.log.record("connection-refused", self.name, open=self.connections)
        await trio.aclose_forcefully(stream)
