"""The service of a store VM: looks up, restores, fetches and mirrors contexts."""

import base64

import trio
from attrs import define, field

from medlarrail.context.link import Link, TransferKind
from medlarrail.core.errors import BlockError, MedlarError, StorageFull
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.contexts import (
    COPY_PATH,
    LOOKUP_PATH,
    MIRROR_PATH,
    RESTORE_PATH,
    SAVE_CONTEXT_PATH,
    STORE_STATUS_PATH,
    CopyRequest,
    LookupAnswer,
    LookupRequest,
    MirrorRequest,
    RestoreAnswer,
    RestoreRequest,
    SaveContextRequest,
    StoreStatus,
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
from medlarrail.state.blocks import Block, BlockStore, Extent, ExtentInfo, build_info
from medlarrail.transport.client import PeerClient
from medlarrail.transport.routes import Request, route

EXTENT_BLOCKS = 16
"""Blocks in one extent, and in one part of a transfer."""
BACKGROUND_TIMEOUT_S = 30.0
MAX_BACKLOG = 500
"""Maximum number of background fetches and copies; later ones are dropped."""


@define
class ContextStore:
    """Handles requests from entries and other stores to one store."""

    name: str
    blocks: BlockStore
    peers: PeerClient
    nursery: trio.Nursery
    links: dict[str, Link] = field(factory=dict)
    _backlog: int = 0
    _block_bytes: float = 0.0

    def get_link(self, name: str) -> Link:
        """Return the link to an endpoint or store."""
        return self.links.setdefault(name, Link())

    @route("POST", LOOKUP_PATH, LookupRequest)
    async def handle_lookup(self, request: Request) -> LookupAnswer:
        """Return how many blocks are stored, and the link's backlog and rate."""
        message: LookupRequest = request.message
        chain = self.blocks.list_chain(message.account, message.keys)
        link = self.get_link(message.endpoint)
        count = sum(len(extent.info.blocks) for extent in chain)
        size = sum(extent.info.size for extent in chain)
        return LookupAnswer(
            blocks=count,
            block_bytes=size // count if count else 0,
            wait_s=link.estimate_wait(TransferKind.RESTORE),
            rate_bytes_per_s=link.get_rate(),
        )

    @route("POST", RESTORE_PATH, RestoreRequest)
    async def handle_restore(self, request: Request) -> RestoreAnswer:
        """Restore stored blocks to an endpoint, by extent, within the time limit."""
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
            extent_blocks = await self.blocks.read(extent, generation)
            return await self._import(message, extent.info.parent, extent_blocks)
        finally:
            self.blocks.unpin(extent)

    async def _import(self, message: RestoreRequest, parent: str, extent_blocks) -> int:
        blocks = CacheBlocks(
            message.weight_version, encode_blocks(parent, extent_blocks)
        )
        size = sum(len(block.data) for block in extent_blocks)

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

    @route("POST", SAVE_CONTEXT_PATH, SaveContextRequest)
    async def handle_save(self, request: Request) -> EmptyMessage:
        """Fetch a context in the background, at the lowest priority."""
        if self._backlog >= MAX_BACKLOG:
            get_metrics().count("keeps_dropped")
            return EmptyMessage()
        self._backlog += 1
        self.nursery.start_soon(self._fetch_context, request.message)
        return EmptyMessage()

    async def _fetch_context(self, message: SaveContextRequest) -> None:
        try:
            with trio.move_on_after(BACKGROUND_TIMEOUT_S):
                await self._fetch_missing(message)
        except (MedlarError, BlockError) as error:
            get_metrics().count("keep_failures", type=type(error).__name__)
        finally:
            self._backlog -= 1

    async def _fetch_missing(self, message: SaveContextRequest) -> None:
        chain = self.blocks.list_chain(message.account, message.keys)
        for extent in chain:
            self.blocks.record_use(extent)
        stored_count = sum(len(extent.info.blocks) for extent in chain)
        parent = message.keys[stored_count - 1] if stored_count else ""
        for start in range(stored_count, len(message.keys), EXTENT_BLOCKS):
            keys = message.keys[start : start + EXTENT_BLOCKS]
            exported = await self._export(message, keys)
            if not exported:
                return
            info = await self._commit(message, parent, exported)
            if message.copy_url:
                await self._copy(message.copy_url, info, exported)
            if len(exported) < len(keys):
                return
            parent = exported[-1].key

    async def _export(
        self, message: SaveContextRequest, keys: tuple[str, ...]
    ) -> list[Block]:
        async def work() -> CacheBlocks:
            return await self.peers.call(
                message.endpoint_url,
                CACHE_EXPORT_PATH,
                CacheKeyList(keys),
                CacheBlocks,
                BACKGROUND_TIMEOUT_S,
            )

        expected_bytes = int(self._block_bytes * len(keys))
        link = self.get_link(message.endpoint)
        answer = await link.transfer(TransferKind.KEEP, expected_bytes, work)
        if answer.weight_version != message.weight_version:
            return []
        exported = decode_blocks(answer.blocks)
        size = sum(len(block.data) for block in exported)
        get_metrics().count("link_bytes", size, kind="keep")
        if exported:
            self._block_bytes = size / len(exported)
        return exported

    async def _commit(
        self, message, parent: str, extent_blocks: list[Block]
    ) -> ExtentInfo:
        info = build_info(
            message.account,
            message.model,
            message.weight_version,
            parent,
            extent_blocks,
        )
        try:
            await self.blocks.put(info, extent_blocks)
        except StorageFull:
            get_metrics().count("keeps_refused", reason="storage-full")
            raise
        get_metrics().count("blocks_kept", len(extent_blocks))
        return info

    async def _copy(self, copy_url: str, info: ExtentInfo, extent_blocks) -> None:
        """Send a copy to another store; the next lookup repairs a failed copy."""
        copy = CopyRequest(
            info.account,
            info.model,
            info.weight_version,
            info.parent,
            encode_blocks(info.parent, extent_blocks),
        )

        async def work() -> EmptyMessage:
            return await self.peers.call(
                copy_url, COPY_PATH, copy, EmptyMessage, BACKGROUND_TIMEOUT_S
            )

        try:
            link = self.get_link(copy_url)
            await link.transfer(TransferKind.COPY, info.size, work)
            get_metrics().count("link_bytes", info.size, kind="copy")
        except MedlarError as error:
            get_metrics().count("copy_failures", type=type(error).__name__)

    @route("POST", MIRROR_PATH, MirrorRequest)
    async def handle_mirror(self, request: Request) -> EmptyMessage:
        """Copy a stored context to a store that lacks it, in the background."""
        if self._backlog >= MAX_BACKLOG:
            get_metrics().count("keeps_dropped")
            return EmptyMessage()
        self._backlog += 1
        self.nursery.start_soon(self._mirror, request.message)
        return EmptyMessage()

    async def _mirror(self, message: MirrorRequest) -> None:
        get_metrics().count("contexts_mirrored")
        try:
            for extent in self.blocks.list_chain(message.account, message.keys):
                generation = self.blocks.pin(extent)
                try:
                    extent_blocks = await self.blocks.read(extent, generation)
                    await self._copy(message.copy_url, extent.info, extent_blocks)
                finally:
                    self.blocks.unpin(extent)
        except BlockError as error:
            get_metrics().count("mirror_failures", type=type(error).__name__)
        finally:
            self._backlog -= 1

    @route("POST", COPY_PATH, CopyRequest)
    async def handle_copy(self, request: Request) -> EmptyMessage:
        """Store a copy of an extent that another store sent."""
        message: CopyRequest = request.message
        await self._commit(message, message.parent, decode_blocks(message.blocks))
        return EmptyMessage()

    @route("POST", STORE_STATUS_PATH)
    async def handle_status(self, request: Request) -> StoreStatus:
        """Return the store's capacity, usage and queued transfers."""
        return StoreStatus(
            name=self.name,
            extents=len(self.blocks.extents),
            memory_used=self.blocks.memory_used,
            memory_bytes=self.blocks.memory_bytes,
            disk_used=self.blocks.disk_used,
            disk_bytes=self.blocks.disk_bytes,
            waiting_transfers=sum(len(link) for link in self.links.values()),
        )


def encode_blocks(parent: str, blocks: list[Block]) -> tuple[CacheBlock, ...]:
    """Return blocks in message form; the first one's parent is ``parent``."""
    parents = [parent, *(block.key for block in blocks)]
    return tuple(
        CacheBlock(block.key, parent_key, base64.b64encode(block.data).decode())
        for block, parent_key in zip(blocks, parents, strict=False)
    )


def decode_blocks(blocks: tuple[CacheBlock, ...]) -> list[Block]:
    """Return the blocks from their message form."""
    return [Block(block.key, base64.b64decode(block.data)) for block in blocks]
