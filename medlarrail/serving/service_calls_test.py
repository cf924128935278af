"""Tests of the answers of services."""

import pytest

from medlarrail.core.errors import EndUnproven
from medlarrail.protocol.endpoints import REQUEST_ID_HEADER
from medlarrail.serving.service_calls import ServiceCalls, ServiceRequest
from medlarrail.transport.client import RawAnswer
from medlarrail.transport.framing import Framing


class TestAnswers:
    def test_answer_with_an_unproven_end_is_stored_as_final(self):
        """The ledger would repeat an answer that broke off for as long as it lives."""
        calls = ServiceCalls(None, None, None, None)
        request = ServiceRequest(
            "box-office", "POST", "purchase", b"", "", "seat-12", "r1"
        )
        headers = {REQUEST_ID_HEADER: "r1"}
        complete = RawAnswer(200, headers, b"{}")
        assert calls._read_answer("office-1", request, complete).status == 200
        cut = RawAnswer(200, headers, b"{}", framing=Framing.CLOSE)
        with pytest.raises(EndUnproven):
            calls._read_answer("office-1", request, cut)
