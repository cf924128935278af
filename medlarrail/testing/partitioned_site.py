"""Gateways on loopback whose paths to the endpoints can be cut one by one."""

from collections import Counter
from itertools import count

import trio
from attrs import define, evolve, field

from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.deployment import Deployment
from medlarrail.protocol.crashes import BREAKS_PATH, CrashReport
from medlarrail.testing.builders import build_cluster_view_answer
from medlarrail.testing.origin_keepers import KeeperHost, connect_origins
from medlarrail.testing.paths import CutMode, CutPaths
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    Script,
    ScriptedConnection,
    ScriptedEndpoint,
    build_answer,
    build_request,
    get_value,
    start_relay,
)

ANSWER_S = 0.005
_request_numbers = count(1)
"""For IDs that no other test uses: log messages may be delivered to later tests."""
REQUEST_TIMEOUT_S = 4.0


@define
class RecordingState:
    """Stands in for the leading state member; ``messages`` are the reports to it.

    ``breaks`` are those of endpoints that may have crashed.
    """

    messages: list = field(factory=list)
    breaks: list[CrashReport] = field(factory=list)

    async def call_leader(self, path, message, answer_type, timeout_s):
        """See ``StateClient``."""
        await trio.lowlevel.checkpoint()
        if path == BREAKS_PATH:
            self.breaks.extend(message.reports)
        else:
            self.messages.append(message)
        return answer_type()


@define(eq=False)
class SentRequest:
    """A request to one gateway, its answer, and the time in seconds that it took."""

    request_id: str
    gateway: int
    answer: bytes = b""
    seconds: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the answer is a whole success."""
        return self.answer.startswith(b"HTTP/1.1 200")


@define(eq=False)
class PartitionedSite:
    """Gateways and endpoints; ``runs`` counts the runs of each request."""

    nursery: trio.Nursery
    gateways: list[RelayHarness] = field(factory=list)
    paths: list[CutPaths] = field(factory=list)
    endpoints: list[ScriptedEndpoint] = field(factory=list)
    runs: Counter[str] = field(factory=Counter)
    state: RecordingState = field(factory=RecordingState)

    async def start_gateways(
        self, count: int, deployment: Deployment, data_centres: tuple[str, ...]
    ) -> None:
        """Start gateways that know each other, placed in the data centres in turn."""
        keeper = KeeperHost(self.nursery)
        await keeper.start()
        entries = []
        for number in range(count):
            name = f"gateway-{number}"
            harness = await start_relay(self.nursery, deployment, name=name)
            paths = CutPaths(self.nursery)
            harness.relay.pool.connect = paths.connect
            data_centre = data_centres[number % len(data_centres)]
            harness.relay.forwarder.data_centre = data_centre
            address = f"{HOST}:{harness.port}"
            entries.append(RegisteredEntry(name, address, data_centre))
            announcing = harness.relay.incarnations.state
            harness.relay.connect_state(self.state)
            harness.relay.incarnations.state = announcing
            await connect_origins(self.nursery, harness.relay.origins)
            await self.nursery.start(harness.relay.run_reporters)
            self.gateways.append(harness)
            self.paths.append(paths)
        answer = build_cluster_view_answer([entry.name for entry in entries])
        answer = evolve(
            answer,
            entries=tuple(entries),
            member_urls=(f"http://{keeper.address}",),
        )
        for harness in self.gateways:
            harness.relay.cluster_view.apply(answer)

    async def add_endpoint(self, script: Script | None = None, **changes) -> None:
        """Start an endpoint that all gateways know."""
        endpoint = await self.gateways[0].add(script or self.answer, **changes)
        self.endpoints.append(endpoint)
        known = self.gateways[0].relay.cluster_view.endpoints[endpoint.name]
        for harness in self.gateways[1:]:
            harness.register(known.announced)

    async def answer(self, connection: ScriptedConnection, request: bytes) -> None:
        """Run a request and answer it."""
        self.runs[get_value(request, b"x-request-id").decode()] += 1
        await trio.sleep(ANSWER_S)
        await connection.send(build_answer(request, b"data: fine\n\n"))

    def cut(self, gateways: range, mode: CutMode, service_ports=frozenset()) -> None:
        """Cut the paths of some gateways to all endpoints, or to those at ports."""
        for number in gateways:
            self.paths[number].cut(mode, service_ports)

    def heal(self) -> None:
        """End all cuts."""
        for paths in self.paths:
            paths.heal()

    async def send(self, gateway: int, path: str, method: str) -> SentRequest:
        """Send one request to a gateway."""
        sent = SentRequest(f"site-{next(_request_numbers)}", gateway)
        body = b"x" if method == "POST" else b""
        request = build_request(path, method, body, X_Request_Id=sent.request_id)
        started_at = trio.current_time()
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                sent.answer = await self.gateways[gateway].send(request)
        except (OSError, trio.BrokenResourceError):
            pass
        sent.seconds = trio.current_time() - started_at
        return sent

    async def send_steadily(
        self, seconds: float, per_s: float, path: str = "/ask/1", method: str = "GET"
    ) -> list[SentRequest]:
        """Send requests to the gateways in turn; return them once all have ended."""
        results = []

        async def send(gateway: int) -> None:
            results.append(await self.send(gateway, path, method))

        async with trio.open_nursery() as callers:
            for number in range(int(seconds * per_s)):
                callers.start_soon(send, number % len(self.gateways))
                await trio.sleep(1 / per_s)
        return results

    def get_served_share(self, sent: list[SentRequest], gateways: range) -> float:
        """Return the share of the requests to some gateways that were served."""
        results = [request.is_served for request in sent if request.gateway in gateways]
        return sum(results) / len(results)

    def list_failed(
        self, sent: list[SentRequest], gateways: range | list[int]
    ) -> list[str]:
        """Describe the requests to some gateways that were not served."""
        return [
            f"{request.request_id} at gateway {request.gateway} after "
            f"{request.seconds:.2f} s: {request.answer[:200]!r}"
            for request in sent
            if request.gateway in gateways and not request.is_served
        ]


async def start_site(
    nursery: trio.Nursery,
    deployment: Deployment,
    gateways: int,
    endpoints: int = 3,
    data_centres: tuple[str, ...] = ("leith",),
) -> PartitionedSite:
    """Start gateways and endpoints of the service ``guide``."""
    site = PartitionedSite(nursery)
    await site.start_gateways(gateways, deployment, data_centres)
    for _ in range(endpoints):
        await site.add_endpoint()
    return site
