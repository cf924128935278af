"""Tests of endpoints that fall over if they have to reject many requests."""

import pytest
import trio

from medlarrail.core.metrics import get_metrics
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.relay.divided_room import DividedRoom
from medlarrail.relay.header_codec import DefaultHeaderCodec, parse_max_rejections
from medlarrail.testing.brittle_endpoints import BrittleEndpoint
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.partitioned_site import start_site
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    answer_ok,
    build_request,
    start_relay,
)

ENDPOINT_COUNT = 3
SLOTS = 6
RUN_S = 0.3
CAPACITY_PER_S = ENDPOINT_COUNT * SLOTS / RUN_S
OVERLOAD = 3.0
MAX_FALLS = 2 + ENDPOINT_COUNT / 10
CONTACT_S = 2.0
"""Time after the first statement from which the queues may be shorter, and endpoints
may fall over."""
MEASURED_S = 3.0
MIN_THROUGHPUT = 0.9


async def start_brittle_site(nursery, gateways: int, max_rejections: float | None):
    """Return a site and its endpoints, with queues as long as their batches."""
    route = build_route(timeout_ms=1500)
    deployment = build_deployment(routes=(route,))
    site = await start_site(nursery, deployment, gateways, endpoints=0)
    endpoints = [
        BrittleEndpoint(site, SLOTS, RUN_S, SLOTS, max_rejections)
        for _ in range(ENDPOINT_COUNT)
    ]
    for endpoint in endpoints:
        await site.add_endpoint(endpoint.answer, slots=SLOTS)
    return site, endpoints


def forget_limits(gateway: RelayHarness) -> None:
    """Let a gateway forget what endpoints said, as one that has restarted.

    The leader tells it what the endpoints said to the others.
    """
    stats = gateway.relay.endpoint_stats
    stats.cluster_view.limited_services = frozenset(stats.room.list_limited())
    stats.room = DividedRoom(stats.cluster_view, stats.rank, stats.clock)


class TestOverload:
    @pytest.mark.parametrize("max_rejections", [0, 3])
    @pytest.mark.parametrize("gateways", [1, 7, 82])
    async def test_an_overload_makes_brittle_endpoints_fall_over(
        self, nursery, gateways, max_rejections
    ):
        """Each request was sent, and the endpoints rejected two of three."""
        site, endpoints = await start_brittle_site(nursery, gateways, max_rejections)
        per_s = OVERLOAD * CAPACITY_PER_S
        sent = await site.send_steadily(CONTACT_S, per_s)
        for endpoint in endpoints:
            endpoint.queue = 0
            endpoint.may_fall = True
        served_before = sum(endpoint.served for endpoint in endpoints)
        started_at = trio.current_time()
        sent += await site.send_steadily(MEASURED_S, per_s)
        seconds = trio.current_time() - started_at
        served = sum(endpoint.served for endpoint in endpoints) - served_before
        assert sum(endpoint.falls for endpoint in endpoints) <= MAX_FALLS
        assert served >= MIN_THROUGHPUT * CAPACITY_PER_S * min(seconds, MEASURED_S)
        for request in sent:
            assert site.runs[request.request_id] <= 1

    @pytest.mark.parametrize("max_rejections", [0, 3])
    async def test_restarted_gateways_make_brittle_endpoints_fall_over(
        self, nursery, max_rejections
    ):
        """A gateway that has just started has heard of no limit."""
        site, endpoints = await start_brittle_site(nursery, 7, max_rejections)
        per_s = OVERLOAD * CAPACITY_PER_S
        await site.send_steadily(CONTACT_S, per_s)
        for endpoint in endpoints:
            endpoint.queue = 0
            endpoint.may_fall = True

        async def restart_in_turn():
            for gateway in site.gateways:
                await trio.sleep(MEASURED_S / len(site.gateways))
                forget_limits(gateway)

        nursery.start_soon(restart_in_turn)
        await site.send_steadily(MEASURED_S, per_s)
        assert sum(endpoint.falls for endpoint in endpoints) <= MAX_FALLS

    async def test_a_request_that_was_given_up_leaves_no_room(self, nursery):
        """Its endpoint went on for a moment, and rejected the next one."""
        site, _ = await start_brittle_site(nursery, 1, 0)
        endpoint = BrittleEndpoint(site, 1, RUN_S, 0, 0, may_fall=True)
        site.gateways[0].relay.cluster_view.endpoints.clear()
        await site.add_endpoint(endpoint.answer, slots=1)
        first = await site.send(0, "/ask/1", "GET")
        assert first.is_served
        gateway = site.gateways[0]
        given_up = await gateway.send(build_request(X_Deadline_Ms="50"))
        assert given_up.startswith(b"HTTP/1.1 504")
        last = await site.send(0, "/ask/1", "GET")
        assert last.is_served and endpoint.falls == 0

    async def test_requests_wait_that_cannot_be_served(self, nursery):
        """What would be served too late is refused at once, with the time to wait."""
        site, _ = await start_brittle_site(nursery, 1, 3)
        await site.send_steadily(0.5, 20)
        sent = await site.send_steadily(1.5, OVERLOAD * CAPACITY_PER_S)
        refused = [
            request
            for request in sent
            if request.answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 429"))
        ]
        assert len(refused) > 0.2 * len(sent)
        assert sorted(request.seconds for request in refused)[len(refused) // 2] < 0.1
        assert all(b"Retry-After" in request.answer for request in refused)

    async def test_the_limit_outlasts_the_statement(self, nursery):
        """An answer without the header ends it."""
        site, endpoints = await start_brittle_site(nursery, 1, 3)
        stats = site.gateways[0].relay.endpoint_stats
        await site.send_steadily(0.5, 40)
        assert stats.room.is_divided("guide")
        for endpoint in endpoints:
            endpoint.max_rejections = None
        await site.send_steadily(1.0, 40)
        views = stats.cluster_view.endpoints.values()
        assert not any(stats.room.is_limited(view.announced) for view in views)


class TestStatement:
    async def test_an_answer_to_another_entry_ends_an_endpoints_own_statement(
        self, nursery
    ):
        """That answer may be of another endpoint, which bears any rejections."""
        harness = await start_relay(nursery)
        await harness.add(answer_ok)
        announced = harness.relay.cluster_view.endpoints["engine-1"].announced
        room = harness.relay.endpoint_stats.room
        room.record_statement(announced, 3.0, False)
        room.record_carried_statement("guide", None)
        assert room.is_limited(announced)

    @pytest.mark.parametrize("text", ["-1", "nan", "inf", "1e99", "many"])
    def test_an_unreadable_number_means_that_any_is_borne(self, text):
        assert parse_max_rejections(text) == 0.0
        assert get_metrics().get_count("max_rejections_unreadable") == 1

    @pytest.mark.parametrize(
        "codec, name",
        [
            (DefaultHeaderCodec(), b"X-Max-Rejections-Per-S"),
            (PlatformHeaderCodec(), b"Server-Brittle"),
        ],
    )
    def test_the_header_is_not_read(self, codec, name):
        for status in (200, 429, 503):
            headers = ((name, b"4"),)
            assert codec.read_answer(status, headers).max_rejections_per_s == 4.0
        assert codec.read_answer(200, ()).max_rejections_per_s is None
