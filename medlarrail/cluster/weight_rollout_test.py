"""Tests of the weight rollout and the store cleaning that follows it."""

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.cluster_view_server import SETTLE_S, ClusterViewServer
from medlarrail.cluster.context_store_client import StoredPart, StoreListing
from medlarrail.cluster.store_cleaner import (
    DRAIN_WAIT_S,
    OWNERS_DRAIN_S,
    StoreCleaner,
)
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.cluster.weight_rollout import (
    EngineState,
    RolloutPolicy,
    WeightRollout,
)
from medlarrail.core.announcements import ModelWeights
from medlarrail.core.deployment import AccountRule, ServiceRule, StoreSpec
from medlarrail.core.errors import PeerTimeout
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers

LOAD_S = 1.0
POLICY = RolloutPolicy(at_once=2, quiet_s=3.0)


class FakeEngines:
    """Engines that take a second to load.

    For the first ``lose_first`` orders the answer is lost and the order takes effect
    5 s later."""

    def __init__(self, lose_first=0):
        self.versions = {}
        self.busy_until = {}
        self.accepted = {}
        self.fences = {}
        self.received = []
        self.lose = lose_first
        self.max_loading = 0

    def count_loading(self):
        now = trio.current_time()
        return sum(end > now for end in self.busy_until.values())

    async def read_state(self, endpoint):
        await trio.sleep(0.01)
        now = trio.current_time()
        name = endpoint.name
        return EngineState(
            (("m", self.versions.get(name, 1)),),
            self.accepted.get(name, 0),
            self.busy_until.get(name, 0) > now,
        )

    async def order(self, order):
        name = order.endpoint.name
        self.received.append((trio.current_time(), order))
        assert order.fencing >= self.fences.get(name, 0)
        self.fences[name] = order.fencing
        if self.lose > 0:
            self.lose -= 1
            trio.lowlevel.spawn_system_task(self.execute_late, order)
            await trio.sleep(1.0)
            raise PeerTimeout(url=name)
        return self.execute(order)

    async def execute_late(self, order):
        await trio.sleep(5.0)
        self.execute(order)

    def execute(self, order):
        name = order.endpoint.name
        if order.orders_taken != self.accepted.get(name, 0):
            return "conflict"
        self.accepted[name] = order.orders_taken + 1
        self.busy_until[name] = trio.current_time() + LOAD_S
        self.versions[name] = order.version
        self.max_loading = max(self.max_loading, self.count_loading())
        return "accepted"


class Harness:
    def __init__(self, cluster, nursery, engines):
        self.cluster = cluster
        self.view_servers = {}
        for name, host in cluster.hosts.items():
            view_server = self.view_servers[name] = ClusterViewServer(
                host.member, clock=trio.current_time
            )
            nursery.start_soon(view_server.run)
            nursery.start_soon(WeightRollout(view_server, engines, POLICY).run)

    async def get_view_server(self):
        leader = await self.cluster.wait_leader()
        return self.view_servers[leader.name]


async def start(tmp_path, nursery, engines):
    cluster = Cluster(tmp_path, nursery)
    await cluster.bootstrap("a", "b", "c")
    return Harness(cluster, nursery, engines)


def announce(view_server, count=5, version=1, sequence=1):
    for number in range(count):
        view_server.record_announcement(
            build_announcement(
                name=f"e{number}",
                address=f"10.0.0.{number}:80",
                models=(ModelWeights("m", version),),
                sequence=sequence,
            )
        )


class TestRollout:
    async def test_rollout_limits_concurrent_loads(
        self, tmp_path, nursery, autojump_clock
    ):
        engines = FakeEngines()
        harness = await start(tmp_path, nursery, engines)
        view_server = await harness.get_view_server()
        await trio.sleep(4)
        announce(view_server)
        await view_server.set_desired_version("m", 2)
        await trio.sleep(6)
        assert engines.versions == {f"e{number}": 2 for number in range(5)}
        assert engines.max_loading <= POLICY.at_once
        assert len(engines.received) == 5

    async def test_delayed_order_is_rejected(self, tmp_path, nursery, autojump_clock):
        engines = FakeEngines(lose_first=2)
        harness = await start(tmp_path, nursery, engines)
        view_server = await harness.get_view_server()
        await trio.sleep(4)
        announce(view_server, count=2)
        await view_server.set_desired_version("m", 2)
        await trio.sleep(2.5)
        await view_server.set_desired_version("m", 3)
        await trio.sleep(12)
        assert set(engines.versions.values()) == {3}

    async def test_load_ends_with_announcement(self, tmp_path, nursery, autojump_clock):
        """The announcement must end the load, since polled reports lag behind it."""
        engines = FakeEngines()
        harness = await start(tmp_path, nursery, engines)
        view_server = await harness.get_view_server()
        await trio.sleep(4)
        announce(view_server, count=1)
        await view_server.set_desired_version("m", 2)
        while not engines.received:
            await trio.sleep(0.01)
        engines.busy_until["e0"] = trio.current_time() + 60
        await trio.sleep(0.5)
        assert view_server.registry.endpoints["e0"].loading
        announce(view_server, count=1, version=2, sequence=2)
        await trio.sleep(0.3)
        assert not view_server.registry.endpoints["e0"].loading

    async def test_new_leader_waits_and_uses_higher_fencing_token(
        self, tmp_path, nursery, autojump_clock
    ):
        engines = FakeEngines()
        harness = await start(tmp_path, nursery, engines)
        view_server = await harness.get_view_server()
        await trio.sleep(4)
        announce(view_server, count=4)
        await view_server.set_desired_version("m", 2)
        while not engines.received:
            await trio.sleep(0.01)
        harness.cluster.kill(view_server.member.name)
        del harness.view_servers[view_server.member.name]
        received_before = len(engines.received)
        new_server = await harness.get_view_server()
        led_since = trio.current_time()
        announce(new_server, count=4)
        await trio.sleep(12)
        later = engines.received[received_before:]
        assert later and set(engines.versions.values()) == {2}
        assert min(at for at, _ in later) >= led_since + POLICY.quiet_s - 1.5
        assert min(order.fencing for _, order in later) > engines.received[0][1].fencing
        assert {order.holder for _, order in later} == {new_server.member.name}


