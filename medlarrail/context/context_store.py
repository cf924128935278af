"""The services of a store VM: lookups, restores and the keeping of contexts."""

import base64

import trio
from attrs import define, field

from medlarrail.context.link import Link, TransferKind
from medlarrail.core.errors import BlockError, MedlarError, StorageFull
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.contexts import (
    COPY_PATH,
    KEEP_PATH,
    LOOKUP_PATH,
    MIRROR_PATH,
    RESTORE_PATH,
    STORE_STATUS_PATH,
    CopyRequest,
    KeepRequest,
    LookupAnswer,
    LookupRequest,
    MirrorRequest,
    RestoreAnswer,
    RestoreRequest,
    StoreStatus,
)
from medlarrail.protocol.control import Nothing
from medlarrail.protocol.endpoints import (
    CACHE_EXPORT_PATH,
    CACHE_IMPORT_PATH,
    CacheBlock,
    CacheBlocks,
    CacheImported,
    CacheKeyList,
)
from medlarrail.state.blocks import Block, BlockStore, Extent, ExtentInfo, build_info
from medlarrail.transport.client import Peers
from medlarrail.transport.routes import Request, route

EXTENT_BLOCKS = 16
"""Blocks in one extent, and in one part of a transfer."""
KEEP_LIMIT_S = 30.0
LONGEST_BACKLOG = 500
"""Contexts that wait to be fetched; later ones are dropped."""


