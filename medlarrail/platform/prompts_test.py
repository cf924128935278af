"""Tests of long prompts through the relay, with platform headers and stores."""

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.context_store_client import (
    StoredPart,
    StoreEventBatch,
    StoreListing,
)
from medlarrail.core.announcements import ModelWeights
from medlarrail.core.deployment import (
    AccountRule,
    EngineSpec,
    ServiceRule,
    StoreSpec,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import ContextScope
from medlarrail.platform.header_codec import REPORT_PATH, PlatformHeaderCodec
from medlarrail.policy.endpoint_model import MIN_SAMPLES
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.workload_tracker import EngineTokens, WorkloadReport
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import get_value, start_relay

STORE = "172.20.0.2:8006"
SCOPE = str(ContextScope("", "m", 1))
ROUTE = build_route(
    kind="stream", resumable=True, target_ms=600, patience_ms=2400, timeout_ms=8000
)
DEPLOYMENT = build_deployment(
    routes=(ROUTE,),
    services=(
        ServiceRule("guide", engine=EngineSpec(32, 79_000, 18_432, 180_000.0, 12)),
        ServiceRule("kept", store=StoreSpec(STORE, "leith", 800_000, 42_000.0, 12)),
    ),
)
PROMPT = (
    b"POST /ask/1 HTTP/1.1\r\nHost: tickets.example\r\nApi-Key: key-1\r\n"
    b"Request-Id: r1\r\nModel: m\r\nToken-Usage: 17000,120\r\n"
    b"Prefix-Hash: a1:12800,b2:4200\r\nDeadline-Ms: 8000\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class FixedContextStoreClient:
    """Store client that returns fixed contents and no change events."""

    def __init__(self, *parts):
        self.parts = parts

    async def read_list(self, address):
        return StoreListing("7", 1, self.parts, 0)

    async def read_events(self, address, since, wait_ms, timeout_s):
        await trio.sleep(0.05)
        return StoreEventBatch("7", 1, False, ())


async def send_one_event(connection, request):
    """Answer with the first event, or with the one after the last that was received."""
    request_id = get_value(request, b"request-id")
    last_id = int(get_value(request, b"last-event-id") or 0)
    event = b"id: %d\ndata: x\n\n" % (last_id + 1)
    await connection.send(
        b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: "
        + request_id
        + b"\r\nContent-Type: text/event-stream\r\nContent-Length: "
        + str(len(event)).encode()
        + b"\r\n\r\n"
        + event
    )


async def start_prompt_relay(nursery, store_client, engines=2):
    """Return a relay with engines and a store whose contents are already known."""
    harness = await start_relay(nursery, build_deployment(), PlatformHeaderCodec())
    harness.status_path = REPORT_PATH
    harness.relay.context = ContextIndex(
        harness.relay.cluster_view, store_client, "gateway-1"
    )
    nursery.start_soon(harness.relay.context.run)
    harness.configure(DEPLOYMENT)
    harness.relay.cluster_view.confirmed_at = harness.relay.cluster_view.clock()
    for _ in range(engines):
        await harness.add(send_one_event, models=(ModelWeights("m", 1),))
    with trio.fail_after(5):
        while not all(
            store.synced_at > 0 for store in harness.relay.context.stores.values()
        ):
            await trio.sleep(0.01)
    return harness


def report_work_everywhere(harness, unread, held=0):
    """Make another gateway report queued work at every engine."""
    engines = tuple(
        EngineTokens(endpoint.name, unread, held or unread)
        for endpoint in harness.endpoints
    )
    harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 1, engines))


async def test_a_cached_part_is_fetched_from_the_store(nursery):
    harness = await start_prompt_relay(
        nursery, FixedContextStoreClient(StoredPart(SCOPE, "a1", 12_800))
    )
    answer = await harness.send(PROMPT)
    assert answer.startswith(b"HTTP/1.1 200") and b"data: x" in answer
    (request,) = [
        request for endpoint in harness.endpoints for request in endpoint.requests
    ]
    assert get_value(request, b"kv-fetch") == f"{STORE},-".encode()
    assert get_value(request, b"cache-salt") == SCOPE.encode()


async def test_a_part_in_no_store_is_not_fetched(nursery):
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    answer = await harness.send(PROMPT)
    assert answer.startswith(b"HTTP/1.1 200")
    (request,) = [
        request for endpoint in harness.endpoints for request in endpoint.requests
    ]
    assert get_value(request, b"kv-fetch") is None


