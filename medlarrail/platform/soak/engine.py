"""Stand-in for an endpoint, as a process of its own that can be killed.

Announces itself, answers requests with events or a body in each of the framings that
the platform allows, and writes what it ran to a file. SIGTERM begins its departure.

Example: ``python3 -m medlarrail.platform.soak.engine engine.json``.
"""

import os
import signal
import sys
import time
from collections import Counter
from functools import partial
from pathlib import Path

import cattrs
import orjson
import trio
from attrs import define, field, frozen

from medlarrail.platform.soak.events import build_body, build_event, draw
from medlarrail.platform.soak.wire import (
    EndedEarly,
    Head,
    MessageReader,
    build_head,
    call_any,
)
from medlarrail.transport.sockets import set_reset_on_close

HEARTBEAT_S = 1.2
DRAIN_S = 2.0
"""Time for which a leaving endpoint goes on after the acknowledgement."""
SLOTS = 64
LOAD_S = 0.8
"""Time in which an endpoint loads weights, once its requests have ended."""
EVENT_S = (0.02, 0.09)
"""Range of the pause between two events."""
SLOW_FACTOR = 10
"""How much longer the pauses of a slow endpoint are."""
BODY_LINES = 40
"""Size of the body of an answer that is no stream."""
SPLIT_SHARE = 0.3
"""Share of the events that are sent in two pieces."""
LATE_COPY_SHARE = 0.02
"""Share of the requests on a connection in use that first get the answer to an earlier
request once more."""
MIXED_SHARE = 0.02
"""Share of the streams without a length that a second response follows."""
UPLOAD_BYTES = 3_500_000
EARLY_RESET_SHARE = 0.5
"""Share of the uploads that get a part of an answer without a length, and a reset,
before they were read."""
FRAMINGS = ("length", "chunks", "close")
STREAMING = ("stream", "resumable", "chat", "assist")
"""Routes, by the first part of the path, whose answers are streams."""
SHORTEST_DISORDERED = 3
"""Events of the shortest stream that may be sent in no order."""
MODEL = "daka510000"
TROUBLE_PATH = "/trouble/"
"""Path at which the soak asks for trouble, as in ``/trouble/mute/1500``."""


@frozen
class EngineSettings:
    """Settings of one endpoint process."""

    name: str
    service: str
    host: str
    port: int
    announced_port: int
    version: str
    control_urls: list[str]
    record_file: str
    seed: int
    disorder: float = 0.0
    """Share of the streams with events that are in no order."""
    failures: float = 0.0
    """Share of the requests that are answered with 500."""
    early_closes: float = 0.0
    """Share of the streams without a length that are closed regularly before their
    last event."""
    plain: bool = False
    """Whether all answers have a length and none is sent twice."""
    first_heartbeat_s: float = 0.0
    """Time from the start until the endpoint first announces itself."""
    weights: int = 1
    """Weight version of an endpoint that has not run before under its name."""
    zone: str = "leith"
    control_links: dict[str, str] = field(factory=dict)
    """URL of the link to each state member, by the member's URL."""


@define(eq=False)
class EngineConnection:
    """One connection of a gateway."""

    stream: trio.SocketStream
    earlier: bytes = b""
    """The latest complete answer."""
    sent: bytearray = field(factory=bytearray)

    async def send(self, data: bytes) -> None:
        """Send bytes of the answer in progress."""
        self.sent += data
        await self.stream.send_all(data)

    def reset(self) -> None:
        """Break the connection off."""
        set_reset_on_close(self.stream, True)
        self.stream.socket.close()


