"""A gateway's relay on loopback with scripted endpoints.

A script is an async function of the connection and the bytes of one request; it
may write any bytes, whether or not they are a complete answer.
"""

import os
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.announcements import Announcement
from medlarrail.core.deployment import Deployment
from medlarrail.core.invariants import require
from medlarrail.policy.isolation import IsolationPolicy
from medlarrail.protocol.endpoint_sightings import (
    SIGHTINGS_PATH,
    Sighting,
    SightingsRequest,
)
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.inbound import InboundServer
from medlarrail.relay.metadata import HeaderCodec
from medlarrail.relay.request_relay import RequestRelay, RetryPolicy
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.transport.sockets import set_reset_on_close


def get_run_address(process_id: int) -> str:
    """Return a loopback address of one run of the tests.

    The kernel gives the port of an endpoint that has ended to another one, and a
    gateway of another run may go on sending to it.

    >>> get_run_address(70000)
    '127.2.17.113'
    """
    high, low = divmod(process_id, 1 << 16)
    return f"127.{1 + high % 254}.{low >> 8}.{1 + (low & 0xFF) % 254}"


HOST = get_run_address(os.getpid())
"""Loopback address of everything that listens in this run."""
READ_BYTES = 65536
STATUS_PATH = "/endpoint-status"
CLUSTER_KEY = b"cluster-key"
LONG_AGO_S = 1e6
_ended_addresses: set[str] = set()
"""Addresses of endpoints that were stopped."""
Script = Callable[["ScriptedConnection", bytes], Awaitable[None]]


@define(eq=False)
class ScriptedConnection:
    """One connection at an endpoint."""

    stream: trio.SocketStream
    endpoint: "ScriptedEndpoint"

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        await self.stream.send_all(data)

    def reset(self) -> None:
        """Close the connection with a reset."""
        set_reset_on_close(self.stream, True)
        self.stream.socket.close()


@define(eq=False)
class ScriptedEndpoint:
    """An endpoint that answers with ``script`` and records the requests.

    Requests for its status get ``status_script`` and are recorded apart.
    """

    name: str
    script: Script
    port: int = 0
    status_path: str = STATUS_PATH
    status_script: Script | None = None
    """None for the answer of a sound endpoint."""
    read_limit: int | None = None
    """Bytes of a request that are read before ``script`` runs; None for all."""
    requests: list[bytes] = field(factory=list)
    status_requests: list[bytes] = field(factory=list)
    connections: int = 0
    open_connections: int = 0
    _scope: trio.CancelScope = field(factory=trio.CancelScope)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled or stopped."""
        listeners = await trio.open_tcp_listeners(self.port, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        _ended_addresses.discard(f"{HOST}:{self.port}")
        task_status.started()
        with self._scope:
            await trio.serve_listeners(self._serve, listeners)

    def stop(self) -> None:
        """Close the listener and all connections, as the end of its process does."""
        _ended_addresses.add(f"{HOST}:{self.port}")
        self._scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.open_connections += 1
        connection = ScriptedConnection(stream, self)
        try:
            while request := await read_request(stream, self.read_limit):
                if request.startswith(f"GET {self.status_path} ".encode()):
                    self.status_requests.append(request)
                    await (self.status_script or self._answer_status)(
                        connection, request
                    )
                else:
                    self.requests.append(request)
                    await self.script(connection, request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1

    async def _answer_status(
        self, connection: ScriptedConnection, request: bytes
    ) -> None:
        await connection.send(build_answer(request, b"", X_Endpoint=self.name))


async def read_request(stream: trio.SocketStream, limit: int | None = None) -> bytes:
    """Read one complete request by its content length; empty at the stream's end.

    Of a longer one, only the first ``limit`` bytes are read.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(limit or READ_BYTES)
        if not part:
            return b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    size = int(get_value(head, b"content-length") or 0)
    if limit is not None:
        size = min(size, limit - len(head) - 4)
    while len(body) < size:
        part = await stream.receive_some(min(READ_BYTES, size - len(body)))
        if not part:
            return b""
        body += part
    return head + b"\r\n\r\n" + body


