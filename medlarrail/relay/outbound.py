"""Pool of connections to endpoints, each used for one request at a time.

A connection is reused only if its answer was complete and no bytes followed it. An
idle connection that becomes readable was closed by the endpoint or holds bytes that
belong to no request, and is not reused.
"""

import fcntl
import socket
import termios
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from math import inf

import h11
import trio
from attrs import define, field, frozen

from medlarrail.core.errors import (
    AnswerTooLong,
    ConnectionsUsedUp,
    EndpointUnreachable,
    StreamBroken,
)
from medlarrail.core.loop_watch import LoopWatch
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import MAX_END_DELAY_S
from medlarrail.policy.process_spans import ProcessSpan, add_span, find_span
from medlarrail.relay.metadata import Header
from medlarrail.transport.framing import Framing, get_framing
from medlarrail.transport.sockets import connect

CONNECT_TIMEOUT_S = 0.25
"""Connection timeout: many round trips, yet short compared to any latency target."""
USER_TIMEOUT_MS = 2000
"""Maximum time for an endpoint's kernel to acknowledge sent data or a keep-alive probe.
Sound endpoints fall silent for a second or so and go on."""
READ_BYTES = 65536
MAX_JOINED_BYTES = 65536
"""Maximum bytes of a body that are copied to be sent in one piece with the head."""
MAX_HEAD_BYTES = 65536
"""Maximum bytes before the body, including informational (1xx) heads."""
MAX_ANSWER_BYTES = 16_000_000
"""Maximum bytes of an answer with its framing."""
MAX_INFORMATIONAL_HEADS = 16
"""Informational (1xx) heads before the answer: endpoints send one or two."""
MAX_TURN_S = 0.00025
"""Time for which received bytes are decoded before other tasks run: an endpoint may
send many events in few bytes, and each turn of the event loop delays all requests."""
RELEASE_S = 0.2
"""Time within which a link passes on what it held back, in several parts."""
MAX_IDLE_S = 4.0
"""Maximum idle time of a reused connection; applies alone if the endpoint does not
announce its keep-alive time."""
MAX_STANDBY_S = 30.0
"""Maximum time for which a connection waits that is used for no request: longer than
most streams. Nothing is lost if the endpoint closes it before."""
MAX_CLOSE_SPREAD_S = 0.5
"""Time within which all connections of a process that ends are seen to close: a kernel
sends an end that was lost again after some tenths of a second."""
CLOSED_RETENTION_S = 60.0
"""Time for which it is remembered that an endpoint closed an idle connection: longer
than a request takes."""
SPAN_RETENTION_S = 60.0
"""Time for which it is remembered when a process ran: longer than a stream takes."""
KEEP_ALIVE_RATIO = 0.7
"""Fraction of the endpoint's keep-alive time for which a connection is reused."""
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


Connector = Callable[[str, int, float, int], Awaitable[trio.SocketStream | None]]
"""See ``medlarrail.transport.sockets.connect``."""


@frozen
class AnswerHead:
    """Status and headers of an answer as received."""

    status: int
    headers: tuple[Header, ...] = field(repr=False)
    framing: Framing


