"""A TCP proxy that simulates network failures in front of a process.

During a cut, connections stay open but no data passes, and neither end is notified.
``silence_open_connections`` does the same to the connections that are open now, while
new ones work. While a direction is stalled, its data and its end wait, as packets do
that are sent again and again. Without a fault, a regular close arrives as one and a
reset as a reset.
"""

from collections.abc import Iterable

import trio
from attrs import define, field

from medlarrail.transport.sockets import set_reset_on_close

PART_BYTES = 65536
TO_TARGET = "to target"
TO_CALLER = "to caller"
NETWORK_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@define(eq=False)
class ProxiedConnection:
    """State of one connection through the proxy."""

    streams: list[trio.SocketStream]
    silent: bool = False
    broken: bool = False
    """Whether one end has reset it."""

    def reset(self) -> None:
        """Reset both ends."""
        self.broken = True
        for stream in self.streams:
            if stream.socket.fileno() >= 0:
                set_reset_on_close(stream.socket, True)
                stream.socket.close()


@define(eq=False)
class FaultProxy:
    """Forwards connections from ``port`` to ``target_port``."""

    host: str
    port: int
    target_port: int
    cut: bool = False
    delay_s: float = 0.0
    """Time by which each part is late."""
    connections: set[ProxiedConnection] = field(factory=set)
    _stalled: frozenset[str] = frozenset()
    _resumed: trio.Event = field(factory=trio.Event)
    _listening: trio.CancelScope = field(factory=trio.CancelScope)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        async with trio.open_nursery() as nursery:
            with self._listening:
                await trio.serve_listeners(
                    self._serve,
                    listeners,
                    handler_nursery=nursery,
                    task_status=task_status,
                )

    def stop_listening(self) -> None:
        """Refuse new connections; those that are open go on."""
        self._listening.cancel()

    def silence_open_connections(self) -> None:
        """Stop forwarding on every open connection permanently."""
        for connection in self.connections:
            connection.silent = True

    def stall(self, directions: Iterable[str]) -> None:
        """Hold back what is sent in these directions until ``resume``."""
        self._stalled = frozenset(directions)

    def resume(self) -> None:
        """Forward at once what was held back."""
        self._stalled = frozenset()
        self._resumed.set()
        self._resumed = trio.Event()

    def end_faults(self) -> None:
        """Forward at once again; what was lost stays lost."""
        self.cut, self.delay_s = False, 0.0
        self.resume()

    async def _serve(self, caller_stream: trio.SocketStream) -> None:
        connection = ProxiedConnection([caller_stream])
        self.connections.add(connection)
        try:
            await self._wait_passable(TO_TARGET)
            target_stream = await trio.open_tcp_stream(self.host, self.target_port)
            connection.streams.append(target_stream)
            async with caller_stream, target_stream, trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, caller_stream, target_stream, connection, TO_TARGET
                )
                await self._forward(target_stream, caller_stream, connection, TO_CALLER)
        except NETWORK_ERRORS:
            connection.reset()
        finally:
            self.connections.discard(connection)

    async def _wait_passable(self, direction: str) -> None:
        await trio.sleep(self.delay_s)
        while direction in self._stalled:
            await self._resumed.wait()

    async def _forward(
        self, source, sink, connection: ProxiedConnection, direction: str
    ) -> None:
        try:
            async for part in source:
                await self._wait_passable(direction)
                connection.silent |= self.cut
                if not connection.silent:
                    await sink.send_all(part)
            await self._wait_passable(direction)
            connection.silent |= self.cut
            # The kernel reports a reset once, to the sending or to the receiving end.
            if not connection.silent and not connection.broken:
                await sink.send_eof()
        except NETWORK_ERRORS:
            connection.broken = True
            await self._wait_passable(direction)
            if not connection.silent and not self.cut:
                connection.reset()
