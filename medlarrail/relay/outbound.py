"""Connections to endpoints: one request at a time, and kept ones that still live.

A connection is kept only when its answer ended where it should and nothing
followed. A kept one that turned readable was closed or holds bytes of no
request, and is not used again.
"""

from collections import deque
from collections.abc import AsyncIterator

import h11
import trio
from attrs import define, field, frozen

from medlarrail.core.errors import EndpointUnreachable, StreamBroken
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.calls import Header
from medlarrail.transport.sockets import connect

CONNECT_TIMEOUT_S = 0.25
"""Time to make a connection: many round trips, and short against every aim."""
USER_TIMEOUT_MS = 1000
"""Time in which an endpoint's kernel has to acknowledge what was sent."""
READ_BYTES = 65536
LARGEST_HEAD_BYTES = 65536
KEPT_IDLE_S = 4.0
"""Idle time after which a connection is not used again, where the endpoint does
not say how long it keeps one."""
KEPT_SHARE = 0.7
"""Part of the endpoint's own idle time for which a connection is used again."""
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)


@frozen
class AnswerHead:
    """Status and headers of an answer as they came."""

    status: int
    headers: tuple[Header, ...] = field(repr=False)


@define(eq=False)
class OutboundConnection:
    """One connection to the endpoint at ``address``."""

    address: str
    stream: trio.SocketStream
    protocol: h11.Connection = field(
        factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES
        )
    )
    idle_until: float = 0.0
    sent: bool = False
    """Whether all bytes of the request went out."""
    ended: bool = False
    """Whether the answer came to its end."""

    async def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a whole request; a broken connection shows at the reading."""
        self.sent = self.ended = False
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.protocol.send(request)
        if body:
            data += self.protocol.send(h11.Data(data=body))
        data += self.protocol.send(h11.EndOfMessage())
        try:
            await self.stream.send_all(data)
            self.sent = True
        except BROKEN as error:
            get_metrics().count("sends_broken", type=type(error).__name__)

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer; raises ``StreamBroken``."""
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                headers = tuple(event.headers.raw_items())
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise StreamBroken(endpoint=self.address)

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raises ``StreamBroken`` before its end."""
        while True:
            event = await self._read_event()
            if isinstance(event, h11.EndOfMessage):
                self.ended = True
                return
            if not isinstance(event, h11.Data):
                raise StreamBroken(endpoint=self.address)
            yield bytes(event.data)

    async def _read_event(self):
        try:
            while (event := self.protocol.next_event()) is h11.NEED_DATA:
                self.protocol.receive_data(await self.stream.receive_some(READ_BYTES))
        except BROKEN as error:
            raise StreamBroken(endpoint=self.address) from error
        return event

    def is_reusable(self) -> bool:
        """Return whether another request may follow on this connection."""
        states = (self.protocol.our_state, self.protocol.their_state)
        clean = self.protocol.trailing_data == (b"", False)
        done = states == (h11.DONE, h11.DONE)
        return self.sent and self.ended and done and clean

    def is_alive(self) -> bool:
        """Return whether an idle connection may be used now."""
        fresh = trio.current_time() < self.idle_until
        return fresh and not self.stream.socket.is_readable()

    def close(self) -> None:
        """Close at once."""
        self.stream.socket.close()


@define(eq=False)
class OutboundPool:
    """Kept connections by address, and how many are open to each."""

    idle: dict[str, deque[OutboundConnection]] = field(factory=dict)
    open_count: dict[str, int] = field(factory=dict)

    def count_open(self, address: str) -> int:
        """Return the connections open to an endpoint, the idle ones included."""
        return self.open_count.get(address, 0)

    async def take(self, address: str, fresh: bool) -> OutboundConnection:
        """Return a connection; raises ``EndpointUnreachable`` with nothing sent."""
        kept = self.idle.get(address)
        while kept and not fresh:
            connection = kept.pop()
            if connection.is_alive():
                connection.protocol.start_next_cycle()
                return connection
            self.discard(connection)
        return await self._open(address)

    async def _open(self, address: str) -> OutboundConnection:
        host, _, port = address.partition(":")
        self.open_count[address] = self.count_open(address) + 1
        stream = None
        try:
            stream = await connect(host, int(port), CONNECT_TIMEOUT_S, USER_TIMEOUT_MS)
        finally:
            if stream is None:
                self._note_closed(address)
        get_metrics().count("endpoint_connections")
        if stream is None:
            raise EndpointUnreachable(endpoint=address)
        return OutboundConnection(address, stream)

    def give_back(
        self, connection: OutboundConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection whose answer is whole, or close it."""
        if not connection.is_reusable() or keep_alive_s == 0:
            self.discard(connection)
            return
        kept_s = KEPT_IDLE_S if keep_alive_s is None else keep_alive_s * KEPT_SHARE
        connection.idle_until = trio.current_time() + min(kept_s, KEPT_IDLE_S)
        self.idle.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: OutboundConnection) -> None:
        """Close a connection."""
        connection.close()
        self._note_closed(connection.address)

    def _note_closed(self, address: str) -> None:
        left = self.open_count.get(address, 1) - 1
        if left > 0:
            self.open_count[address] = left
        else:
            self.open_count.pop(address, None)

    def drop_idle(self) -> None:
        """Close kept connections that are past their time."""
        for address, kept in list(self.idle.items()):
            while kept and not kept[0].is_alive():
                self.discard(kept.popleft())
            if not kept:
                del self.idle[address]

    def drop_address(self, address: str) -> None:
        """Close the kept connections to an endpoint that left."""
        for connection in self.idle.pop(address, ()):
            self.discard(connection)
