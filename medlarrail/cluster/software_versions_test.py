"""Tests of the software versions that may have begun streams, at the state members."""

import pytest
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view_server import SETTLE_S, ClusterViewServer
from medlarrail.cluster.software_versions import MAX_SOFTWARE_VERSIONS
from medlarrail.core.errors import BadField, MedlarError
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster

NAMES = ("a", "b", "c")


@define(eq=False)
class Members:
    """State members that serve the cluster view, by name."""

    cluster: Cluster
    nursery: trio.Nursery
    view_servers: dict[str, ClusterViewServer] = field(factory=dict)

    async def start(self) -> None:
        await self.cluster.bootstrap(*NAMES)
        for name in NAMES:
            self._serve(name)

    def _serve(self, name: str) -> None:
        member = self.cluster.hosts[name].member
        view_server = ClusterViewServer(member, clock=trio.current_time)
        self.view_servers[name] = view_server
        self.nursery.start_soon(view_server.run)

    async def restart_all(self) -> None:
        for name in NAMES:
            self.cluster.kill(name)
        for name in NAMES:
            await self.cluster.start(name)
            self._serve(name)

    async def get_leader(self) -> ClusterViewServer:
        leader = await self.cluster.wait_leader()
        return self.view_servers[leader.name]

    async def announce(self, version: str, name: str = "engine-1", **changes) -> None:
        view_server = await self.get_leader()
        await view_server.register_announcement(
            build_announcement(
                name=name, address=f"{name}:1", software_version=version, **changes
            )
        )

    async def list_versions(self) -> set[str]:
        view_server = await self.get_leader()
        await view_server.member.confirm_reads()
        return set(view_server.member.catalogue.software_versions.get("guide", ()))


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = Members(Cluster(tmp_path, nursery), nursery)
    await started.start()
    return started


class TestSoftwareVersions:
    async def test_the_versions_are_forgotten_when_all_members_restart(
        self, members, autojump_clock
    ):
        await members.announce("v1", "engine-1")
        await members.announce("v2", "engine-2")
        await members.restart_all()
        assert await members.list_versions() == {"v1", "v2"}

    async def test_an_endpoint_is_listed_before_its_version_is_in_the_log(
        self, members, autojump_clock
    ):
        leader = await members.get_leader()
        members.cluster.network.isolate(leader.member.url)
        with pytest.raises(MedlarError):
            await leader.register_announcement(
                build_announcement(software_version="v2")
            )
        assert not leader.registry.endpoints

    async def test_a_version_is_forgotten_while_its_streams_may_go_on(
        self, members, autojump_clock
    ):
        """Its last endpoint has left."""
        await members.announce("v1", "engine-1")
        await members.announce("v2", "engine-2")
        await trio.sleep(SETTLE_S + 1)
        (await members.get_leader()).record_departure("engine-1")
        for second in range(int(STREAM_RETENTION_S) - 1):
            assert await members.list_versions() == {"v1", "v2"}
            await trio.sleep(1)
            await members.announce("v2", "engine-2", sequence=second + 2)
        await trio.sleep(3)
        await members.announce("v2", "engine-2", sequence=100)
        assert await members.list_versions() == {"v2"}

    async def test_a_late_announcement_brings_a_version_back(
        self, members, autojump_clock
    ):
        """Its endpoint has been replaced by one that started later."""
        await members.announce("v2", started_ms=2000)
        await members.announce("v1", started_ms=1000, sequence=9)
        assert await members.list_versions() == {"v2"}

    async def test_any_number_of_versions_fills_the_log(self, members, autojump_clock):
        for number in range(MAX_SOFTWARE_VERSIONS):
            await members.announce(f"v{number}", f"engine-{number}")
        with pytest.raises(BadField):
            await members.announce("v-more", "engine-more")
        assert len(await members.list_versions()) == MAX_SOFTWARE_VERSIONS
