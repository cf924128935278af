"""Several gateways on loopback that follow one state member.

The state member is on an in-memory network; requests and answers go over loopback.
"""

from collections.abc import Callable
from pathlib import Path

import trio
import trio.testing
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.crash_watch import CrashWatch
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.announcements import Announcement
from medlarrail.core.deployment import Deployment
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.metadata import HeaderCodec
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.origin_keepers import KeeperHost, connect_origins
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    Script,
    ScriptedEndpoint,
    build_request,
    start_relay,
)

START_TIMEOUT_S = 10.0
ANNOUNCEMENT_INTERVAL_S = 0.1
REQUESTS_PER_S = 50.0
"""Rate of ``send_steadily``."""


@define(eq=False)
class Fleet:
    """Gateways and the state member that they follow."""

    view_server: ClusterViewServer
    cluster: Cluster
    nursery: trio.Nursery
    keeper: KeeperHost
    gateways: list[RelayHarness] = field(factory=list)
    endpoints: list[ScriptedEndpoint] = field(factory=list)
    announcements: dict[str, Announcement] = field(factory=dict)
    """What each endpoint announces steadily, by its name."""
    silent: set[str] = field(factory=set)
    """Names of endpoints that do not announce themselves."""

    async def start_gateway(
        self, deployment: Deployment, codec: HeaderCodec, tells_streams: bool = True
    ) -> None:
        """Start a gateway that polls the state member.

        Unless it ``tells_streams``, it is listed as one of the version before.
        """
        name = f"gateway-{len(self.gateways) + 1}"
        harness = await start_relay(self.nursery, deployment, codec, name=name)
        peers = self.cluster.network.connect(f"mem://{name}")
        view_client = ClusterViewClient(
            harness.relay.cluster_view,
            StateClient(peers, (self.view_server.member.url,)),
            name,
            f"{HOST}:{harness.port}",
            "leith",
            ready=True,
            tells_streams=tells_streams,
        )
        harness.relay.connect_state(view_client.state)
        await connect_origins(self.nursery, harness.relay.origins)
        await self.nursery.start(harness.relay.run_reporters)
        self.nursery.start_soon(view_client.run)
        self.gateways.append(harness)

    async def add_endpoint(
        self, name: str, script: Script, software_version: str = ""
    ) -> None:
        """Start a scripted endpoint and announce it to the state member."""
        endpoint = ScriptedEndpoint(name, script)
        self.endpoints.append(endpoint)
        await self.nursery.start(endpoint.run)
        announcement = build_announcement(
            name=name,
            address=f"{HOST}:{endpoint.port}",
            slots=32,
            software_version=software_version,
        )
        self.announcements[name] = announcement
        await self.view_server.register_announcement(announcement)
        self.nursery.start_soon(self._announce_steadily, name)

    async def _announce_steadily(self, name: str) -> None:
        while True:
            await trio.sleep(ANNOUNCEMENT_INTERVAL_S)
            if name in self.silent:
                continue
            announcement = self.announcements[name]
            sequence = announcement.sequence + 1
            announcement = evolve(announcement, sequence=sequence)
            self.announcements[name] = announcement
            await self.view_server.register_announcement(announcement)

    async def restart_gateways(self, deployment: Deployment) -> RelayHarness:
        """Return a gateway that knows nothing of the others, which are forgotten."""
        self.gateways.clear()
        await self.start_gateway(deployment, DefaultHeaderCodec())
        await self.wait_for_endpoints(len(self.endpoints))
        return self.gateways[0]

    def count_requests(self) -> int:
        """Return the number of requests that reached endpoints."""
        return sum(len(endpoint.requests) for endpoint in self.endpoints)

    async def wait_for_endpoints(self, count: int) -> None:
        """Wait until every gateway knows the endpoints and the other gateways."""
        await self.wait(
            lambda gateway: (
                len(gateway.relay.cluster_view.endpoints) == count
                and gateway.relay.cluster_view.entries_settled
            )
        )

    async def wait(self, is_reached: Callable[[RelayHarness], bool]) -> None:
        """Wait until every gateway is in some state."""
        with trio.fail_after(START_TIMEOUT_S):
            while not all(map(is_reached, self.gateways)):
                await trio.sleep(0.02)


async def start_fleet(
    nursery: trio.Nursery,
    path: Path,
    deployment: Deployment,
    codec: HeaderCodec | None = None,
    gateways: int = 3,
) -> Fleet:
    """Start a state member below ``path``, and gateways without endpoints."""
    keeper = KeeperHost(nursery)
    await keeper.start()
    cluster = Cluster(path, nursery)
    # The keeper's address is part of the member's URL.
    await cluster.bootstrap(keeper.address)
    member = await cluster.wait_leader()
    view_server = ClusterViewServer(member, clock=trio.current_time)
    for handlers in (view_server, CrashWatch(view_server)):
        cluster.network.hosts[member.url].add(handlers)
        nursery.start_soon(handlers.run)
    fleet = Fleet(view_server, cluster, nursery, keeper)
    for _ in range(gateways):
        await fleet.start_gateway(deployment, codec or DefaultHeaderCodec())
    return fleet


async def send_steadily(fleet: Fleet, seconds: float) -> list[bytes]:
    """Send requests to the gateways in turn; return the answers.

    ``X-Sent-To`` in a request names its gateway.
    """
    answers = []

    async def send(gateway: RelayHarness, number: int) -> None:
        name = gateway.relay.endpoint_stats.entry
        request = build_request(X_Request_Id=f"r{number}", X_Sent_To=name)
        answers.append(await gateway.send(request))

    async with trio.open_nursery() as callers:
        for number in range(int(seconds * REQUESTS_PER_S)):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            callers.start_soon(send, gateway, number)
            await trio.sleep(1 / REQUESTS_PER_S)
    return answers


def count_served(answers: list[bytes]) -> int:
    """Return the number of answers with status 200."""
    return sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)
