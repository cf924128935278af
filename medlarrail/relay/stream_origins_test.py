"""Tests of gateways and state members that tell each other where streams began."""

import pytest
import trio

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.relay.stream_origins import (
    BeginConnection,
    FoundOrigin,
    StreamOriginDirectory,
)
from medlarrail.testing.origin_keepers import KeeperHost, connect_origins

MEMBERS = 5
MEMBERS_BEFORE = 3
STREAMS = 40
MAX_UNANSWERED_S = 1.0


async def connect(nursery, keepers: list[KeeperHost]) -> StreamOriginDirectory:
    """Return the origins of a gateway that lists these state members."""
    view = ClusterView(member_urls=tuple(f"http://{one.address}" for one in keepers))
    origins = StreamOriginDirectory(view)
    await connect_origins(nursery, origins)
    return origins


@pytest.fixture
async def keepers(nursery) -> list[KeeperHost]:
    hosts = [KeeperHost(nursery) for _ in range(MEMBERS)]
    for host in hosts:
        await host.start()
    return hosts


def record(origins: StreamOriginDirectory, request_id: str) -> None:
    now = trio.current_time()
    connection = BeginConnection("engine-1", now - 2, now)
    origins.record(request_id, "guide", "v1", connection)


class TestFind:
    async def test_origin_is_not_found_while_members_join(self, nursery, keepers):
        """A gateway that lists three members tells others than one that lists five
        asks."""
        first = await connect(nursery, keepers[:MEMBERS_BEFORE])
        second = await connect(nursery, keepers)
        for number in range(STREAMS):
            record(first, f"r{number}")
        found = [await second.find(f"r{number}") for number in range(STREAMS)]
        assert sum(one.origin is None for one in found) == 0
        assert not any(one.never_told for one in found)

    async def test_unknown_stream_is_asked_of_all_members_for_long(
        self, nursery, keepers
    ):
        """Its caller waits meanwhile, also if no member replies."""
        origins = await connect(nursery, keepers)
        for keeper in keepers:
            keeper.stop()
        began_at = trio.current_time()
        assert await origins.find("r0") == FoundOrigin(None)
        assert trio.current_time() - began_at < MAX_UNANSWERED_S