@define(eq=False)
class Engine:
    """The endpoint."""

    settings: EngineSettings
    record_number: int
    """File descriptor of the record: what was written survives a kill."""
    born: int = field(factory=lambda: int(time.time() * 1000))
    state: str = "ready"
    sequence: int = 0
    active: int = 0
    runs: Counter = field(factory=Counter)
    mute_until: float = 0.0
    """Time until which requests are received and not answered, on trio's clock."""
    slow_until: float = 0.0
    """Time until which the pauses between events are long, on trio's clock."""
    nursery: trio.Nursery | None = None
    weights: int = field(init=False)
    is_loading: bool = False
    orders: int = 0
    fencing: int = 0
    linger_s: float = 0.0
    """Time for which it goes on after it was removed, without a word before that; 0 if
    it says that it is leaving and is removed at its end."""

    def __attrs_post_init__(self):
        file = self._weights_file
        self.weights = int(file.read_text()) if file.exists() else self.settings.weights

    @property
    def _weights_file(self) -> Path:
        """Where the weight version is kept over a restart under the same name."""
        folder = Path(self.settings.record_file).parent
        return folder / f"{self.settings.name}.weights"

    def record(self, what: str, request_id: str, **fields: object) -> None:
        """Write one line of the record."""
        line = {"what": what, "id": request_id, "t": time.monotonic(), **fields}
        os.write(self.record_number, orjson.dumps(line) + b"\n")

    # Announcements.

    async def announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.settings.service,
            "address": f"{self.settings.host}:{self.settings.announced_port}",
            "zone": self.settings.zone,
            "version": self.settings.version,
            "slots": SLOTS,
            "state": self.state,
            "cold-remaining-ms": 0,
            "stage": "colocated",
            "models": [{"name": MODEL, "version": self.weights, "adapters": []}],
            "born": self.born,
            "sequence": self.sequence,
        }
        return await self.call_control("PUT", body)

    async def call_control(self, method: str, body: object = None) -> bool:
        """Make one call about this endpoint; return whether it was acknowledged."""
        settings = self.settings
        path = f"/instances/{settings.name}"
        links = settings.control_links
        return await call_any(method, settings.control_urls, path, body, links)

    async def announce_steadily(self) -> None:
        """Send heartbeats until cancelled."""
        await trio.sleep(self.settings.first_heartbeat_s)
        is_recorded = False
        while self.state != "gone":
            is_acknowledged = await self.announce()
            if is_acknowledged and not is_recorded:
                self.record("announced", "")
                is_recorded = True
            await trio.sleep(HEARTBEAT_S)

    async def leave_on_signal(self, scope: trio.CancelScope) -> None:
        """After SIGTERM, announce the departure, serve a little longer and end."""
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        if self.linger_s:
            self.state = "gone"
            await self.leave(self.linger_s, await self.call_control("DELETE"))
        else:
            self.state = "draining"
            await self.leave(DRAIN_S, await self.announce())
            await self.call_control("DELETE")
        scope.cancel()

    async def leave(self, time_s: float, is_acknowledged: bool) -> None:
        """Serve for a time after the departure, and until the last answer has ended."""
        if is_acknowledged:
            self.record("leaving", "")
        await trio.sleep(time_s)
        while self.active:
            await trio.sleep(0.01)

    async def run(self) -> None:
        """Serve until the end of the departure."""
        listeners = await trio.open_tcp_listeners(
            self.settings.port, host=self.settings.host
        )
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(partial(trio.serve_listeners, self.serve, listeners))
            nursery.start_soon(self.announce_steadily)
            nursery.start_soon(self.leave_on_signal, nursery.cancel_scope)

    # Requests.

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        connection = EngineConnection(stream)
        reader = MessageReader(stream)
        try:
            while True:
                head = await reader.read_head()
                early = self.is_reset_early(head)
                body = b"" if early else await reader.read_body(head)
                if not await self.answer(connection, head, body) or early:
                    return
        except (EndedEarly, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def answer(
        self, connection: EngineConnection, head: Head, body: bytes = b""
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        method, path, _ = head.first_line.split(" ")
        request_id = head.headers.get("request-id", "")
        if path.startswith(TROUBLE_PATH):
            self.begin_trouble(path)
            return await self.send_short(connection, "", "200 OK", {})
        await trio.sleep_until(self.mute_until)
        expected = head.headers.get("expect-instance", self.settings.name)
        if expected != self.settings.name:
            return await self.send_short(connection, request_id, "421 Misdirected", {})
        if not request_id:
            if method == "GET" and path in ("/healthz", "/report"):
                report = self.build_report() if path == "/report" else {}
                return await self.send_short(connection, "", "200 OK", report)
            if method == "POST" and path == "/order":
                status = self.take_order(orjson.loads(body))
                return await self.send_short(connection, "", status, {})
            return await self.send_short(connection, "", "404 Not Found", {})
        weights = int(head.headers.get("expect-version", self.weights))
        if weights != self.weights:
            return await self.send_short(connection, request_id, "421 Misdirected", {})
        if self.active >= SLOTS or self.is_loading:
            status = "503 Service Unavailable"
            return await self.send_short(connection, request_id, status, {})
        self.active += 1
        try:
            with trio.move_on_after(int(head.headers["deadline-ms"]) / 1000):
                return await self.run_request(connection, head, path)
        finally:
            self.active -= 1
        # Nobody waits any longer; a regular close would look like the answer's end.
        connection.reset()
        return False

    def begin_trouble(self, path: str) -> None:
        """Be mute, slow or removed for the milliseconds that the path names."""
        kind, duration_ms = path.removeprefix(TROUBLE_PATH).split("/")
        until = trio.current_time() + int(duration_ms) / 1000
        if kind == "mute":
            self.mute_until = until
        elif kind == "linger":
            self.linger_s = int(duration_ms) / 1000
        else:
            self.slow_until = until

    def is_reset_early(self, head: Head) -> bool:
        """Return whether a request is answered before its body was read."""
        is_upload = int(head.headers.get("content-length", 0)) >= UPLOAD_BYTES
        key = (self.settings.seed, head.headers.get("request-id", ""), "early")
        return is_upload and draw(*key) < EARLY_RESET_SHARE

    def build_report(self) -> dict:
        """Return the body of a report."""
        zeros = dict.fromkeys(("queued", "kv-used", "handles"), 0)
        models = [{"name": MODEL, "version": self.weights, "adapters": []}]
        own = {"active": self.active, "kv-total": 1_000_000, "born": self.born}
        state = {"busy": self.is_loading, "sequence": self.orders}
        return {"stage": "colocated", "models": models, **zeros, **state, **own}

    def take_order(self, order: dict) -> str:
        """Begin to load weights; return the status of the answer."""
        if order["fencing-token"] < self.fencing:
            return "412 Precondition Failed"
        if self.is_loading or order.get("expect", self.orders) != self.orders:
            return "409 Conflict"
        self.fencing = order["fencing-token"]
        if order["version"] == self.weights:
            return "200 OK"
        self.orders += 1
        self.is_loading = True
        self.nursery.start_soon(self.load, order["version"])
        return "202 Accepted"

    async def load(self, version: int) -> None:
        """Load weights once the running requests have ended."""
        while self.active:
            await trio.sleep(0.01)
        await trio.sleep(LOAD_S)
        self._weights_file.write_text(str(version))
        self.weights, self.is_loading = version, False

    async def send_short(
        self, connection: EngineConnection, request_id: str, status: str, body: dict
    ) -> bool:
        """Send an answer that is no run."""
        data = orjson.dumps(body)
        headers = {"Instance-Id": self.settings.name, "Content-Length": len(data)}
        if request_id:
            headers |= {"Request-Id": request_id, "Not-Executed": "1"}
        await connection.stream.send_all(
            build_head(f"HTTP/1.1 {status}", headers) + data
        )
        return True

    async def run_request(
        self, connection: EngineConnection, head: Head, path: str
    ) -> bool:
        """Run a request and record what became of it."""
        _, kind, prompt, count = path.split("/")
        request_id = head.headers["request-id"]
        after = int(head.headers.get("last-event-id", 0))
        self.runs[request_id] += 1
        key = (self.settings.seed, request_id, self.runs[request_id])
        framing = FRAMINGS[int(draw(*key, "framing") * len(FRAMINGS))]
        late = bool(connection.earlier) and draw(*key, "late") < LATE_COPY_SHARE
        if self.settings.plain:
            framing, late = "length", False
        failed = draw(*key, "failure") < self.settings.failures
        numbers = list(range(after + 1, int(count) + 1))
        # What is left of a shorter stream could be a sound one that ends early.
        is_long = kind in STREAMING and len(numbers) >= SHORTEST_DISORDERED
        disordered = is_long and draw(*key, "disorder") < self.settings.disorder
        if disordered:
            numbers = disorder(numbers, int(count), draw(*key, "way"))
        own = {"engine": self.settings.name, "version": self.settings.version}
        own["service"] = self.settings.service
        asked = {"kind": kind, "prompt": prompt, "after": after}
        asked["account"] = head.headers.get("tenant", "")
        asked["scope"] = head.headers.get("cache-salt", "")
        asked["weights"] = self.weights if asked["scope"] else 0
        early = self.is_reset_early(head)
        framing = "close" if early else framing
        mixed = kind in STREAMING and framing == "close" and not early
        mixed = mixed and draw(*key, "mixed") < MIXED_SHARE
        closed_early = kind in STREAMING and framing == "close" and len(numbers) > 1
        closed_early &= not (early or mixed)
        closed_early &= draw(*key, "close") < self.settings.early_closes
        faulty = late or disordered or early or mixed or failed or closed_early
        own |= {"faulty": faulty, "closed_early": closed_early}
        self.record("run", request_id, **own, **asked, framing=framing)
        sent = after
        complete = False
        try:
            if failed:
                return await self.send_failure(connection, request_id)
            if late:
                await connection.stream.send_all(connection.earlier)
            if kind in STREAMING:
                pieces = [
                    build_event(prompt, self.settings.version, number, request_id)
                    for number in numbers
                ]
            else:
                pieces = [build_body(prompt, self.settings.version, BODY_LINES)]
            if early and pieces:
                pieces = pieces[:-1] or [pieces[0][: len(pieces[0]) // 2]]
            if closed_early:
                pieces = pieces[: 1 + int(draw(*key, "kept") * (len(pieces) - 1))]
            await self.send_head(connection, request_id, framing, pieces)
            for number, piece in enumerate(pieces, after + 1):
                pause_s = EVENT_S[0] + draw(*key, number) * (EVENT_S[1] - EVENT_S[0])
                is_slow = trio.current_time() < self.slow_until
                await trio.sleep(pause_s * (SLOW_FACTOR if is_slow else 1))
                await self.send_piece(connection, framing, piece, draw(*key, number, 1))
                sent = number
            if framing == "chunks":
                await connection.send(b"0\r\n\r\n")
            if mixed:
                version, last = self.settings.version, int(count) + 1
                event = build_event(prompt, version, last, request_id)
                second = build_head("HTTP/1.1 200 OK", {"Content-Length": len(event)})
                await connection.send(second + event)
            if early:
                connection.reset()
                return False
            complete = not closed_early
        finally:
            self.record("end", request_id, sent=sent, complete=complete)
        connection.earlier = bytes(connection.sent)
        return framing != "close"

    async def send_failure(self, connection: EngineConnection, request_id: str) -> bool:
        """Answer a request that ran with 500."""
        headers = {"Request-Id": request_id, "Instance-Id": self.settings.name}
        headers["Content-Length"] = 0
        await trio.sleep(EVENT_S[0])
        head = "HTTP/1.1 500 Internal Server Error"
        await connection.stream.send_all(build_head(head, headers))
        return True

    async def send_head(
        self,
        connection: EngineConnection,
        request_id: str,
        framing: str,
        pieces: list[bytes],
    ) -> None:
        """Send the head of an answer."""
        headers: dict[str, object] = {
            "Request-Id": request_id,
            "Instance-Id": self.settings.name,
            "Response-Signature": f"{self.settings.name}.{request_id}",
            "Server-Load": f"{self.active},0,{SLOTS}",
            "Content-Type": "text/event-stream",
        }
        if framing == "length":
            headers["Content-Length"] = sum(map(len, pieces))
        elif framing == "chunks":
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Connection"] = "close"
        connection.sent.clear()
        await connection.send(build_head("HTTP/1.1 200 OK", headers))

    @staticmethod
    async def send_piece(
        connection: EngineConnection, framing: str, piece: bytes, share: float
    ) -> None:
        """Send one event, some in two parts."""
        cut = int(len(piece) * share / SPLIT_SHARE) if share < SPLIT_SHARE else 0
        for part in (piece[:cut], piece[cut:]):
            if not part:
                continue
            if framing == "chunks":
                part = b"%x\r\n%s\r\n" % (len(part), part)
            await connection.send(part)
            if cut:
                await trio.sleep(EVENT_S[0])


def disorder(numbers: list[int], count: int, way: float) -> list[int]:
    """Return the events of a faulty stream: again from the first, or some twice.

    None is left out: the platform's IDs increase, by any steps.
    """
    if way < 0.5:
        return list(range(1, count + 1)) if numbers[:1] != [1] else numbers * 2
    middle = len(numbers) // 2
    return numbers[:middle] + numbers[max(0, middle - 2) :]


def main() -> None:
    """Run an endpoint with the settings file that the first argument names."""
    data = orjson.loads(Path(sys.argv[1]).read_bytes())
    settings = cattrs.structure(data, EngineSettings)
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    trio.run(Engine(settings, os.open(settings.record_file, flags, 0o644)).run)


if __name__ == "__main__":
    main()
