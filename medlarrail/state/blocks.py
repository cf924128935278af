"""Stored context on a store VM: extents of blocks in memory and on disk.

An extent holds consecutive blocks of one chain under the key of its last block,
so the index grows with the contexts and not with the blocks. An extent becomes
visible only after its file is synced; every read checks the block checksums and
the extent's generation. Memory is a cache tier in front of the disk, each with
its own quota.
"""

import zlib
from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from medlarrail.core.codec import decode, encode
from medlarrail.core.errors import (
    BlockCorrupt,
    BlockError,
    BlockFreed,
    MedlarError,
    StorageFull,
)
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.state.eviction import Candidate, ReuseRates, get_policy
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import (
    FRAME_HEADER,
    RunBlocking,
    pack_frame,
    run_in_thread,
    unpack_frame,
)

SUFFIX = ".extent"
BATCH_EVICTION_MIN_EXTENTS = 1000
"""Number of extents from which one eviction frees space for several writes."""
EVICTION_SLACK_DIVISOR = 64
"""Such an eviction frees an additional ``disk_bytes`` divided by this."""


@frozen
class Block:
    """A block of cached context."""

    key: str
    data: bytes = field(repr=False)


@frozen
class BlockInfo:
    """Key, size and checksum of a block in an extent."""

    key: str
    size: int
    checksum: int


@frozen
class ExtentInfo:
    """Metadata in an extent's file; ``parent`` is the key of the preceding block."""

    key: str
    parent: str
    account: str
    model: str
    weight_version: str
    blocks: tuple[BlockInfo, ...]

    @property
    def size(self) -> int:
        """Total size of the blocks in bytes."""
        return sum(block.size for block in self.blocks)


@define
class Extent:
    """A committed extent; ``data`` is None while it is only on disk."""

    info: ExtentInfo
    generation: int
    used_at: float
    uses: int = 0
    pins: int = 0
    freed: bool = False
    data: bytes | None = field(default=None, repr=False)


