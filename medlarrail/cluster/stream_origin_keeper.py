"""Remembers on a state member at which software version streams began.

Entries have that in memory, too, but all of them may end at once. The origins of a
stream are needed only while its caller waits, so they are not written to disk.
"""

from sys import intern

import trio
from attrs import define, evolve, field

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
"""Maximum streams that are remembered, about 70 MB."""
CHECK_INTERVAL_S = 0.1
"""Interval at which the time is noted up to which no datagram has arrived."""


@define(eq=False)
class StreamOriginKeeper:
    """Receives origins and answers queries at ``datagram_socket``."""

    datagram_socket: DatagramSocket
    clock: Clock = get_boottime
    origins: RecentOrigins = field(init=False)
    _drained_at: float = 0.0
    """Latest time at which no datagram was waiting: after a suspension of the process,
    those that are received may have waited for all of it."""
    _dropped: int = 0
    """Datagrams that did not fit in the socket, as far as that is noted."""

    def __attrs_post_init__(self):
        self.origins = RecentOrigins(MAX_ORIGINS, self.clock)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raises ``OSError`` if the address is in use."""
        await self.datagram_socket.open()
        task_status.started()
        try:
            while True:
                await self.receive()
        finally:
            self.datagram_socket.close()

    async def receive(self) -> None:
        """Handle the datagrams that have arrived, or arrive within a moment."""
        self._note_drained()
        with trio.move_on_after(CHECK_INTERVAL_S):
            bodies = await self.datagram_socket.receive()
            self._note_dropped()
            for body in bodies:
                self._handle(body[:1], body[1:])

    def _note_dropped(self) -> None:
        """Note that datagrams did not fit in the socket, as after a suspension."""
        dropped = self.datagram_socket.dropped
        if dropped != self._dropped:
            get_metrics().count("origins_dropped")
            self._dropped = dropped
            self.origins.mark_lost()

    def _note_drained(self) -> None:
        now = self.clock()
        if not self.datagram_socket.has_arrived():
            self._drained_at = now

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
        waited_s = self.clock() - self._drained_at
        origin = evolve(
            origin,
            # The same few names in all origins; each would take 60 bytes.
            service=intern(origin.service),
            software_version=intern(origin.software_version),
            endpoint=intern(origin.endpoint),
            open_for_s=round(origin.open_for_s - waited_s, 3),
        )
        kept = self.origins.add(origin)
        if kept.contradicts(origin):
            get_metrics().count("origins_contradicted")

    def _answer(self, query: OriginQuery) -> None:
        reply = OriginReply(
            query.number,
            self.origins.find(query.stream),
            round(self.origins.get_kept_for_s(), 3),
            self.origins.list_candidates(query.content) if query.content else None,
        )
        self.datagram_socket.send([query.reply_to], REPLY_PREFIX + encode(reply))
