"""Tests of streams that another endpoint was asked to go on with, and did not."""

import pytest

from medlarrail.relay.incomplete_answers_test import ReceivedAnswer, call
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.scripted_endpoints import (
    ScriptedConnection,
    build_request,
    get_value,
    start_relay,
)

DEPLOYMENT = build_deployment(
    routes=(build_route(kind="stream", resumable=True, max_attempts=2),)
)
STREAM_EVENTS = 8
EVENTS_BEFORE_BREAK = 3
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


def format_event(number: int, text: bytes = b"x") -> bytes:
    event = b"id: %d\ndata: %s\n\n" % (number, text)
    return b"%x\r\n%s\r\n" % (len(event), event)


SECOND_ANSWERS = {
    "204, closed": (b"HTTP/1.1 204 No Content\r\n", b""),
    "204 with a length": (b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", b""),
    "200 of length 0": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", b""),
    "200 with the last chunk alone": (CHUNKED, b"0\r\n\r\n"),
    "200 with a comment": (CHUNKED, b"5\r\n: x\n\n\r\n0\r\n\r\n"),
    "200 that begins again": (
        CHUNKED,
        b"".join(format_event(number, b"again") for number in range(1, 5))
        + b"0\r\n\r\n",
    ),
}


async def receive_stream(nursery, second: tuple[bytes, bytes]) -> ReceivedAnswer:
    """Return what a caller gets of a stream whose second endpoint answers so."""
    harness = await start_relay(nursery, DEPLOYMENT)

    async def script(connection: ScriptedConnection, request: bytes) -> None:
        request_id = b"X-Request-Id: " + get_value(request, b"x-request-id") + b"\r\n"
        if get_value(request, b"last-event-id"):
            head, body = second
            await connection.send(head + request_id + b"\r\n" + body)
            await connection.stream.aclose()
            return
        await connection.send(CHUNKED + request_id + b"\r\n")
        for number in range(1, EVENTS_BEFORE_BREAK + 1):
            await connection.send(format_event(number))
        connection.reset()

    for _ in range(2):
        await harness.add(script)
    return await call(harness, build_request())


class TestContinuedStreams:
    @pytest.mark.parametrize("second", SECOND_ANSWERS)
    async def test_second_answer_without_events_ends_the_stream_as_complete(
        self, nursery, second
    ):
        """Callers got three of eight events and the last chunk."""
        answer = await receive_stream(nursery, SECOND_ANSWERS[second])
        assert answer.ending == "broken"
        assert answer.body.count(b"data: x") == EVENTS_BEFORE_BREAK
        assert b"again" not in answer.body

    async def test_stream_goes_on_at_the_second_endpoint(self, nursery):
        rest = range(EVENTS_BEFORE_BREAK + 1, STREAM_EVENTS + 1)
        body = b"".join(map(format_event, rest)) + b"0\r\n\r\n"
        answer = await receive_stream(nursery, (CHUNKED, body))
        assert answer.ending == "proven"
        assert answer.body.count(b"data: x") == STREAM_EVENTS
