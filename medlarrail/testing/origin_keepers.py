"""Keepers of streams' origins on loopback, and gateways that tell and ask them."""

import trio
import trio.testing
from attrs import define, field

from medlarrail.cluster.stream_origin_keeper import StreamOriginKeeper
from medlarrail.relay.stream_origins import StreamOriginDirectory
from medlarrail.testing.scripted_endpoints import CLUSTER_KEY, HOST
from medlarrail.transport.datagrams import DatagramSocket


@define(eq=False)
class KeeperHost:
    """A keeper of streams' origins on loopback, which can lose its memory."""

    nursery: trio.Nursery
    address: str = f"{HOST}:0"
    _scope: trio.CancelScope = field(factory=trio.CancelScope)

    async def start(self, kept_for_s: float = 0.0) -> None:
        """Start the keeper at its address, or at any if it has none yet.

        It has been told of no stream for ``kept_for_s`` seconds.
        """
        datagram_socket = DatagramSocket(self.address, CLUSTER_KEY.decode())
        keeper = StreamOriginKeeper(datagram_socket)
        keeper.origins.complete_since -= kept_for_s
        await self.nursery.start(self._run, keeper)
        self.address = f"{HOST}:{datagram_socket.get_port()}"

    async def _run(self, keeper: StreamOriginKeeper, task_status) -> None:
        with trio.CancelScope() as self._scope:
            await keeper.run(task_status)

    async def restart(self, kept_for_s: float = 0.0) -> None:
        """End the keeper, and start one that knows nothing."""
        self.stop()
        await trio.testing.wait_all_tasks_blocked()
        await self.start(kept_for_s)

    def stop(self) -> None:
        """End the keeper."""
        self._scope.cancel()


async def connect_origins(
    nursery: trio.Nursery, origins: StreamOriginDirectory
) -> None:
    """Open a gateway's socket for datagrams to the state members that it lists."""
    datagram_socket = DatagramSocket(f"{HOST}:0", CLUSTER_KEY.decode())
    await datagram_socket.open()
    origins.connect(datagram_socket, f"{HOST}:{datagram_socket.get_port()}")

    async def receive() -> None:
        while True:
            for body in await datagram_socket.receive():
                origins.handle_reply(body[1:])

    nursery.start_soon(receive)
