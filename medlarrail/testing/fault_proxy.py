"""A TCP proxy that simulates network failures in front of a process.

During a cut, connections stay open but no data passes, and neither end is notified.
``silence_open_connections`` does the same to the connections that are open now, while
new ones work.
"""

import trio
from attrs import define, field

PART_BYTES = 65536


@define(eq=False)
class ProxiedConnection:
    """State of one connection through the proxy."""

    silent: bool = False


@define
class FaultProxy:
    """Forwards connections from ``port`` to ``target_port``."""

    host: str
    port: int
    target_port: int
    cut: bool = False
    connections: set[ProxiedConnection] = field(factory=set)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Forward connections until cancelled."""
        await trio.serve_tcp(
            self._serve, self.port, host=self.host, task_status=task_status
        )

    def silence_open_connections(self) -> None:
        """Stop forwarding on every open connection permanently."""
        for connection in self.connections:
            connection.silent = True

    async def _serve(self, caller_stream: trio.SocketStream) -> None:
        connection = ProxiedConnection()
        self.connections.add(connection)
        try:
            target_stream = await trio.open_tcp_stream(self.host, self.target_port)
            async with caller_stream, target_stream, trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, caller_stream, target_stream, connection, nursery
                )
                await self._forward(target_stream, caller_stream, connection, nursery)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.connections.discard(connection)

    async def _forward(
        self, source, sink, connection: ProxiedConnection, nursery
    ) -> None:
        try:
            async for part in source:
                if self.cut:
                    connection.silent = True
                if not connection.silent:
                    await sink.send_all(part)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if not connection.silent:
            nursery.cancel_scope.cancel()
