"""Tests of the graceful shutdown of a gateway."""

import trio

from medlarrail.relay.drain import DrainPolicy, drain_gateway
from medlarrail.testing.scripted_endpoints import (
    answer_ok,
    build_request,
    build_script,
    start_relay,
)

POLICY = DrainPolicy(shortest_s=0.2, quiet_s=0.2, longest_s=0.6, limit_s=0.8)


class TestDrain:
    async def test_a_request_accepted_late_in_the_shutdown_is_cut(self, nursery):
        """New requests are accepted until shortly before the shutdown is over."""

        async def answer_late(connection, request):
            await trio.sleep(0.5)
            await answer_ok(connection, request)

        harness = await start_relay(nursery)
        await harness.add(build_script(answer_ok, answer_ok, answer_late))

        async def call():
            for _ in range(3):
                await trio.sleep(0.15)
                await harness.send(build_request())

        nursery.start_soon(call)
        await drain_gateway(harness.server, harness.relay, POLICY)
        assert harness.server.active == 0
