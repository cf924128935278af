"""Tests of the limit that all entries together keep towards a cold endpoint."""

import random

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.deployment import ServiceRule
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.outbound_connection import OutboundConnection
from medlarrail.testing.builders import (
    build_announcement,
    build_cluster_view_answer,
    build_deployment,
    build_endpoint_stats,
)
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    answer_ok,
    build_request,
    start_relay,
)

COLD_S = 3.0
COLD_PER_S = 21.0
SERVICE = ServiceRule("guide", cold_s=COLD_S, cold_per_s=COLD_PER_S)


async def start_cold_relay(
    nursery: trio.Nursery, cold_per_s: float = COLD_PER_S
) -> RelayHarness:
    """Start a relay with one endpoint, ``engine-1``, that is cold."""
    service = ServiceRule("guide", cold_s=COLD_S, cold_per_s=cold_per_s)
    deployment = evolve(build_deployment(), services=(service,))
    harness = await start_relay(nursery, deployment)
    await harness.add(answer_ok)
    cluster_view = harness.relay.cluster_view
    cluster_view.entries_settled = True
    cluster_view.endpoints["engine-1"].cold_until = cluster_view.clock() + COLD_S
    return harness


class TestObservability:
    async def test_an_attempt_at_a_cold_endpoint_logs_what_the_entry_knew(
        self, nursery
    ):
        harness = await start_cold_relay(nursery)
        harness.relay.cluster_view.entry_count = 4
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_request(X_Request_Id="cold-1"))
            harness.relay.cluster_view.endpoints["engine-1"].cold_until = 0.0
            await harness.send(build_request(X_Request_Id="warm-1"))
        logged = {attempt["request"]: attempt["cold"] for attempt in attempts}
        cold, warm = logged["cold-1"], logged["warm-1"]
        assert 0 < cold.pop("remaining_ms") <= COLD_S * 1000
        assert cold == {"sent": 1, "entry_count": 4}
        assert warm is None


def build_entries(count: int) -> list[EndpointStats]:
    """Return the endpoint statistics of ``count`` entries that know each other."""
    names = [f"gateway-{number}" for number in range(count)]
    return [build_endpoint_stats(name, names) for name in names]


def send_if_available(entry: EndpointStats, now: float, name: str = "engine-1") -> bool:
    """Send a request of one entry to a cold endpoint if its limit allows."""
    entry.clock = lambda: now
    endpoint = EndpointView(build_announcement(name=name), cold_until=COLD_S)
    if entry.get_unavailable_reason(endpoint, SERVICE):
        return False
    entry.record_sent(endpoint)
    return True


def count_busiest_second(sent: list[float]) -> int:
    """Return the largest number of requests in one second."""
    return max(
        (sum(end - 1.0 < at <= end for at in sent) for end in sent),
        default=0,
    )


class TestSharedRate:
    """A data centre returns with cold endpoints, and every entry prefers them."""

    @pytest.mark.parametrize("entry_count", [1, 7, 12, 13, 65, 82, 390])
    def test_many_entries_overload_a_cold_endpoint(self, entry_count):
        """Each entry sent at least one request a second, however many there were."""
        rng = random.Random(entry_count)
        entries = build_entries(entry_count)
        sent = []
        now = 0.0
        while now < COLD_S:
            now += rng.expovariate(4000)
            if send_if_available(rng.choice(entries), now):
                sent.append(now)
        assert count_busiest_second(sent) <= COLD_PER_S
        assert len(sent) >= COLD_S * COLD_PER_S / 3

    def test_an_announcement_makes_all_entries_send_at_once(self):
        """All entries learn of the endpoint in the same instant."""
        sent = [send_if_available(entry, 0.0) for entry in build_entries(82)]
        assert 0 < sum(sent) <= COLD_PER_S

    @pytest.mark.parametrize("number", range(1, 21))
    def test_entries_that_are_cut_off_keep_their_old_parts(self, number):
        """The others share the rate again; both lists hold at the same time."""
        names = [f"gateway-{index}" for index in range(65)]
        cut_off, others = names[:16], names[16:]
        entries = [build_endpoint_stats(name, names) for name in cut_off]
        entries += [build_endpoint_stats(name, others) for name in others]
        sent = sum(
            send_if_available(entry, 0.01 * attempt, f"engine-{number}")
            for attempt in range(50)
            for entry in entries
        )
        assert 0 < sent <= COLD_PER_S


class SlowPool(OutboundPool):
    """A pool whose connections take some time to open."""

    async def acquire(
        self, address: str, new_connection: bool, limit: int | None = None
    ) -> OutboundConnection:
        await trio.sleep(0.05)
        return await super().acquire(address, new_connection, limit)


class TestReservation:
    async def test_requests_that_wait_for_a_connection_exceed_the_cold_rate(
        self, nursery
    ):
        """They were checked when the endpoint was chosen but counted when sent."""
        harness = await start_cold_relay(nursery, cold_per_s=2.0)
        harness.relay.pool = SlowPool()
        async with trio.open_nursery() as callers:
            for _ in range(5):
                callers.start_soon(harness.send, build_request())
        assert len(harness.endpoints[0].requests) == 1


class TestStartingEntries:
    def test_entries_that_start_with_a_new_leader_overload_a_cold_endpoint(self):
        """Each divided the cold rate by the few entries that had called before it."""
        names = [f"gateway-{number}" for number in range(65)]
        entries = [
            build_endpoint_stats(name, names[: number + 1], settled=False)
            for number, name in enumerate(names)
        ]
        sent = sum(
            send_if_available(entry, 0.01 * attempt)
            for attempt in range(50)
            for entry in entries
        )
        assert sent <= COLD_PER_S

    def test_a_cold_endpoint_is_used_once_a_settled_leader_has_listed_the_entries(self):
        stats = build_endpoint_stats("gateway-1", ["gateway-1"], settled=False)
        assert not send_if_available(stats, 0.0)
        answer = build_cluster_view_answer(["gateway-1"])
        stats.cluster_view.apply(answer)
        assert send_if_available(stats, 0.0)
        stats.cluster_view.apply(evolve(answer, settled=False))
        assert send_if_available(stats, 0.1)
