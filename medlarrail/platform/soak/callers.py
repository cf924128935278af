"""Callers that hold connections open, take broken streams up and keep what came."""

import time
from collections.abc import Callable
from random import Random

import trio
from attrs import define, evolve, field

from medlarrail.platform.soak.engine import STREAMING, UPLOAD_BYTES
from medlarrail.platform.soak.events import LARGE_SUFFIX, Event, parse_events
from medlarrail.platform.soak.site import KEYS, ROUTE_HOST, Site
from medlarrail.platform.soak.wire import EndedEarly, Head, MessageReader, build_head

DEADLINE_S = 15.0
SHORT_DEADLINE_SHARE = 0.1
SHORT_DEADLINE_S = (0.3, 3.0)
"""Deadlines of which most end inside a stream; the callers wait for what comes then."""
LEAVE_SHARE = 0.05
"""Share of the streams that their caller leaves inside, and takes up elsewhere if it
may."""
ANSWER_LIMIT_S = 25.0
"""Time after which a caller gives up; longer than the deadline, so that an answer ends
by what the gateway does or by its end."""
CONNECT_TIMEOUT_S = 1.0
MAX_SENDS = 6
EVENT_COUNTS = (5, 40)
KINDS = (
    "resumable",
    "resumable",
    "chat",
    "stream",
    "stream",
    "stream",
    "safe",
    "unsafe",
    "assist",
)
REPEATABLE = ("resumable", "chat", "assist", "safe")
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
UPLOAD_SHARE = 0.05
"""Share of the requests with a body of ``UPLOAD_BYTES``, of which an endpoint may read
only a part."""
OLD_CALLER_SHARE = 0.1
"""Share of the requests of HTTP/1.0."""
UNNAMED_SHARE = 0.5
"""Share of the calls that do not name the request that brought the first event when
they take a stream up."""
REPEATED_SHARE = 0.1
"""Share of the calls with the content of a recent stream of this or another caller."""
RECENT_S = 10.0
"""Time after its end in which a stream is recent; those that run are, too."""
RUNNING_SHARE = 0.5
"""Share of the repeated contents that are of a stream that runs, if there is one."""
SLOW_SHARE = 0.1
SLOW_READ_BYTES = 200
SLOW_PAUSE_S = 0.1
LARGE_SHARE = 0.03
"""Share of the streams with events of up to 67 KB."""
SLOW_LARGE_READ_BYTES = 20_000
"""What a slow caller reads at once of large events, so that it need not give up."""
NEW_CONNECTION_SHARE = 0.5
MAX_RETRY_AFTER_S = 2.0


@define
class Answer:
    """What became of one request."""

    request_id: str
    gateway: str
    sent_at: float
    last_event_id: int = 0
    """Event after which the stream was to go on, 0 for a new one."""
    deadline_s: float = DEADLINE_S
    http10: bool = False
    status: int = 0
    framing: str = ""
    ending: str = "none"
    """``regular``, ``broken``, ``left`` or ``given up``; ``none`` without a head."""
    body: bytes = b""
    events: list[Event] = field(factory=list)
    retry_after_s: float = 0.0
    ended_at: float = 0.0

    @property
    def deadline_ms(self) -> int:
        """The deadline as the gateway is told."""
        return int(self.deadline_s * 1000)

    @property
    def complete(self) -> bool:
        """Whether the answer looks complete to the caller."""
        return self.status == 200 and self.ending == "regular"


@define
class Call:
    """What a caller wants, and all answers to it in order."""

    kind: str
    prompt: str
    count: int
    answers: list[Answer] = field(factory=list)
    is_upload: bool = False
    """Whether the body is one of ``UPLOAD_BYTES``."""
    is_named: bool = True
    """Whether take-ups name the request that brought the first event."""
    ended_at: float = float("inf")
    account: str = next(iter(KEYS))
    """The client account whose key the caller has."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream."""
        return self.kind in STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.kind in REPEATABLE

    def list_events(self) -> list[Event]:
        """Return the events that the caller kept."""
        return [event for answer in self.answers for event in answer.events]

    def find_origin(self) -> str:
        """Return the ID of the request that brought the first event."""
        return next((one.request_id for one in self.answers if one.events), "")


@define(eq=False)
class CallerConnection:
    """One connection to a gateway."""

    gateway: str
    stream: trio.SocketStream
    reader: MessageReader


