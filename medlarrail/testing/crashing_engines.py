"""Engines that crash on one part of a prompt, behind a fleet of gateways."""

from collections.abc import Callable

import trio
from attrs import define, field, frozen

from medlarrail.testing.builders import build_announcement
from medlarrail.testing.fleet import Fleet
from medlarrail.testing.scripted_endpoints import (
    HOST,
    build_answer,
    get_value,
    read_request,
)
from medlarrail.transport.sockets import set_reset_on_close

CRASH_DELAY_S = 0.02
"""Time from the head of an answer to the crash."""
ANSWER_S = 0.03
"""Time that an engine works on a request without the crashing part."""
RESTART_S = 0.6
"""Time from a crash until the next incarnation accepts connections."""
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
EVENT = b"id: 1\ndata: x\n\n"


@frozen
class EngineHeaders:
    """Names of headers that engines read, and lines that they add to answers."""

    request_id: bytes
    parts: bytes
    added: bytes = b""


@frozen
class ReceivedRequest:
    """A request that reached an engine; ``at`` is on trio's clock."""

    at: float
    parts: tuple[str, ...]


def parse_parts(prompt: str) -> tuple[str, ...]:
    """Return the identities of the parts of a prompt."""
    return tuple(item.partition(":")[0] for item in prompt.split(",") if item)


@define(eq=False)
class CrashingEngine:
    """An engine that crashes when it begins an answer on its fleet's crashing part.

    Each incarnation has a name and a port of its own.
    """

    number: int
    crashing: "CrashingFleet"
    incarnation: int = 0
    _streams: set[trio.SocketStream] = field(factory=set)
    _crashed: trio.Event = field(factory=trio.Event)

    @property
    def name(self) -> str:
        """Name of the current incarnation."""
        return f"engine-{self.number}-{self.incarnation}"

    async def run(self) -> None:
        """Serve until cancelled; start again some time after each crash."""
        while True:
            await self._run_incarnation()
            await trio.sleep(RESTART_S)
            self.crashing.fleet.view_server.record_departure(self.name)

    async def _run_incarnation(self) -> None:
        self._crashed = trio.Event()
        self.incarnation += 1
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        self.crashing.fleet.view_server.record_announcement(
            build_announcement(
                name=self.name, address=f"{HOST}:{port}", started_ms=self.incarnation
            )
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            await self._crashed.wait()
            listeners[0].socket.close()
            for stream in self._streams:
                set_reset_on_close(stream, True)
                stream.socket.close()
            self._streams.clear()
            nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            while request := await read_request(stream):
                await self._answer(stream, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(stream)

    async def _crash(self) -> None:
        """Crash soon; does not return."""
        await trio.sleep(CRASH_DELAY_S)
        if not self._crashed.is_set():
            self.crashing.crashes.append(trio.current_time())
            self._crashed.set()
        await trio.sleep_forever()

    async def _answer(self, stream: trio.SocketStream, request: bytes) -> None:
        headers = self.crashing.headers
        request_id = get_value(request, headers.request_id)
        parts = parse_parts(get_value(request, headers.parts).decode())
        self.crashing.received.append(ReceivedRequest(trio.current_time(), parts))
        id_line = headers.request_id + b": " + request_id + b"\r\n"
        head = HEAD + headers.added + id_line + b"\r\n"
        if self.crashing.crashing_part in parts[:-1]:
            await stream.send_all(head)
            await self._crash()
        await trio.sleep(ANSWER_S)
        chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
        await stream.send_all(head + chunk + b"0\r\n\r\n")


@define(eq=False)
class CrashingService(CrashingEngine):
    """An endpoint of a plain service that crashes when it runs a crashing request."""

    async def _answer(self, stream: trio.SocketStream, request: bytes) -> None:
        self.crashing.requests.append((trio.current_time(), request))
        if self.crashing.is_crashing(request):
            await self._crash()
        await trio.sleep(ANSWER_S)
        await stream.send_all(build_answer(request))


@define(eq=False)
class CrashingFleet:
    """Engines behind a fleet of gateways, and what the engines received.

    ``crashes`` holds the times of all crashes, on trio's clock. No engine crashes while
    ``crashing_part`` is empty.
    """

    fleet: Fleet
    headers: EngineHeaders
    crashing_part: str = ""
    received: list[ReceivedRequest] = field(factory=list)
    crashes: list[float] = field(factory=list)
    is_crashing: Callable[[bytes], bool] = lambda request: False
    """Whether a plain service crashes under a request."""
    requests: list[tuple[float, bytes]] = field(factory=list)
    """Requests that reached a plain service, with their times."""


async def start_crashing_fleet(
    fleet: Fleet,
    headers: EngineHeaders,
    engines: int = 4,
    engine_type: type[CrashingEngine] = CrashingEngine,
) -> CrashingFleet:
    """Start engines that do not crash yet, and wait until each gateway knows one."""
    crashing = CrashingFleet(fleet, headers)
    for number in range(engines):
        fleet.nursery.start_soon(engine_type(number + 1, crashing).run)
    await fleet.wait(lambda gateway: bool(gateway.relay.cluster_view.endpoints))
    return crashing