async def test_a_part_in_no_store_is_fetched_from_the_engine_that_read_it(nursery):
    """Others read it again until the store's event had come, or for good if no store
    had room. The log line of the attempt names the source."""
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    view = harness.relay.cluster_view
    view.confirmed_at = view.clock()
    await harness.send(PROMPT)
    reader = next(engine for engine in harness.endpoints if engine.requests)
    other = next(engine for engine in harness.endpoints if engine is not reader)
    tokens = EngineTokens(reader.name, 60_000, 60_000)
    harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 1, (tokens,)))
    with collect_messages("request:attempt") as attempts:
        await harness.send(PROMPT)
    (request,) = other.requests
    address = view.endpoints[reader.name].announced.address
    assert get_value(request, b"kv-fetch") == f"{address},-".encode()
    (attempt,) = attempts
    assert attempt["transfers"] == [f"fetch {address}", "-"]
    assert get_metrics().get_count("prefills_shared", how="fetch") == 1


async def test_the_least_loaded_engine_is_chosen(nursery):
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    busy, idle = harness.endpoints
    tokens = EngineTokens(busy.name, 60_000, 60_000)
    for number in range(1, 6):
        harness.relay.workload.store_report(
            WorkloadReport("gateway-2", 1, number, (tokens,))
        )
        await harness.send(PROMPT)
    assert not busy.requests and len(idle.requests) == 5


async def test_the_speed_of_the_engines_is_learned_from_answers(nursery):
    """Prompts were refused before engines that read three times as fast as the
    constant. These answer at once."""
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    speeds = harness.relay.speeds
    for _ in range(MIN_SAMPLES):
        assert speeds.get_tokens_per_ms("guide") == PREFILL_TOKENS_PER_MS
        await harness.send(PROMPT)
    assert speeds.get_tokens_per_ms("guide") > PREFILL_TOKENS_PER_MS


async def test_a_prompt_queues_until_an_engine_is_idle(nursery):
    """All engines are busy beyond the latency target and become idle after 0.5 s."""
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    report_work_everywhere(harness, 30_000)
    answers = []

    async def ask():
        answers.append(await harness.send(PROMPT))

    nursery.start_soon(ask)
    await trio.sleep(0.5)
    assert not answers and not any(endpoint.requests for endpoint in harness.endpoints)
    harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 2, ()))
    with trio.fail_after(2):
        while not answers:
            await trio.sleep(0.02)
    assert answers[0].startswith(b"HTTP/1.1 200")


async def test_a_caller_that_leaves_passes_its_turn_on(nursery):
    """The oldest late prompt has the turn to look for an engine. If its place outlived
    its caller, no other late prompt of the gateway would be sent again."""
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    turns = harness.relay.get_prompt_turns("guide")
    answers = []

    async def keep_busy():
        for sequence in range(1, 1000):
            engines = tuple(
                EngineTokens(endpoint.name, 30_000, 30_000)
                for endpoint in harness.endpoints
            )
            report = WorkloadReport("gateway-2", 1, sequence, engines)
            harness.relay.workload.store_report(report)
            await trio.sleep(0.2)

    async def ask():
        answers.append(await harness.send(PROMPT))

    async with trio.open_nursery() as busy:
        busy.start_soon(keep_busy)
        first = await harness.connect()
        await first.send_all(PROMPT)
        with trio.fail_after(2):
            while len(turns.waiting) < 1:
                await trio.sleep(0.01)
        nursery.start_soon(ask)
        with trio.fail_after(2):
            while len(turns.waiting) < 2:
                await trio.sleep(0.01)
        await trio.sleep(0.5)
        now = trio.current_time()
        assert [turns.has_turn(prompt, now) for prompt in turns.waiting].count(
            True
        ) == 1
        await first.aclose()
        with trio.fail_after(2):
            while len(turns.waiting) > 1:
                await trio.sleep(0.01)
        busy.cancel_scope.cancel()
    harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 2000, ()))
    with trio.fail_after(2):
        while not answers:
            await trio.sleep(0.02)
    assert answers[0].startswith(b"HTTP/1.1 200")
    assert not turns.waiting


async def test_a_prompt_beyond_the_callers_timeout_is_refused_at_once(nursery):
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    report_work_everywhere(harness, 400_000)
    with trio.fail_after(0.5):
        answer = await harness.send(PROMPT)
    assert answer.startswith(b"HTTP/1.1 429")
    assert float(get_value(answer, b"retry-after")) > 1
    assert not any(endpoint.requests for endpoint in harness.endpoints)


async def test_endpoints_with_old_weights_take_overflow(nursery):
    harness = await start_prompt_relay(nursery, FixedContextStoreClient())
    old, new = harness.endpoints
    current = harness.relay.cluster_view.endpoints[new.name]
    current.announced = evolve(current.announced, models=(ModelWeights("m", 2),))
    cluster_view = harness.relay.cluster_view
    cluster_view.weight_versions.record("m", 2, cluster_view.clock() - 3)
    await harness.send(PROMPT)
    assert new.requests and not old.requests
    tokens = EngineTokens(new.name, 25_000, 25_000)
    harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 1, (tokens,)))
    await harness.send(PROMPT)
    assert len(old.requests) == 1
    assert get_value(old.requests[0], b"expect-version") == b"1"


