"""Tests of the limit that all entries together keep towards a cold endpoint."""

import eliot
import trio
from attrs import evolve

from medlarrail.core.deployment import ServiceRule
from medlarrail.testing.builders import build_deployment
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    answer_ok,
    build_request,
    start_relay,
)

COLD_S = 3.0


async def start_cold_relay(
    nursery: trio.Nursery, cold_per_s: float = 21.0
) -> RelayHarness:
    """Start a relay with one endpoint, ``engine-1``, that is cold."""
    service = ServiceRule("guide", cold_s=COLD_S, cold_per_s=cold_per_s)
    deployment = evolve(build_deployment(), services=(service,))
    harness = await start_relay(nursery, deployment)
    await harness.add(answer_ok)
    cluster_view = harness.relay.cluster_view
    cluster_view.endpoints["engine-1"].cold_until = cluster_view.clock() + COLD_S
    return harness


class TestObservability:
    async def test_an_attempt_at_a_cold_endpoint_logs_what_the_entry_knew(
        self, nursery
    ):
        harness = await start_cold_relay(nursery)
        harness.relay.cluster_view.entry_count = 4
        messages = []
        eliot.add_destinations(messages.append)
        try:
            await harness.send(build_request())
            harness.relay.cluster_view.endpoints["engine-1"].cold_until = 0.0
            await harness.send(build_request())
        finally:
            eliot.remove_destination(messages.append)
        attempts = [
            message["cold"]
            for message in messages
            if message["message_type"] == "request:attempt"
        ]
        cold, warm = attempts
        assert 0 < cold.pop("remaining_ms") <= COLD_S * 1000
        assert cold == {"sent": 1, "entry_count": 4}
        assert warm is None
