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
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import get_weight
from medlarrail.policy.context import (
    PartView,
    StoreView,
    TransferPlan,
    rank_homes,
)
from medlarrail.policy.prefill_sharing import MIN_SHARED_TOKENS
from medlarrail.relay.context_index import ClaimStatus, ContextIndex
from medlarrail.relay.metadata import PromptPart
from medlarrail.relay.prefill_memory import PrefillMemory, ReadNotice, ReadSites
from medlarrail.transport.datagram_queries import DatagramQueries
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

QUERY_PREFIX = b"Q"
REPLY_PREFIX = b"R"
NOTICE_PREFIX = b"L"
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
    """Asks whether a store holds a part, and to save it there if it does not.

    Unless it ``may_save``, only whether the store holds it.
    """

    number: int
    reply_to: str
    store: str
    scope: str
    identity: str
    tokens: int
    may_save: bool = True


@frozen
class PartReply:
    """The answer to the query of this number."""

    number: int
    status: ClaimStatus
    found: ReadSites | None = None
    """Where a large part was read last, if the store does not hold it. Only the entry
    that answers for its home knows."""


@frozen
class LocatedParts:
    """Transfers of the shared parts of a prompt, as found at ``located_at``."""

    scope: str
    located_at: float
    plan: TransferPlan
    sites: ReadSites = field(factory=ReadSites)
    """Where the largest of the parts was read."""


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
    prefills: PrefillMemory = field(factory=PrefillMemory)
    queries: DatagramQueries = field(init=False)
    _listed: tuple[RegisteredEntry, ...] = ()

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
        sites: dict[str, ReadSites] = {}

        async def locate_part(part: PromptPart) -> None:
            statuses[part.identity] = await self._locate_part(scope, part, sites)

        if len(parts) == 1:
            # The usual case, which needs no other task.
            await locate_part(parts[0])
        else:
            async with trio.open_nursery() as nursery:
                for part in parts:
                    nursery.start_soon(locate_part, part)
        transfers = [statuses[part.identity] for part in parts]
        largest = max(parts, key=lambda part: part.tokens)
        plan = TransferPlan(
            fetch=tuple(fetch for fetch, _ in transfers),
            save=tuple(save for _, save in transfers),
        )
        found = sites.get(largest.identity, ReadSites())
        return LocatedParts(scope, located_at, plan, found)

    async def _locate_part(
        self, scope: str, part: PromptPart, sites: dict[str, ReadSites]
    ) -> tuple[str, str]:
        """Return the store to fetch a part from and the one to save it to, or empty.

        Where it was read is added to ``sites``. After a lost message the part may be in
        its home, or this entry may be expected to save it there: it is not saved in
        another store, too.
        """
        may_save = True
        for store in self._rank_homes(part)[:MAX_HOMES]:
            reply = await self._claim(store.address, scope, part, may_save)
            status = "lost" if reply is None else reply.status
            get_metrics().count("parts_located", status=status)
            if reply is None:
                may_save = False
            elif reply.found is not None:
                sites.setdefault(part.identity, reply.found)
            if status == "held":
                return store.address, ""
            if status == "save":
                return "", store.address
            if status == "saving":
                return "", ""
        return "", ""

    def _rank_homes(self, part: PromptPart) -> list[StoreView]:
        view = PartView(part.identity, part.tokens)
        return rank_homes(view, self.index.list_homes())

    def _find_follower(self, store: str, part: PromptPart) -> str:
        """Return the entry that answers for a part in a store."""
        followers = self.index.list_followers(self.index.stores[store].spec)
        return max(followers, key=lambda follower: get_weight(follower, part.identity))

    def _find_address(self, name: str) -> str:
        return next(
            (
                entry.work_address
                for entry in self.cluster_view.entries
                if entry.name == name
            ),
            "",
        )

    async def _claim(
        self, store: str, scope: str, part: PromptPart, may_save: bool
    ) -> PartReply | None:
        """Return the reply of the entry that answers for a part, None if it is lost."""
        query = PartQuery(
            self.queries.get_number(),
            self.work_address,
            store,
            scope,
            part.identity,
            part.tokens,
            may_save,
        )
        name = self._find_follower(store, part)
        if name == self.index.name:
            return self._build_reply(query)
        address = self._find_address(name)
        if not address:
            return PartReply(query.number, "unknown")
        return await self.queries.ask(address, query, REPLY_TIMEOUT_S)

    def _build_reply(self, query: PartQuery) -> PartReply:
        part = PromptPart(query.identity, query.tokens)
        status = self.index.claim(query.store, query.scope, part, query.may_save)
        if query.tokens < MIN_SHARED_TOKENS:
            return PartReply(query.number, status)
        self._note_entries()
        found = self.prefills.find(query.scope, query.identity)
        if status == "held" or not found.sites:
            return PartReply(query.number, status)
        return PartReply(query.number, status, found)

    def _note_entries(self) -> None:
        """Note whether parts may have had another entry that answers for them."""
        if self.cluster_view.entries is self._listed:
            return
        names = {entry.name for entry in self._listed}
        self._listed = self.cluster_view.entries
        if {entry.name for entry in self._listed} != names:
            self.prefills.forget_scopes()

    def find_reader(self, part: PromptPart) -> str:
        """Return the entry that remembers where a part was read, or an empty string.

        It is the one that answers for the part's home.
        """
        homes = self._rank_homes(part)
        return self._find_follower(homes[0].address, part) if homes else ""

    def send_notice(self, reader: str, notice: ReadNotice) -> None:
        """Tell the entry ``reader`` where a part is read, without waiting.

        A lost notice costs the others a prefill.
        """
        if reader == self.index.name:
            self.prefills.record(notice)
        elif address := self._find_address(reader):
            self.datagram_socket.send([address], NOTICE_PREFIX + encode(notice))

    def handle_notice(self, body: bytes) -> None:
        """Record another entry's notice of a part that is read."""
        notice = decode_datagram(body, ReadNotice, "notices_unreadable")
        if notice is not None:
            self.prefills.record(notice)

    def handle_query(self, body: bytes) -> None:
        """Answer another entry's query."""
        query = decode_datagram(body, PartQuery, "queries_unreadable")
        if query is None:
            return
        reply = self._build_reply(query)
        self.datagram_socket.send([query.reply_to], REPLY_PREFIX + encode(reply))
