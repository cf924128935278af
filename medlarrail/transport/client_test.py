"""Tests of the client with peers that cut answers off or send without end."""

import pytest
import trio

from medlarrail.core.errors import PeerBroken
from medlarrail.testing.scripted_endpoints import HOST, Script, ScriptedEndpoint
from medlarrail.transport.client import HttpClient


async def start_peer(nursery: trio.Nursery, script: Script) -> str:
    """Start a scripted peer and return its URL."""
    endpoint = ScriptedEndpoint("peer", script)
    await nursery.start(endpoint.run)
    return f"http://{HOST}:{endpoint.port}"


def send_endlessly(head: bytes) -> Script:
    """Return a script that sends ``head`` and a body without end."""

    async def run(connection, request):
        await connection.send(head)
        while True:
            await connection.send(b"x" * 65536)

    return run


class TestEndlessAnswers:
    async def test_endless_answer_is_read_until_the_timeout(self, nursery):
        url = await start_peer(nursery, send_endlessly(b"HTTP/1.1 200 OK\r\n\r\n"))
        with trio.fail_after(5.0), pytest.raises(PeerBroken):
            await HttpClient().fetch("GET", url, timeout_s=10.0, max_bytes=1_000_000)
