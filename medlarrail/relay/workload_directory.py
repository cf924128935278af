"""Asks the coordinators of engines for their workload, and answers as one.

With many entries, the prompts at an engine are reported to one entry only, its
coordinator. The others ask it for the engines that a prompt may go to, so the number
of messages for a prompt depends on neither the number of entries nor that of engines.
"""

from collections.abc import Sequence

import trio
from attrs import define, field, frozen

from medlarrail.core.codec import encode
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.workload_reporter import WorkloadReporter
from medlarrail.relay.workload_tracker import EngineTokens
from medlarrail.transport.datagram_queries import DatagramQueries
from medlarrail.transport.datagrams import decode_datagram

QUERY_PREFIX = b"W"
REPLY_PREFIX = b"V"
REPLY_TIMEOUT_S = 0.05
"""Maximum wait for the first replies: several round trips, yet short compared to the
prefill of a long prompt."""
ENOUGH_REPLIES = 2
LAST_REPLY_TIMEOUT_S = 0.005
"""Maximum wait for the other replies once there is a choice."""


@frozen
class WorkloadQuery:
    """Asks a coordinator for the workload of one of its engines."""

    number: int
    reply_to: str
    engine: str


@frozen
class WorkloadReply:
    """The tokens at an engine, as reported to its coordinator."""

    number: int
    tokens: EngineTokens


@define(eq=False)
class WorkloadDirectory:
    """Finds the workload of engines, over the socket of the reports.

    ``work_address`` is the address of that socket as others know it.
    """

    reporter: WorkloadReporter
    work_address: str
    queries: DatagramQueries = field(init=False)

    def __attrs_post_init__(self):
        self.queries = DatagramQueries(
            self.reporter.datagram_socket, QUERY_PREFIX, WorkloadReply
        )
        self.reporter.handlers[QUERY_PREFIX] = self.handle_query
        self.reporter.handlers[REPLY_PREFIX] = self.queries.handle_reply

    def is_needed(self) -> bool:
        """Return whether there are too many entries for all to report to all."""
        return self.reporter.uses_coordinators()

    async def find(self, engines: Sequence[str]) -> dict[str, EngineTokens]:
        """Return the workload of those ``engines`` whose coordinators replied."""
        found: dict[str, EngineTokens] = {}
        with trio.move_on_after(REPLY_TIMEOUT_S) as scope:
            async with trio.open_nursery() as nursery:

                async def ask(engine: str) -> None:
                    tokens = await self._find_one(engine)
                    if tokens is None:
                        return
                    found[engine] = tokens
                    if len(found) == ENOUGH_REPLIES:
                        limit = trio.current_time() + LAST_REPLY_TIMEOUT_S
                        scope.deadline = min(scope.deadline, limit)

                for engine in engines:
                    nursery.start_soon(ask, engine)
        unanswered = len(engines) - len(found)
        get_metrics().count("workload_queries_unanswered", unanswered)
        return found

    async def _find_one(self, engine: str) -> EngineTokens | None:
        coordinator = self.reporter.find_coordinator(engine)
        if coordinator is None:
            return self.reporter.tracker.get_engine(engine)
        query = WorkloadQuery(self.queries.get_number(), self.work_address, engine)
        reply = await self.queries.ask(coordinator.work_address, query, REPLY_TIMEOUT_S)
        return None if reply is None else reply.tokens

    def handle_query(self, body: bytes) -> None:
        """Answer another entry's query."""
        query = decode_datagram(body, WorkloadQuery, "queries_unreadable")
        if query is None:
            return
        tokens = self.reporter.tracker.get_engine(query.engine)
        reply = REPLY_PREFIX + encode(WorkloadReply(query.number, tokens))
        self.reporter.datagram_socket.send([query.reply_to], reply)