def build_document(*isolated, names=("lea-college", "tayside")):
    """Return a document of accounts, each with the key that is its name."""
    accounts = tuple(
        AccountRule(name, (name,), isolated=name in isolated) for name in names
    )
    return evolve(DEPLOYMENT, accounts=accounts)


def build_prompt(account):
    """Return the prompt of an account."""
    return PROMPT.replace(b"key-1", account.encode())


async def read_salt(harness, account):
    """Send a prompt of an account, and return the namespace of its cache."""
    sent = {engine.name: len(engine.requests) for engine in harness.endpoints}
    answer = await harness.send(build_prompt(account))
    assert answer.startswith(b"HTTP/1.1 200")
    (request,) = [
        request
        for engine in harness.endpoints
        for request in engine.requests[sent[engine.name] :]
    ]
    return get_value(request, b"cache-salt").decode()


class TestIsolatedAccounts:
    """What an account made while it shared was used by others once it was isolated."""

    async def test_account_becomes_isolated(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.configure(build_document())
        shared = await read_salt(harness, "lea-college")
        assert shared == await read_salt(harness, "tayside") == SCOPE
        harness.configure(build_document("lea-college"))
        salts = [await read_salt(harness, name) for name in ("lea-college", "tayside")]
        assert len({shared, *salts}) == 3

    async def test_account_is_isolated_for_the_second_time(self, nursery):
        """It shared again in between."""
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        made = set()
        for isolated in ((), ("lea-college",), (), ("lea-college",)):
            harness.configure(build_document(*isolated))
            salt = await read_salt(harness, "tayside")
            assert not isolated or salt not in made
            made.add(await read_salt(harness, "lea-college"))

    async def test_account_returns_as_an_isolated_one(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.configure(build_document())
        shared = await read_salt(harness, "lea-college")
        harness.configure(build_document(names=("tayside",)))
        harness.configure(build_document("lea-college"))
        assert shared != await read_salt(harness, "tayside")

    async def test_other_accounts_share_nothing_after_the_change(self, nursery):
        names = ("lea-college", "tayside", "forth")
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.configure(build_document("lea-college", names=names))
        assert await read_salt(harness, "tayside") == await read_salt(harness, "forth")

    async def test_change_of_something_else_empties_the_cache(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.configure(build_document("lea-college"))
        before = await read_salt(harness, "tayside")
        names = ("lea-college", "tayside", "forth")
        harness.configure(build_document("lea-college", names=names))
        assert await read_salt(harness, "tayside") == before

    async def test_part_is_fetched_that_was_stored_before_the_change(self, nursery):
        store_client = FixedContextStoreClient(StoredPart(SCOPE, "a1", 12_800))
        harness = await start_prompt_relay(nursery, store_client)
        harness.configure(build_document("lea-college"))
        await read_salt(harness, "tayside")
        (request,) = [r for engine in harness.endpoints for r in engine.requests]
        assert get_value(request, b"kv-fetch") is None

    @pytest.mark.parametrize("account", ["lea-college", "tayside"])
    async def test_account_becomes_isolated_while_a_prompt_waits(
        self, nursery, account
    ):
        """Its account was that of the document at its admission. The place of its part
        was found in the namespace before."""
        store_client = FixedContextStoreClient(StoredPart(SCOPE, "a1", 12_800))
        harness = await start_prompt_relay(nursery, store_client)
        harness.configure(build_document())
        report_work_everywhere(harness, 30_000)
        salts = []

        async def ask():
            salts.append(await read_salt(harness, account))

        nursery.start_soon(ask)
        await trio.sleep(0.3)
        assert not any(engine.requests for engine in harness.endpoints)
        harness.configure(build_document("lea-college"))
        harness.relay.workload.store_report(WorkloadReport("gateway-2", 1, 2, ()))
        with trio.fail_after(2):
            while not salts:
                await trio.sleep(0.02)
        assert salts == [await read_salt(harness, account)]
        assert salts != [SCOPE]
        requests = [r for engine in harness.endpoints for r in engine.requests]
        assert all(get_value(r, b"kv-fetch") is None for r in requests)

    @pytest.mark.parametrize("isolated", [(), ("lea-college",)])
    async def test_gateway_without_a_leader_lets_accounts_share(
        self, nursery, isolated
    ):
        """It was suspended or cut off, so an account may have become isolated since.
        Others may free what it finds in the stores."""
        scopes = (SCOPE, "lea-college/m/1", "tayside/m/1")
        parts = [StoredPart(scope, "a1", 12_800) for scope in scopes]
        harness = await start_prompt_relay(nursery, FixedContextStoreClient(*parts))
        harness.configure(build_document(*isolated))
        view = harness.relay.cluster_view
        shared = await read_salt(harness, "tayside")
        limit_s = harness.relay.isolation.limit_ms / 1000
        view.confirmed_at = view.clock() - limit_s - 0.1
        for engine in harness.endpoints:
            engine.requests.clear()
        for account in ("tayside", "lea-college"):
            assert await read_salt(harness, account) == f"{account}/m/1"
        requests = [r for engine in harness.endpoints for r in engine.requests]
        assert all(get_value(r, b"kv-fetch") is None for r in requests)
        assert all(get_value(r, b"kv-save") is None for r in requests)
        view.confirmed_at = view.clock()
        assert await read_salt(harness, "tayside") == shared


async def test_a_started_stream_fails_over_without_queueing(nursery):
    """The caller's time limit for waiting applies only until the first event."""

    async def begin_and_break(connection, request):
        await connection.send(
            b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: r1\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"f\r\nid: 1\ndata: a\n\n\r\n"
        )
        await trio.sleep(0.05)
        report_work_everywhere(harness, 400_000)
        connection.reset()

    harness = await start_prompt_relay(nursery, FixedContextStoreClient(), engines=0)
    await harness.add(begin_and_break, models=(ModelWeights("m", 1),))
    second = await harness.add(send_one_event, models=(ModelWeights("m", 1),))
    tokens = EngineTokens(second.name, 90_000, 10)
    harness.relay.workload.store_report(WorkloadReport("gateway-3", 1, 1, (tokens,)))
    answer = await harness.send(PROMPT)
    assert answer.startswith(b"HTTP/1.1 200") and b"data: a" in answer
    assert b"id: 2\ndata: x" in answer and len(second.requests) == 1


class FixedWorkloadDirectory:
    """Directory of a large deployment that replies with fixed workloads."""

    def __init__(self, **unread):
        self.unread = unread
        self.asked = []

    def is_needed(self):
        return True

    async def find(self, engines):
        self.asked.append(tuple(engines))
        await trio.sleep(0.002)
        return {
            name.replace("_", "-"): EngineTokens(name.replace("_", "-"), unread, unread)
            for name, unread in self.unread.items()
        }


class TestManyGateways:
    async def test_prompts_go_to_an_engine_that_others_fill(self, nursery):
        """Only the coordinator knows of the prompts of the other gateways."""
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.relay.workloads = FixedWorkloadDirectory(engine_1=60_000, engine_2=0)
        for _ in range(5):
            await harness.send(PROMPT)
        busy, idle = harness.endpoints
        assert not busy.requests and len(idle.requests) == 5

    async def test_engines_that_did_not_reply_are_used(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.relay.workloads = FixedWorkloadDirectory(engine_2=5_000)
        await harness.send(PROMPT)
        assert not harness.endpoints[0].requests

    async def test_without_replies_no_prompt_is_served(self, nursery):
        """What the gateway knows itself decides: its own prompts."""
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        harness.relay.workloads = FixedWorkloadDirectory()
        harness.relay.workload.begin("engine-1", 60_000, 60_000)
        answer = await harness.send(PROMPT)
        assert answer.startswith(b"HTTP/1.1 200")
        assert not harness.endpoints[0].requests

    async def test_a_found_engine_that_rejects_ends_the_request(self, nursery):
        """The engines that were asked for are tried; another one is left."""

        async def reject(connection, request):
            await connection.send(
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
            )

        harness = await start_prompt_relay(
            nursery, FixedContextStoreClient(), engines=0
        )
        await harness.add(reject, models=(ModelWeights("m", 1),))
        await harness.add(send_one_event, models=(ModelWeights("m", 1),))
        harness.relay.workloads = FixedWorkloadDirectory(engine_1=0)
        answer = await harness.send(PROMPT)
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_a_waiting_prompt_does_not_look_again(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        directory = FixedWorkloadDirectory(engine_1=30_000, engine_2=30_000)
        harness.relay.workloads = directory
        answers = []

        async def ask():
            answers.append(await harness.send(PROMPT))

        nursery.start_soon(ask)
        await trio.sleep(0.5)
        assert not answers and 2 <= len(directory.asked) <= 6
        directory.unread = {"engine_1": 0}
        with trio.fail_after(2):
            while not answers:
                await trio.sleep(0.02)
        assert answers[0].startswith(b"HTTP/1.1 200")

    async def test_short_prompts_and_plain_requests_are_looked_up(self, nursery):
        harness = await start_prompt_relay(nursery, FixedContextStoreClient())
        directory = FixedWorkloadDirectory(engine_1=0)
        harness.relay.workloads = directory
        short = PROMPT.replace(b"b2:4200", b"b2:200").replace(b"17000", b"13000")
        assert (await harness.send(short)).startswith(b"HTTP/1.1 200")
        assert not directory.asked
