"""Tests of the stand-ins on loopback."""

import pytest
import trio

from medlarrail.testing.scripted_endpoints import (
    ScriptedEndpoint,
    answer_ok,
    get_run_address,
)


class TestRunAddress:
    def test_two_runs_share_an_address(self):
        addresses = {get_run_address(process_id) for process_id in range(1, 4000)}
        assert len(addresses) >= 3900

    async def test_an_endpoint_records_requests_of_another_run(self, nursery):
        """The other run goes on sending to the port of an endpoint that has ended."""
        endpoint = ScriptedEndpoint("engine-1", answer_ok)
        await nursery.start(endpoint.run)
        other = get_run_address(1)
        with pytest.raises(OSError):
            await trio.open_tcp_stream(other, endpoint.port)
