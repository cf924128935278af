"""Tests of weight rollouts: fencing tokens, load slots and the capacity floor."""

import pytest
import trio
from attrs import define, field

from medlarrail.core.cluster_records import DesiredVersion
from medlarrail.core.entities import EndpointOrder
from medlarrail.core.errors import FencedOff, NotFound
from medlarrail.ownership.rollout import Rollout
from medlarrail.protocol.endpoints import (
    ENDPOINT_STATE_PATH,
    ORDER_PATH,
    EndpointReport,
    LoadReport,
    Order,
)
from medlarrail.state.operations import RegisterEndpoint, SetDesiredVersion, SetOrder
from medlarrail.testing.builders import build_endpoint
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.entries import EntryHost
from medlarrail.transport.routes import Routes, route

STATES = ("state-1", "state-2", "state-3")
LOAD_S = 2.0


@define(eq=False)
class FakeEngine:
    """Loads weights; optionally checks fencing tokens."""

    deployment: "Deployment"
    name: str
    checks_fencing: bool = True
    version: str = "v1"
    loading: str = ""
    fencing: int = 0
    stale_orders: int = 0
    roles: list = field(factory=list)

    def describe(self):
        return EndpointReport("i1", self.version, self.loading)

    @route("POST", ENDPOINT_STATE_PATH)
    async def handle_state(self, request):
        return self.describe()

    @route("POST", ORDER_PATH, Order)
    async def handle_order(self, request):
        order = request.message
        if order.fencing < self.fencing:
            self.stale_orders += 1
            if self.checks_fencing:
                raise FencedOff(seen=self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        if order.kind == "set-role":
            self.roles.append(order.value)
        elif not self.loading and order.value != self.version:
            self.loading = order.value
            self.deployment.cluster.nursery.start_soon(self.load)
        return self.describe()

    async def load(self):
        self.deployment.note_loading()
        await trio.sleep(LOAD_S)
        self.version, self.loading = self.loading, ""


class Deployment:
    """Three entries that run rollouts on four engines."""

    def __init__(self, cluster, count=4):
        self.cluster = cluster
        self.engines = [FakeEngine(self, f"engine-{n}") for n in range(count)]
        self.entries = []
        self.max_loading = 0

    def note_loading(self):
        loading = sum(bool(engine.loading) for engine in self.engines)
        self.max_loading = max(self.max_loading, loading)

    async def start(self):
        await self.cluster.bootstrap(*STATES)
        for number in (1, 2, 3):
            entry = EntryHost(self.cluster, f"entry-{number}")
            await entry.start()
            self.entries.append(entry)
            rollout = Rollout(
                entry.session,
                entry.state,
                entry.follower,
                entry.owners,
                self.cluster.network.connect(entry.url),
            )
            entry.nursery.start_soon(rollout.run)
        for engine in self.engines:
            url = f"mem://{engine.name}"
            self.cluster.network.hosts[url] = Routes.collect(engine)
            endpoint = build_endpoint(
                name=engine.name, url=url, checks_fencing=engine.checks_fencing
            )
            await self.cluster.propose(RegisterEndpoint(endpoint))
        self.cluster.nursery.start_soon(self.report)
        return self

    async def report(self):
        while True:
            for entry in self.entries:
                for engine in self.engines:
                    report = LoadReport(engine.name, "i1", 0, 0, 0, engine.version)
                    entry.owners.apply_report(report)
            await trio.sleep(0.5)

    async def order(self, version, **limits):
        desired = DesiredVersion("seat-guide", version, **limits)
        await self.cluster.propose(SetDesiredVersion(desired))

    async def wait_versions(self, version, count):
        with trio.fail_after(60):
            while True:
                catalogue = (await self.cluster.wait_leader()).catalogue
                loaded = [
                    endpoint
                    for endpoint in catalogue.endpoints.values()
                    if endpoint.weight_version == version
                ]
                if len(loaded) >= count and not catalogue.loads:
                    return
                await trio.sleep(0.1)


@pytest.fixture
async def deployment(tmp_path, nursery, autojump_clock):
    return await Deployment(Cluster(tmp_path, nursery)).start()


class TestOrders:
    async def get_order(self, deployment):
        catalogue = (await deployment.cluster.wait_leader()).catalogue
        return next(iter(catalogue.orders.values()))

    async def test_an_order_is_sent_once_per_incarnation(
        self, deployment, autojump_clock
    ):
        engine = deployment.engines[0]
        order = EndpointOrder(engine.name, "set-role", "prefill")
        await deployment.cluster.propose(SetOrder(order))
        await trio.sleep(3)
        assert engine.roles == ["prefill"]
        assert (await self.get_order(deployment)).done
        restarted = build_endpoint(
            name=engine.name, url=f"mem://{engine.name}", incarnation="i2"
        )
        await deployment.cluster.propose(RegisterEndpoint(restarted))
        await trio.sleep(3)
        assert engine.roles == ["prefill", "prefill"]

    async def test_an_order_for_an_unknown_endpoint_is_refused(
        self, deployment, autojump_clock
    ):
        order = EndpointOrder("nobody", "set-role", "prefill")
        with pytest.raises(NotFound):
            await deployment.cluster.propose(SetOrder(order))


class TestRollout:
    async def test_every_engine_loads_the_version_within_the_load_limit(
        self, deployment, autojump_clock
    ):
        await deployment.order("v2", max_loads=2)
        await deployment.wait_versions("v2", 4)
        assert {engine.version for engine in deployment.engines} == {"v2"}
        assert deployment.max_loading == 2

    async def test_the_floor_of_serving_replicas_is_kept(
        self, deployment, autojump_clock
    ):
        await deployment.order("v2", max_loads=4, floor=3)
        await deployment.wait_versions("v2", 4)
        assert deployment.max_loading == 1

    async def test_the_rollout_completes_if_an_owner_is_lost_in_mid_load(
        self, deployment, autojump_clock
    ):
        await deployment.order("v2", max_loads=4)
        await trio.sleep(1.0)
        deployment.entries.pop(0).kill()
        await deployment.wait_versions("v2", 4)

    async def test_a_newer_order_replaces_the_previous_one(
        self, deployment, autojump_clock
    ):
        await deployment.order("v2", max_loads=2)
        await trio.sleep(1.0)
        await deployment.order("v3", max_loads=2)
        await deployment.wait_versions("v3", 4)

    async def test_an_unfenced_engine_gets_no_order_from_a_reconnected_owner(
        self, deployment, autojump_clock
    ):
        for engine in deployment.engines:
            engine.checks_fencing = False
        isolated = deployment.entries[0]
        deployment.cluster.network.isolate(isolated.url)
        await trio.sleep(10)
        await deployment.order("v2", max_loads=4)
        await deployment.wait_versions("v2", 4)
        deployment.cluster.network.clear_cuts()
        await trio.sleep(10)
        assert sum(engine.stale_orders for engine in deployment.engines) == 0
