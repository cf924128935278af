"""Kept context on a store VM: extents of blocks in memory and on disk.

An extent holds consecutive blocks of one chain under the key of its last block,
so the index grows with contexts and not with blocks. An extent is visible only
once its file was synced; every read checks the block's checksum and the
extent's generation. Memory is a tier in front of the disk, each with its own
quota.
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
from medlarrail.state.eviction import Candidate, ReturnRates, get_policy
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import (
    HEADER,
    RunBlocking,
    pack_frame,
    run_in_thread,
    unpack_frame,
)

SUFFIX = ".extent"
MANY_EXTENTS = 1000
"""Extents from which on one eviction makes room for several writes."""
SLACK = 64
"""Part of the disk, as a divisor, that such an eviction frees beyond need."""


@frozen
class Block:
    """A block of cached context."""

    key: str
    data: bytes = field(repr=False)


@frozen
class BlockInfo:
    """Where a block lies in its extent, and its checksum."""

    key: str
    size: int
    checksum: int


@frozen
class ExtentInfo:
    """What an extent's file says of it; ``parent`` is the key before it."""

    key: str
    parent: str
    account: str
    model: str
    weight_version: str
    blocks: tuple[BlockInfo, ...]

    @property
    def size(self) -> int:
        """Bytes of all blocks."""
        return sum(one.size for one in self.blocks)


