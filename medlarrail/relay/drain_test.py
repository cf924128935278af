"""Tests of the graceful shutdown of a gateway."""

import pytest
import trio
from attrs import evolve

from medlarrail.core.errors import Draining
from medlarrail.relay.drain import DrainPolicy, drain_gateway
from medlarrail.relay.metadata import InboundRequest
from medlarrail.relay.shutdown import Shutdown
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.scripted_endpoints import (
    Script,
    answer_ok,
    build_answer,
    build_request,
    build_script,
    get_value,
    start_relay,
)

POLICY = DrainPolicy(shortest_s=0.2, quiet_s=0.2, longest_s=0.6, limit_s=0.8)


def get_status(answer: bytes) -> bytes:
    """Return the status of a complete answer with a length, b"" of any other."""
    head, _, body = answer.partition(b"\r\n\r\n")
    length = get_value(head, b"content-length")
    return head.split()[1] if length and int(length) == len(body) else b""


def build_delayed(seconds: float) -> Script:
    """Return a script that answers after ``seconds``."""

    async def answer_late(connection, request):
        await trio.sleep(seconds)
        await answer_ok(connection, request)

    return answer_late


class TestDrain:
    async def test_a_request_accepted_late_in_the_shutdown_is_cut(self, nursery):
        """New requests are accepted until shortly before the shutdown is over."""

        harness = await start_relay(nursery)
        await harness.add(build_script(answer_ok, answer_ok, build_delayed(0.5)))
        statuses = []

        async def call():
            for _ in range(3):
                await trio.sleep(0.15)
                statuses.append(get_status(await harness.send(build_request())))

        nursery.start_soon(call)
        await drain_gateway(harness.server, harness.relay, POLICY)
        assert harness.server.active == 0
        # It may have run, so it is not refused.
        assert statuses == [b"200", b"200", b"502"]

    async def test_a_request_that_would_be_cut_is_refused_at_once(self, nursery):
        """The latest answers took longer than the rest of the shutdown."""
        harness = await start_relay(nursery)
        endpoint = await harness.add(build_delayed(0.4))
        await harness.send(build_request())
        nursery.start_soon(drain_gateway, harness.server, harness.relay, POLICY)
        await trio.sleep(0.05)
        assert get_status(await harness.send(build_request())) == b"200"
        sent_at = trio.current_time()
        assert get_status(await harness.send(build_request())) == b"503"
        assert trio.current_time() - sent_at < 0.1
        assert len(endpoint.requests) == 2

    async def test_a_rejected_request_is_not_sent_again_if_it_would_be_cut(
        self, nursery
    ):
        """An endpoint rejects it after a while; the time left is too short."""

        async def reject_late(connection, request):
            await trio.sleep(0.3)
            await connection.send(build_answer(request, status=b"503", X_Not_Run="1"))

        harness = await start_relay(nursery)
        endpoint = await harness.add(build_script(build_delayed(0.35), reject_late))
        await harness.send(build_request())
        nursery.start_soon(drain_gateway, harness.server, harness.relay, POLICY)
        await trio.sleep(0.05)
        second_endpoint = await harness.add(reject_late)
        assert get_status(await harness.send(build_request())) == b"503"
        assert len(endpoint.requests) - 1 + len(second_endpoint.requests) == 1

    async def test_work_that_runs_once_is_not_refused_after_it_was_sent(self, nursery):
        """The endpoint still works on it when the shutdown ends."""
        once = build_route(name="buy", prefix="/buy/", kind="once", max_attempts=1)
        harness = await start_relay(nursery, build_deployment(routes=(once,)))
        endpoint = await harness.add(build_delayed(2.0))
        nursery.start_soon(drain_gateway, harness.server, harness.relay, POLICY)
        request = build_request("/buy/1", method="POST", body=b"{}")
        assert get_status(await harness.send(request)) == b"502"
        assert len(endpoint.requests) == 1
        assert harness.server.active == 0


LATE_POLICY = DrainPolicy(
    shortest_s=0.1, bounded_from_s=0.1, quiet_s=0.2, longest_s=0.9, limit_s=1.2
)


class TestLateRequests:
    """Requests that arrive when callers could know of the shutdown."""

    async def start(self, nursery, **changes):
        route = build_route(**changes)
        harness = await start_relay(nursery, build_deployment(routes=(route,)))
        endpoint = await harness.add(build_delayed(2.0))
        nursery.start_soon(drain_gateway, harness.server, harness.relay, LATE_POLICY)
        return harness, endpoint

    @pytest.mark.parametrize("kind", ["stream", "once", "repeat"])
    async def test_late_request_is_cut_as_its_route_was_not_served_before(
        self, kind, nursery
    ):
        """Nothing was known of the route, so any request was sent."""
        harness, endpoint = await self.start(nursery, kind=kind)
        await trio.sleep(0.2)
        assert get_status(await harness.send(build_request("/ask/1"))) == b"503"
        assert not endpoint.requests

    async def test_late_request_is_cut_as_recent_ones_were_shorter(self, nursery):
        harness = await start_relay(nursery)
        endpoint = await harness.add(build_script(answer_ok, build_delayed(2.0)))
        assert get_status(await harness.send(build_request())) == b"200"
        nursery.start_soon(drain_gateway, harness.server, harness.relay, LATE_POLICY)
        await trio.sleep(0.2)
        assert get_status(await harness.send(build_request())) == b"503"
        assert len(endpoint.requests) == 1

    async def test_late_request_with_a_near_deadline_is_refused(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(answer_ok)
        nursery.start_soon(drain_gateway, harness.server, harness.relay, LATE_POLICY)
        await trio.sleep(0.2)
        request = build_request(X_Deadline_Ms="500")
        assert get_status(await harness.send(request)) == b"200"

    async def test_early_request_is_refused(self, nursery):
        """Its caller could not know of the shutdown."""
        harness = await start_relay(nursery)
        await harness.add(answer_ok)
        nursery.start_soon(drain_gateway, harness.server, harness.relay, LATE_POLICY)
        await trio.sleep(0.02)
        assert get_status(await harness.send(build_request())) == b"200"

    async def test_carried_request_is_cut(self, autojump_clock):
        """Its caller's own gateway is not shutting down."""
        shutdown = Shutdown()
        now = trio.current_time()
        shutdown.begin(now + 1.0, bounded_from=now + 0.5)
        request = InboundRequest(b"GET", b"/ask/1", "", (), b"", now)
        shutdown.require_time("ask", request, deadline=now + 2.0)
        carried = evolve(request, forwarded_by="edge-2")
        shutdown.require_time("ask", carried, deadline=now + 0.9)
        with pytest.raises(Draining):
            shutdown.require_time("ask", carried, deadline=now + 2.0)