class FakeStores:
    def __init__(self, parts):
        self.parts = list(parts)
        self.freed = []

    async def read_list(self, address):
        return StoreListing("7", 1, tuple(self.parts))

    async def free_parts(self, address, epoch, parts):
        self.freed.extend(parts)
        self.parts = [part for part in self.parts if part not in parts]


class TestCleaner:
    @pytest.fixture
    async def setting(self, tmp_path, nursery, autojump_clock):
        cluster = Cluster(tmp_path, nursery)
        await cluster.bootstrap("a", "b", "c")
        leader = await cluster.wait_leader()
        view_server = ClusterViewServer(leader, clock=trio.current_time)
        stores = FakeStores(
            [
                StoredPart("/m/1", "p", 10),
                StoredPart("lea/m/1", "p", 10),
                StoredPart("/m/2", "p", 10),
                StoredPart("/other/1", "p", 10),
            ]
        )
        nursery.start_soon(StoreCleaner(view_server, stores).run)
        store = ServiceRule("s", store=StoreSpec("10.0.0.1:80", "leith", 100, 1000.0))
        usual = build_deployment()
        await view_server.replace_deployment(
            evolve(usual, services=(*usual.services, store))
        )
        await trio.sleep(SETTLE_S + 1)
        return view_server, stores

    async def test_nothing_is_freed_while_endpoint_has_old_weights(
        self, setting, autojump_clock
    ):
        view_server, stores = setting
        announce(view_server, count=2)
        await view_server.set_desired_version("m", 2)
        await trio.sleep(8)
        assert not stores.freed

    async def test_old_context_is_freed_once_all_have_new_weights(
        self, setting, autojump_clock
    ):
        view_server, stores = setting
        announce(view_server, count=2)
        await view_server.set_desired_version("m", 2)
        announce(view_server, count=2, version=2, sequence=2)
        await trio.sleep(DRAIN_WAIT_S - 0.5)
        assert not stores.freed
        await trio.sleep(2)
        assert {part.scope for part in stores.freed} == {"/m/1", "lea/m/1"}


class TestFormerOwners:
    """Stores stayed full of what only the accounts of an earlier document could use."""

    SCOPES = ("/m/1", "lea/m/1", "derwent/m/1", "foreign")

    @pytest.fixture
    async def setting(self, tmp_path, nursery, autojump_clock):
        members = ViewMembers(Cluster(tmp_path, nursery), nursery)
        stores = FakeStores([StoredPart(scope, "p", 10) for scope in self.SCOPES])

        def prepare(view_server):
            nursery.start_soon(StoreCleaner(view_server, stores).run)

        members.prepare = prepare
        await members.start()
        await self.isolate(members, "lea", version=1)
        await trio.sleep(SETTLE_S + 1)
        return members, stores

    async def isolate(self, members, *names, version):
        """Put a document with these isolated accounts in force."""
        store = ServiceRule("s", store=StoreSpec("10.0.0.1:80", "leith", 100, 1000.0))
        accounts = tuple(AccountRule(name, isolated=True) for name in names)
        document = build_deployment(
            version=version, services=(store,), routes=(), accounts=accounts
        )
        await (await members.get_leader()).replace_deployment(document)

    def list_freed(self, stores):
        return {part.scope for part in stores.freed}

    async def test_context_is_freed_without_a_change(self, setting, autojump_clock):
        members, stores = setting
        await self.isolate(members, "lea", version=2)
        await trio.sleep(2 * OWNERS_DRAIN_S)
        assert not stores.freed

    async def test_context_stays_in_the_stores_for_good(self, setting, autojump_clock):
        members, stores = setting
        await self.isolate(members, "derwent", version=2)
        await trio.sleep(OWNERS_DRAIN_S - 1)
        assert not stores.freed
        await trio.sleep(3)
        assert self.list_freed(stores) == {"/m/1", "lea/m/1"}

    async def test_leader_changes_before_the_context_is_freed(
        self, setting, autojump_clock
    ):
        members, stores = setting
        await self.isolate(members, "derwent", version=2)
        await members.replace_leader()
        await trio.sleep(OWNERS_DRAIN_S + SETTLE_S + 2)
        assert self.list_freed(stores) == {"/m/1", "lea/m/1"}

    async def test_context_is_freed_that_entries_of_the_version_before_use(
        self, setting, autojump_clock, monkeypatch
    ):
        members, stores = setting
        entry = members.start_entry()
        build_request = ClusterViewClient._build_request

        def build_older_request(self, wait_s):
            return evolve(build_request(self, wait_s), names_sharers=False)

        monkeypatch.setattr(ClusterViewClient, "_build_request", build_older_request)
        await self.isolate(members, "derwent", version=2)
        await trio.sleep(OWNERS_DRAIN_S + 2)
        assert entry.cluster_view.get_version() == 2 and not stores.freed
        monkeypatch.setattr(ClusterViewClient, "_build_request", build_request)
        await trio.sleep(3)
        assert self.list_freed(stores) == {"/m/1", "lea/m/1"}
