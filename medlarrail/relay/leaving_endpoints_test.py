"""Tests of endpoints that say in their answers that they are leaving."""

import pytest
import trio
from attrs import evolve

from medlarrail.core.metrics import get_metrics
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.leaving_endpoints import LeavingEndpoints
from medlarrail.relay.outbound import OutboundPool
from medlarrail.testing.builders import (
    build_announcement,
    build_deployment,
    build_route,
)
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.partitioned_site import start_site
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    answer_ok,
    build_answer,
    build_request,
    build_script,
    get_value,
    start_relay,
)

BURST = 200


async def answer_leaving(connection, request):
    """Answer with 200 and say that the endpoint is leaving."""
    await connection.send(build_answer(request, X_Leaving="1"))


async def reject_leaving(connection, request):
    """Reject a request and say that the endpoint is leaving."""
    await connection.send(
        build_answer(request, status=b"503 Full", X_Not_Run="1", X_Leaving="1")
    )


async def fail_leaving(connection, request):
    """Answer with 404 and say that the endpoint is leaving."""
    await connection.send(build_answer(request, status=b"404 No", X_Leaving="1"))


async def send_burst(harness: RelayHarness) -> list[bytes]:
    """Send requests at the same time and return their answers."""
    answers = []

    async def send():
        answers.append(await harness.send(build_request()))

    async with trio.open_nursery() as callers:
        for _ in range(BURST):
            callers.start_soon(send)
    return answers


def count_status(answers: list[bytes], status: bytes) -> int:
    """Return the number of answers with a status."""
    return sum(answer.startswith(b"HTTP/1.1 " + status) for answer in answers)


class TestLeavingEndpoint:
    @pytest.mark.parametrize("script", [answer_leaving, reject_leaving, fail_leaving])
    async def test_requests_go_on_to_an_endpoint_that_leaves(self, nursery, script):
        """Only the leader's list told that an endpoint leaves, which came later."""
        harness = await start_relay(nursery)
        leaving = await harness.add(script)
        await harness.send(build_request())
        other = await harness.add(answer_ok)
        answers = await send_burst(harness)
        assert len(leaving.requests) == 1
        assert count_status(answers, b"200") == len(other.requests) == BURST

    async def test_an_endpoint_that_leaves_during_a_stream_gets_more(self, nursery):
        """What runs there goes on."""

        async def stream(connection, request):
            request_id = get_value(request, b"x-request-id")
            await connection.send(
                b"HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nX-Request-Id: "
                + request_id
                + b"\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
            )
            await trio.sleep(0.3)
            await connection.send(b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")

        route = build_route(kind="stream", resumable=True)
        harness = await start_relay(nursery, build_deployment(routes=(route,)))
        leaving = await harness.add(stream)
        answers = []

        async def call():
            answers.append(await harness.send(build_request()))

        async with trio.open_nursery() as callers:
            callers.start_soon(call)
            await trio.sleep(0.1)
            refused = await harness.send(build_request())
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"data: a" in answers[0] and b"data: b" in answers[0]
        assert len(leaving.requests) == 1

    async def test_a_request_is_sent_after_its_connection_was_opened(
        self, nursery, monkeypatch
    ):
        """The endpoint says that it leaves while a connection to it is opened."""
        harness = await start_relay(nursery)
        leaving = await harness.add(answer_leaving)
        acquire = OutboundPool.acquire

        async def acquire_slowly(pool, *arguments, **options):
            connection = await acquire(pool, *arguments, **options)
            await trio.sleep(0.2)
            return connection

        await harness.send(build_request())
        harness.relay.endpoint_stats.leaving = LeavingEndpoints(trio.current_time)
        monkeypatch.setattr(OutboundPool, "acquire", acquire_slowly)
        answers = []

        async def call():
            answers.append(await harness.send(build_request()))

        async with trio.open_nursery() as callers:
            callers.start_soon(call)
            await trio.sleep(0.1)
            view = harness.relay.cluster_view.endpoints["engine-1"]
            harness.relay.endpoint_stats.leaving.record(view.announced)
        assert answers[0].startswith(b"HTTP/1.1 503")
        assert len(leaving.requests) == 1

    async def test_an_older_announcement_returns_an_endpoint(self, nursery):
        """The leader still lists it as ready, also after it had not listed it."""
        harness = await start_relay(nursery)
        leaving = await harness.add(answer_leaving)
        await harness.send(build_request())
        view = harness.relay.cluster_view.endpoints.pop("engine-1")
        harness.relay.endpoint_stats.drop_departed()
        harness.register(evolve(view.announced, sequence=9))
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 503")
        assert len(leaving.requests) == 1

    async def test_another_incarnation_is_left_alone(self, nursery):
        harness = await start_relay(nursery)
        endpoint = await harness.add(build_script(answer_leaving, answer_ok))
        await harness.send(build_request())
        harness.register(
            build_announcement(
                name="engine-1", address=f"{HOST}:{endpoint.port}", started_ms=5000
            )
        )
        assert (await harness.send(build_request())).startswith(b"HTTP/1.1 200")

    async def test_if_all_leave_requests_wait_for_their_deadline(self, nursery):
        harness = await start_relay(nursery)
        for _ in range(2):
            await harness.add(reject_leaving)
        await harness.send(build_request())
        started_at = trio.current_time()
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 503")
        assert trio.current_time() - started_at < 0.2

    async def test_a_gateway_that_passes_on_anothers_answer_does_not_know(
        self, nursery
    ):
        """A partitioned gateway passes on the answer that another one relayed."""

        async def answer_named(connection, request):
            answer = build_answer(request, X_Leaving="1", X_Endpoint="engine-1")
            await connection.send(answer)

        site = await start_site(nursery, build_deployment(), 2, endpoints=0)
        await site.add_endpoint(answer_named)
        site.cut(range(1), "reset")
        for _ in range(3):
            assert (await site.send(0, "/ask/1", "GET")).answer
        site.heal()
        for gateway in site.gateways:
            gateway.relay.forwarder._reachability.clear()
        before = len(site.endpoints[0].requests)
        sent = await site.send(0, "/ask/1", "GET")
        assert sent.answer.startswith(b"HTTP/1.1 503")
        assert len(site.endpoints[0].requests) == before

    async def test_the_log_does_not_tell_why_an_endpoint_is_unused(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(answer_leaving, started_ms=77_000)
        with collect_messages("endpoint:leaving") as leaving:
            for _ in range(3):
                await harness.send(build_request())
        # Messages of other tests are delivered, too.
        own = [message for message in leaving if message["started_ms"] == 77_000]
        assert len(own) == 1 and own[0]["endpoint"] == "engine-1"
        assert get_metrics().get_count("endpoints_leaving") == 1
        service = harness.relay.table.services["guide"]
        stats = harness.relay.endpoint_stats
        assert stats.count_unavailable(service) == {"leaving": 1}


class TestHeader:
    @pytest.mark.parametrize(
        "codec, name",
        [
            (DefaultHeaderCodec(), b"X-Leaving"),
            (PlatformHeaderCodec(), b"Server-Leaving"),
        ],
    )
    def test_the_header_is_not_read(self, codec, name):
        for status in (200, 404, 421, 503):
            assert codec.read_answer(status, ((name, b"1"),)).leaving
            for value in (b"0", b"", b"many"):
                assert not codec.read_answer(status, ((name, value),)).leaving
            assert not codec.read_answer(status, ()).leaving
