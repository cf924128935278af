"""Tests of single odd entries among those that other writers send.

An entry that is very deeply nested, has a number that is too large or a port out of
range must not keep the others from being followed, nor end a process.
"""

import json

import pytest
import trio

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.core.codec import encode
from medlarrail.core.errors import CallerError, DeploymentInvalid, PeerBroken
from medlarrail.platform.announcements import decode_announcement
from medlarrail.platform.context_store_client import PlatformContextStoreClient
from medlarrail.platform.control import PlatformControl
from medlarrail.platform.documents import decode_deployment
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.platform.orders import PlatformOrders
from medlarrail.platform.platform_test import (
    CONFIG,
    ENGINE_REPORT,
    HEARTBEAT,
    ROUTE,
    STORE_EVENTS,
    STORE_LIST,
    FixedClient,
    copy_with_change,
)
from medlarrail.protocol.cluster_view import CLUSTER_VIEW_PATH, ClusterViewRequest
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.transport.routes import Request, Routes

NESTED = object()
"""Stands for a very deeply nested list."""
DEPTH = 100_000
HUGE_NUMBERS = (1e300, -1e300, 10**30, 2**64 - 1, -(2**63))


def encode_odd(document, path, value) -> bytes:
    """Return a document as JSON with one odd value."""
    placeholder = "nested" if value is NESTED else value
    text = json.dumps(copy_with_change(document, path, placeholder))
    return text.replace('"nested"', "[" * DEPTH + "]" * DEPTH).encode()


class TestAnnouncements:
    @pytest.mark.parametrize("name", ["cold-remaining-ms", "slots", "sequence", "born"])
    @pytest.mark.parametrize("value", HUGE_NUMBERS)
    def test_a_number_that_is_too_large_is_listed(self, name, value):
        with pytest.raises(CallerError):
            decode_announcement("i-1", encode_odd(HEARTBEAT, (name,), value))

    @pytest.mark.parametrize("value", HUGE_NUMBERS)
    def test_a_weight_version_that_is_too_large_is_listed(self, value):
        path = ("models", 0, "version")
        with pytest.raises(CallerError):
            decode_announcement("i-1", encode_odd(HEARTBEAT, path, value))

    @pytest.mark.parametrize("port", ["0", "65536", "-1", "99999999999999999999", ""])
    def test_a_port_out_of_range_is_listed(self, port):
        address = f"10.0.0.9:{port}"
        with pytest.raises(CallerError):
            decode_announcement("i-1", encode_odd(HEARTBEAT, ("address",), address))

    @pytest.mark.parametrize("name", sorted({*HEARTBEAT, "unknown"}))
    def test_a_deeply_nested_field_ends_the_decoder(self, name):
        with pytest.raises(CallerError):
            decode_announcement("i-1", encode_odd(HEARTBEAT, (name,), NESTED))


class TestLeader:
    @pytest.mark.parametrize("value", [*HUGE_NUMBERS, NESTED])
    async def test_gateways_stop_following_the_list(
        self, tmp_path, nursery, autojump_clock, value
    ):
        """The leader could not encode its answer to any poll."""
        cluster = Cluster(tmp_path, nursery)
        await cluster.bootstrap("a")
        leader = await cluster.wait_leader()
        view_server = ClusterViewServer(leader, clock=trio.current_time)
        routes = Routes.collect(PlatformControl(view_server), view_server)
        bodies = {
            "i-odd": encode_odd(HEARTBEAT, ("cold-remaining-ms",), value),
            "i-1": json.dumps(HEARTBEAT).encode(),
        }
        statuses = {}
        for name, body in bodies.items():
            request = Request("PUT", f"/instances/{name}", body=body)
            statuses[name] = (await routes.answer(request)).status
        assert 400 <= statuses["i-odd"] < 500
        assert statuses["i-1"] == 200
        poll = ClusterViewRequest("g1", "10.0.0.4:1", "leith", True, wait_s=0.0)
        request = Request("POST", CLUSTER_VIEW_PATH, body=encode(poll))
        answer = await routes.answer(request)
        assert answer.status == 200
        assert b"i-1" in answer.body and b"i-odd" not in answer.body


class TestDocuments:
    @pytest.mark.parametrize("value", [*HUGE_NUMBERS, NESTED])
    @pytest.mark.parametrize(
        "path",
        [
            ("version",),
            ("routes", 0, "timeout-ms"),
            ("routes", 0, "target-latency-ms"),
            ("routes", 0, "priority"),
            ("routes", 0, "traffic-split", 0, "weight"),
            ("services", 0, "max-connections"),
            ("services", 0, "engine", "kv-token-bytes"),
            ("limits", "idle-timeout-ms"),
            ("tenants", 0, "priority"),
        ],
    )
    def test_an_odd_value_reaches_the_log(self, path, value):
        """The leader that appended it ended, and so did the next one."""
        with pytest.raises(DeploymentInvalid):
            decode_deployment(encode_odd(CONFIG, path, value))

    def test_the_odd_values_are_in_fields_that_exist(self):
        assert ROUTE["target-latency-ms"] and CONFIG["limits"]["idle-timeout-ms"]


class TestStoresAndEngines:
    @pytest.mark.parametrize("value", [*HUGE_NUMBERS, NESTED])
    async def test_an_odd_entry_of_a_store_ends_the_index(self, value):
        lists = [
            encode_odd(STORE_LIST, ("held", 0, 2), value),
            encode_odd(STORE_LIST, ("partial", 0, 3), value),
            encode_odd(STORE_LIST, ("next",), value),
        ]
        for data in lists:
            client = PlatformContextStoreClient(FixedClient(data))
            with pytest.raises(PeerBroken):
                await client.read_list("a:1")
        for path in (("events", 0, 4), ("next",)):
            data = encode_odd(STORE_EVENTS, path, value)
            client = PlatformContextStoreClient(FixedClient(data))
            with pytest.raises(PeerBroken):
                await client.read_events("a:1", 3, 1000, 1.5)

    @pytest.mark.parametrize("value", [*HUGE_NUMBERS, NESTED])
    @pytest.mark.parametrize("path", [("sequence",), ("models", 0, "version")])
    async def test_an_odd_report_ends_the_roll_out(self, path, value):
        """The order that repeats the number could not be encoded."""
        orders = PlatformOrders(FixedClient(encode_odd(ENGINE_REPORT, path, value)))
        with pytest.raises(PeerBroken):
            await orders.read_state(build_announcement())


class TestRequests:
    def test_large_token_counts_end_the_reports_between_gateways(self):
        """Their sum could not be encoded; the endpoint gets the header as it came."""
        usage = b"%d,%d" % (10**18 - 1, 10**18 - 1)
        headers = ((b"Token-Usage", usage), (b"Prefix-Hash", b"a:%d" % (10**18 - 1)))
        metadata = PlatformHeaderCodec().read_request(headers)
        assert 1000 * metadata.prompt_tokens < 2**63
        assert 1000 * metadata.parts[0].tokens < 2**63
