"""Tests of the time without requests that an endpoint asks for."""

import pytest

from medlarrail.core.metrics import get_metrics
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.relay.header_codec import (
    MAX_RETRY_AFTER_S,
    DefaultHeaderCodec,
    parse_retry_after,
)
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    build_answer,
    build_request,
    start_relay,
)


def reject(retry_after: str):
    """Return a script that rejects requests and asks for a time without them."""

    async def run(connection, request):
        answer = build_answer(
            request, status=b"503 Full", X_Not_Run="1", Retry_After=retry_after
        )
        await connection.send(answer)

    return run


class TestObservability:
    async def test_an_attempt_logs_the_time_that_was_asked_for(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(reject("2.5"))
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_request(X_Request_Id="rejected"))
        (message,) = [
            attempt for attempt in attempts if attempt["request"] == "rejected"
        ]
        assert message["retry_after_s"] == 2.5

    @pytest.mark.parametrize(
        "text",
        ["-1", "nan", "inf", "1e99", "soon", "1,5", "Fri, 04 Dec 2026 15:00:00 GMT"],
    )
    def test_an_unusable_time_is_taken(self, text):
        assert parse_retry_after(503, text) is None
        assert get_metrics().get_count("retry_after_unreadable") == 1

    @pytest.mark.parametrize("text", ["0", "1.4", "30", str(MAX_RETRY_AFTER_S)])
    def test_a_decimal_time_is_refused(self, text):
        assert parse_retry_after(503, text) == float(text)
        assert get_metrics().get_count("retry_after_unreadable") == 0

    @pytest.mark.parametrize("codec", [DefaultHeaderCodec(), PlatformHeaderCodec()])
    def test_only_an_unavailable_endpoint_asks_for_time(self, codec):
        headers = ((b"Retry-After", b"1.5"),)
        assert codec.read_answer(503, headers).retry_after_s == 1.5
        assert codec.read_answer(429, headers).retry_after_s is None
        assert codec.read_answer(200, headers).retry_after_s is None
        assert codec.read_answer(503, ()).retry_after_s is None
