"""Tests of gateways and state members that tell each other where streams began."""

import pytest
import trio

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.policy.stream_versions import RELEARNING_S
from medlarrail.protocol.stream_origins import MAX_CANDIDATES
from medlarrail.relay.stream_origins import (
    NO_REPLY,
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


def record(origins: StreamOriginDirectory, request_id: str, content: str = "") -> None:
    now = trio.current_time()
    connection = BeginConnection("engine-1", now - 2, now)
    origins.record(request_id, "guide", "v1", connection, content=content)


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


class TestContents:
    @pytest.fixture
    async def origins(self, nursery, keepers) -> StreamOriginDirectory:
        """A gateway whose state members have run for long."""
        for keeper in keepers:
            await keeper.restart(RELEARNING_S)
        return await connect(nursery, keepers)

    async def test_stream_of_another_gateway_is_missing(
        self, nursery, keepers, origins
    ):
        """Which members it told depends on its name, which the caller does not tell."""
        other = await connect(nursery, keepers)
        for number in range(3):
            record(other, f"r{number}", "c1")
        record(origins, "r3", "c1")
        record(origins, "r4", "c2")
        same, reason, _ = await origins.list_candidates("c1")
        assert len(same) == 4
        assert not reason

    @pytest.mark.parametrize("stopped, expected", [(1, ""), (2, NO_REPLY)])
    async def test_both_members_that_know_a_stream_do_not_reply(
        self, keepers, origins, stopped, expected
    ):
        """The stream of another caller with the same request was taken for it."""
        record(origins, "r0", "c1")
        for keeper in keepers[:stopped]:
            keeper.stop()
        _, reason, _ = await origins.list_candidates("c1")
        assert reason == expected

    @pytest.mark.parametrize("restarted, expected", [(1, ""), (2, "forgotten")])
    async def test_both_members_that_knew_a_stream_started_again(
        self, keepers, origins, restarted, expected
    ):
        record(origins, "r0", "c1")
        for keeper in keepers[:restarted]:
            await keeper.restart()
        _, reason, _ = await origins.list_candidates("c1")
        assert reason == expected

    @pytest.mark.parametrize(
        "count, expected",
        [
            (MAX_CANDIDATES, ""),
            (MAX_CANDIDATES + 4, "too many streams of the same request"),
            (4 * MAX_CANDIDATES, "too many streams of the same request"),
        ],
    )
    async def test_stream_is_beyond_those_that_are_told(self, origins, count, expected):
        for number in range(count):
            record(origins, f"r{number}", "c1")
        _, reason, _ = await origins.list_candidates("c1")
        assert reason == expected

    async def test_gateway_lists_fewer_members_than_the_one_that_told(
        self, nursery, keepers, origins
    ):
        """All that it lists reply, and a stream is known to none of them."""
        other = await connect(nursery, keepers[:MEMBERS_BEFORE])
        for number in range(STREAMS):
            record(origins, f"r{number}", f"c{number}")
        answers = [await other.list_candidates(f"c{n}") for n in range(STREAMS)]
        assert all(found or reason for found, reason, _ in answers)
