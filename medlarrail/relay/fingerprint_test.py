"""Tests of the fingerprints of requests."""

import pytest
from attrs import evolve

from medlarrail.core.cluster_records import is_request_key
from medlarrail.relay.fingerprint import get_fingerprint
from medlarrail.relay.metadata import InboundRequest, PromptPart, RequestMetadata
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import build_request, start_relay

REQUEST = InboundRequest(
    b"POST", b"/ask/1?a=1", "tickets.example", ((b"X-Request-Id", b"r1"),), b"body", 0.0
)
METADATA = RequestMetadata(request_id="r1", model="m", parts=(PromptPart("a", 1),))
SECRET = b"a secret of all entries"


def get_key(request=REQUEST, account="lea", metadata=METADATA, secret=SECRET) -> str:
    """Return the key of a request's fingerprint."""
    return get_fingerprint(request, account, metadata, secret).key


class TestFingerprint:
    def test_the_same_request_is_not_recognised(self):
        """Each attempt has its own ID and time."""
        headers = ((b"X-Request-Id", b"r2"),)
        again = evolve(REQUEST, headers=headers, received_at=9.0)
        assert get_key(again, metadata=evolve(METADATA, request_id="r2")) == get_key()
        assert is_request_key(get_key())

    @pytest.mark.parametrize(
        "changes",
        [
            {"request": evolve(REQUEST, target=b"/ask/1?a=2")},
            {"request": evolve(REQUEST, body=b"other")},
            {"request": evolve(REQUEST, method=b"PUT")},
            {"request": evolve(REQUEST, host="other.example")},
            {"account": "other"},
            {"metadata": evolve(METADATA, model="n")},
            {"metadata": evolve(METADATA, parts=(PromptPart("b", 1),))},
            {"secret": b"other"},
        ],
    )
    def test_another_request_is_taken_for_it(self, changes):
        assert get_key(**changes) != get_key()

    def test_moving_bytes_between_fields_keeps_the_fingerprint(self):
        moved = evolve(REQUEST, target=b"/ask/1?a=1b", body=b"ody")
        assert get_key(moved) != get_key()

    def test_a_caller_names_a_part_like_a_fingerprint(self):
        assert not is_request_key(PromptPart(get_key(), 1).key)


class TestObservability:
    async def test_a_broken_attempt_logs_the_fingerprint(self, nursery):
        harness = await start_relay(nursery)

        async def close(connection, request):
            await connection.stream.aclose()

        await harness.add(close)
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_request(X_Request_Id="r1"))
            await harness.send(build_request(X_Request_Id="r2"))
        first, second = [attempt["fingerprint"] for attempt in attempts]
        assert first
        assert first == second