@define(eq=False)
class Caller:
    """One caller, which sends one request after the other."""

    name: str
    site: Site
    random: Random
    on_end: Callable[[Call], None]
    recent: list[Call] = field(factory=list)
    """Streams of all callers that may be taken up, and whose content others repeat."""
    calls: int = 0
    sends: int = 0
    connection: CallerConnection | None = None

    async def call_steadily(self, until: float) -> None:
        """Make calls until ``until`` on the monotonic clock; the last one ends."""
        while time.monotonic() < until:
            self.calls += 1
            call = self.choose_call()
            await self.run(call)
            call.ended_at = time.monotonic()
            self.on_end(call)
            await trio.sleep(self.random.uniform(0, 0.1))
        await self._close()

    def choose_call(self) -> Call:
        """Return the next call: with a content of its own, or with a recent one."""
        since = time.monotonic() - RECENT_S
        self.recent[:] = [one for one in self.recent if one.ended_at > since]
        is_named = self.random.random() >= UNNAMED_SHARE
        if self.recent and self.random.random() < self.site.repeated_share:
            running = [one for one in self.recent if one.ended_at == float("inf")]
            is_running = running and self.random.random() < RUNNING_SHARE
            like = self.random.choice(running if is_running else self.recent)
            return evolve(like, answers=[], is_named=is_named, ended_at=float("inf"))
        kind = self.random.choice(self.site.choose_routes(KINDS))
        prompt = f"{self.name}-{self.calls}"
        if kind in STREAMING and self.random.random() < LARGE_SHARE:
            prompt += LARGE_SUFFIX
        is_upload = self.random.random() < UPLOAD_SHARE
        count = self.random.randint(*EVENT_COUNTS)
        call = Call(kind, prompt, count, is_upload=is_upload, is_named=is_named)
        call.account = self.random.choice(list(KEYS))
        if call.is_stream and call.repeatable:
            self.recent.append(call)
        return call

    async def run(self, call: Call) -> None:
        """Send a request, and again as long as that is allowed and of use."""
        gateway = ""
        while len(call.answers) < MAX_SENDS:
            others = [one for one in self.site.gateways if one.name != gateway]
            gateway = self.random.choice(others).name
            if self.connection is not None and not call.answers:
                gateway = self.connection.gateway
            answer = await self._send(call, gateway)
            call.answers.append(answer)
            if answer.complete or answer.ending == "given up":
                return
            if answer.status not in PROMISES and not call.repeatable:
                return
            await trio.sleep(min(answer.retry_after_s, MAX_RETRY_AFTER_S))

    def build_request(self, call: Call, answer: Answer) -> bytes:
        """Return a request; those of a call differ in what is not its content."""
        version = "HTTP/1.0" if answer.http10 else "HTTP/1.1"
        body = b'{"prompt":"%s"}' % call.prompt.encode()
        if call.is_upload:
            body = body.ljust(UPLOAD_BYTES)
        headers: dict[str, object] = {
            "Host": ROUTE_HOST,
            "Request-Id": answer.request_id,
            "Api-Key": KEYS[call.account],
            "Model": "daka510000",
            "Token-Usage": f"100,{call.count}",
            "Deadline-Ms": answer.deadline_ms,
        }
        if answer.last_event_id:
            headers["Last-Event-Id"] = answer.last_event_id
            if call.is_named:
                headers["Resumes"] = call.find_origin()
        if answer.http10 or self.random.random() < 0.5:
            headers["Content-Length"] = len(body)
        else:
            headers["Transfer-Encoding"] = "chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        path = f"/{call.kind}/{call.prompt}/{call.count}"
        return build_head(f"POST {path} {version}", headers) + body

    async def _send(self, call: Call, gateway: str) -> Answer:
        self.sends += 1
        events = call.list_events()
        answer = Answer(
            f"{self.name}-{self.sends:05d}",
            gateway,
            time.monotonic(),
            events[-1].number if events else 0,
            http10=self.random.random() < OLD_CALLER_SHARE,
        )
        if self.random.random() < SHORT_DEADLINE_SHARE:
            answer.deadline_s = self.random.uniform(*SHORT_DEADLINE_S)
        leaves = call.is_stream and self.random.random() < LEAVE_SHARE
        last_block = self.random.randint(1, call.count) if leaves else call.count * 9
        received = bytearray()
        with trio.move_on_after(ANSWER_LIMIT_S) as scope:
            try:
                connection = await self._connect(gateway)
                if connection.reader.pause_s:
                    is_large = call.prompt.endswith(LARGE_SUFFIX)
                    size = SLOW_LARGE_READ_BYTES if is_large else SLOW_READ_BYTES
                    connection.reader.read_bytes = size
                await connection.stream.send_all(self.build_request(call, answer))
                head = await connection.reader.read_head()
                answer.status = head.status
                answer.framing = head.framing
                answer.retry_after_s = float(head.headers.get("retry-after", 0))
                answer.ending = "broken"
                async for part in connection.reader.iterate_body(head):
                    received += part
                    if received.count(b"\n\n") >= last_block:
                        answer.ending = "left"
                        await self._close()
                        break
                else:
                    answer.ending = "regular"
                    await self._keep(head, answer)
            except (OSError, EndedEarly, trio.BrokenResourceError):
                await self._close()
        if scope.cancelled_caught:
            answer.ending = "given up"
            await self._close()
        answer.ended_at = time.monotonic()
        answer.body = bytes(received)
        if call.is_stream and answer.status == 200:
            answer.events = parse_events(answer.body)
        return answer

    async def _connect(self, gateway: str) -> CallerConnection:
        """Return the open connection, or a new one."""
        if self.connection is not None and self.connection.gateway == gateway:
            return self.connection
        await self._close()
        (port,) = (one.port for one in self.site.gateways if one.name == gateway)
        host = self.site.gateways[0].url.removeprefix("http://").partition(":")[0]
        stream: trio.SocketStream | None = None
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(host, port)
        if stream is None:
            raise OSError
        is_slow = self.random.random() < SLOW_SHARE
        reader = MessageReader(
            stream, *((SLOW_READ_BYTES, SLOW_PAUSE_S) if is_slow else ())
        )
        self.connection = CallerConnection(gateway, stream, reader)
        return self.connection

    async def _keep(self, head: Head, answer: Answer) -> None:
        """Keep the connection for the next request, or close it."""
        is_closed = answer.http10 or answer.framing == "close"
        is_closed |= head.headers.get("connection", "").lower() == "close"
        if is_closed or self.random.random() < NEW_CONNECTION_SHARE:
            await self._close()

    async def _close(self) -> None:
        if self.connection is not None:
            connection, self.connection = self.connection, None
            await trio.aclose_forcefully(connection.stream)
