"""A stand-in model engine with batching, a prefix cache and a cold start.

A token depends only on the prompt, the weight version and its index, so a test can
tell the complete answer from any other.
"""

import base64
import hashlib
from collections import OrderedDict
from collections.abc import AsyncIterator

import trio
from attrs import define, field

from medlarrail.core.context import iterate_chain
from medlarrail.core.errors import EndpointRefused, MedlarError, Refusal
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoints import (
    CACHE_EXPORT_PATH,
    CACHE_IMPORT_PATH,
    CACHE_KEYS_PATH,
    EVENTS_PATH,
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    WEIGHT_VERSION_HEADER,
    CacheBlock,
    CacheBlocks,
    CacheEvent,
    CacheEvents,
    CacheImported,
    CacheKeyList,
    CacheKeys,
)
from medlarrail.protocol.openai import (
    COMPLETIONS_PATH,
    DONE,
    EngineChunk,
    EngineRequest,
    Usage,
    format_engine_chunk,
    format_event,
)
from medlarrail.standins.backend import CALL_TIMEOUT_S, Backend
from medlarrail.transport.routes import EventStream, Request, route

BYTES_PER_TOKEN = 4
EVENT_BATCH_S = 0.1


def make_token(prompt: str, weight_version: str, index: int) -> str:
    """Return the text of one token of the answer to ``prompt``."""
    seed = f"{weight_version}:{index}:{prompt}".encode()
    return hashlib.blake2b(seed, digest_size=3).hexdigest() + " "


def make_answer(prompt: str, weight_version: str, count: int) -> str:
    """Return the complete answer of ``count`` tokens."""
    return "".join(make_token(prompt, weight_version, n) for n in range(count))


