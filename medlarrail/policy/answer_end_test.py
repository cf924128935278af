"""Tests of what shows that an answer without a length or chunks is complete."""

import pytest

from medlarrail.policy.answer_end import (
    MAX_END_DELAY_S,
    EndEvidence,
    EndpointReply,
    judge_exchange,
    judge_reply,
)

ENDPOINT = "engine-1"
STARTED_MS = 1000


class TestReply:
    @pytest.mark.parametrize("endpoint", ["", ENDPOINT])
    @pytest.mark.parametrize("started_ms", [0, STARTED_MS])
    def test_same_incarnation_proves_the_end(self, endpoint, started_ms):
        reply = EndpointReply(False, endpoint, started_ms)
        evidence = judge_reply(reply, ENDPOINT, STARTED_MS, None, 0.0)
        assert evidence is EndEvidence.ANSWERED

    @pytest.mark.parametrize(
        "reply",
        [
            EndpointReply(misdirected=True),
            EndpointReply(endpoint="engine-2"),
            EndpointReply(endpoint=ENDPOINT, started_ms=STARTED_MS + 1),
            EndpointReply(started_ms=STARTED_MS - 1),
        ],
    )
    def test_next_incarnation_proves_the_end_of_the_one_before(self, reply):
        """An endpoint may start again at its address, and under its name."""
        evidence = judge_reply(reply, ENDPOINT, STARTED_MS, None, 0.0)
        assert evidence is EndEvidence.REPLACED

    def test_announcement_without_a_start_matches_any(self):
        reply = EndpointReply(False, ENDPOINT, STARTED_MS)
        assert judge_reply(reply, ENDPOINT, 0, None, 0.0) is EndEvidence.ANSWERED

    @pytest.mark.parametrize("started_ms", [0, STARTED_MS])
    def test_name_alone_proves_an_end_that_was_noticed_late(self, started_ms):
        """An endpoint starts again under its name while the gateway is suspended."""
        reply = EndpointReply(False, ENDPOINT, STARTED_MS - started_ms)
        evidence = judge_reply(
            reply, ENDPOINT, started_ms, None, MAX_END_DELAY_S + 0.01
        )
        assert evidence is EndEvidence.LATE

    def test_start_proves_the_end_however_late(self):
        reply = EndpointReply(False, ENDPOINT, STARTED_MS)
        evidence = judge_reply(reply, ENDPOINT, STARTED_MS, False, 10.0)
        assert evidence is EndEvidence.ANSWERED

    @pytest.mark.parametrize("delay_s", [0.0, 10.0])
    def test_name_proves_the_end_though_connections_were_closed(self, delay_s):
        """Connections from before the request tell the process, however late."""
        reply = EndpointReply(endpoint=ENDPOINT)
        evidences = [
            judge_reply(reply, ENDPOINT, STARTED_MS, has_same_process, delay_s)
            for has_same_process in (True, False)
        ]
        assert evidences == [EndEvidence.ANSWERED, EndEvidence.REPLACED]


class TestExchange:
    @pytest.mark.parametrize(
        "is_broken, is_request_received, evidence",
        [
            (False, True, None),
            (False, False, EndEvidence.UNSENT),
            (True, False, EndEvidence.BROKEN),
            (True, True, EndEvidence.BROKEN),
        ],
    )
    def test_regular_end_hides_a_reset(self, is_broken, is_request_received, evidence):
        """The sending of the request may take it, or it follows the end."""
        assert judge_exchange(is_broken, is_request_received) is evidence


class TestEvidence:
    def test_missing_evidence_is_sufficient(self):
        sufficient = {evidence for evidence in EndEvidence if evidence.is_sufficient}
        assert sufficient == {
            EndEvidence.FRAMING,
            EndEvidence.ANSWERED,
            EndEvidence.CONNECTED,
            EndEvidence.ANNOUNCED,
        }
