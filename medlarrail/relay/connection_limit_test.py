"""Tests of the connections that all entries together open to one endpoint."""

import pytest
import trio

from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import ConnectionsUsedUp
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.testing.builders import (
    build_cluster_view_answer,
    build_deployment,
    build_endpoint_stats,
    build_route,
)
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    answer_ok,
    build_request,
    start_relay,
)

ONCE_ROUTE = build_route(name="buy", prefix="/buy/", kind="once", max_attempts=1)


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
        service = ServiceRule("guide", max_connections=1)
        harness = await start_relay(
            nursery,
            build_deployment(routes=(build_route(), ONCE_ROUTE), services=(service,)),
        )
        open_connections = []

        async def count_and_answer(connection, request):
            open_connections.append(endpoint.open_connections)
            await answer_ok(connection, request)

        endpoint = await harness.add(count_and_answer)
        await harness.send(build_request("/ask/1"))
        await harness.send(build_request("/buy/1", "POST", b"x"))
        assert open_connections == [1, 1]

    async def test_idle_connections_of_many_entries_exceed_the_limit(self, nursery):
        """Each of 82 entries kept the connections of its last requests beside those
        of requests that may not be repeated, and the endpoint reset what exceeded."""
        service = ServiceRule("guide", max_connections=240)
        deployment = build_deployment(
            routes=(build_route(), ONCE_ROUTE), services=(service,)
        )
        harnesses = await start_relays(nursery, deployment, count=82)
        peak = 0

        async def count_and_answer(connection, request):
            nonlocal peak
            peak = max(peak, endpoint.open_connections)
            await trio.sleep(0.05)
            await answer_ok(connection, request)

        endpoint = await harnesses[0].add(count_and_answer)
        announced = harnesses[0].relay.cluster_view.endpoints["engine-1"].announced
        for harness in harnesses[1:]:
            harness.register(announced)
        answers = []

        async def send(harness: RelayHarness, path: str, method: str) -> None:
            answers.append(await harness.send(build_request(path, method)))

        for path, method in (("/ask/1", "GET"), ("/buy/1", "POST")):
            async with trio.open_nursery() as callers:
                for harness in harnesses:
                    for _ in range(2):
                        callers.start_soon(send, harness, path, method)
        assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) == 328
        assert peak <= service.max_connections

    async def test_the_limit_shrinks_while_a_request_waits(self, nursery):
        """The endpoint was chosen under the old limit, and the connection exceeded the
        new one. Nothing was sent, so the caller may try again."""
        service = ServiceRule("guide", max_connections=4)
        harness = await start_relay(
            nursery, build_deployment(routes=(ONCE_ROUTE,), services=(service,))
        )
        endpoint = await harness.add(answer_ok)
        address = f"{HOST}:{endpoint.port}"
        with pytest.raises(ConnectionsUsedUp):
            await harness.relay.pool.acquire(address, new_connection=True, limit=0)
        assert endpoint.connections == 0


async def start_relays(nursery, deployment, count: int) -> list[RelayHarness]:
    """Start relays that know each other, without endpoints."""
    names = [f"gateway-{number}" for number in range(count)]
    harnesses = []
    for name in names:
        harness = await start_relay(nursery, deployment, name=name)
        harness.relay.cluster_view.apply(build_cluster_view_answer(names))
        harnesses.append(harness)
    return harnesses