def make_block_data(key: str, size: int) -> bytes:
    """Return the content of a block, derived from its key."""
    return (key.encode() * (size // len(key) + 1))[:size]


@define
class Engine(Backend):
    """A model engine with a block-based prefix cache."""

    cache: OrderedDict[str, None] = field(factory=OrderedDict)
    sequence: int = -1
    _events: list[CacheEvent] = field(factory=list)
    _prefill_lock: trio.Lock = field(factory=trio.Lock)

    def clear_cache(self) -> None:
        """Clear the prefix cache and reset event numbers, as a restart does."""
        self.cache.clear()
        self._events.clear()
        self.sequence = -1

    @route("POST", COMPLETIONS_PATH, EngineRequest)
    async def handle_completion(self, request: Request) -> EventStream:
        """Run a prompt; refuse it if it is for another weight version."""
        message: EngineRequest = request.message
        if message.weight_version != self.weight_version or self.leaving:
            raise EndpointRefused(endpoint=self.settings.name, reason="weight-version")
        chunks = self._run(message)
        first = await anext(chunks)
        headers = {
            REQUEST_ID_HEADER: message.request_id,
            INCARNATION_HEADER: self.incarnation,
            WEIGHT_VERSION_HEADER: message.weight_version,
        }
        return EventStream(_prepend(first, chunks), headers)

    async def _run(self, message: EngineRequest) -> AsyncIterator[bytes]:
        """Yield a comment that accepts the request, then the events of the answer."""
        with self.run_request(message.request_id):
            yield b": accepted\n\n"
            cached = await self._run_until_crash(self._compute_prefill, message)
            if cached is None:
                return
            async for event in self._decode(message, cached):
                yield event

    async def _run_until_crash(self, function, *args):
        """Return the result of ``function``, or None if the engine crashes."""
        with self.cancel_on_crash():
            return await function(*args)
        return None

    async def _compute_prefill(self, message: EngineRequest) -> int:
        """Compute the uncached part of the prompt; return the cached size."""
        data = (message.prompt + message.resume_text).encode()
        cached = self._count_cached(message.root_key, data)
        uncached_bytes = len(data) - cached
        async with self._prefill_lock:
            rate = self.settings.endpoint.prefill_bytes_per_s
            await trio.sleep(uncached_bytes / rate)
        self._add_blocks(message.root_key, data)
        return cached

    def _count_cached(self, root_key: str, data: bytes) -> int:
        size = self.settings.endpoint.block_bytes
        cached = 0
        for key in iterate_chain(root_key, data, size):
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            cached += size
        return cached

    def _add_blocks(self, root_key: str, data: bytes) -> None:
        for key in iterate_chain(root_key, data, self.settings.endpoint.block_bytes):
            self._add_block(key)

    def _add_block(self, key: str) -> None:
        if key in self.cache:
            return
        self.cache[key] = None
        self._record_event(key, added=True)
        while len(self.cache) > self.settings.behaviour.cache_blocks:
            oldest, _ = self.cache.popitem(last=False)
            self._record_event(oldest, added=False)

    def _record_event(self, key: str, added: bool) -> None:
        self.sequence += 1
        self._events.append(CacheEvent(self.sequence, key, added))

    async def _decode(self, message: EngineRequest, cached: int):
        """Yield one event per token, then the final chunk and the end marker."""
        version = message.weight_version
        text = [message.resume_text]
        for index in range(message.resume_from, message.max_tokens):
            if await self._run_until_crash(self._decode_token) is None:
                return
            token = make_token(message.prompt, version, index)
            text.append(token)
            yield format_engine_chunk(EngineChunk(message.request_id, index, token))
        data = (message.prompt + "".join(text)).encode()
        self._add_blocks(message.root_key, data)
        usage = Usage(
            len(message.prompt.encode()) // BYTES_PER_TOKEN,
            message.max_tokens,
            cached // BYTES_PER_TOKEN,
        )
        last = EngineChunk(message.request_id, message.max_tokens, "", "length", usage)
        yield format_engine_chunk(last)
        yield format_event(DONE)

    async def _decode_token(self) -> bool:
        await trio.sleep(self.settings.behaviour.token_interval_s)
        return True

    async def run_events(self) -> None:
        """Publish cache events in delayed batches, with gaps."""
        while True:
            await trio.sleep(EVENT_BATCH_S)
            batch = tuple(self._events)
            self._events.clear()
            if batch and not self.down:
                await trio.sleep(self.settings.behaviour.event_delay_s)
                await self._publish(batch)

    async def _publish(self, batch: tuple[CacheEvent, ...]) -> None:
        loss = self.settings.behaviour.event_loss
        delivered = tuple(event for event in batch if self.random.random() >= loss)
        message = CacheEvents(self.settings.name, self.incarnation, delivered)
        try:
            await self.client.call(
                self._owner_url or self.pick_entry(),
                EVENTS_PATH,
                message,
                EmptyMessage,
                CALL_TIMEOUT_S,
            )
        except MedlarError:
            return

    @route("POST", CACHE_KEYS_PATH)
    async def handle_keys(self, request: Request) -> CacheKeys:
        """Return the keys of all cached blocks."""
        return CacheKeys(self.incarnation, self.sequence, tuple(self.cache))

    @route("POST", CACHE_EXPORT_PATH, CacheKeyList)
    async def handle_export(self, request: Request) -> CacheBlocks:
        """Return the longest cached prefix of a chain of blocks."""
        blocks = []
        parent = ""
        for key in request.message.keys:
            if key not in self.cache:
                break
            data = make_block_data(key, self.settings.behaviour.block_data_bytes)
            blocks.append(CacheBlock(key, parent, base64.b64encode(data).decode()))
            parent = key
        await self._use_link(len(blocks))
        return CacheBlocks(self.weight_version, tuple(blocks))

    async def _use_link(self, blocks: int) -> None:
        behaviour = self.settings.behaviour
        size = blocks * behaviour.block_data_bytes
        await trio.sleep(size / behaviour.link_bytes_per_s)

    @route("POST", CACHE_IMPORT_PATH, CacheBlocks)
    async def handle_import(self, request: Request) -> CacheImported:
        """Import blocks of the current weight version; refuse and count bad ones."""
        message: CacheBlocks = request.message
        if message.weight_version != self.weight_version:
            raise EndpointRefused(endpoint=self.settings.name, reason="weight-version")
        await self._use_link(len(message.blocks))
        for block in message.blocks:
            data = base64.b64decode(block.data)
            if data != make_block_data(block.key, len(data)) or not data:
                self.bad_blocks += 1
                raise Refusal()
            self._add_block(block.key)
        return CacheImported(len(message.blocks))


async def _prepend(first: bytes, remaining) -> AsyncIterator[bytes]:
    try:
        yield first
        async for chunk in remaining:
            yield chunk
    finally:
        await remaining.aclose()
