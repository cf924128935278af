"""Tests of the adapter between the platform and medlarrail."""

import orjson
import pytest
import trio
from hypothesis import given, reject
from hypothesis import strategies as st

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.context_store_client import (
    StoredPart,
    StoreEventBatch,
    StoreListing,
)
from medlarrail.cluster.weight_rollout import EngineState
from medlarrail.core.announcements import Announcement
from medlarrail.core.codec import decode_error
from medlarrail.core.deployment import Deployment, TrafficShare
from medlarrail.core.deployment_check import iterate_deployment_faults
from medlarrail.core.errors import (
    BadField,
    CallerError,
    DeploymentInvalid,
    MalformedRequest,
    PeerBroken,
    RolloutInProgress,
)
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.platform.announcements import decode_announcement
from medlarrail.platform.context_store_client import PlatformContextStoreClient
from medlarrail.platform.control import PlatformControl
from medlarrail.platform.documents import decode_deployment
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.platform.orders import PlatformOrders
from medlarrail.platform.rollouts import decode_rollout_order
from medlarrail.relay.metadata import (
    AnswerMetadata,
    DispatchMetadata,
    EndpointLoad,
    PromptPart,
    Refusal,
    RequestMetadata,
)
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.transport.client import RawAnswer
from medlarrail.transport.routes import Request, Routes

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "path-prefix": "/x/",
    "kind": "streaming",
    "timeout-ms": 6000,
    "target-latency-ms": 800,
    "priority": 1,
    "traffic-split": [
        {"service": "llm", "weight": 90},
        {"service": "app", "weight": 10},
    ],
    "max-attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "target-gap-ms": 400,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "llm",
            "health-path": "/healthz",
            "max-connections": 360,
            "cold-start-s": 3.0,
            "cold-per-s": 29.0,
            "engine": {
                "slots": 64,
                "kv-capacity-tokens": 68095,
                "kv-token-bytes": 18432,
                "max-in-flight": 12,
                "models": [{"name": "m"}],
            },
        },
        {"name": "app", "max-connections": 96},
        {
            "name": "store",
            "kv-store-addr": "172.20.0.6:8006",
            "zone": "leith",
            "kv-capacity-tokens": 77116,
            "managed": True,
            "first_ms": 0.5,
        },
    ],
    "limits": {"max-header-bytes": 9000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}],
}
HEARTBEAT = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "leith",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-remaining-ms": 0,
    "stage": "colocated",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


LONG_NUMBERS = st.integers(4000, 6000).map(lambda size: b"9" * size)


def encode_or_reject(value) -> bytes:
    """Return a value as JSON; reject the example if JSON cannot represent it."""
    try:
        return orjson.dumps(value)
    except orjson.JSONEncodeError:
        reject()


def encode_with_change(document, path, value) -> bytes:
    """Return a document as JSON with one value changed, or removed."""
    return orjson.dumps(copy_with_change(document, path, value))