@define(eq=False)
class OutboundConnection:
    """One connection to the endpoint at ``address``."""

    address: str
    stream: trio.SocketStream
    protocol: h11.Connection = field(
        factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
    )
    idle_until: float = 0.0
    opened_at: float = 0.0
    sent_at: float = 0.0
    """Time at which the sending of the current request began."""
    answered_at: float | None = None
    """``sent_at`` of the latest request that was answered, None before the first."""
    reused: bool = False
    """Whether it was used for an earlier request."""
    _method: bytes = b""
    """Method of the current request."""
    request_sent: bool = False
    """Whether the whole request was sent."""
    is_broken: bool = False
    """Whether any call during the current request reported a reset or another error."""
    answer_ended: bool = False
    """Whether the answer was received completely."""
    end_delay_s: float = 0.0
    """Upper limit of the time for which the end waited here or was held back by a
    link, together with the bytes before it."""
    end_unread_s: float = 0.0
    """Upper limit of the time for which the end waited here."""
    end_silence_s: float = 0.0
    """Upper limit of the time between the latest bytes and the end."""
    has_unnamed_answer: bool = False
    """Whether an answer named no request: a late copy of it is not recognized."""
    loop_watch: LoopWatch = field(factory=LoopWatch)
    _received_bytes: int = 0
    """Bytes received since the request was sent."""
    seen_open_at: float = 0.0
    """Latest time at which nothing waited to be received, not even an end. A link may
    have held something back."""
    _arrived_at: float = 0.0
    """Time before which the latest bytes had not arrived here."""
    _seen_running_at: float = 0.0
    """Latest time after which bytes arrived that no link had held back."""
    _release_ends_at: float = 0.0
    """Up to when bytes may be those that a link had held back."""
    _turn_began_at: float = 0.0

    def start_next_request(self) -> None:
        """Prepare for another request after one whose answer was complete.

        The answer may be read before ``send`` has begun, by another task. Nothing is to
        be done on a connection that was not used yet.
        """
        if not self.request_sent:
            return
        self.protocol.start_next_cycle()
        self.reused = True
        self._received_bytes = 0

    async def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a complete request; a broken connection is reported on reading."""
        self.request_sent = self.answer_ended = self.is_broken = False
        self._method = method
        self._received_bytes = 0
        self.sent_at = self.seen_open_at = trio.current_time()
        self._arrived_at = self._seen_running_at = self.sent_at
        self._release_ends_at = self.end_delay_s = 0.0
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.protocol.send(request)
        if body:
            content = self.protocol.send(h11.Data(data=body))
        self.protocol.send(h11.EndOfMessage())
        try:
            if body and len(body) <= MAX_JOINED_BYTES:
                data += content
            await self.stream.send_all(data)
            if len(body) > MAX_JOINED_BYTES:
                await self.stream.send_all(content)
            self.request_sent = True
        except CONNECTION_ERRORS as error:
            self.is_broken = True
            get_metrics().count("sends_broken", type=type(error).__name__)

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer; raises ``RunFailure``."""
        for _ in range(1 + MAX_INFORMATIONAL_HEADS):
            event = await self._read_event(MAX_HEAD_BYTES)
            if isinstance(event, h11.Response):
                headers = tuple(event.headers.raw_items())
                framing = get_framing(self._method, event.status_code, headers)
                return AnswerHead(event.status_code, headers, framing)
            if not isinstance(event, h11.InformationalResponse):
                raise StreamBroken(endpoint=self.address)
        raise AnswerTooLong(endpoint=self.address, limit_bytes=MAX_HEAD_BYTES)

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises ``StreamBroken`` if it is cut off, and ``AnswerTooLong``.
        """
        while True:
            event = await self._read_event(MAX_ANSWER_BYTES)
            if isinstance(event, h11.EndOfMessage):
                self.answer_ended = True
                return
            if not isinstance(event, h11.Data):
                raise StreamBroken(endpoint=self.address)
            yield bytes(event.data)

    async def _read_event(self, limit_bytes: int):
        """Return the next event; at most ``limit_bytes`` are received for it."""
        if trio.current_time() - self._turn_began_at > MAX_TURN_S:
            await trio.lowlevel.checkpoint()
            self._turn_began_at = trio.current_time()
        try:
            while (event := self.protocol.next_event()) is h11.NEED_DATA:
                await self._receive(limit_bytes)
        except CONNECTION_ERRORS as error:
            self.is_broken = True
            raise StreamBroken(endpoint=self.address) from error
        return event

    async def _receive(self, limit_bytes: int) -> None:
        if self._received_bytes >= limit_bytes:
            raise AnswerTooLong(endpoint=self.address, limit_bytes=limit_bytes)
        called_at = trio.current_time()
        # The duration of the call does not tell whether it waited for the peer: other
        # tasks run before it returns.
        waits = self.is_quiet()
        self.loop_watch.begin_wait()
        try:
            data = await self.stream.receive_some(READ_BYTES)
        finally:
            self.loop_watch.end_wait()
        now = trio.current_time()
        if waits:
            self.seen_open_at = max(called_at, self.loop_watch.awake_at)
        if data:
            self._record_arrival(now)
        else:
            self.end_delay_s = now - self._seen_running_at
            self.end_unread_s = now - self.seen_open_at
            self.end_silence_s = now - self._arrived_at
        self._received_bytes += len(data)
        self._turn_began_at = now
        self.protocol.receive_data(data)

    def _record_arrival(self, now: float) -> None:
        """Record when the peer was last seen to run, after bytes were received.

        That nothing waited here shows when the bytes arrived, and not when they were
        sent: a link may have held them back for as long as nothing had arrived, and
        passes on what it held in several parts.
        """
        silence_s = now - self._arrived_at
        self._arrived_at = self.seen_open_at
        if silence_s > MAX_END_DELAY_S:
            self._release_ends_at = now + RELEASE_S
        elif now >= self._release_ends_at:
            self._seen_running_at = self._arrived_at

    def check_broken(self) -> bool:
        """Return whether the connection broke; a reset may follow a regular end."""
        sock = self.stream.socket
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.is_broken = True
        return self.is_broken

    def is_request_received(self) -> bool:
        """Return whether the peer's kernel has acknowledged the whole request."""
        if not self.request_sent:
            return False
        try:
            pending = fcntl.ioctl(self.stream.socket, termios.TIOCOUTQ, bytes(4))
        except OSError:
            # The system does not tell it; the request was handed over whole.
            return True
        return not any(pending)

    def was_open_at(self, time_s: float) -> bool:
        """Return whether the peer is the process that had the address at a time.

        The connection was open then, or opened so soon after that the next process
        could not have the address yet.
        """
        return self.opened_at <= time_s + MAX_END_DELAY_S

    def is_reusable(self) -> bool:
        """Return whether another request can be sent on this connection."""
        states = (self.protocol.our_state, self.protocol.their_state)
        clean = self.protocol.trailing_data == (b"", False)
        done = states == (h11.DONE, h11.DONE)
        return self.request_sent and self.answer_ended and done and clean

    def is_alive(self) -> bool:
        """Return whether an idle connection is unexpired and has nothing to read."""
        return trio.current_time() < self.idle_until and self.is_quiet()

    def is_standby(self) -> bool:
        """Return whether a call on an idle connection can prove the end of an answer.

        All of its answers named their requests, so one that does not is no late copy of
        them.
        """
        return self.is_alive() and not self.has_unnamed_answer

    def is_quiet(self) -> bool:
        """Return whether there is nothing to read, not even an end."""
        return not self.stream.socket.is_readable()

    def close(self) -> None:
        """Close the connection immediately."""
        self.stream.socket.close()


