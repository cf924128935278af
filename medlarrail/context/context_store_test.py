"""Tests of context stores: fetch, copy, restore and repair, on a fake network."""

import random
import shutil

import pytest
import trio

from medlarrail.cluster.follower import Follower
from medlarrail.context.context_store import ContextStore
from medlarrail.context.estimator import CostInputs, CostWeights, estimate
from medlarrail.context.link import Link
from medlarrail.core.entities import Store
from medlarrail.ownership.path_health import PathHealth
from medlarrail.protocol.contexts import (
    RESTORE_PATH,
    SAVE_CONTEXT_PATH,
    RestoreAnswer,
    RestoreRequest,
    SaveContextRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoints import (
    CACHE_EXPORT_PATH,
    CACHE_IMPORT_PATH,
    CacheBlock,
    CacheBlocks,
    CacheImported,
    CacheKeyList,
)
from medlarrail.serving.context_restorer import StoreContextRestorer
from medlarrail.state.blocks import SUFFIX, BlockStore
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import run_inline
from medlarrail.testing.network import FakeNetwork
from medlarrail.transport.routes import Routes, route

KEYS = tuple(f"key-{number}" for number in range(20))


class FakeEngine:
    """Exports any requested block, and records the blocks that it imports."""

    def __init__(self):
        self.version = "v1"
        self.imported = []

    @route("POST", CACHE_EXPORT_PATH, CacheKeyList)
    async def handle_export(self, request):
        blocks = [CacheBlock(key, "", "QUJD") for key in request.message.keys]
        return CacheBlocks(self.version, tuple(blocks))

    @route("POST", CACHE_IMPORT_PATH, CacheBlocks)
    async def handle_import(self, request):
        self.imported += [block.key for block in request.message.blocks]
        return CacheImported(len(request.message.blocks))


class Harness:
    """Two stores and an engine."""

    def __init__(self, path, nursery):
        self.path = path
        self.nursery = nursery
        self.network = FakeNetwork(random.Random(1))
        self.engine = FakeEngine()
        self.network.hosts["mem://engine-1"] = Routes.collect(self.engine)
        self.network.hosts["mem://entry-1"] = Routes()
        self.peers = self.network.connect("mem://entry-1")
        self.stores = {name: self.open(name) for name in ("store-1", "store-2")}
        follower = Follower(self.peers, ())
        for name in self.stores:
            store = Store(name, f"mem://{name}", "leith")
            follower.catalogue.stores[name] = store
        health = PathHealth(trio.current_time)
        self.restorer = StoreContextRestorer(
            follower, self.peers, CostWeights(), nursery, health
        )

    def open(self, name):
        folder = DataFolder(self.path / name)
        blocks = BlockStore(
            folder, 10**6, 10**6, trio.current_time, run_blocking=run_inline
        )
        blocks.open()
        peers = self.network.connect(f"mem://{name}")
        store = ContextStore(name, blocks, peers, self.nursery)
        for target in ("engine-1", "mem://store-1", "mem://store-2"):
            store.links[target] = Link(trio.current_time)
        self.network.hosts[f"mem://{name}"] = Routes.collect(store)
        return store

    async def save(self, account="lea"):
        first, second = self.restorer.rank_stores(KEYS[0])
        request = SaveContextRequest(
            account, "m", "v1", "engine-1", "mem://engine-1", KEYS, second.url
        )
        await self.peers.call(first.url, SAVE_CONTEXT_PATH, request, EmptyMessage, 5)
        await trio.sleep(2)

    async def restore(self, name, account="lea", skip=0, version="v1"):
        request = RestoreRequest(
            account, version, "engine-1", "mem://engine-1", KEYS, skip, 5.0
        )
        return await self.peers.call(
            f"mem://{name}", RESTORE_PATH, request, RestoreAnswer, 6
        )

    def count_stored(self, name, account="lea"):
        return self.stores[name].blocks.find_prefix(account, KEYS)


@pytest.fixture
async def harness(tmp_path, nursery, autojump_clock):
    return Harness(tmp_path, nursery)


class TestSaving:
    async def test_a_context_is_stored_on_both_stores(self, harness, autojump_clock):
        await harness.save()
        assert harness.count_stored("store-1") == harness.count_stored("store-2") == 20

    async def test_a_context_of_another_weight_version_is_not_stored(
        self, harness, autojump_clock
    ):
        harness.engine.version = "v2"
        await harness.save()
        assert harness.count_stored("store-1") == harness.count_stored("store-2") == 0

    async def test_a_store_that_lost_its_disk_is_repaired_after_a_lookup(
        self, harness, autojump_clock
    ):
        await harness.save()
        shutil.rmtree(harness.path / "store-1")
        harness.stores["store-1"] = harness.open("store-1")
        copies = await harness.restorer._look_up("lea", KEYS, "engine-1")
        assert [copy.answer.blocks for copy in copies] == [20, 0]
        harness.restorer._repair_replicas("lea", KEYS, copies)
        await trio.sleep(2)
        assert harness.count_stored("store-1") == 20

    async def test_an_unresponsive_store_delays_a_lookup_only_briefly(
        self, harness, autojump_clock
    ):
        await harness.save()
        harness.network.isolate("mem://store-1")
        started_at = trio.current_time()
        copies = await harness.restorer._look_up("lea", KEYS, "engine-1")
        assert [copy.store.name for copy in copies] == ["store-2"]
        assert trio.current_time() - started_at < 0.2


class TestRestores:
    async def test_a_restore_skips_cached_blocks(self, harness, autojump_clock):
        await harness.save()
        assert (await harness.restore("store-1", skip=16)).taken == 4
        assert harness.engine.imported == list(KEYS[16:])

    async def test_another_account_gets_nothing(self, harness, autojump_clock):
        await harness.save()
        assert (await harness.restore("store-1", account="other")).taken == 0
        assert not harness.engine.imported

    async def test_a_corrupt_extent_never_reaches_the_engine(
        self, harness, autojump_clock
    ):
        await harness.save()
        store = harness.stores["store-1"].blocks
        extent = store.extents[KEYS[15]]
        path = harness.path / "store-1" / f"{extent.info.key}{SUFFIX}"
        content = bytearray(path.read_bytes())
        content[-1] ^= 1
        path.write_bytes(content)
        store._drop_data(extent)
        with pytest.raises(Exception, match="checksum"):
            await harness.restore("store-1")
        assert not harness.engine.imported
        assert harness.count_stored("store-1") == 0

    async def test_a_swapped_extent_file_is_detected(self, harness, autojump_clock):
        await harness.save()
        folder = harness.path / "store-1"
        first, second = (folder / f"{KEYS[n]}{SUFFIX}" for n in (15, 19))
        first.write_bytes(second.read_bytes())
        reopened = harness.open("store-1").blocks
        assert reopened.find_prefix("lea", KEYS) == 0


class TestEstimator:
    def build_cost_inputs(self, **changes):
        fields = {
            "text_bytes": 40_000,
            "data_bytes": 1_000_000,
            "wait_s": 0.0,
            "link_bytes_per_s": 10_000_000.0,
            "prefill_bytes_per_s": 40_000.0,
        }
        return CostInputs(**{**fields, **changes})

    def test_a_fast_link_beats_recomputing(self):
        assert estimate(self.build_cost_inputs(), CostWeights()).choice == "restore"

    def test_a_slow_or_busy_link_favours_recomputing(self):
        slow = self.build_cost_inputs(link_bytes_per_s=100_000.0)
        busy = self.build_cost_inputs(wait_s=5.0)
        assert estimate(slow, CostWeights()).choice == "recompute"
        assert estimate(busy, CostWeights()).choice == "recompute"

    def test_a_high_recompute_weight_accepts_a_longer_link_wait(self):
        cost_inputs = self.build_cost_inputs(wait_s=1.5)
        assert estimate(cost_inputs, CostWeights(1.0, 0.1, 0.1)).choice == "recompute"
        assert estimate(cost_inputs, CostWeights(0.2, 1.0, 0.1)).choice == "restore"
