"""Tests of endpoints that fall silent for a while and go on."""

import socket

import pytest
import trio

from medlarrail.relay.outbound import USER_TIMEOUT_MS, OutboundPool
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.scripted_endpoints import (
    HOST,
    answer_ok,
    build_answer,
    build_request,
    start_relay,
)

SILENCE_S = 1.5
STREAM_COUNT = 50


class TestSilentEndpoint:
    async def test_its_kernel_gives_up_within_the_silence(self, nursery):
        """A frozen machine answers no keep-alive probe. The user timeout of 1 s closed
        the connection at the second probe."""
        harness = await start_relay(nursery)
        endpoint = await harness.add(answer_ok)
        connection = await OutboundPool().acquire(f"{HOST}:{endpoint.port}", True)
        sock = connection.stream.socket
        tcp = socket.IPPROTO_TCP
        user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        idle_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        connection.close()
        assert user_timeout_ms == USER_TIMEOUT_MS
        probes_s = [idle_s + number * interval_s for number in range(20)]
        closed_at_s = min(at for at in probes_s[1:] if at * 1000 >= user_timeout_ms)
        assert min(closed_at_s, user_timeout_ms / 1000) > SILENCE_S

    @pytest.mark.parametrize("resumable", [False, True])
    async def test_its_streams_are_cut(self, nursery, resumable):
        """The endpoint sends nothing for 1.5 s amid 50 streams."""
        route = build_route(kind="stream", timeout_ms=6000, resumable=resumable)
        harness = await start_relay(nursery, build_deployment(routes=(route,)))

        async def pause(connection, request):
            head = build_answer(request, b"", Content_Type="text/event-stream")
            head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            event = b"id: 1\ndata: x\n\n"
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            await connection.send(head + chunk)
            await trio.sleep(SILENCE_S)
            await connection.send(chunk.replace(b"id: 1", b"id: 2") + b"0\r\n\r\n")

        endpoint = await harness.add(pause)
        answers = []

        async def listen(number: int) -> None:
            answers.append(await harness.send(build_request(X_Request_Id=f"s{number}")))

        async with trio.open_nursery() as callers:
            for number in range(STREAM_COUNT):
                callers.start_soon(listen, number)
        assert all(answer.endswith(b"0\r\n\r\n") for answer in answers)
        assert all(answer.count(b"id: ") == 2 for answer in answers)
        assert len(endpoint.requests) == STREAM_COUNT
