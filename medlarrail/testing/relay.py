"""A TCP relay before a process that can let connections go silent.

In a cut, connections stay open and nothing passes: neither end is told. ``lose``
does that to the connections that are open now, while new ones work.
"""

import trio
from attrs import define, field

PART_BYTES = 65536


@define(eq=False)
class Path:
    """One relayed connection."""

    silent: bool = False


@define
class Relay:
    """Relays connections from a port of its own to ``target_port``."""

    host: str
    port: int
    target_port: int
    cut: bool = False
    paths: set[Path] = field(factory=set)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        await trio.serve_tcp(
            self._serve, self.port, host=self.host, task_status=task_status
        )

    def lose(self) -> None:
        """Let every connection that is open now go silent for good."""
        for path in self.paths:
            path.silent = True

    async def _serve(self, near: trio.SocketStream) -> None:
        path = Path()
        self.paths.add(path)
        try:
            far = await trio.open_tcp_stream(self.host, self.target_port)
            async with near, far, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, path, nursery)
                await self._pump(far, near, path, nursery)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.paths.discard(path)

    async def _pump(self, source, sink, path: Path, nursery) -> None:
        try:
            async for part in source:
                if self.cut:
                    path.silent = True
                if not path.silent:
                    await sink.send_all(part)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if not path.silent:
            nursery.cancel_scope.cancel()
