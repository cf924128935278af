"""Tests of the rate that an endpoint names in its answers."""

import eliot
import pytest

from medlarrail.core.metrics import get_metrics
from medlarrail.relay.header_codec import MAX_LIMIT_PER_S, parse_limit
from medlarrail.testing.scripted_endpoints import (
    build_answer,
    build_request,
    start_relay,
)


def name_limit(limit: str):
    """Return a script that answers with a limit."""

    async def run(connection, request):
        await connection.send(build_answer(request, X_Limit_Per_S=limit))

    return run


class TestObservability:
    async def test_an_attempt_logs_the_limit_that_was_named(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(name_limit("2.5"))
        messages = []
        eliot.add_destinations(messages.append)
        try:
            await harness.send(build_request(X_Request_Id="limited"))
        finally:
            eliot.remove_destination(messages.append)
        (message,) = [
            message
            for message in messages
            if message["message_type"] == "request:attempt"
            and message["request"] == "limited"
        ]
        assert message["limit_per_s"] == 2.5

    @pytest.mark.parametrize("text", ["-1", "nan", "inf", "1e99", "many", "1,5"])
    def test_an_unusable_limit_is_taken(self, text):
        assert parse_limit(text) is None
        assert get_metrics().get_count("limits_unreadable") == 1

    @pytest.mark.parametrize("text", ["0", "1.4", "11.5", str(MAX_LIMIT_PER_S)])
    def test_a_decimal_limit_is_refused(self, text):
        assert parse_limit(text) == float(text)
        assert parse_limit("") is None
        assert get_metrics().get_count("limits_unreadable") == 0