@define
class Extent:
    """A committed extent; ``data`` is None while it is on disk alone."""

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
    rates: ReturnRates = field(factory=ReturnRates)
    memory_used: int = 0
    disk_used: int = 0
    _generation: int = 0
    _children: Counter = field(factory=Counter)
    """Number of extents that follow each key."""
    _reserved: dict[str, int] = field(factory=dict)
    """Bytes of the extents that are being written."""

    def open(self) -> None:
        """Read the index from the files; what was not committed is dropped."""
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
            self._index(info, data=None)

    def _index(self, info: ExtentInfo, data: bytes | None) -> Extent:
        self._generation += 1
        self.rates.note_kept(info.account)
        extent = Extent(info, self._generation, self.clock(), data=data)
        self.extents[info.key] = extent
        self.disk_used += info.size
        self._children[info.parent] += 1
        if data is not None:
            self.memory_used += len(data)
        return extent

    async def put(self, info: ExtentInfo, blocks: list[Block]) -> None:
        """Commit an extent; raises ``StorageFull`` where no room can be made."""
        require(
            [one.key for one in blocks] == [one.key for one in info.blocks],
            "extent-holds-its-blocks",
        )
        if info.key in self.extents or info.key in self._reserved:
            return
        self._make_room(info.size)
        self._reserved[info.key] = info.size
        try:
            data = b"".join(one.data for one in blocks)
            content = pack_frame(encode(info)) + data
            name = f"{info.key}{SUFFIX}"
            await self.run_blocking(self.folder.replace, name, content)
            self._index(info, data)
        finally:
            del self._reserved[info.key]
        self._trim_memory()

    def find_prefix(self, account: str, keys: tuple[str, ...]) -> int:
        """Return how many leading blocks of ``keys`` are held for ``account``."""
        return sum(len(one.info.blocks) for one in self.list_chain(account, keys))

    def list_chain(self, account: str, keys: tuple[str, ...]) -> list[Extent]:
        """Return the extents of the longest held prefix of ``keys``, in order."""
        for end in range(len(keys), 0, -1):
            chain = self._walk_back(account, keys[end - 1])
            if chain and sum(len(one.info.blocks) for one in chain) == end:
                return chain
        return []

    def _walk_back(self, account: str, key: str) -> list[Extent]:
        """Return the extents from the root up to ``key``, or none if one lacks."""
        chain: list[Extent] = []
        while key:
            extent = self.extents.get(key)
            if extent is None or extent.info.account != account:
                return []
            chain.append(extent)
            key = extent.info.parent
        return chain[::-1]

    def pin(self, extent: Extent) -> int:
        """Keep an extent's file while it is read; return its generation."""
        if extent.freed:
            raise BlockFreed(key=extent.info.key)
        extent.pins += 1
        self.note_use(extent)
        return extent.generation

    def note_use(self, extent: Extent) -> None:
        """Count a return of an extent's context, wherever it was served from."""
        if not extent.uses:
            self.rates.note_return(extent.info.account)
        extent.uses += 1
        extent.used_at = self.clock()

    def unpin(self, extent: Extent) -> None:
        """Let go of an extent; a freed one's file goes with its last reader."""
        extent.pins -= 1
        require(extent.pins >= 0, "pins-not-negative", extent.info.key)
        if extent.freed and extent.pins == 0:
            self._delete(extent)

    async def read(self, extent: Extent, generation: int) -> list[Block]:
        """Return an extent's blocks after checking them; it has to be pinned.

        Raises ``BlockFreed`` or ``BlockCorrupt``; a corrupt extent is freed.
        """
        if extent.freed or extent.generation != generation:
            raise BlockFreed(key=extent.info.key)
        try:
            data = await self._load(extent)
            if extent.freed or extent.generation != generation:
                raise BlockFreed(key=extent.info.key)
            return list(_split(extent.info, data))
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
            self._trim_memory()
        return data

    def free(self, extent: Extent) -> None:
        """Free an extent: no new reader gets it from now on."""
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
            self._delete(extent)

    def _delete(self, extent: Extent) -> None:
        key = extent.info.key
        if key not in self.extents and key not in self._reserved:
            self.folder.remove(f"{key}{SUFFIX}")

    def _drop_data(self, extent: Extent) -> None:
        if extent.data is not None:
            self.memory_used -= len(extent.data)
            extent.data = None

    def _make_room(self, size: int) -> None:
        """Free the least valuable extents until ``size`` bytes fit on disk."""
        room = self.disk_bytes - sum(self._reserved.values()) - size
        if room < 0:
            raise StorageFull(path=self.folder.path.name)
        if self.disk_used <= room:
            return
        slack = 0 if len(self.extents) < MANY_EXTENTS else self.disk_bytes // SLACK
        for extent in self._iterate_by_value():
            if extent.pins == 0 and not self._children[extent.info.key]:
                get_metrics().count("extents_evicted")
                self.free(extent)
            if self.disk_used <= room - slack:
                return
        if self.disk_used > room:
            raise StorageFull(path=self.folder.path.name)

    def _trim_memory(self) -> None:
        """Drop the least valuable data from memory; the disk still has it."""
        if self.memory_used <= self.memory_bytes:
            return
        for extent in self._iterate_by_value():
            self._drop_data(extent)
            if self.memory_used <= self.memory_bytes:
                return

    def _iterate_by_value(self) -> Iterator[Extent]:
        """Yield extents, the least valuable first."""
        rate = get_policy(self.policy)
        now = self.clock()
        yield from sorted(
            self.extents.values(),
            key=lambda one: rate(Candidate(one.info.size, one.uses, now - one.used_at)),
        )


def build_info(
    account: str, model: str, weight_version: str, parent: str, blocks: list[Block]
) -> ExtentInfo:
    """Return the description of an extent of ``blocks``."""
    infos = tuple(
        BlockInfo(one.key, len(one.data), zlib.crc32(one.data)) for one in blocks
    )
    return ExtentInfo(blocks[-1].key, parent, account, model, weight_version, infos)


def _read_info(content: bytes) -> ExtentInfo | None:
    """Return the description in a file, or None if the file is not whole."""
    payload = unpack_frame(content, 0)
    if payload is None:
        return None
    try:
        info = decode(payload, ExtentInfo)
    except MedlarError:
        return None
    whole = HEADER.size + len(payload) + info.size == len(content)
    return info if whole else None


def _split(info: ExtentInfo, data: bytes) -> Iterator[Block]:
    """Yield the blocks in ``data``; raises ``BlockCorrupt``."""
    offset = 0
    for block in info.blocks:
        part = data[offset : offset + block.size]
        if len(part) != block.size or zlib.crc32(part) != block.checksum:
            raise BlockCorrupt(key=block.key)
        offset += block.size
        yield Block(block.key, part)
