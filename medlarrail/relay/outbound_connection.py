"""One connection to an endpoint, used for one request at a time."""

import fcntl
import socket
import termios
from collections.abc import AsyncIterator

import h11
import trio
from attrs import define, field, frozen

from medlarrail.core.errors import AnswerTooLong, StreamBroken
from medlarrail.core.loop_watch import LoopWatch
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import MAX_END_DELAY_S
from medlarrail.relay.arrival_times import ArrivalTimes
from medlarrail.relay.metadata import Header
from medlarrail.transport.framing import Framing, get_framing

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
CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


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
    arrivals: ArrivalTimes = field(factory=ArrivalTimes)
    has_unnamed_answer: bool = False
    """Whether an answer named no request: a late copy of it is not recognized."""
    loop_watch: LoopWatch = field(factory=LoopWatch)
    _received_bytes: int = 0
    """Bytes received since the request was sent."""
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
        self.sent_at = trio.current_time()
        self.arrivals.begin(self.sent_at)
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
            self.arrivals.record_quiet(max(called_at, self.loop_watch.awake_at))
        if data:
            self.arrivals.record_bytes(now)
        else:
            self.arrivals.record_end(now)
        self._received_bytes += len(data)
        self._turn_began_at = now
        self.protocol.receive_data(data)

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
