"""Tests of the client with peers that cut answers off or send without end."""

import pytest
import trio
from attrs import frozen

from medlarrail.core.errors import PeerBroken
from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.testing.scripted_endpoints import HOST, Script, ScriptedEndpoint
from medlarrail.transport.client import HttpClient
from medlarrail.transport.framing import Framing


@frozen
class LongMessage:
    """A message of any length."""

    text: str


async def start_peer(nursery: trio.Nursery, script: Script) -> str:
    """Start a scripted peer and return its URL."""
    endpoint = ScriptedEndpoint("peer", script)
    await nursery.start(endpoint.run)
    return f"http://{HOST}:{endpoint.port}"


def close_after(data: bytes) -> Script:
    """Return a script that sends ``data`` and closes the connection."""

    async def run(connection, request):
        await connection.send(data)
        await connection.stream.aclose()

    return run


def stall_after(data: bytes) -> Script:
    """Return a script that sends ``data`` as a body and goes silent."""

    async def run(connection, request):
        await connection.send(b"HTTP/1.1 200 OK\r\n\r\n" + data)
        await trio.sleep_forever()

    return run


def send_endlessly(head: bytes) -> Script:
    """Return a script that sends ``head`` and a body without end."""

    async def run(connection, request):
        await connection.send(head)
        while True:
            await connection.send(b"x" * 65536)

    return run


class TestIncompleteAnswers:
    @pytest.mark.parametrize(
        "framing", [b"", b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"]
    )
    async def test_cut_answer_of_a_peer_is_taken_as_complete(self, nursery, framing):
        """The bytes that arrived are a valid message, so only the framing tells."""
        data = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"
        data += b"2\r\n{}\r\n" if b"chunked" in framing else b"{}"
        url = await start_peer(nursery, close_after(data))
        with pytest.raises(PeerBroken):
            await HttpClient().call(url, "/x", EmptyMessage(), EmptyMessage, 2.0)

    @pytest.mark.parametrize(
        "header, framing",
        [(b"", Framing.CLOSE), (b"Content-Length: 2\r\n", Framing.LENGTH)],
    )
    async def test_fetched_answer_tells_whether_it_is_complete(
        self, nursery, header, framing
    ):
        data = b"HTTP/1.1 200 OK\r\n" + header + b"\r\n{}"
        url = await start_peer(nursery, close_after(data))
        answer = await HttpClient().fetch("GET", url + "/x")
        assert (answer.body, answer.framing) == (b"{}", framing)


class TestEarlyAnswers:
    """A peer answers when it has read a part of a long message."""

    async def start(self, nursery, script: Script) -> str:
        endpoint = ScriptedEndpoint("peer", script, read_limit=8192)
        await nursery.start(endpoint.run)
        return f"http://{HOST}:{endpoint.port}"

    async def test_reset_during_a_message_looks_like_an_answer(self, nursery):
        """The sending takes the reset, and the answer then ends regularly."""

        async def reset(connection, request):
            await connection.send(b"HTTP/1.1 200 OK\r\n\r\n{}")
            await trio.sleep(0.003)
            connection.reset()

        url = await self.start(nursery, reset)
        message = LongMessage("u" * 8_000_000)
        with pytest.raises(PeerBroken):
            await HttpClient().call(url, "/x", message, EmptyMessage, 2.0)

    async def test_early_rejection_is_lost(self, nursery):
        """The answer arrives before the reset that ends the message."""

        async def reject(connection, request):
            head = b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\n{}"
            await connection.send(head)
            await trio.sleep(0.003)
            connection.reset()

        url = await self.start(nursery, reject)
        answer = await HttpClient().fetch("POST", url, b"u" * 8_000_000, timeout_s=2.0)
        assert answer.status == 413


class TestEndlessAnswers:
    async def test_many_large_answers_use_up_memory(self, nursery):
        """Each answer had a limit, but all together had none."""
        small = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 900
        client = HttpClient(memory=AnswerMemory(limit_bytes=100_000))
        url = await start_peer(nursery, close_after(small))
        large_url = await start_peer(nursery, stall_after(200 * small))
        peaks = []

        async def fetch_large() -> None:
            with pytest.raises(PeerBroken):
                await client.fetch("GET", large_url + "/x")
            peaks.append(client.memory.held_bytes)

        async with trio.open_nursery() as calls:
            for _ in range(10):
                calls.start_soon(fetch_large)
            for _ in range(20):
                assert len((await client.fetch("GET", url + "/x")).body) == 900
        assert len(peaks) == 10 and max(peaks) <= 100_000
        assert client.memory.held_bytes == 0

    async def test_endless_answer_is_read_until_the_timeout(self, nursery):
        url = await start_peer(nursery, send_endlessly(b"HTTP/1.1 200 OK\r\n\r\n"))
        with trio.fail_after(5.0), pytest.raises(PeerBroken):
            await HttpClient().fetch("GET", url, timeout_s=10.0, max_bytes=1_000_000)