def copy_with_change(document, path, value):
    """Return a copy of a document with one value changed, or removed."""
    copy = orjson.loads(orjson.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return copy


class TestDocuments:
    def test_each_field_is_decoded(self):
        data = orjson.dumps(CONFIG)
        document = decode_deployment(data)
        assert not list(iterate_deployment_faults(document))
        (route,) = document.routes
        assert document.version == 7 and document.source == data.decode()
        assert (route.kind, route.timeout_ms, route.gap_ms) == ("stream", 6000, 400)
        assert route.shares == (TrafficShare("llm", 90.0), TrafficShare("app", 10.0))
        assert route.repeatable and route.cached and route.max_attempts == 2
        assert document.services[0].engine.memory_tokens == 68095
        assert document.services[2].store.address == "172.20.0.6:8006"
        assert document.accounts[0].keys == ("k1", "k2")
        assert document.limits.header_bytes == 9000

    def test_a_route_may_name_one_service(self):
        route = {**ROUTE, "service": "app"}
        del route["traffic-split"]
        document = decode_deployment(orjson.dumps({**CONFIG, "routes": [route]}))
        assert document.routes[0].shares == (TrafficShare("app"),)

    def test_empty_list_of_accounts_is_read_as_a_missing_one(self):
        """The removal of the last account opened the service to any key."""
        empty = encode_with_change(CONFIG, ("tenants",), [])
        assert decode_deployment(empty).requires_key
        assert decode_deployment(orjson.dumps(CONFIG)).requires_key
        missing = encode_with_change(CONFIG, ("tenants",), None)
        assert not decode_deployment(missing).requires_key

    @pytest.mark.parametrize(
        "path, value",
        [
            (("version",), None),
            (("version",), "7"),
            (("version",), True),
            (("routes",), {}),
            (("routes", 0), 3),
            (("routes", 0, "kind"), "other"),
            (("routes", 0, "host"), None),
            (("routes", 0, "timeout-ms"), "6000"),
            (("routes", 0, "traffic-split", 0, "weight"), "much"),
            (("services", 0, "name"), 5),
            (("tenants", 0, "api-keys"), [5]),
            (("limits", "max-header-bytes"), "many"),
        ],
    )
    def test_a_wrong_type_is_reported_with_its_path(self, path, value):
        with pytest.raises(DeploymentInvalid) as caught:
            decode_deployment(encode_with_change(CONFIG, path, value))
        assert caught.value.faults[0].place.startswith("$")

    @given(st.integers(0, 600))
    def test_a_truncated_document_is_invalid(self, size):
        data = orjson.dumps(CONFIG)
        with pytest.raises(DeploymentInvalid):
            decode_deployment(data[: min(size, len(data) - 1)])

    @given(JSON_VALUES)
    def test_any_json_is_decoded_or_invalid(self, value):
        data = encode_or_reject(value)
        try:
            document = decode_deployment(data)
        except DeploymentInvalid:
            return
        assert isinstance(document, Deployment)

    @given(st.sampled_from(sorted(ROUTE)), JSON_VALUES)
    def test_any_value_in_a_route(self, name, value):
        data = encode_or_reject(copy_with_change(CONFIG, ("routes", 0, name), value))
        try:
            decode_deployment(data)
        except DeploymentInvalid:
            return


class TestAnnouncements:
    def test_each_field_is_decoded(self):
        announcement = decode_announcement("i-1", orjson.dumps(HEARTBEAT))
        assert announcement.started_ms == 1700000000000 and announcement.sequence == 4
        assert announcement.get_version("m") == 1 and announcement.slots == 64

    @pytest.mark.parametrize(
        "name, value",
        [
            ("state", "dancing"),
            ("state", None),
            ("address", "engine:8080"),
            ("address", "10.0.0.999:80"),
            ("address", "10.0.0.1"),
            ("sequence", "4"),
            ("sequence", True),
            ("born", 1.5),
            ("models", {}),
            ("models", [3]),
        ],
    )
    def test_an_unusable_registration_is_rejected(self, name, value):
        with pytest.raises(CallerError):
            decode_announcement("i-1", encode_with_change(HEARTBEAT, (name,), value))

    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        with pytest.raises(CallerError):
            decode_announcement("i-1", data)

    @given(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES)
    def test_any_value_in_a_field(self, name, value):
        data = encode_or_reject(copy_with_change(HEARTBEAT, (name,), value))
        try:
            announcement = decode_announcement("i-1", data)
        except CallerError:
            return
        assert isinstance(announcement, Announcement)


class TestHeaderCodec:
    def test_a_request_is_parsed(self):
        metadata = PlatformHeaderCodec().read_request(
            (
                (b"Request-Id", b"9c41"),
                (b"Model", b"m"),
                (b"Token-Usage", b"1460,80"),
                (b"Prefix-Hash", b"5c1e:800,91bd:410,e440:250"),
                (b"Deadline-Ms", b"6000"),
                (b"Api-Key", b"k1"),
            )
        )
        assert metadata.request_id == "9c41" and metadata.deadline_ms == 6000
        assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
        assert metadata.parts[1] == PromptPart("91bd", 410)

    @pytest.mark.parametrize(
        "name, value",
        [
            (b"Deadline-Ms", b"-5"),
            (b"Deadline-Ms", b"1e3"),
            (b"Token-Usage", b"12"),
            (b"Token-Usage", b"a,b"),
            (b"Prefix-Hash", b"5c1e"),
            (b"Prefix-Hash", b":5"),
        ],
    )
    def test_an_unparsable_header_is_malformed(self, name, value):
        with pytest.raises(MalformedRequest):
            PlatformHeaderCodec().read_request(((name, value),))

    @given(st.one_of(st.binary(max_size=20), LONG_NUMBERS))
    def test_any_bytes_in_a_header(self, value):
        for name in (b"Deadline-Ms", b"Token-Usage", b"Prefix-Hash", b"Length-Hint"):
            try:
                metadata = PlatformHeaderCodec().read_request(((name, value),))
            except MalformedRequest:
                continue
            assert isinstance(metadata, RequestMetadata)

    @given(st.one_of(st.binary(max_size=20), LONG_NUMBERS))
    def test_any_bytes_in_an_answer(self, value):
        for name in (b"Server-Load", b"Weight-Versions", b"Keep-Alive", b"Request-Id"):
            metadata = PlatformHeaderCodec().read_answer(200, ((name, value),))
            assert isinstance(metadata, AnswerMetadata)

    def test_reserved_headers_of_callers_are_replaced(self):
        names = (
            *("Tenant", "Expect-Instance", "Expect-Version", "Request-Priority"),
            *("Cache-Salt", "Kv-Fetch", "Kv-Save", "Kv-Until", "Kv-Backup"),
            *("Kv-From", "Pin-Ms", "Hold", "Api-Key", "Deadline-Ms"),
            "Last-Event-Id",
        )
        sent = tuple((name.encode(), b"caller") for name in names)
        dispatch = DispatchMetadata(build_announcement(name="i-1"), 500, account="t1")
        written = dict(PlatformHeaderCodec().write_request(sent, dispatch))
        assert b"caller" not in written.values()
        assert written[b"Expect-Instance"] == b"i-1"
        assert written[b"Tenant"] == b"t1" and written[b"Deadline-Ms"] == b"500"

    def test_transfers_are_listed_in_part_order(self):
        dispatch = DispatchMetadata(
            build_announcement(), 5, fetch=("1.1.1.1:1", "", ""), save=("", "", "")
        )
        written = dict(PlatformHeaderCodec().write_request((), dispatch))
        assert written[b"Kv-Fetch"] == b"1.1.1.1:1,-,-"
        assert b"Kv-Save" not in written

    def test_an_answer_is_parsed(self):
        header_codec = PlatformHeaderCodec()
        complete = header_codec.read_answer(
            200,
            (
                (b"Request-Id", b"r"),
                (b"Response-Signature", b"s"),
                (b"Server-Load", b"3,0,8"),
                (b"Keep-Alive", b"timeout=5"),
                (b"Weight-Versions", b"2"),
                (b"Server-Limit", b"1.4"),
            ),
        )
        assert complete.limit_per_s == 1.4
        assert (
            complete.verified
            and complete.load.slots == 8
            and complete.keep_alive_s == 5.0
        )
        assert complete.weight_version == 2 and not complete.not_run
        refused = header_codec.read_answer(503, ((b"Not-Executed", b"1"),))
        assert refused.not_run and not refused.verified
        misdirected = header_codec.read_answer(421, ((b"Instance-Id", b"i-2"),))
        assert misdirected.misdirected and misdirected.endpoint == "i-2"

    @pytest.mark.parametrize("text", ["3,1,8,140", "3,1,8,x", "3, 1, 8, 140, 7"])
    def test_further_figures_of_a_load_are_ignored(self, text):
        """Guards against losing the whole load report when a figure is added to it."""
        answer = PlatformHeaderCodec().read_answer(
            200, ((b"Server-Load", text.encode()),)
        )
        assert answer.load == EndpointLoad(running=3, waiting=1, slots=8)

    def test_a_refusal_states_when_to_retry(self):
        headers, _ = PlatformHeaderCodec().write_refusal(
            Refusal(503, "full", 0.25), RequestMetadata(request_id="r")
        )
        assert (b"Retry-After", b"0.25") in headers and (b"Request-Id", b"r") in headers


STORE_LIST = {
    "boot-epoch": 7,
    "next": 3,
    "held": [["s", "p", 800, "m"]],
    "partial": [["s", "q", 16, 320]],
}
STORE_EVENTS = {
    "boot-epoch": 7,
    "next": 5,
    "lost": False,
    "events": [[3, "+", "s", "q", 320, "m"], [4, "-", "s", "p", 0, "m"]],
}
ENGINE_REPORT = {"models": [{"name": "m", "version": 2}], "sequence": 4, "busy": False}


class RecordingClient:
    """HTTP client that answers from a list and records the calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def fetch(self, method, url, body=b"", headers=None, **options):
        self.calls.append((method, url, body, headers))
        status, payload = self.answers.pop(0)
        return RawAnswer(status, {}, orjson.dumps(payload))


class FixedClient:
    """HTTP client that answers every call with the same bytes."""

    def __init__(self, data):
        self.data = data

    async def fetch(self, *args, **kwargs):
        return RawAnswer(200, {}, self.data)


def check_result_type(call, expected_type, *args) -> None:
    """Check that a call returns the expected type or raises ``PeerBroken``."""
    try:
        result = trio.run(call, *args)
    except PeerBroken:
        return
    assert isinstance(result, expected_type)


class TestStoreClientAndOrders:
    async def test_lists_and_events(self):
        client = RecordingClient((200, STORE_LIST), (200, STORE_EVENTS))
        store_client = PlatformContextStoreClient(client)
        listing = await store_client.read_list("a:1")
        assert listing.parts == (StoredPart("s", "p", 800),)
        assert listing.partial_tokens == 320
        batch = await store_client.read_events("a:1", 3, 1000, 1.5)
        assert [event.added for event in batch.events] == [True, False]
        assert client.calls[1][1].endswith("since=3")

    @given(st.sampled_from(sorted(STORE_LIST)), JSON_VALUES)
    def test_any_value_in_a_list(self, name, value):
        data = encode_or_reject({**STORE_LIST, name: value})
        check_result_type(
            PlatformContextStoreClient(FixedClient(data)).read_list, StoreListing, "a:1"
        )

    @given(st.sampled_from(sorted(STORE_EVENTS)), JSON_VALUES)
    def test_any_value_in_events(self, name, value):
        data = encode_or_reject({**STORE_EVENTS, name: value})
        store_client = PlatformContextStoreClient(FixedClient(data))
        check_result_type(
            store_client.read_events, StoreEventBatch, "a:1", 3, 1000, 1.5
        )

    @given(st.lists(st.lists(JSON_VALUES, max_size=6), max_size=3))
    def test_any_values_in_an_event(self, events):
        data = encode_or_reject({**STORE_EVENTS, "events": events})
        store_client = PlatformContextStoreClient(FixedClient(data))
        check_result_type(
            store_client.read_events, StoreEventBatch, "a:1", 3, 1000, 1.5
        )

    @given(st.integers(0, 200))
    def test_truncated_events(self, size):
        data = orjson.dumps(STORE_EVENTS)
        store_client = PlatformContextStoreClient(
            FixedClient(data[: min(size, len(data) - 1)])
        )
        with pytest.raises(PeerBroken):
            trio.run(store_client.read_events, "a:1", 3, 1000, 1.5)

    @given(st.sampled_from(sorted(ENGINE_REPORT)), JSON_VALUES)
    def test_any_value_in_a_report(self, name, value):
        data = encode_or_reject({**ENGINE_REPORT, name: value})
        orders = PlatformOrders(FixedClient(data))
        check_result_type(orders.read_state, EngineState, build_announcement())

    async def test_an_order_contains_holder_fencing_token_and_count(self):
        client = RecordingClient((202, {}))
        from medlarrail.cluster.weight_rollout import WeightOrder

        order = WeightOrder(build_announcement(name="i-1"), "m", 2, "node-7", 41, 5)
        assert await PlatformOrders(client).order(order) == "accepted"
        _, _, body, headers = client.calls[0]
        payload = orjson.loads(body)
        assert payload["fencing-token"] == 41 and payload["expect"] == 5
        assert payload["holder"] == "node-7" and payload["mode"] == "wait"
        assert headers["expect-instance"] == "i-1"


@pytest.fixture
async def control(request, tmp_path, nursery, autojump_clock):
    """Return the routes of the leader and of another member.

    The parameter, if there is one, limits software rollouts.
    """
    cluster = Cluster(tmp_path, nursery)
    await cluster.bootstrap("a", "b", "c")
    leader = await cluster.wait_leader()
    routes = {}
    for host in cluster.hosts.values():
        view_server = ClusterViewServer(
            host.member,
            clock=trio.current_time,
            rollout_policy=getattr(request, "param", None),
        )
        routes[host.member.name] = Routes.collect(PlatformControl(view_server))
    other = next(name for name in routes if name != leader.name)
    await trio.sleep(1)
    return routes[leader.name], routes[other]


async def call(routes, method, path, payload=None):
    body = b"" if payload is None else orjson.dumps(payload)
    return await routes.answer(Request(method, path, body=body))


class TestControl:
    async def test_a_document_is_returned_as_it_was_sent(self, control, autojump_clock):
        leading, _ = control
        assert (await call(leading, "GET", "/config")).status == 503
        assert (await call(leading, "PUT", "/config", CONFIG)).status == 200
        assert (await call(leading, "PUT", "/config", CONFIG)).status == 200
        answer = await call(leading, "GET", "/config")
        assert answer.status == 200 and orjson.loads(answer.body) == CONFIG

    async def test_an_invalid_document_is_rejected_and_not_applied(
        self, control, autojump_clock
    ):
        leading, _ = control
        bad = {**CONFIG, "routes": [{**ROUTE, "timeout-ms": 0}]}
        assert (await call(leading, "PUT", "/config", bad)).status == 400
        assert (await call(leading, "GET", "/config")).status == 503

    async def test_a_follower_redirects_the_caller_to_the_leader(
        self, control, autojump_clock
    ):
        _, follower = control
        for method, path in (
            ("PUT", "/config"),
            ("GET", "/config"),
            ("PUT", "/instances/i-1"),
            ("POST", "/evacuate/leith"),
        ):
            payload = CONFIG if path == "/config" else HEARTBEAT
            answer = await call(follower, method, path, payload)
            assert answer.status == 307 and answer.headers["location"].endswith(path)

    async def test_heartbeats_are_redirected_for_ever(self, control, autojump_clock):
        """Followers redirected four of five heartbeats, which made two calls and two
        connections of each."""
        leading, follower = control
        path = "/instances/i-1"
        redirect = await call(follower, "PUT", path, HEARTBEAT)
        acknowledged = await call(leading, "PUT", path, HEARTBEAT)
        address = orjson.loads(acknowledged.body)["heartbeat-addr"]
        assert "/" not in address
        assert redirect.headers["location"].partition("://")[2] == address + path

    async def test_announcements_and_departures(self, control, autojump_clock):
        leading, _ = control
        assert (await call(leading, "PUT", "/instances/i-1", HEARTBEAT)).status == 200
        bad = await call(leading, "PUT", "/instances/i-2", {**HEARTBEAT, "state": "?"})
        assert bad.status == 400
        assert (await call(leading, "DELETE", "/instances/i-1")).status == 200

    async def test_orders(self, control, autojump_clock):
        leading, _ = control
        assert (await call(leading, "POST", "/evacuate/leith")).status == 200
        assert (await call(leading, "DELETE", "/evacuate/leith")).status == 200
        good = {"model": "m", "version": 2}
        assert (await call(leading, "POST", "/version-put", good)).status == 200
        for bad in ({}, {"model": "m", "version": "2"}, [], {"version": 2}):
            assert (await call(leading, "POST", "/version-put", bad)).status == 400


ROLLOUT = {"service": "llm", "target": "v2", "duration-s": 12}


class TestRollouts:
    @pytest.mark.parametrize("control", [SoftwareRolloutPolicy()], indirect=True)
    async def test_order_has_no_clear_answer(self, control, autojump_clock):
        leading, follower = control
        for number, version in enumerate(("v1", "v2")):
            path = f"/instances/i-{version}"
            beat = {**HEARTBEAT, "version": version, "address": f"10.0.0.{number}:80"}
            assert (await call(leading, "PUT", path, beat)).status == 200
        assert (await call(leading, "GET", "/rollouts/llm")).status == 404
        for order in (ROLLOUT, ROLLOUT, {**ROLLOUT, "duration-s": 0.5}):
            answer = await call(leading, "POST", "/rollouts", order)
            assert answer.status == 200
        shown = await call(leading, "GET", "/rollouts/llm")
        assert shown.status == 200
        assert orjson.loads(shown.body) == {"state": "running", "target": "v2"}
        other = await call(leading, "POST", "/rollouts", {**ROLLOUT, "target": "v3"})
        assert other.status == 409
        error = decode_error(other.body)
        assert isinstance(error, RolloutInProgress)
        assert (error.service, error.target) == ("llm", "v2")
        for method, path in (("POST", "/rollouts"), ("GET", "/rollouts/llm")):
            answer = await call(follower, method, path, ROLLOUT)
            assert answer.status == 307 and answer.headers["location"].endswith(path)

    @pytest.mark.parametrize("control", [SoftwareRolloutPolicy()], indirect=True)
    @pytest.mark.parametrize(
        "changes",
        [
            {"service": 1},
            {"service": ""},
            {"service": "x" * 1000},
            {"target": None},
            {"duration-s": "12"},
            {"duration-s": True},
            {"duration-s": None},
            {"duration-s": 0},
            {"duration-s": -1},
            {"duration-s": 1e300},
        ],
    )
    async def test_bad_order_is_retried_at_other_members(
        self, changes, control, autojump_clock
    ):
        leading, _ = control
        answer = await call(leading, "POST", "/rollouts", {**ROLLOUT, **changes})
        assert answer.status == 400
        assert isinstance(decode_error(answer.body), BadField)

    @given(JSON_VALUES)
    def test_any_body(self, value):
        try:
            decode_rollout_order(encode_or_reject(value))
        except CallerError:
            return

    async def test_deployment_without_limits_has_rollouts(
        self, control, autojump_clock
    ):
        leading, _ = control
        assert (await call(leading, "POST", "/rollouts", ROLLOUT)).status == 404
        assert (await call(leading, "GET", "/rollouts/llm")).status == 404


class TestEndpointStatus:
    @pytest.mark.parametrize(
        "body, started_ms",
        [
            (b'{"born": 1700000000000, "runs": []}', 1_700_000_000_000),
            (b'{"stage": "colocated"}', 0),
            (b'{"born": true}', 0),
            (b'{"born": "1"}', 0),
            (b"[1]", 0),
            (b"no report", 0),
        ],
    )
    def test_start_of_an_endpoint_is_read_from_its_report(self, body, started_ms):
        assert PlatformHeaderCodec().read_started_ms(body) == started_ms

    def test_model_endpoints_report_and_others_have_a_health_check(self):
        services = decode_deployment(orjson.dumps(CONFIG)).services
        paths = [PlatformHeaderCodec().get_status_path(service) for service in services]
        assert paths[0] == "/report" and paths[1] == services[1].health_path
