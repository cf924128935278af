"""Tests of stored context: commits, frees, corruption, quotas and accounts."""

from pathlib import Path

import pytest

from medlarrail.core.errors import BlockCorrupt, BlockFreed, StorageFull
from medlarrail.state.blocks import SUFFIX, Block, BlockStore, build_info
from medlarrail.state.folder import DataFolder


def open_store(path: Path, memory=10_000, disk=10_000, policy="value") -> BlockStore:
    now = [0.0]

    def clock():
        now[0] += 1
        return now[0]

    store = BlockStore(DataFolder(path), memory, disk, clock, policy)
    store.open()
    return store


async def put(store, keys: str, parent="", account="lea", size=100, version="v1"):
    blocks = [Block(key, key.encode() * size) for key in keys]
    info = build_info(account, "seat-guide", version, parent, blocks)
    await store.put(info, blocks)
    return store.extents.get(info.key)


async def read(store, extent):
    generation = store.pin(extent)
    try:
        return await store.read(extent, generation)
    finally:
        store.unpin(extent)


class TestBlockStore:
    async def test_a_prefix_is_found_over_several_extents(self, tmp_path):
        store = open_store(tmp_path)
        await put(store, "ab")
        await put(store, "cd", parent="b")
        assert store.find_prefix("lea", tuple("abcdef")) == 4
        assert store.find_prefix("lea", tuple("abx")) == 2

    async def test_another_account_finds_nothing(self, tmp_path):
        store = open_store(tmp_path)
        await put(store, "ab")
        assert store.find_prefix("other", tuple("ab")) == 0

    async def test_committed_extents_survive_a_restart(self, tmp_path):
        store = open_store(tmp_path)
        await put(store, "ab")
        (tmp_path / f"z{SUFFIX}.tmp").write_bytes(b"half")
        reopened = open_store(tmp_path)
        assert [block.key for block in await read(reopened, reopened.extents["b"])] == [
            "a",
            "b",
        ]
        assert sorted(path.name for path in tmp_path.iterdir()) == [f"b{SUFFIX}"]

    async def test_a_truncated_file_is_dropped_at_a_restart(self, tmp_path):
        await put(open_store(tmp_path), "ab")
        path = tmp_path / f"b{SUFFIX}"
        path.write_bytes(path.read_bytes()[:-1])
        assert open_store(tmp_path).find_prefix("lea", tuple("ab")) == 0

    async def test_every_flipped_bit_is_detected(self, tmp_path):
        await put(open_store(tmp_path), "ab", size=8)
        path = tmp_path / f"b{SUFFIX}"
        content = path.read_bytes()
        for position in range(len(content)):
            flipped = bytearray(content)
            flipped[position] ^= 1
            path.write_bytes(flipped)
            store = open_store(tmp_path)
            extent = store.extents.get("b")
            if extent is not None:
                with pytest.raises(BlockCorrupt):
                    await read(store, extent)
                assert store.find_prefix("lea", tuple("ab")) == 0

    async def test_a_free_during_a_read_is_detected(self, tmp_path):
        store = open_store(tmp_path)
        extent = await put(store, "ab")
        generation = store.pin(extent)
        store.free(extent)
        await put(store, "ab", account="lea")
        with pytest.raises(BlockFreed):
            await store.read(extent, generation)
        store.unpin(extent)
        assert await read(store, store.extents["b"])

    async def test_a_free_during_a_disk_read_is_detected(self, tmp_path):
        store = open_store(tmp_path)
        extent = await put(store, "ab")
        store._drop_data(extent)

        async def read_slowly(function, *args):
            content = function(*args)
            store.free(extent)
            return content

        store.run_blocking = read_slowly
        with pytest.raises(BlockFreed):
            await read(store, extent)

    async def test_a_full_disk_evicts_the_lowest_score(self, tmp_path):
        store = open_store(tmp_path, disk=400)
        first = await put(store, "ab")
        await put(store, "cd")
        await read(store, first)
        await put(store, "ef")
        assert store.find_prefix("lea", tuple("ab")) == 2
        assert store.find_prefix("lea", tuple("cd")) == 0
        assert store.disk_used == 400

    async def test_an_extent_larger_than_the_disk_is_refused(self, tmp_path):
        store = open_store(tmp_path, disk=150)
        with pytest.raises(StorageFull):
            await put(store, "ab")
        assert not list(tmp_path.iterdir())

    async def test_a_full_device_leaves_no_partial_file(self, tmp_path):
        store = open_store(tmp_path)
        store.folder.quota_bytes = 150
        with pytest.raises(StorageFull):
            await put(store, "ab")
        assert store.find_prefix("lea", tuple("ab")) == 0
        assert not list(tmp_path.iterdir())

    async def test_memory_stays_within_its_quota(self, tmp_path):
        store = open_store(tmp_path, memory=250)
        extents = [await put(store, keys) for keys in ("ab", "cd", "ef")]
        assert store.memory_used <= 250
        for extent in extents:
            assert len(await read(store, extent)) == 2
        assert store.memory_used <= 250

    async def test_children_are_evicted_before_their_parents(self, tmp_path):
        store = open_store(tmp_path, disk=400)
        await put(store, "ab")
        await put(store, "cd", parent="b")
        await put(store, "ef")
        assert store.find_prefix("lea", tuple("abcd")) == 2