@define
class BlockStore:
    """Extents by the key of their last block."""

    folder: DataFolder
    memory_bytes: int
    disk_bytes: int
    clock: Callable[[], float]
    policy: str = "value"
    run_blocking: RunBlocking = run_in_thread
    extents: dict[str, Extent] = field(factory=dict)
    rates: ReuseRates = field(factory=ReuseRates)
    memory_used: int = 0
    disk_used: int = 0
    _generation: int = 0
    _children: Counter = field(factory=Counter)
    """Number of child extents of each key."""
    _reserved: dict[str, int] = field(factory=dict)
    """Sizes in bytes of the extents that are being written."""

    def open(self) -> None:
        """Rebuild the index from the files; uncommitted or damaged ones are deleted."""
        self.folder.create()
        for path in sorted(self.folder.path.iterdir()):
            if path.suffix != SUFFIX:
                path.unlink()
                continue
            info = _read_info(path.read_bytes())
            if info is None or f"{info.key}{SUFFIX}" != path.name:
                get_metrics().count("extents_dropped", reason="damaged")
                path.unlink()
                continue
            self._add_to_index(info, data=None)

    def _add_to_index(self, info: ExtentInfo, data: bytes | None) -> Extent:
        self._generation += 1
        self.rates.record_stored(info.account)
        extent = Extent(info, self._generation, self.clock(), data=data)
        self.extents[info.key] = extent
        self.disk_used += info.size
        self._children[info.parent] += 1
        if data is not None:
            self.memory_used += len(data)
        return extent

    async def put(self, info: ExtentInfo, blocks: list[Block]) -> None:
        """Commit an extent; raises ``StorageFull`` if not enough space can be freed."""
        require(
            [block.key for block in blocks] == [block.key for block in info.blocks],
            "extent-holds-its-blocks",
        )
        if info.key in self.extents or info.key in self._reserved:
            return
        self._free_disk_space(info.size)
        self._reserved[info.key] = info.size
        try:
            data = b"".join(block.data for block in blocks)
            content = pack_frame(encode(info)) + data
            name = f"{info.key}{SUFFIX}"
            await self.run_blocking(self.folder.replace, name, content)
            self._add_to_index(info, data)
        finally:
            del self._reserved[info.key]
        self._evict_from_memory()

    def find_prefix(self, account: str, keys: tuple[str, ...]) -> int:
        """Return how many leading blocks of ``keys`` are stored for ``account``."""
        return sum(len(extent.info.blocks) for extent in self.list_chain(account, keys))

    def list_chain(self, account: str, keys: tuple[str, ...]) -> list[Extent]:
        """Return the extents of the longest stored prefix of ``keys``, in order."""
        for end in range(len(keys), 0, -1):
            chain = self._trace_to_root(account, keys[end - 1])
            if chain and sum(len(extent.info.blocks) for extent in chain) == end:
                return chain
        return []

    def _trace_to_root(self, account: str, key: str) -> list[Extent]:
        """Return the extents from the root to ``key``, or none if any is missing."""
        chain: list[Extent] = []
        while key:
            extent = self.extents.get(key)
            if extent is None or extent.info.account != account:
                return []
            chain.append(extent)
            key = extent.info.parent
        return chain[::-1]

    def pin(self, extent: Extent) -> int:
        """Keep an extent's file from being deleted; return the extent's generation."""
        if extent.freed:
            raise BlockFreed(key=extent.info.key)
        extent.pins += 1
        self.record_use(extent)
        return extent.generation

    def record_use(self, extent: Extent) -> None:
        """Count a reuse of an extent's context, wherever it was served from."""
        if not extent.uses:
            self.rates.record_reuse(extent.info.account)
        extent.uses += 1
        extent.used_at = self.clock()

    def unpin(self, extent: Extent) -> None:
        """Release a pin; the last one deletes the file of a freed extent."""
        extent.pins -= 1
        require(extent.pins >= 0, "pins-not-negative", extent.info.key)
        if extent.freed and extent.pins == 0:
            self._delete_file(extent)

    async def read(self, extent: Extent, generation: int) -> list[Block]:
        """Return an extent's verified blocks; the extent has to be pinned.

        Raises ``BlockFreed`` or ``BlockCorrupt``; a corrupt extent is freed.
        """
        if extent.freed or extent.generation != generation:
            raise BlockFreed(key=extent.info.key)
        try:
            data = await self._load(extent)
            if extent.freed or extent.generation != generation:
                raise BlockFreed(key=extent.info.key)
            return list(_split_blocks(extent.info, data))
        except BlockError:
            get_metrics().count("blocks_corrupt")
            self.free(extent)
            raise

    async def _load(self, extent: Extent) -> bytes:
        if extent.data is not None:
            return extent.data
        name = f"{extent.info.key}{SUFFIX}"
        content = await self.run_blocking(self.folder.read, name)
        if content is None or _read_info(content) != extent.info:
            raise BlockCorrupt(key=extent.info.key)
        data = content[len(content) - extent.info.size :]
        if extent.data is None and not extent.freed:
            extent.data = data
            self.memory_used += len(data)
            self._evict_from_memory()
        return data

    def free(self, extent: Extent) -> None:
        """Free an extent, so that no new reader can get it."""
        if extent.freed:
            return
        extent.freed = True
        del self.extents[extent.info.key]
        self.disk_used -= extent.info.size
        self._children[extent.info.parent] -= 1
        if not self._children[extent.info.parent]:
            del self._children[extent.info.parent]
        self._drop_data(extent)
        if extent.pins == 0:
            self._delete_file(extent)

    def _delete_file(self, extent: Extent) -> None:
        key = extent.info.key
        if key not in self.extents and key not in self._reserved:
            self.folder.remove(f"{key}{SUFFIX}")

    def _drop_data(self, extent: Extent) -> None:
        if extent.data is not None:
            self.memory_used -= len(extent.data)
            extent.data = None

    def _free_disk_space(self, size: int) -> None:
        """Evict the lowest-scored extents until ``size`` bytes fit on disk."""
        available = self.disk_bytes - sum(self._reserved.values()) - size
        if available < 0:
            raise StorageFull(path=self.folder.path.name)
        if self.disk_used <= available:
            return
        slack = (
            0
            if len(self.extents) < BATCH_EVICTION_MIN_EXTENTS
            else self.disk_bytes // EVICTION_SLACK_DIVISOR
        )
        for extent in self._iterate_by_score():
            if extent.pins == 0 and not self._children[extent.info.key]:
                get_metrics().count("extents_evicted")
                self.free(extent)
            if self.disk_used <= available - slack:
                return
        if self.disk_used > available:
            raise StorageFull(path=self.folder.path.name)

    def _evict_from_memory(self) -> None:
        """Evict the lowest-scored extents from memory; they remain on disk."""
        if self.memory_used <= self.memory_bytes:
            return
        for extent in self._iterate_by_score():
            self._drop_data(extent)
            if self.memory_used <= self.memory_bytes:
                return

    def _iterate_by_score(self) -> Iterator[Extent]:
        """Yield extents in ascending order of their eviction score."""
        score = get_policy(self.policy)
        now = self.clock()
        yield from sorted(
            self.extents.values(),
            key=lambda extent: score(
                Candidate(extent.info.size, extent.uses, now - extent.used_at)
            ),
        )


def build_info(
    account: str, model: str, weight_version: str, parent: str, blocks: list[Block]
) -> ExtentInfo:
    """Return the metadata of an extent of ``blocks``."""
    infos = tuple(
        BlockInfo(block.key, len(block.data), zlib.crc32(block.data))
        for block in blocks
    )
    return ExtentInfo(blocks[-1].key, parent, account, model, weight_version, infos)


def _read_info(content: bytes) -> ExtentInfo | None:
    """Return the metadata in a file, or None if the file is invalid."""
    payload = unpack_frame(content, 0)
    if payload is None:
        return None
    try:
        info = decode(payload, ExtentInfo)
    except MedlarError:
        return None
    is_complete = FRAME_HEADER.size + len(payload) + info.size == len(content)
    return info if is_complete else None


def _split_blocks(info: ExtentInfo, data: bytes) -> Iterator[Block]:
    """Yield the blocks in ``data``; raises ``BlockCorrupt`` on a mismatch."""
    offset = 0
    for block in info.blocks:
        block_data = data[offset : offset + block.size]
        if len(block_data) != block.size or zlib.crc32(block_data) != block.checksum:
            raise BlockCorrupt(key=block.key)
        offset += block.size
        yield Block(block.key, block_data)
