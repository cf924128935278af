"""Tests of the connections that all entries together open to one endpoint."""

import pytest

from medlarrail.core.deployment import ServiceRule
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.testing.builders import (
    build_deployment,
    build_endpoint_stats,
    build_route,
)
from medlarrail.testing.scripted_endpoints import (
    answer_ok,
    build_request,
    start_relay,
)


def build_relays(count: int) -> list[RequestRelay]:
    """Return the relays of ``count`` entries that know each other."""
    names = [f"gateway-{number}" for number in range(count)]
    all_stats = [build_endpoint_stats(name, names) for name in names]
    return [
        RequestRelay(stats.cluster_view, DefaultHeaderCodec(), stats)
        for stats in all_stats
    ]


class TestConnectionLimit:
    @pytest.mark.parametrize("entry_count", [1, 7, 12, 82, 390])
    @pytest.mark.parametrize("max_connections", [1, 96, 230, 600])
    def test_many_entries_exceed_the_connections_of_an_endpoint(
        self, max_connections, entry_count
    ):
        """Each entry could always open two connections."""
        service = ServiceRule("guide", max_connections=max_connections)
        limits = [
            relay.get_connection_limit(service, "engine-1")
            for relay in build_relays(entry_count)
        ]
        assert 0 < sum(limits) <= max_connections

    async def test_an_idle_connection_beside_a_new_one_exceeds_the_limit(self, nursery):
        """A request that may not be repeated never uses an idle connection."""
        ask = build_route()
        buy = build_route(name="buy", prefix="/buy/", kind="once", max_attempts=1)
        service = ServiceRule("guide", max_connections=1)
        harness = await start_relay(
            nursery, build_deployment(routes=(ask, buy), services=(service,))
        )
        open_connections = []

        async def count_and_answer(connection, request):
            open_connections.append(endpoint.open_connections)
            await answer_ok(connection, request)

        endpoint = await harness.add(count_and_answer)
        await harness.send(build_request("/ask/1"))
        await harness.send(build_request("/buy/1", "POST", b"x"))
        assert open_connections == [1, 1]
