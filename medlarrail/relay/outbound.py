"""Pool of connections to endpoints, each used for one request at a time.

A connection is reused only if its answer was complete and no bytes followed it. An
idle connection that becomes readable was closed by the endpoint or holds bytes that
belong to no request, and is not reused.
"""

from collections import deque
from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from medlarrail.core.errors import ConnectionsUsedUp, EndpointUnreachable
from medlarrail.core.loop_watch import LoopWatch
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.address_processes import AddressProcesses
from medlarrail.relay.outbound_connection import OutboundConnection
from medlarrail.transport.sockets import connect

CONNECT_TIMEOUT_S = 0.25
"""Connection timeout: many round trips, yet short compared to any latency target."""
USER_TIMEOUT_MS = 2000
"""Maximum time for an endpoint's kernel to acknowledge sent data or a keep-alive probe.
Sound endpoints fall silent for a second or so and go on."""
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
KEEP_ALIVE_RATIO = 0.7
"""Fraction of the endpoint's keep-alive time for which a connection is reused."""

Connector = Callable[[str, int, float, int], Awaitable[trio.SocketStream | None]]
"""See ``medlarrail.transport.sockets.connect``."""


@define(eq=False)
class OutboundPool:
    """Idle connections by address, and the number of open connections to each."""

    connect: Connector = connect
    loop_watch: LoopWatch = field(factory=LoopWatch)
    idle: dict[str, deque[OutboundConnection]] = field(factory=dict)
    open_count: dict[str, int] = field(factory=dict)
    processes: AddressProcesses = field(factory=AddressProcesses)
    _opened: dict[str, set[OutboundConnection]] = field(factory=dict)
    """The open connections by address."""
    _idle_closed_at: dict[str, float] = field(factory=dict)
    """When an endpoint was last found to have closed an idle connection, by address."""

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
            self.processes.record_broken(address)
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
        before_end_at = max(connection.sent_at, connection.arrivals.seen_open_at)
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
            connection.sent_at, connection.arrivals.seen_open_at - MAX_CLOSE_SPREAD_S
        )
        return False if has_closed or closed_at >= ended_after else None

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
            self.processes.record_broken(connection.address)
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
        self.processes.remove_expired(now)

    def close_address(self, address: str) -> None:
        """Close the idle connections to a departed endpoint."""
        for connection in self.idle.pop(address, ()):
            self.discard(connection)
