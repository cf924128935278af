"""Remembers at which software version streams began, and asks others about theirs.

Two state members are told of each stream that a caller may take up elsewhere, before
its first event is sent. That does not depend on the versions that are listed: a process
that has not announced itself may have another one.
"""

import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.recent_origins import RecentOrigins
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import get_weight
from medlarrail.policy.stream_versions import RELEARNING_S, is_never_told
from medlarrail.protocol.stream_origins import (
    MAX_CANDIDATES,
    QUERY_PREFIX,
    RECORD_PREFIX,
    OriginQuery,
    OriginReply,
    StreamOrigin,
    StreamOrigins,
    get_stream_key,
)
from medlarrail.transport.datagram_queries import DatagramQueries
from medlarrail.transport.datagrams import DatagramSocket

KEEPER_COUNT = 2
"""State members that are told of a stream."""
REPLY_TIMEOUT_S = 0.05
"""Maximum wait for a reply: several round trips, yet short for a caller."""
MAX_QUERIES = 2
"""Attempts to get a reply, since a datagram may be lost."""
MAX_ORIGINS = 20_000
"""Maximum streams that are remembered, about 14 MB."""
NO_REPLY = "no keeper replied"
"""Reason in logs: too few state members reply."""
MAX_TRANSIT_S = 0.1
"""Maximum time that a datagram takes to a state member."""


@frozen
class BeginConnection:
    """The connection to ``endpoint`` on which the first event of a stream was sent.

    It was open from ``opened_at`` to ``closed_at``, on trio's clock, or longer. As far
    as these are uncertain, ``opened_at`` is too late and ``closed_at`` too early.
    """

    endpoint: str
    opened_at: float
    closed_at: float


@frozen
class FoundOrigin:
    """The origin of a stream, None if it is not known to anyone who replied."""

    origin: StreamOrigin | None
    keepers_replied: bool = False
    connection: BeginConnection | None = None
    """None if the origin is proven, or told by a program that does not know it."""
    never_told: bool = False
    """Whether a member that would know a stream of which it was told does not."""
    keepers: dict[str, str] = field(factory=dict, eq=False)
    """For the log, what each member replied that was asked: ``known``, ``unknown``,
    ``forgotten`` if it has started since, ``unanswered``, or ``asked`` if another one
    was faster. Empty if this entry knew the origin."""


def build_connection(
    origin: StreamOrigin | None, delay_s: float = 0.0
) -> BeginConnection | None:
    """Return the connection of an origin, whose times may be earlier by a delay."""
    if origin is None or origin.proven or not origin.endpoint:
        return None
    opened_at = trio.current_time() - origin.opened_ago_s
    closed_at = opened_at + origin.open_for_s - delay_s
    return BeginConnection(origin.endpoint, opened_at, closed_at)


