"""Several gateways on loopback that follow one state member.

The state member is on an in-memory network; requests and answers go over loopback.
"""

from collections.abc import Callable
from pathlib import Path

import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterViewClient
from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.crash_watch import CrashWatch
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.deployment import Deployment
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.metadata import HeaderCodec
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    Script,
    ScriptedEndpoint,
    build_request,
    start_relay,
)

MEMBER = "m1"
START_TIMEOUT_S = 10.0
REQUESTS_PER_S = 50.0
"""Rate of ``send_steadily``."""


@define(eq=False)
class Fleet:
    """Gateways and the state member that they follow."""

    view_server: ClusterViewServer
    cluster: Cluster
    nursery: trio.Nursery
    gateways: list[RelayHarness] = field(factory=list)

    async def start_gateway(self, deployment: Deployment, codec: HeaderCodec) -> None:
        """Start a gateway that polls the state member."""
        name = f"gateway-{len(self.gateways) + 1}"
        harness = await start_relay(self.nursery, deployment, codec, name=name)
        peers = self.cluster.network.connect(f"mem://{name}")
        view_client = ClusterViewClient(
            harness.relay.cluster_view,
            StateClient(peers, (self.cluster.get_url(MEMBER),)),
            name,
            f"{HOST}:{harness.port}",
            "leith",
            ready=True,
        )
        harness.relay.connect_state(view_client.state)
        await self.nursery.start(harness.relay.run_reporters)
        self.nursery.start_soon(view_client.run)
        self.gateways.append(harness)

    async def add_endpoint(
        self, name: str, script: Script, software_version: str = ""
    ) -> None:
        """Start a scripted endpoint and announce it to the state member."""
        endpoint = ScriptedEndpoint(name, script)
        await self.nursery.start(endpoint.run)
        announcement = build_announcement(
            name=name,
            address=f"{HOST}:{endpoint.port}",
            slots=32,
            software_version=software_version,
        )
        self.view_server.record_announcement(announcement)

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
    cluster = Cluster(path, nursery)
    await cluster.bootstrap(MEMBER)
    member = await cluster.wait_leader()
    view_server = ClusterViewServer(member, clock=trio.current_time)
    for handlers in (view_server, CrashWatch(view_server)):
        cluster.network.hosts[member.url].add(handlers)
        nursery.start_soon(handlers.run)
    fleet = Fleet(view_server, cluster, nursery)
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
