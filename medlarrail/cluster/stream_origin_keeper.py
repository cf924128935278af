"""Remembers on a state member at which software version streams began.

Entries have that in memory, too, but all of them may end at once. The origins of a
stream are needed only while its caller waits, so they are not written to disk.
"""

import trio
from attrs import define, field

from medlarrail.cluster.recent_origins import RecentOrigins
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.stream_origins import (
    QUERY_PREFIX,
    RECORD_PREFIX,
    REPLY_PREFIX,
    OriginQuery,
    OriginReply,
    StreamOrigin,
    StreamOrigins,
)
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

MAX_ORIGINS = 100_000
"""Maximum streams that are remembered, about 30 MB."""


@define(eq=False)
class StreamOriginKeeper:
    """Receives origins and answers queries at ``datagram_socket``."""

    datagram_socket: DatagramSocket
    clock: Clock = get_boottime
    _origins: RecentOrigins = field(init=False)

    def __attrs_post_init__(self):
        self._origins = RecentOrigins(MAX_ORIGINS, self.clock)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raises ``OSError`` if the address is in use."""
        await self.datagram_socket.open()
        task_status.started()
        try:
            while True:
                for body in await self.datagram_socket.receive():
                    self._handle(body[:1], body[1:])
        finally:
            self.datagram_socket.close()

    def _handle(self, prefix: bytes, body: bytes) -> None:
        if prefix == RECORD_PREFIX:
            told = decode_datagram(body, StreamOrigins, "origins_unreadable")
            for origin in told.origins if told is not None else ():
                self._keep(origin)
        elif prefix == QUERY_PREFIX:
            query = decode_datagram(body, OriginQuery, "origins_unreadable")
            if query is not None:
                self._answer(query)
        else:
            get_metrics().count("origins_unreadable", type="prefix")

    def _keep(self, origin: StreamOrigin) -> None:
        if self._origins.add(origin) != origin:
            get_metrics().count("origins_contradicted")

    def _answer(self, query: OriginQuery) -> None:
        reply = OriginReply(query.number, self._origins.find(query.stream))
        self.datagram_socket.send([query.reply_to], REPLY_PREFIX + encode(reply))
