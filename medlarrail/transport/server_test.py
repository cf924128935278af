"""Tests of the server and the client over loopback."""

import errno
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest
import trio
import trio.testing
from attrs import frozen

from medlarrail.core.errors import (
    BadField,
    BadJson,
    OverComplexBody,
    Overloaded,
    OverLongBody,
    PeerBroken,
    PeerError,
    PeerTimeout,
    PeerUnreachable,
    SlowSender,
    UnknownRoute,
)
from medlarrail.policy.connection_room import RESERVED_CONNECTIONS
from medlarrail.policy.held_memory import HeldMemory
from medlarrail.testing.fault_proxy import FaultProxy
from medlarrail.transport import bounded_connections
from medlarrail.transport import server as server_module
from medlarrail.transport.client import HttpClient
from medlarrail.transport.memory_gate import MemoryGate
from medlarrail.transport.routes import EventStream, Routes, route
from medlarrail.transport.server import HttpServer, ServerLimits, drain_and_stop
from medlarrail.transport.sockets import set_reset_on_close

CALLERS = 200
LIMIT = 20
"""Connections of a server that are kept open."""
POLL = b"GET /hang HTTP/1.1\r\nhost: x\r\n\r\n"
MAX_TURNS = 20
"""Turns of the event loop in which so many callers are accepted."""


@frozen
class Note:
    """A message for the tests."""

    text: str


class Handlers:
    """Handlers for the tests."""

    def __init__(self):
        self.release = trio.Event()
        self.cancelled = trio.Event()

    @route("POST", "/echo", Note)
    async def echo(self, request):
        return request.message

    @route("POST", "/refuse")
    async def refuse(self, request):
        raise Overloaded(endpoint="engine-1", retry_after_s=0.3)

    @route("GET", "/hang")
    async def hang(self, request):
        await self.release.wait()
        return Note("released")

    @route("GET", "/stream/*")
    async def stream(self, request):
        return EventStream(self._make_chunks(int(request.tail)))

    @route("GET", "/flood")
    async def flood(self, request):
        return EventStream(self._make_flood())

    @route("GET", "/failing")
    async def fail(self, request):
        return EventStream(self._fail_after_an_event())

    async def _fail_after_an_event(self):
        yield b"data: 1\n\n"
        raise Overloaded(endpoint="engine-1")

    async def _make_flood(self):
        try:
            while True:
                yield b"x" * 65536
        finally:
            self.cancelled.set()

    async def _make_chunks(self, count):
        try:
            for number in range(count):
                yield b"data: %d\n\n" % number
            await self.release.wait()
            yield b"data: end\n\n"
        except trio.Cancelled:
            self.cancelled.set()
            raise


@pytest.fixture
async def handlers():
    return Handlers()


@pytest.fixture
async def server(handlers, nursery):
    limits = ServerLimits(body_bytes=1000, body_timeout_s=0.2, max_requests=50)
    return HttpServer(Routes.collect(handlers), limits)


@pytest.fixture
async def url(server, nursery):
    port = await nursery.start(server.run, "127.0.0.1", 0)
    return f"http://127.0.0.1:{port}"


@pytest.fixture
async def dense_url(handlers, nursery):
    """The URL of a server that decodes bodies in little memory."""
    gate = MemoryGate(HeldMemory(1_000_000))
    server = HttpServer(Routes.collect(handlers), gate=gate)
    port = await nursery.start(server.run, "127.0.0.1", 0)
    return f"http://127.0.0.1:{port}"


@pytest.fixture
async def client():
    client = HttpClient(key="k")
    yield client
    await client.aclose()


