"""Finds the parts of prompts in stores that this entry does not follow.

A store supports few callers of its events, so of many entries only some follow each
store. Every part has a home among the stores, and one of the followers of that store
answers for it: whether the store holds all of the part, and who may save it. Entries
ask it with a datagram for each prompt, so the number of messages depends on neither the
number of entries nor that of stores. A lost message costs a prefill.
"""

from collections.abc import Sequence

import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import get_weight
from medlarrail.policy.context import PartView, TransferPlan, rank_homes
from medlarrail.relay.context_index import ClaimStatus, ContextIndex
from medlarrail.relay.metadata import PromptPart
from medlarrail.transport.datagram_queries import DatagramQueries
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

QUERY_PREFIX = b"Q"
REPLY_PREFIX = b"R"
REPLY_TIMEOUT_S = 0.05
"""Maximum wait for a reply: several round trips, yet short compared to the prefill of
a part."""
LOCATION_TTL_S = 0.3
"""Age up to which replies are used. With the age of a follower's index it is well below
the time for which nothing is saved in a store that has restarted."""
MAX_HOMES = 2
"""Stores that a part may be in: its home, or the next one if that is full."""


@frozen
class PartQuery:
    """Asks whether a store holds a part, and to save it there if it does not."""

    number: int
    reply_to: str
    store: str
    scope: str
    identity: str
    tokens: int


@frozen
class PartReply:
    """The answer to the query of this number."""

    number: int
    status: ClaimStatus


@frozen
class LocatedParts:
    """Transfers of the shared parts of a prompt, as found at ``located_at``."""

    scope: str
    located_at: float
    plan: TransferPlan


@define(eq=False)
class PartDirectory:
    """Asks other entries for parts, and answers for the stores that are followed here.

    ``work_address`` is the address of ``datagram_socket`` as others know it.
    """

    cluster_view: ClusterView
    index: ContextIndex
    datagram_socket: DatagramSocket
    work_address: str
    clock: Clock = get_boottime
    queries: DatagramQueries = field(init=False)

    def __attrs_post_init__(self):
        self.queries = DatagramQueries(self.datagram_socket, QUERY_PREFIX, PartReply)

    def is_needed(self) -> bool:
        """Return whether there are stores that this entry may not follow."""
        return any(
            not self.index.may_follow(index) for index in self.index.stores.values()
        )

    async def locate(self, scope: str, parts: Sequence[PromptPart]) -> LocatedParts:
        """Return where to fetch the parts from, and where to save those not stored."""
        located_at = self.clock()
        statuses: dict[str, tuple[str, str]] = {}

        async def locate_part(part: PromptPart) -> None:
            statuses[part.identity] = await self._locate_part(scope, part)

        if len(parts) == 1:
            # The usual case, which needs no other task.
            await locate_part(parts[0])
        else:
            async with trio.open_nursery() as nursery:
                for part in parts:
                    nursery.start_soon(locate_part, part)
        transfers = [statuses[part.identity] for part in parts]
        plan = TransferPlan(
            fetch=tuple(fetch for fetch, _ in transfers),
            save=tuple(save for _, save in transfers),
        )
        return LocatedParts(scope, located_at, plan)

    async def _locate_part(self, scope: str, part: PromptPart) -> tuple[str, str]:
        """Return the store to fetch a part from and the one to save it to, or empty."""
        view = PartView(part.identity, part.tokens)
        for store in rank_homes(view, self.index.list_homes())[:MAX_HOMES]:
            status = await self._claim(store.address, scope, part)
            get_metrics().count("parts_located", status=status)
            if status == "held":
                return store.address, ""
            if status == "save":
                return "", store.address
            if status == "saving":
                return "", ""
        return "", ""

    async def _claim(self, store: str, scope: str, part: PromptPart) -> ClaimStatus:
        followers = self.index.list_followers(self.index.stores[store].spec)
        name = max(followers, key=lambda follower: get_weight(follower, part.identity))
        if name == self.index.name:
            return self.index.claim(store, scope, part)
        address = next(
            (
                entry.work_address
                for entry in self.cluster_view.entries
                if entry.name == name
            ),
            "",
        )
        if not address:
            return "unknown"
        query = PartQuery(
            self.queries.get_number(),
            self.work_address,
            store,
            scope,
            part.identity,
            part.tokens,
        )
        reply = await self.queries.ask(address, query, REPLY_TIMEOUT_S)
        return "unknown" if reply is None else reply.status

    def handle_query(self, body: bytes) -> None:
        """Answer another entry's query."""
        query = decode_datagram(body, PartQuery, "queries_unreadable")
        if query is None:
            return
        part = PromptPart(query.identity, query.tokens)
        status = self.index.claim(query.store, query.scope, part)
        reply = PartReply(query.number, status)
        self.datagram_socket.send([query.reply_to], REPLY_PREFIX + encode(reply))