@define(eq=False)
class OutboundPool:
    """Idle connections by address, and the number of open connections to each."""

    connect: Connector = connect
    loop_watch: LoopWatch = field(factory=LoopWatch)
    idle: dict[str, deque[OutboundConnection]] = field(factory=dict)
    open_count: dict[str, int] = field(factory=dict)
    _opened: dict[str, set[OutboundConnection]] = field(factory=dict)
    """The open connections by address."""
    _idle_closed_at: dict[str, float] = field(factory=dict)
    """When an endpoint was last found to have closed an idle connection, by address."""
    _spans: dict[str, tuple[ProcessSpan, ...]] = field(factory=dict)
    """When the processes at each address are known to have run."""
    _broken_at: dict[str, float] = field(factory=dict)
    """When a process last refused, closed or broke a connection, by address, unless
    the one that runs since then is known."""

    def count_open(self, address: str) -> int:
        """Return the number of open connections to an endpoint, including idle ones."""
        return self.open_count.get(address, 0)

    def count_ended(self, address: str) -> int:
        """Return the number of open connections whose answers ended with them."""
        return sum(
            connection.answer_ended and connection.protocol.trailing_data[1]
            for connection in self._opened.get(address, ())
        )

    async def acquire(
        self, address: str, new_connection: bool, limit: int | None = None
    ) -> OutboundConnection:
        """Return an idle connection, or a new one if none is alive or required.

        At most ``limit`` connections to the address are open, idle ones included; an
        idle one is closed to make room. Raises ``ConnectionsUsedUp`` and
        ``EndpointUnreachable``; in both cases nothing has been sent.
        """
        connection = None if new_connection else self._take_idle(address)
        if connection is None:
            if limit is not None:
                self._make_room(address, limit)
            connection = await self._open(address)
        self._discard_closed(address)
        return connection

    def _take_idle(self, address: str) -> OutboundConnection | None:
        """Return an idle connection that can be used, None if there is none.

        Those that were not used yet come first, and are left as standby connections.
        """
        idle = self.idle.get(address)
        while idle and idle[-1].request_sent:
            connection = idle.pop()
            if connection.is_alive():
                connection.start_next_request()
                return connection
            self._discard_idle(connection)
        return None

    async def open_standby(self, address: str, limit: int) -> None:
        """Open a connection and keep it idle; nothing is closed to make room for it.

        Raises ``EndpointUnreachable``.
        """
        if self.count_open(address) < limit:
            connection = await self._open(address)
            connection.idle_until = trio.current_time() + MAX_STANDBY_S
            self.idle.setdefault(address, deque()).appendleft(connection)

    def count_standbys(self, address: str) -> int:
        """Return the number of idle connections that ``take_standby`` may return."""
        idle = self.idle.get(address, ())
        return sum(connection.is_standby() for connection in idle)

    def take_standby(self, answered: OutboundConnection) -> OutboundConnection | None:
        """Return an idle connection to the process that sent an answer, None without.

        See ``OutboundConnection.is_standby``.
        """
        idle = self.idle.get(answered.address, deque())
        for connection in idle:
            if connection.is_standby() and connection.was_open_at(answered.sent_at):
                idle.remove(connection)
                connection.start_next_request()
                return connection
        return None

    def _discard_closed(self, address: str) -> None:
        """Close the idle connections that the endpoint has closed.

        What is found later was then closed after the next request was sent.
        """
        idle = self.idle.get(address, deque())
        for connection in [other for other in idle if not other.is_quiet()]:
            idle.remove(connection)
            self._discard_idle(connection)

    def _make_room(self, address: str, limit: int) -> None:
        """Close idle connections until another one may be opened."""
        idle = self.idle.get(address)
        while self.count_open(address) >= limit:
            if not idle:
                raise ConnectionsUsedUp(endpoint=address)
            get_metrics().count("idle_connections_displaced")
            self.discard(idle.popleft())

    async def _open(self, address: str) -> OutboundConnection:
        host, _, port = address.partition(":")
        self.open_count[address] = self.count_open(address) + 1
        stream = None
        try:
            stream = await self.connect(
                host, int(port), CONNECT_TIMEOUT_S, USER_TIMEOUT_MS
            )
        finally:
            if stream is None:
                self._record_closed(address)
        get_metrics().count("endpoint_connections")
        if stream is None:
            self.record_broken(address)
            raise EndpointUnreachable(endpoint=address)
        connection = OutboundConnection(
            address,
            stream,
            opened_at=trio.current_time(),
            loop_watch=self.loop_watch,
        )
        self._opened.setdefault(address, set()).add(connection)
        return connection

    def has_same_process(self, connection: OutboundConnection) -> bool | None:
        """Return whether the process that received the current request still runs.

        Only one process has the address at a time. Connections that were open when the
        request was sent, and are open still, show that it is the same one. Returns
        False if the endpoint has closed such connections, and None without any. Those
        that it closed well before the end of this one had been idle for too long, and
        one that was not used may be closed at any time.

        A link that held the end of this one back may still hold those of the others.
        """
        address = connection.address
        before_end_at = max(connection.sent_at, connection.seen_open_at)
        others = [
            other
            for other in self._opened.get(address, ())
            if other is not connection
            and other.opened_at < before_end_at
            and other.was_open_at(connection.sent_at)
        ]
        if any(other.is_quiet() for other in others):
            return True
        has_closed = any(
            other.request_sent and other in self.idle.get(address, ())
            for other in others
        )
        closed_at = self._idle_closed_at.get(address, float("-inf"))
        # A process that ends closes all of its connections at once.
        ended_after = max(
            connection.sent_at, connection.seen_open_at - MAX_CLOSE_SPREAD_S
        )
        return False if has_closed or closed_at >= ended_after else None

    def record_answered(
        self, connection: OutboundConnection, started_ms: int = 0
    ) -> None:
        """Record that an answer to the current request has begun.

        ``started_ms`` is the start of the process, if the answer tells it.
        """
        connection.answered_at = connection.sent_at
        address = connection.address
        span = ProcessSpan(connection.opened_at, connection.sent_at, started_ms)
        self._spans[address] = add_span(self._spans.get(address, ()), span)

    def record_broken(self, address: str) -> None:
        """Record that a process may have ended and the next one have its address."""
        self._broken_at[address] = trio.current_time()

    def record_known(self, connection: OutboundConnection) -> None:
        """Record that the process at the other end is the announced one."""
        if self._broken_at.get(connection.address, inf) < connection.opened_at:
            del self._broken_at[connection.address]

    def is_process_unknown(self, address: str) -> bool:
        """Return whether the process at an address may not be the announced one."""
        return address in self._broken_at

    def get_latest_start(self, address: str) -> int:
        """Return the start of the process that was last known to run at an address.

        0 if it has not told that. The one before may have told a later start, as the
        clock of its VM may have been set back.
        """
        spans = self._spans.get(address)
        return spans[-1].started_ms if spans else 0

    def find_span(self, connection: OutboundConnection) -> ProcessSpan:
        """Return when the process at the other end is known to have run.

        That is the moment of the opening for a connection without an answer.
        """
        if connection.answered_at is None:
            return ProcessSpan(connection.opened_at, connection.opened_at)
        span = ProcessSpan(connection.opened_at, connection.answered_at)
        return find_span(self._spans.get(connection.address, ()), span)

    def release(
        self, connection: OutboundConnection, keep_alive_s: float | None
    ) -> None:
        """Return a reusable connection to the pool, or close it."""
        if not connection.is_reusable() or keep_alive_s == 0:
            self.discard(connection)
            return
        idle_s = MAX_IDLE_S if keep_alive_s is None else keep_alive_s * KEEP_ALIVE_RATIO
        connection.idle_until = trio.current_time() + min(idle_s, MAX_IDLE_S)
        self.idle.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: OutboundConnection) -> None:
        """Close a connection."""
        connection.close()
        self._record_closed(connection.address)
        opened = self._opened[connection.address]
        opened.remove(connection)
        if not opened:
            del self._opened[connection.address]

    def _discard_idle(self, connection: OutboundConnection) -> None:
        """Close an idle connection, which the endpoint may have closed."""
        if connection.request_sent and not connection.is_quiet():
            self._idle_closed_at[connection.address] = trio.current_time()
            self.record_broken(connection.address)
        self.discard(connection)

    def _record_closed(self, address: str) -> None:
        remaining = self.open_count.get(address, 1) - 1
        if remaining > 0:
            self.open_count[address] = remaining
        else:
            self.open_count.pop(address, None)

    def close_expired(self) -> None:
        """Close idle connections that have expired or become readable."""
        for address, idle in list(self.idle.items()):
            for connection in [one for one in idle if not one.is_alive()]:
                idle.remove(connection)
                self._discard_idle(connection)
            if not idle:
                del self.idle[address]
        now = trio.current_time()
        for address, closed_at in list(self._idle_closed_at.items()):
            if closed_at < now - CLOSED_RETENTION_S:
                del self._idle_closed_at[address]
        for address, broken_at in list(self._broken_at.items()):
            if broken_at < now - SPAN_RETENTION_S:
                del self._broken_at[address]
        for address, spans in list(self._spans.items()):
            if spans[-1].until < now - SPAN_RETENTION_S:
                del self._spans[address]

    def close_address(self, address: str) -> None:
        """Close the idle connections to a departed endpoint."""
        for connection in self.idle.pop(address, ()):
            self.discard(connection)