class TestCall:
    async def test_an_answer_is_decoded_to_its_type(self, url, client):
        answer = await client.call(url, "/echo", Note("hello"), Note, timeout_s=2)
        assert answer == Note("hello")

    async def test_a_refusal_arrives_as_its_type_with_retry_after(self, url, client):
        with pytest.raises(Overloaded) as caught:
            await client.call(url, "/refuse", None, Note, timeout_s=2)
        assert caught.value.retry_after_s == 0.3
        answer = await client.fetch("POST", url + "/refuse")
        assert answer.headers["retry-after"] == "1"
        assert answer.headers["retry-after-ms"] == "300"

    async def test_wrong_fields_and_paths_raise_typed_errors(self, url, client):
        with pytest.raises(BadField):
            answer = await client.fetch("POST", url + "/echo", b'{"text": 1}')
            answer.raise_for_error(url)
        with pytest.raises(UnknownRoute):
            await client.call(url, "/nowhere", None, Note, timeout_s=2)

    async def test_a_body_over_the_limit_is_refused(self, url, client):
        with pytest.raises(OverLongBody):
            await client.call(url, "/echo", Note("x" * 2000), Note, timeout_s=2)

    async def test_body_of_many_elements_is_decoded(self, dense_url, client):
        """Decoded it needs more than twenty times its bytes."""
        body = b'{"text": "x", "rest": [' + b"{}," * 20_000 + b"{}]}"
        answer = await client.fetch("POST", dense_url + "/echo", body)
        assert answer.status == 413
        with pytest.raises(OverComplexBody) as caught:
            answer.raise_for_error(dense_url)
        assert caught.value.needed_bytes > caught.value.limit_bytes > 0

    async def test_text_of_many_separators_is_refused(self, dense_url, client):
        note = Note('{"a": [1, 2]}, ' * 5_000)
        assert await client.call(dense_url, "/echo", note, Note, timeout_s=2) == note

    async def test_body_that_is_no_json_is_taken_for_a_large_one(
        self, dense_url, client
    ):
        answer = await client.fetch("POST", dense_url + "/echo", b"{," * 10)
        with pytest.raises(BadJson):
            answer.raise_for_error(dense_url)
        answer = await client.fetch("POST", dense_url + "/echo", b"x{," * 20_000)
        with pytest.raises(BadJson):
            answer.raise_for_error(dense_url)

    async def test_stream_that_fails_ends_regularly(self, url, client):
        """A caller must not take the events so far for the whole stream."""
        with pytest.raises(PeerBroken):
            await client.fetch("GET", url + "/failing")

    async def test_a_call_without_a_key_is_well_formed(self, url):
        answer = await HttpClient().call(url, "/echo", Note("hi"), Note, timeout_s=2)
        assert answer == Note("hi")

    async def test_a_closed_port_is_unreachable(self, client):
        with pytest.raises(PeerUnreachable):
            await client.call("http://127.0.0.1:1", "/echo", Note("x"), Note, 1)

    async def test_no_answer_raises_a_timeout(self, url, client):
        with pytest.raises(PeerTimeout):
            await client.call(url, "/hang", None, Note, 0.2, method="GET")

    async def test_a_slow_sender_gets_an_error_answer(self, url):
        stream = await trio.open_tcp_stream("127.0.0.1", int(url.rsplit(":")[-1]))
        await stream.send_all(
            b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{"
        )
        answer = b""
        with trio.fail_after(2):
            while SlowSender.__name__.encode() not in answer:
                answer += await stream.receive_some(4096)
        await stream.aclose()


class TestUnresponsiveConnections:
    async def test_a_dead_pooled_connection_is_replaced(self, url, client, nursery):
        """The pooled connection is dead without any error; new connections work."""
        proxy = FaultProxy("127.0.0.1", 0, int(url.rsplit(":")[-1]))
        listeners = await nursery.start(proxy.run)
        port = listeners[0].socket.getsockname()[1]
        proxied_url = f"http://127.0.0.1:{port}"
        assert await client.call(proxied_url, "/echo", Note("1"), Note, 2)
        proxy.silence_open_connections()
        started_at = trio.current_time()
        answer = await client.call(proxied_url, "/echo", Note("2"), Note, timeout_s=1.0)
        assert answer == Note("2")
        assert trio.current_time() - started_at < 1.0
        assert await client.call(proxied_url, "/echo", Note("3"), Note, timeout_s=0.2)

    async def test_an_idle_stream_carries_heartbeats(
        self, url, client, monkeypatch, handlers
    ):
        monkeypatch.setattr(server_module, "STREAM_HEARTBEAT_S", 0.05)
        async with client.open("GET", url + "/stream/1") as stream:
            parts = stream.iterate()
            assert await anext(parts) == b"data: 0\n\n"
            assert await anext(parts) == server_module.HEARTBEAT_COMMENT
            handlers.release.set()
            remainder = b"".join([part async for part in parts])
            assert remainder.endswith(b"data: end\n\n")

    async def test_the_stream_of_a_caller_that_does_not_read_is_cancelled(
        self, handlers, nursery, monkeypatch
    ):
        monkeypatch.setattr(server_module, "TCP_USER_TIMEOUT_MS", 300)
        server = HttpServer(Routes.collect(handlers))
        port = await nursery.start(server.run, "127.0.0.1", 0)
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(b"GET /flood HTTP/1.1\r\nhost: x\r\n\r\n")
        with trio.move_on_after(10):
            await handlers.cancelled.wait()
        ended = handlers.cancelled.is_set()
        await stream.aclose()
        assert ended


class TestClosedConnections:
    """A peer that closes its connection after each call used a descriptor of a state
    member for 75 s with each: members ran out of them and answered nobody."""

    @staticmethod
    async def call_and_close(
        url: str, close: Callable[[trio.SocketStream], None]
    ) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", int(url.rsplit(":")[-1]))
        body = b'{"text":"hi"}'
        await stream.send_all(
            b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 13\r\n\r\n" + body
        )
        answer = b""
        while body not in answer:
            answer += await stream.receive_some(4096)
        # The answer is followed by the start of the idle timer.
        await trio.testing.wait_all_tasks_blocked(0.01)
        close(stream)
        await stream.aclose()

    @staticmethod
    async def wait_until_closed(server: HttpServer) -> None:
        with trio.fail_after(5):
            while server.gate.memory.holdings:
                await trio.sleep(0.01)

    @pytest.mark.parametrize("resets", [False, True])
    async def test_connection_closed_by_its_peer_stays_open(self, server, url, resets):
        for _ in range(20):
            await self.call_and_close(
                url, lambda stream: set_reset_on_close(stream, resets)
            )
        await self.wait_until_closed(server)

    async def test_connection_closed_without_a_request_stays_open(self, server, url):
        for _ in range(20):
            port = int(url.rsplit(":")[-1])
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await trio.testing.wait_all_tasks_blocked(0.01)
            await stream.aclose()
        await self.wait_until_closed(server)

    async def test_connection_closed_inside_a_request_stays_open(
        self, server, handlers, url
    ):
        for _ in range(20):
            port = int(url.rsplit(":")[-1])
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(b"GET /hang HTTP/1.1\r\nhost: x\r\n\r\n")
            await trio.testing.wait_all_tasks_blocked(0.01)
            await stream.aclose()
        handlers.release.set()
        await self.wait_until_closed(server)


class TestNewConnections:
    async def test_busy_server_accepts_one_connection_per_turn(self, server, url):
        """A member with long turns of its event loop accepted fewer connections than
        endpoints made: 500 waited in the kernel's queue, the operator's among them."""
        await trio.testing.wait_all_tasks_blocked()
        port = int(url.rsplit(":")[-1])
        callers = [
            socket.create_connection(("127.0.0.1", port)) for _ in range(CALLERS)
        ]
        turns = 0
        while len(server.gate.memory.holdings) < CALLERS:
            await trio.lowlevel.checkpoint()
            turns += 1
        assert turns <= MAX_TURNS
        for caller in callers:
            caller.close()

    async def test_server_without_descriptors_stops_accepting(
        self, url, client, monkeypatch
    ):
        """It goes on once there is one again."""
        accept = socket.socket.accept
        failures = []

        def fail(listener):
            if len(failures) == 2:
                return accept(listener)
            failures.append(listener)
            raise OSError(errno.EMFILE, "no descriptor")

        monkeypatch.setattr(socket.socket, "accept", fail)
        answer = await client.call(url, "/echo", Note("hi"), Note, timeout_s=5)
        assert answer == Note("hi")
        assert len(failures) == 2


class TestFullServer:
    """A member whose connections were all in use refused the operator's calls."""

    @pytest.fixture
    def limit(self, monkeypatch) -> int:
        monkeypatch.setattr(bounded_connections, "MAX_CONNECTIONS", LIMIT)
        return LIMIT

    @staticmethod
    async def connect(server: HttpServer, url: str, count: int, sent: bytes) -> list:
        """Return so many more connections, on each of which ``sent`` was received."""
        port = int(url.rsplit(":")[-1])
        before = len(server.gate.memory.holdings)
        streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(count)]
        for stream in streams:
            await stream.send_all(sent)
        with trio.fail_after(5):
            while len(server.gate.memory.holdings) < before + count:
                await trio.sleep(0.01)
        return streams

    @pytest.mark.parametrize("sent", [b"", POLL], ids=["new", "polling"])
    async def test_read_at_a_full_server_is_refused(
        self, limit, server, handlers, url, client, sent
    ):
        streams = await self.connect(server, url, limit, sent)
        for _ in range(2 * RESERVED_CONNECTIONS):
            answer = await client.fetch("POST", url + "/echo", b'{"text":"hi"}')
            assert answer.body == b'{"text":"hi"}'
        if sent:
            assert answer.headers["connection"] == "close"
        handlers.release.set()
        for stream in streams:
            await stream.aclose()

    async def test_silent_connections_take_the_reserve(
        self, limit, server, handlers, url
    ):
        """The caller tries again, as after any failure."""
        streams = await self.connect(server, url, limit, POLL)
        streams += await self.connect(server, url, RESERVED_CONNECTIONS, b"")
        answered = False
        with trio.fail_after(5):
            while not answered:
                with suppress(PeerError):
                    await HttpClient().fetch("POST", url + "/echo", b'{"text":"hi"}')
                    answered = True
                await trio.sleep(0.05)
        handlers.release.set()
        for stream in streams:
            await stream.aclose()


class TestDrain:
    async def test_a_running_stream_completes_before_the_server_stops(
        self, server, handlers, url, client, nursery
    ):
        async def leave():
            pass

        async with client.open("GET", url + "/stream/1") as stream:
            parts = stream.iterate()
            assert await anext(parts) == b"data: 0\n\n"
            nursery.start_soon(drain_and_stop, server, leave)
            await trio.testing.wait_all_tasks_blocked(0.05)
            handlers.release.set()
            assert b"".join([part async for part in parts]) == b"data: end\n\n"

    async def test_a_disconnect_cancels_the_stream(self, handlers, url, client):
        async with client.open("GET", url + "/stream/1") as stream:
            parts = stream.iterate()
            await anext(parts)
            await parts.aclose()
        with trio.fail_after(2):
            await handlers.cancelled.wait()
