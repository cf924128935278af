"""State members on an in-memory network that serve the cluster view."""

from collections.abc import Callable, Sequence

import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster

NAMES = ("a", "b", "c")


def build_entry(
    cluster: Cluster, members: Sequence[str], name: str
) -> ClusterViewClient:
    """Return an entry at the URL ``mem://NAME`` that polls members by their names."""
    urls = tuple(cluster.get_url(member) for member in members)
    return ClusterViewClient(
        ClusterView(trio.current_time),
        StateClient(cluster.network.connect(f"mem://{name}"), urls),
        name,
        f"{name}:80",
        "leith",
        ready=True,
    )


@define(eq=False)
class ViewMembers:
    """State members that serve the cluster view, by name."""

    cluster: Cluster
    nursery: trio.Nursery
    prepare: Callable[[ClusterViewServer], None] = lambda view_server: None
    """Called with each view server before it runs."""
    view_servers: dict[str, ClusterViewServer] = field(factory=dict)

    async def start(self) -> None:
        """Bootstrap the cluster."""
        await self.cluster.bootstrap(*NAMES)
        for name in NAMES:
            self._serve(name)

    def _serve(self, name: str) -> None:
        member = self.cluster.hosts[name].member
        view_server = ClusterViewServer(member, clock=trio.current_time)
        self.prepare(view_server)
        self.view_servers[name] = view_server
        self.cluster.network.hosts[member.url].add(view_server)
        self.cluster.network.hosts[member.url].add(view_server.software_rollouts)
        self.nursery.start_soon(view_server.run)

    def start_entry(self, name: str = "entry-1") -> ClusterViewClient:
        """Start an entry that polls the members, at the URL ``mem://NAME``."""
        client = build_entry(self.cluster, NAMES, name)
        self.nursery.start_soon(client.run)
        return client

    async def restart_all(self, pause_s: float = 0.0) -> None:
        """Kill all members and start them again after ``pause_s`` seconds."""
        for name in NAMES:
            self.cluster.kill(name)
        await trio.sleep(pause_s)
        for name in NAMES:
            await self.cluster.start(name)
            self._serve(name)

    async def replace_leader(self) -> None:
        """Kill the leader and start it again when another one has been elected."""
        leader = await self.cluster.wait_leader()
        self.cluster.kill(leader.name)
        await self.cluster.wait_leader()
        await self.cluster.start(leader.name)
        self._serve(leader.name)

    async def get_leader(self) -> ClusterViewServer:
        """Return the view server of the leader once there is one."""
        leader = await self.cluster.wait_leader()
        return self.view_servers[leader.name]

    async def announce(
        self, version: str = "", name: str = "engine-1", **changes
    ) -> None:
        """Announce an endpoint to the leader."""
        view_server = await self.get_leader()
        await view_server.register_announcement(
            build_announcement(
                name=name, address=f"{name}:1", software_version=version, **changes
            )
        )