@define(eq=False)
class StreamOriginDirectory:
    """The origins of this entry's streams, and the state members that keep them."""

    cluster_view: ClusterView
    clock: Clock = get_boottime
    _own: RecentOrigins = field(init=False)
    """Origins of the streams that this entry served."""
    _datagram_socket: DatagramSocket | None = None
    _work_address: str = ""
    _queries: DatagramQueries | None = None

    def __attrs_post_init__(self):
        self._own = RecentOrigins(MAX_ORIGINS, self.clock)

    def connect(self, datagram_socket: DatagramSocket, work_address: str) -> None:
        """Use a socket, whose address others know as ``work_address``."""
        self._datagram_socket = datagram_socket
        self._work_address = work_address
        self._queries = DatagramQueries(datagram_socket, QUERY_PREFIX, OriginReply)

    def handle_reply(self, body: bytes) -> None:
        """Pass a keeper's reply to the query that waits for it."""
        self._queries.handle_reply(body)

    def list_members(self, stream: str) -> list[str]:
        """Return the addresses of the state members, the stream's keepers first."""
        addresses = [url.partition("://")[2] for url in self.cluster_view.member_urls]
        addresses.sort(key=lambda address: get_weight(address, stream), reverse=True)
        return addresses

    def record(
        self,
        request_id: str,
        service: str,
        software_version: str,
        connection: BeginConnection | None = None,
        proven: bool = False,
        resumable: bool = True,
        content: str = "",
    ) -> tuple[str, ...]:
        """Record a stream of which events are about to be sent.

        Returns the addresses of the state members that are told of it.

        ``connection`` is that of its first event, None if it is not known. State
        members are told of it if its route is ``resumable``. ``content`` is the key by
        which they find it for callers that do not name the request.
        """
        stream = get_stream_key(request_id)
        if proven or connection is None:
            origin = StreamOrigin(
                stream, service, software_version, proven=proven, content=content
            )
        else:
            opened_at = connection.opened_at
            origin = StreamOrigin(
                stream,
                service,
                software_version,
                connection.endpoint,
                round(trio.current_time() - opened_at, 3),
                round(connection.closed_at - opened_at, 3),
                content=content,
            )
        origin = self._own.add(origin)
        return self._tell(origin) if resumable else ()

    def _tell(self, origin: StreamOrigin) -> tuple[str, ...]:
        if self._datagram_socket is None:
            return ()
        body = RECORD_PREFIX + encode(StreamOrigins((origin,)))
        keepers = self.list_members(origin.stream)[:KEEPER_COUNT]
        self._datagram_socket.send(keepers, body)
        return tuple(keepers)

    async def find(self, request_id: str) -> FoundOrigin:
        """Return the origin of the stream that this request began."""
        stream = get_stream_key(request_id)
        own = self._own.find(stream)
        if own is not None:
            return FoundOrigin(own, connection=build_connection(own))
        if self._queries is None:
            return FoundOrigin(None)
        asked_at = trio.current_time()
        members = self.list_members(stream)
        keepers: dict[str, str] = {}
        replies = await self._ask(members[:KEEPER_COUNT], stream, keepers)
        origin = _find_origin(replies)
        if origin is None:
            # An entry that lists other members may have told another one.
            others = await self._ask(members[KEEPER_COUNT:], stream, keepers)
            origin = _find_origin(others)
        never_told = origin is None and any(
            is_never_told(reply.kept_for_s) for reply in replies
        )
        get_metrics().count(
            "stream_origins_asked", status=_get_status(origin, replies, never_told)
        )
        delay_s = MAX_TRANSIT_S + trio.current_time() - asked_at
        connection = build_connection(origin, delay_s)
        return FoundOrigin(origin, bool(replies), connection, never_told, keepers)

    async def list_candidates(
        self, content: str
    ) -> tuple[list[FoundOrigin], str, dict[str, str]]:
        """Return the origins of all streams whose request had a content.

        Also returns why some may be missing, empty if none is, and what each member
        replied. Each stream was told to ``KEEPER_COUNT`` members, so one of those that
        reply knows it if fewer than that do not.
        """
        if self._queries is None:
            return [], NO_REPLY, {}
        asked_at = trio.current_time()
        members = self.list_members(content)
        replied: dict[str, str] = {}
        replies = await self._ask(members, "", replied, content)
        delay_s = MAX_TRANSIT_S + trio.current_time() - asked_at
        kept = [reply for reply in replies if reply.candidates is not None]
        complete = [one for one in kept if one.kept_for_s >= RELEARNING_S]
        # Both keepers of a stream tell it, and one may not know that it is proven.
        told = sorted(
            (origin for reply in kept for origin in reply.candidates),
            key=lambda origin: origin.proven,
        )
        found = {
            origin.stream: FoundOrigin(origin, True, build_connection(origin, delay_s))
            for origin in told
        }
        # Members may not have got what they were told.
        for origin in self._own.list_candidates(content):
            connection = build_connection(origin)
            found.setdefault(origin.stream, FoundOrigin(origin, True, connection))
        reason = ""
        if len(complete) < max(1, len(members) - KEEPER_COUNT + 1):
            # A later answer would be wrong once those that forgot have run for longer.
            has_forgotten = len(complete) < len(kept)
            reason = "forgotten" if has_forgotten else NO_REPLY
        elif len(found) > MAX_CANDIDATES:
            reason = "too many streams of the same request"
        get_metrics().count("stream_contents_asked", status=reason or "complete")
        return list(found.values()), reason, replied

    async def _ask(
        self,
        addresses: list[str],
        stream: str,
        keepers: dict[str, str],
        content: str = "",
    ) -> list[OriginReply]:
        """Return the members' replies: those of all, or up to the first origin.

        Notes in ``keepers`` what each of them replied.
        """
        replies: list[OriginReply] = []
        async with trio.open_nursery() as nursery:

            async def ask(address: str) -> None:
                keepers[address] = "asked"
                for _ in range(MAX_QUERIES):
                    number = self._queries.get_number()
                    query = OriginQuery(number, self._work_address, stream, content)
                    reply = await self._queries.ask(address, query, REPLY_TIMEOUT_S)
                    if reply is None:
                        continue
                    keepers[address] = _describe(reply)
                    replies.append(reply)
                    if reply.origin is not None:
                        nursery.cancel_scope.cancel()
                    return
                keepers[address] = "unanswered"

            for address in addresses:
                nursery.start_soon(ask, address)
        return replies


def _find_origin(replies: list[OriginReply]) -> StreamOrigin | None:
    return next((reply.origin for reply in replies if reply.origin), None)


def _describe(reply: OriginReply) -> str:
    if reply.origin is not None or reply.candidates:
        return "known"
    return "unknown" if is_never_told(reply.kept_for_s) else "forgotten"


def _get_status(
    origin: StreamOrigin | None, replies: list[OriginReply], never_told: bool
) -> str:
    """Return the outcome of a query for the counter."""
    if origin is not None:
        return "known"
    if never_told:
        return "unknown"
    return "forgotten" if replies else "unanswered"