@define
class ContextStore:
    """Answers entries and other stores on behalf of one store."""

    name: str
    blocks: BlockStore
    peers: Peers
    nursery: trio.Nursery
    links: dict[str, Link] = field(factory=dict)
    _backlog: int = 0
    _block_bytes: float = 0.0

    def get_link(self, name: str) -> Link:
        """Return the link to an endpoint or store."""
        return self.links.setdefault(name, Link())

    @route("POST", LOOKUP_PATH, LookupRequest)
    async def handle_lookup(self, request: Request) -> LookupAnswer:
        """Return how much is held and how the link to the endpoint stands."""
        message: LookupRequest = request.message
        chain = self.blocks.list_chain(message.account, message.keys)
        link = self.get_link(message.endpoint)
        count = sum(len(one.info.blocks) for one in chain)
        size = sum(one.info.size for one in chain)
        return LookupAnswer(
            blocks=count,
            block_bytes=size // count if count else 0,
            wait_s=link.estimate_wait(TransferKind.RESTORE),
            rate_bytes_per_s=link.get_rate(),
        )

    @route("POST", RESTORE_PATH, RestoreRequest)
    async def handle_restore(self, request: Request) -> RestoreAnswer:
        """Bring held blocks to an endpoint, extent by extent, within the limit."""
        message: RestoreRequest = request.message
        taken = 0
        position = 0
        with trio.move_on_after(message.limit_s) as scope:
            for extent in self.blocks.list_chain(message.account, message.keys):
                position += len(extent.info.blocks)
                if position <= message.skip:
                    continue
                taken += await self._restore_extent(message, extent)
        if scope.cancelled_caught:
            get_metrics().count("restores_cut_short")
        get_metrics().count("blocks_restored", taken)
        return RestoreAnswer(taken)

    async def _restore_extent(self, message: RestoreRequest, extent: Extent) -> int:
        require(
            extent.info.account == message.account
            and extent.info.weight_version == message.weight_version,
            "restore-within-account-and-version",
            extent.info.key,
        )
        generation = self.blocks.pin(extent)
        try:
            found = await self.blocks.read(extent, generation)
            return await self._import(message, extent.info.parent, found)
        finally:
            self.blocks.unpin(extent)

    async def _import(self, message: RestoreRequest, parent: str, found) -> int:
        blocks = CacheBlocks(message.weight_version, encode_blocks(parent, found))
        size = sum(len(one.data) for one in found)

        async def work() -> CacheImported:
            return await self.peers.call(
                message.endpoint_url,
                CACHE_IMPORT_PATH,
                blocks,
                CacheImported,
                2 * message.limit_s,
            )

        link = self.get_link(message.endpoint)
        answer = await link.transfer(TransferKind.RESTORE, size, work)
        get_metrics().count("link_bytes", size, kind="restore")
        return answer.taken

    @route("POST", KEEP_PATH, KeepRequest)
    async def handle_keep(self, request: Request) -> Nothing:
        """Fetch a context in the background, at the lowest priority."""
        if self._backlog >= LONGEST_BACKLOG:
            get_metrics().count("keeps_dropped")
            return Nothing()
        self._backlog += 1
        self.nursery.start_soon(self._keep, request.message)
        return Nothing()

    async def _keep(self, message: KeepRequest) -> None:
        try:
            with trio.move_on_after(KEEP_LIMIT_S):
                await self._keep_missing(message)
        except (MedlarError, BlockError) as error:
            get_metrics().count("keep_failures", type=type(error).__name__)
        finally:
            self._backlog -= 1

    async def _keep_missing(self, message: KeepRequest) -> None:
        chain = self.blocks.list_chain(message.account, message.keys)
        for extent in chain:
            self.blocks.note_use(extent)
        held = sum(len(one.info.blocks) for one in chain)
        parent = message.keys[held - 1] if held else ""
        for start in range(held, len(message.keys), EXTENT_BLOCKS):
            keys = message.keys[start : start + EXTENT_BLOCKS]
            found = await self._export(message, keys)
            if not found:
                return
            info = await self._commit(message, parent, found)
            if message.copy_url:
                await self._copy(message.copy_url, info, found)
            if len(found) < len(keys):
                return
            parent = found[-1].key

    async def _export(self, message: KeepRequest, keys: tuple[str, ...]) -> list[Block]:
        async def work() -> CacheBlocks:
            return await self.peers.call(
                message.endpoint_url,
                CACHE_EXPORT_PATH,
                CacheKeyList(keys),
                CacheBlocks,
                KEEP_LIMIT_S,
            )

        expected = int(self._block_bytes * len(keys))
        link = self.get_link(message.endpoint)
        answer = await link.transfer(TransferKind.KEEP, expected, work)
        if answer.weight_version != message.weight_version:
            return []
        found = decode_blocks(answer.blocks)
        size = sum(len(one.data) for one in found)
        get_metrics().count("link_bytes", size, kind="keep")
        if found:
            self._block_bytes = size / len(found)
        return found

    async def _commit(self, message, parent: str, found: list[Block]) -> ExtentInfo:
        info = build_info(
            message.account, message.model, message.weight_version, parent, found
        )
        try:
            await self.blocks.put(info, found)
        except StorageFull:
            get_metrics().count("keeps_refused", reason="storage-full")
            raise
        get_metrics().count("blocks_kept", len(found))
        return info

    async def _copy(self, copy_url: str, info: ExtentInfo, found) -> None:
        """Give another store a copy; one that fails is made up for at a return."""
        copy = CopyRequest(
            info.account,
            info.model,
            info.weight_version,
            info.parent,
            encode_blocks(info.parent, found),
        )

        async def work() -> Nothing:
            return await self.peers.call(
                copy_url, COPY_PATH, copy, Nothing, KEEP_LIMIT_S
            )

        try:
            link = self.get_link(copy_url)
            await link.transfer(TransferKind.COPY, info.size, work)
            get_metrics().count("link_bytes", info.size, kind="copy")
        except MedlarError as error:
            get_metrics().count("copy_failures", type=type(error).__name__)

    @route("POST", MIRROR_PATH, MirrorRequest)
    async def handle_mirror(self, request: Request) -> Nothing:
        """Copy a held context to a store that lacks it, in the background."""
        if self._backlog >= LONGEST_BACKLOG:
            get_metrics().count("keeps_dropped")
            return Nothing()
        self._backlog += 1
        self.nursery.start_soon(self._mirror, request.message)
        return Nothing()

    async def _mirror(self, message: MirrorRequest) -> None:
        get_metrics().count("contexts_mirrored")
        try:
            for extent in self.blocks.list_chain(message.account, message.keys):
                generation = self.blocks.pin(extent)
                try:
                    found = await self.blocks.read(extent, generation)
                    await self._copy(message.copy_url, extent.info, found)
                finally:
                    self.blocks.unpin(extent)
        except BlockError as error:
            get_metrics().count("mirror_failures", type=type(error).__name__)
        finally:
            self._backlog -= 1

    @route("POST", COPY_PATH, CopyRequest)
    async def handle_copy(self, request: Request) -> Nothing:
        """Take a copy of an extent from another store."""
        message: CopyRequest = request.message
        await self._commit(message, message.parent, decode_blocks(message.blocks))
        return Nothing()

    @route("POST", STORE_STATUS_PATH)
    async def handle_status(self, request: Request) -> StoreStatus:
        """Return what this store holds."""
        return StoreStatus(
            name=self.name,
            extents=len(self.blocks.extents),
            memory_used=self.blocks.memory_used,
            memory_bytes=self.blocks.memory_bytes,
            disk_used=self.blocks.disk_used,
            disk_bytes=self.blocks.disk_bytes,
            waiting_transfers=sum(len(one) for one in self.links.values()),
        )


def encode_blocks(parent: str, blocks: list[Block]) -> tuple[CacheBlock, ...]:
    """Return blocks as messages carry them; the first follows ``parent``."""
    parents = [parent, *(one.key for one in blocks)]
    return tuple(
        CacheBlock(one.key, before, base64.b64encode(one.data).decode())
        for one, before in zip(blocks, parents, strict=False)
    )


def decode_blocks(blocks: tuple[CacheBlock, ...]) -> list[Block]:
    """Return the blocks of a message."""
    return [Block(one.key, base64.b64decode(one.data)) for one in blocks]
