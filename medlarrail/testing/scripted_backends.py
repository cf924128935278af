"""Scripted back ends on loopback, for tests of streams and calls."""

import trio
from attrs import define, field

from medlarrail.protocol.endpoints import (
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    WEIGHT_VERSION_HEADER,
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
from medlarrail.transport.routes import EventStream, Request, Routes, route
from medlarrail.transport.server import HttpServer


@define
class ScriptedEngine:
    """An engine whose streams fail as ``fault`` specifies.

    ``tokens_before_fault`` is the number of tokens sent before the fault.
    """

    fault: str = ""
    tokens_before_fault: int = 2
    version: str = "v1"
    requests: list[EngineRequest] = field(factory=list)

    @route("POST", COMPLETIONS_PATH, EngineRequest)
    async def handle(self, request: Request) -> EventStream:
        """Answer a prompt."""
        message: EngineRequest = request.message
        self.requests.append(message)
        echoed = "other" if self.fault == "crossed-header" else message.request_id
        headers = {
            REQUEST_ID_HEADER: echoed,
            INCARNATION_HEADER: "i1",
            WEIGHT_VERSION_HEADER: self.version,
        }
        return EventStream(self._make_events(message), headers)

    async def _make_events(self, message: EngineRequest):
        name = message.request_id
        for index in range(message.resume_from, message.max_tokens):
            if index - message.resume_from == self.tokens_before_fault and self.fault:
                async for event in self._make_fault(name, index):
                    yield event
                return
            yield format_engine_chunk(EngineChunk(name, index, f"t{index} "))
        usage = Usage(1, message.max_tokens, 0)
        last = EngineChunk(name, message.max_tokens, "", "length", usage)
        yield format_engine_chunk(last)
        yield format_event(DONE)

    async def _make_fault(self, name: str, index: int):
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault == "crossed":
            yield format_engine_chunk(EngineChunk("other", index, "x "))
        if self.fault == "gap":
            yield format_engine_chunk(EngineChunk(name, index + 1, "x "))
        if self.fault == "short":
            last = EngineChunk(name, index, "", "length", Usage(1, index + 1, 0))
            yield format_engine_chunk(last)
            yield format_event(DONE)
        if self.fault == "early-done":
            yield format_event(DONE)
        if self.fault == "garbage":
            yield format_event(b"{")


async def serve(nursery, *owners) -> str:
    """Serve the routes of ``owners`` on a free port; return the URL."""
    server = HttpServer(Routes.collect(*owners))
    port = await nursery.start(server.run, "127.0.0.1", 0)
    return f"http://127.0.0.1:{port}"
