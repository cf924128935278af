"""Remembers on a state member at which software version streams began.

Entries have that in memory, too, but all of them may end at once. The origins of a
stream are needed only while its caller waits, so they are not written to disk.
"""

from collections import OrderedDict

import trio
from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
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


@define
class KeptOrigin:
    """An origin and when it was last told."""

    origin: StreamOrigin
    told_at: float


@define(eq=False)
class StreamOriginKeeper:
    """Receives origins and answers queries at ``datagram_socket``."""

    datagram_socket: DatagramSocket
    clock: Clock = get_boottime
    _kept: OrderedDict[str, KeptOrigin] = field(factory=OrderedDict)
    """Origins by the key of their stream, the latest told last."""

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
        """Remember an origin; the first one of a stream stays."""
        now = self.clock()
        kept = self._kept.setdefault(origin.stream, KeptOrigin(origin, now))
        if kept.origin != origin:
            get_metrics().count("origins_contradicted")
        kept.told_at = now
        self._kept.move_to_end(origin.stream)
        while len(self._kept) > MAX_ORIGINS or self._is_oldest_expired(now):
            self._kept.popitem(last=False)

    def _is_oldest_expired(self, now: float) -> bool:
        oldest = next(iter(self._kept.values()), None)
        return oldest is not None and now - oldest.told_at > STREAM_RETENTION_S

    def _answer(self, query: OriginQuery) -> None:
        kept = self._kept.get(query.stream)
        reply = OriginReply(query.number, kept.origin if kept is not None else None)
        self.datagram_socket.send([query.reply_to], REPLY_PREFIX + encode(reply))