def get_value(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header of a raw message, or None."""
    for line in head.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        header_name, _, value = line.partition(b":")
        if header_name.strip().lower() == name:
            return value.strip()
    return None


def build_answer(
    request: bytes, body: bytes = b"fine", status: bytes = b"200 OK", **headers: str
) -> bytes:
    """Return a complete answer to ``request``; ``_`` in header names becomes ``-``."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body)]
    request_id = get_value(request, b"x-request-id")
    if request_id:
        lines.append(b"X-Request-Id: " + request_id)
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def answer_ok(connection: ScriptedConnection, request: bytes) -> None:
    """Answer with 200."""
    await connection.send(build_answer(request))


def build_script(*scripts: Script) -> Script:
    """Return a script that runs one script per request; the last one is repeated."""
    remaining = list(scripts)

    async def run(connection: ScriptedConnection, request: bytes) -> None:
        script = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        await script(connection, request)

    return run


@define(eq=False, slots=False)
class AnnouncingEndpoints:
    """Stands for the leading member: listed endpoints announce themselves steadily, or
    each ``interval_s`` seconds.

    ``sightings`` has what is told of an endpoint in place of that.
    """

    cluster_view: ClusterView
    interval_s: float = 0.0
    sightings: dict[str, tuple[Sighting, ...]] = field(factory=dict)
    requests: list[SightingsRequest] = field(factory=list)

    async def call_leader(self, path, message, answer_type, timeout_s):
        """Answer as ``StateClient.call_leader`` does."""
        require(path == SIGHTINGS_PATH, "harness-knows-path", path)
        self.requests.append(message)
        if message.endpoint in self.sightings:
            return answer_type(self.sightings[message.endpoint])
        announced = self.cluster_view.endpoints[message.endpoint].announced
        last_age_s = await self._await_announcement(message)
        if announced.address in _ended_addresses:
            last_age_s = LONG_AGO_S
        incarnation = (announced.started_ms, announced.software_version)
        return answer_type((Sighting(*incarnation, LONG_AGO_S, last_age_s),))

    async def _await_announcement(self, message: SightingsRequest) -> float:
        """Hold a question as the member does; return the age of the announcement."""
        if not self.interval_s:
            return 0.0
        age_s = trio.current_time() % self.interval_s
        next_s = self.interval_s - age_s
        if age_s <= message.max_age_s:
            return age_s
        await trio.sleep(min(next_s, message.wait_s))
        return -next_s if next_s <= message.wait_s else age_s


@define(eq=False)
class RelayHarness:
    """A relay with its endpoints; callers connect to ``port``."""

    nursery: trio.Nursery
    relay: RequestRelay
    server: InboundServer
    port: int = 0
    status_path: str = STATUS_PATH
    """At which the endpoints tell their status."""
    endpoints: list[ScriptedEndpoint] = field(factory=list)

    async def add(self, script: Script, **changes) -> ScriptedEndpoint:
        """Start an endpoint and register it with the relay."""
        name = f"engine-{len(self.endpoints) + 1}"
        endpoint = ScriptedEndpoint(name, script, status_path=self.status_path)
        await self.nursery.start(endpoint.run)
        self.endpoints.append(endpoint)
        announcement = build_announcement(
            name=name, address=f"{HOST}:{endpoint.port}", **changes
        )
        self.register(announcement)
        return endpoint

    def register(self, announcement: Announcement) -> None:
        """Register an endpoint with the relay."""
        self.relay.cluster_view.endpoints[announcement.name] = EndpointView(
            announcement
        )

    def configure(self, deployment: Deployment) -> None:
        """Apply a deployment document."""
        cluster_view = self.relay.cluster_view
        version = cluster_view.get_version() + 1
        cluster_view._apply_deployment(evolve(deployment, version=version))

    async def connect(self) -> trio.SocketStream:
        """Open a connection as a caller."""
        return await trio.open_tcp_stream(HOST, self.port)

    async def send(self, data: bytes, limit_s: float = 5.0) -> bytes:
        """Send bytes on a new connection and return all received until it is closed."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(data)
            received = bytearray()
            with trio.fail_after(limit_s):
                while part := await stream.receive_some(READ_BYTES):
                    received += part
            return bytes(received)


async def start_relay(
    nursery: trio.Nursery,
    deployment: Deployment | None = None,
    header_codec: HeaderCodec | None = None,
    isolation: IsolationPolicy = IsolationPolicy("last-known"),
    name: str = "gateway-1",
) -> RelayHarness:
    """Start a relay without endpoints; by default it works without a leader."""
    cluster_view = ClusterView()
    relay = RequestRelay(
        cluster_view,
        header_codec or DefaultHeaderCodec(),
        EndpointStats(cluster_view, "leith", name),
        RetryPolicy(10.0, 0.2, 50.0),
        isolation,
        secret=CLUSTER_KEY,
    )
    server = InboundServer(relay.answer, relay.answer_error)

    def apply_limits(document: Deployment) -> None:
        server.limits = document.limits

    cluster_view.deployment_listeners.append(apply_limits)
    relay.incarnations.state = AnnouncingEndpoints(cluster_view)
    harness = RelayHarness(nursery, relay, server)
    harness.configure(deployment or build_deployment())
    nursery.start_soon(relay.pool.loop_watch.run)
    harness.port = await nursery.start(partial(server.run, HOST, 0))
    return harness


def build_request(
    path: str = "/ask/1",
    method: str = "GET",
    body: bytes = b"",
    close: bool = True,
    **headers: str,
) -> bytes:
    """Return a caller's request as bytes; ``_`` in header names becomes ``-``."""
    extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    all_headers = {
        "Authorization": "Bearer key-1",
        "X-Request-Id": "r1",
        **extra_headers,
    }
    lines = [f"{method} {path} HTTP/1.1", "Host: tickets.example"]
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
