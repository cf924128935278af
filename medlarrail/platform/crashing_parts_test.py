"""Tests of requests whose prompt has a part that crashes engines."""

import eliot

from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.scripted_endpoints import start_relay

DEPLOYMENT = build_deployment(
    routes=(build_route(kind="stream", resumable=True, timeout_ms=1000),)
)


def build_prompt(request_id: str, *parts: str) -> bytes:
    """Return a request whose prompt has ``parts``, the last being its own."""
    prompt = ",".join(f"{part}:100" for part in (*parts, request_id))
    return (
        "POST /ask/1 HTTP/1.1\r\nHost: tickets.example\r\nApi-Key: key-1\r\n"
        f"Request-Id: {request_id}\r\nModel: m\r\nToken-Usage: 400,8\r\n"
        f"Prefix-Hash: {prompt}\r\nDeadline-Ms: 1000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class TestObservability:
    async def test_a_broken_attempt_logs_the_shared_parts(self, nursery):
        harness = await start_relay(nursery, DEPLOYMENT, PlatformHeaderCodec())

        async def close(connection, request):
            await connection.stream.aclose()

        await harness.add(close)
        messages = []
        eliot.add_destinations(messages.append)
        try:
            await harness.send(build_prompt("observed", "a", "b"))
        finally:
            eliot.remove_destination(messages.append)
        (message,) = [
            message
            for message in messages
            if message["message_type"] == "request:attempt"
            and message["request"] == "observed"
        ]
        assert message["shared_parts"] == ["a", "b"]
        assert message["started_ms"] == 1000
