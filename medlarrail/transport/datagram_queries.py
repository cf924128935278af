"""Queries by datagram: each has a number, and the reply repeats it.

A lost message is not sent again: the asker does without the answer.
"""

from itertools import count
from random import getrandbits
from typing import Any, Protocol

import trio
from attrs import define, field

from medlarrail.core.codec import encode
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

NUMBER_BITS = 48


class Reply(Protocol):
    """The reply to the query of this number."""

    number: int


@define
class OpenQuery:
    """A query that waits for its reply."""

    answered: trio.Event = field(factory=trio.Event)
    reply: Reply | None = None


@define(eq=False)
class DatagramQueries:
    """Sends queries and matches the replies, which are of ``reply_type``.

    The datagrams of queries begin with ``prefix``.
    """

    datagram_socket: DatagramSocket
    prefix: bytes
    reply_type: type
    _numbers: count = field(factory=lambda: count(getrandbits(NUMBER_BITS)))
    """Begins anywhere, since a reply may be late and meant for the process before."""
    _open: dict[int, OpenQuery] = field(factory=dict)

    def get_number(self) -> int:
        """Return the number of the next query."""
        return next(self._numbers)

    async def ask(self, address: str, query: Any, timeout_s: float) -> Reply | None:
        """Send a query with a ``number``; return its reply, None if none came."""
        open_query = self._open[query.number] = OpenQuery()
        try:
            self.datagram_socket.send([address], self.prefix + encode(query))
            with trio.move_on_after(timeout_s):
                await open_query.answered.wait()
        finally:
            self._open.pop(query.number, None)
        return open_query.reply

    def handle_reply(self, body: bytes) -> None:
        """Pass a reply to the query that waits for it.

        A late one and further copies are dropped.
        """
        reply = decode_datagram(body, self.reply_type, "replies_unreadable")
        if reply is None:
            return
        open_query = self._open.pop(reply.number, None)
        if open_query is not None:
            open_query.reply = reply
            open_query.answered.set()
