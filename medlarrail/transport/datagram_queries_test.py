"""Tests of queries by datagram and their replies."""

import trio
from attrs import frozen

from medlarrail.core.codec import encode
from medlarrail.transport.datagram_queries import DatagramQueries
from medlarrail.transport.datagrams import DatagramSocket


@frozen
class Question:
    """A query with its number."""

    number: int


@frozen
class Answer:
    """The reply to the query of this number."""

    number: int
    text: str


async def start_queries() -> DatagramQueries:
    """Return the queries of a process that has just started."""
    datagram_socket = DatagramSocket("127.0.0.1:0", "a-key-for-this-test")
    await datagram_socket.open()
    return DatagramQueries(datagram_socket, b"Q", Answer)


class TestDatagramQueries:
    async def test_a_late_reply_to_the_process_before_answers_a_query(self, nursery):
        """Both used the same port and counted their queries from 1."""
        before, after = await start_queries(), await start_queries()
        late = [before.get_number() for _ in range(100)]
        replies = []

        async def ask():
            query = Question(after.get_number())
            replies.append(await after.ask("127.0.0.1:9", query, timeout_s=0.2))

        async with trio.open_nursery() as askers:
            askers.start_soon(ask)
            await trio.sleep(0.05)
            for number in late:
                after.handle_reply(encode(Answer(number, "to another question")))
        assert replies == [None]

    async def test_a_reply_goes_to_its_query(self, nursery):
        queries = await start_queries()
        numbers = [queries.get_number() for _ in range(3)]
        replies = {}

        async def ask(number):
            query = Question(number)
            replies[number] = await queries.ask("127.0.0.1:9", query, timeout_s=5.0)

        async with trio.open_nursery() as askers:
            for number in numbers:
                askers.start_soon(ask, number)
            await trio.sleep(0.02)
            for number in reversed(numbers):
                queries.handle_reply(encode(Answer(number, f"to {number}")))
                queries.handle_reply(encode(Answer(number, "a second copy")))
        assert {n: reply.text for n, reply in replies.items()} == {
            number: f"to {number}" for number in numbers
        }
