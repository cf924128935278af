"""Tests of requests at a gateway that has just started."""

import trio

from medlarrail.core.metrics import get_metrics
from medlarrail.policy.startup import START_S
from medlarrail.relay.startup_hold import StartupHold
from medlarrail.testing.builders import build_deployment
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    answer_ok,
    build_request,
    start_relay,
)


async def start_without_document(nursery) -> RelayHarness:
    """Return a gateway that has just started and knows no document."""
    harness = await start_relay(nursery)
    harness.relay.table = None
    harness.relay.startup = StartupHold()
    return harness


async def send_before(harness: RelayHarness, change) -> tuple[bytes, float]:
    """Send a request 0.3 s before a change; return the answer and its time."""
    results = []

    async def send():
        started_at = trio.current_time()
        answer = await harness.send(build_request())
        results.append((answer, trio.current_time() - started_at))

    async with trio.open_nursery() as callers:
        callers.start_soon(send)
        await trio.sleep(0.3)
        await change()
    return results[0]


class TestStartupHold:
    async def test_a_gateway_refuses_shortly_before_it_gets_its_document(self, nursery):
        harness = await start_without_document(nursery)
        await harness.add(answer_ok)

        async def configure():
            harness.configure(build_deployment())

        answer, seconds = await send_before(harness, configure)
        assert answer.startswith(b"HTTP/1.1 200")
        assert seconds < 0.8
        assert get_metrics().get_count("startup_holds", outcome="ready") == 1

    async def test_a_gateway_refuses_shortly_before_endpoints_announce_themselves(
        self, nursery
    ):
        harness = await start_relay(nursery)
        harness.relay.startup = StartupHold()

        async def announce():
            await harness.add(answer_ok)

        answer, _ = await send_before(harness, announce)
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_a_request_waits_for_a_document_that_does_not_come(self, nursery):
        harness = await start_without_document(nursery)
        started_at = trio.current_time()
        answer = await harness.send(build_request(X_Deadline_Ms="1000"))
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
        assert 0.3 < trio.current_time() - started_at < 0.8

    async def test_an_old_gateway_lets_requests_wait(self, nursery):
        harness = await start_without_document(nursery)
        harness.relay.startup.started_at -= START_S
        started_at = trio.current_time()
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 503")
        assert trio.current_time() - started_at < 0.2

    async def test_a_caller_that_leaves_is_held(self, nursery):
        harness = await start_without_document(nursery)
        stream = await harness.connect()
        await stream.send_all(build_request())
        await trio.sleep(0.1)
        assert harness.relay.startup.held == 1
        await stream.aclose()
        with trio.fail_after(0.5):
            while harness.relay.startup.held:
                await trio.sleep(0.01)
