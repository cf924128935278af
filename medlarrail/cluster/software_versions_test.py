"""Tests of the software versions that may have begun streams, at the state members."""

import pytest
import trio

from medlarrail.cluster.cluster_view_server import SETTLE_S
from medlarrail.cluster.software_versions import MAX_SOFTWARE_VERSIONS
from medlarrail.core.errors import BadField, MedlarError
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers


async def list_versions(members: ViewMembers) -> set[str]:
    view_server = await members.get_leader()
    await view_server.member.confirm_reads()
    return set(view_server.member.catalogue.software_versions.get("guide", ()))


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    return started


class TestSoftwareVersions:
    async def test_the_versions_are_forgotten_when_all_members_restart(
        self, members, autojump_clock
    ):
        await members.announce("v1", "engine-1")
        await members.announce("v2", "engine-2")
        await members.restart_all()
        assert await list_versions(members) == {"v1", "v2"}

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
            assert await list_versions(members) == {"v1", "v2"}
            await trio.sleep(1)
            await members.announce("v2", "engine-2", sequence=second + 2)
        await trio.sleep(3)
        await members.announce("v2", "engine-2", sequence=100)
        assert await list_versions(members) == {"v2"}

    async def test_a_late_announcement_brings_a_version_back(
        self, members, autojump_clock
    ):
        """Its endpoint has been replaced by one that started later."""
        await members.announce("v2", started_ms=2000)
        await members.announce("v1", started_ms=1000, sequence=9)
        assert await list_versions(members) == {"v2"}

    async def test_any_number_of_versions_fills_the_log(self, members, autojump_clock):
        for number in range(MAX_SOFTWARE_VERSIONS):
            await members.announce(f"v{number}", f"engine-{number}")
        with pytest.raises(BadField):
            await members.announce("v-more", "engine-more")
        assert len(await list_versions(members)) == MAX_SOFTWARE_VERSIONS
