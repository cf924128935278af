"""Paths from one gateway to endpoints on loopback, which can be cut.

``CutPaths.connect`` takes the place of the connector of a gateway's pool. Every
connection passes through a proxy of its own, so that a cut concerns this gateway alone.
"""

from contextlib import suppress
from typing import Literal

import trio
from attrs import define, field

from medlarrail.testing.fault_proxy import FaultProxy
from medlarrail.testing.scripted_endpoints import HOST
from medlarrail.transport.sockets import connect, set_reset_on_close

CutMode = Literal["", "hanging", "reset", "refused"]
"""``hanging``: packets are lost. ``reset``: open connections are reset and new ones
refused. ``refused``: open connections continue to work, and new ones are refused."""


@define(eq=False)
class CutPaths:
    """The paths of one gateway."""

    nursery: trio.Nursery
    mode: CutMode = ""
    loss_rate: float = 0.0
    """Fraction of the attempts to connect that fail."""
    attempts: int = 0
    _cut_ports: frozenset[int] = frozenset()
    """Ports of the endpoints that are cut, none for all."""
    _proxies: dict[int, FaultProxy] = field(factory=dict)
    _streams: list[tuple[int, trio.SocketStream]] = field(factory=list)

    def cut(self, mode: CutMode, ports: frozenset[int] = frozenset()) -> None:
        """Cut the paths to the endpoints at ``ports``, or to all."""
        self.mode = mode
        self._cut_ports = ports
        for port, proxy in self._proxies.items():
            if mode == "hanging" and self._is_cut(port):
                proxy.silence_open_connections()
        if mode == "reset":
            for port, stream in self._streams:
                if self._is_cut(port) and stream.socket.fileno() >= 0:
                    set_reset_on_close(stream, True)
                    # The endpoint may have closed the connection already.
                    with suppress(OSError):
                        stream.socket.shutdown(trio.socket.SHUT_RDWR)
        self._streams = [
            (port, stream)
            for port, stream in self._streams
            if stream.socket.fileno() >= 0
        ]

    def heal(self) -> None:
        """End the cut; connections that were silenced stay so."""
        self.mode = ""

    def _is_cut(self, port: int) -> bool:
        return bool(self.mode) and (not self._cut_ports or port in self._cut_ports)

    async def connect(
        self, host: str, port: int, timeout_s: float, user_timeout_ms: int
    ) -> trio.SocketStream | None:
        """See ``medlarrail.transport.sockets.connect``."""
        self.attempts += 1
        is_lost = self.loss_rate and self.attempts % round(1 / self.loss_rate) == 0
        if is_lost or (self._is_cut(port) and self.mode == "hanging"):
            await trio.sleep(timeout_s)
            return None
        if self._is_cut(port):
            await trio.lowlevel.checkpoint()
            return None
        proxy = await self._get_proxy(port)
        stream = await connect(HOST, proxy.port, timeout_s, user_timeout_ms)
        if stream is not None:
            self._streams.append((port, stream))
        return stream

    async def _get_proxy(self, port: int) -> FaultProxy:
        proxy = self._proxies.get(port)
        if proxy is None:
            proxy = self._proxies[port] = FaultProxy(HOST, 0, port)
            listeners = await self.nursery.start(proxy.run)
            proxy.port = listeners[0].socket.getsockname()[1]
        return proxy
