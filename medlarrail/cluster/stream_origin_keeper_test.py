"""Tests of the origins of streams that state members keep."""

import orjson
import pytest
import trio
import trio.testing
from attrs import asdict, evolve

from medlarrail.cluster.recent_origins import RecentOrigins
from medlarrail.cluster.stream_origin_keeper import StreamOriginKeeper
from medlarrail.core.codec import decode, encode
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.stream_origins import (
    MAX_CANDIDATES,
    QUERY_PREFIX,
    RECORD_PREFIX,
    OriginQuery,
    OriginReply,
    StreamOrigin,
    StreamOrigins,
)
from medlarrail.testing.scripted_endpoints import HOST
from medlarrail.transport.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket

KEY = "a-key-for-this-test"
ORIGIN = StreamOrigin("s1", "guide", "v1", "engine-1", 5.0, 2.0)
OLD_ORIGIN = StreamOrigin("s1", "guide", "v1")
PROVEN_ORIGIN = StreamOrigin("s1", "guide", "v2", proven=True)
MAX_BATCH_ORIGINS = 25
"""Maximum origins in one datagram of an entry of the version before."""


class ManualClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return ManualClock()


class TestRecentOrigins:
    def test_connection_does_not_age_with_its_origin(self, clock):
        kept = RecentOrigins(10, clock)
        kept.add(ORIGIN)
        clock.now += 3
        found = kept.find("s1")
        assert (found.opened_ago_s, found.open_for_s) == (8.0, 2.0)
        assert kept.add(ORIGIN).opened_ago_s == 8.0

    def test_origin_that_is_told_again_gets_another_time(self, clock):
        kept = RecentOrigins(10, clock)
        kept.add(ORIGIN)
        clock.now += 3
        kept.add(ORIGIN)
        assert kept.find("s1").opened_ago_s == 8.0

    def test_proven_version_is_forgotten_for_the_announced_one(self, clock):
        kept = RecentOrigins(10, clock)
        kept.add(ORIGIN)
        assert kept.add(PROVEN_ORIGIN) == PROVEN_ORIGIN
        assert kept.add(ORIGIN) == PROVEN_ORIGIN

    def test_origin_of_an_older_entry_is_changed(self, clock):
        kept = RecentOrigins(10, clock)
        kept.add(OLD_ORIGIN)
        clock.now += 3
        assert kept.add(ORIGIN) == OLD_ORIGIN

    def test_origins_beyond_the_limit_count_as_never_told(self, clock):
        """The oldest ones make room, though callers may still take them up."""
        kept = RecentOrigins(2, clock)
        for number in range(3):
            clock.now += 10
            kept.add(evolve(ORIGIN, stream=f"s{number}"))
        clock.now += 1
        assert kept.get_kept_for_s() == 21
        assert kept.find("s0") is None

    def test_expired_origins_count_as_lost(self, clock):
        kept = RecentOrigins(2, clock)
        for number in range(3):
            clock.now += STREAM_RETENTION_S + 1
            kept.add(evolve(ORIGIN, stream=f"s{number}"))
        assert kept.get_kept_for_s() == 3 * (STREAM_RETENTION_S + 1)


class TestContents:
    def test_streams_of_another_request_are_listed(self, clock):
        kept = RecentOrigins(10, clock)
        first = evolve(ORIGIN, content="c1")
        kept.add(first)
        kept.add(evolve(ORIGIN, stream="s2", content="c2"))
        kept.add(evolve(ORIGIN, stream="s3"))
        assert kept.list_candidates("c1") == (first,)
        assert kept.list_candidates("c3") == kept.list_candidates("") == ()

    def test_stream_is_listed_twice_once_it_is_proven(self, clock):
        kept = RecentOrigins(10, clock)
        proven = evolve(PROVEN_ORIGIN, content="c1")
        for origin in (evolve(ORIGIN, content="c1"), proven):
            kept.add(origin)
        assert kept.list_candidates("c1") == (proven,)

    @pytest.mark.parametrize("limit, waits_s", [(10, STREAM_RETENTION_S + 1), (1, 0)])
    def test_forgotten_stream_is_listed(self, clock, limit, waits_s):
        kept = RecentOrigins(limit, clock)
        kept.add(evolve(ORIGIN, content="c1"))
        clock.now += waits_s
        kept.add(evolve(ORIGIN, stream="s2", content="c2"))
        assert kept.list_candidates("c1") == ()
        assert len(kept.list_candidates("c2")) == 1


class KeeperHarness:
    """A keeper that runs, and a socket of an entry."""

    def __init__(self, clock):
        self.clock = clock
        self.keeper = StreamOriginKeeper(DatagramSocket(f"{HOST}:0", KEY), clock)
        self.entry = DatagramSocket(f"{HOST}:0", KEY)

    async def start(self, nursery) -> None:
        await nursery.start(self.keeper.run)
        await self.entry.open()

    def tell(self, *origins: StreamOrigin) -> None:
        self.send(RECORD_PREFIX, StreamOrigins(origins))

    def send(self, prefix: bytes, message) -> None:
        address = f"{HOST}:{self.keeper.datagram_socket.get_port()}"
        self.entry.send([address], prefix + encode(message))

    async def find(self, stream: str) -> StreamOrigin | None:
        return (await self.ask(stream)).origin

    async def list_candidates(self, content: str) -> tuple[StreamOrigin, ...]:
        return (await self.ask("", content)).candidates

    async def ask(self, stream: str, content: str = "") -> OriginReply:
        reply_to = f"{HOST}:{self.entry.get_port()}"
        self.send(QUERY_PREFIX, OriginQuery(1, reply_to, stream, content))
        with trio.fail_after(2):
            (body,) = await self.entry.receive()
        return decode(body[1:], OriginReply)


@pytest.fixture
async def harness(nursery, clock):
    harness = KeeperHarness(clock)
    await harness.start(nursery)
    return harness


class TestKeeper:
    async def test_reply_leaves_out_for_how_long_origins_were_kept(self, harness):
        """A keeper that started again lately may have forgotten a stream."""
        assert (await harness.ask("s1")).kept_for_s == 0
        harness.clock.now += 60
        assert (await harness.ask("s1")).kept_for_s == 60

    async def test_datagrams_that_did_not_fit_count_as_never_told(self, harness):
        """The process was suspended until its socket was full."""
        harness.clock.now += 60
        for number in range(5000):
            harness.tell(evolve(ORIGIN, stream=f"s{number}"))
        await trio.testing.wait_all_tasks_blocked()
        reply = await harness.ask("s4999")
        assert reply.origin is None
        assert reply.kept_for_s == 0
        harness.clock.now += 60
        assert (await harness.ask("s4999")).kept_for_s == 60

    async def test_reply_leaves_out_the_time_for_which_it_was_kept(self, harness):
        harness.tell(ORIGIN)
        assert await harness.find("s1") == ORIGIN
        harness.clock.now += 3
        assert (await harness.find("s1")).opened_ago_s == 8.0

    async def test_suspended_keeper_takes_a_connection_for_a_later_one(self, harness):
        """A datagram that waited tells an age that is too low by that time."""
        await trio.testing.wait_all_tasks_blocked()
        harness.tell(ORIGIN)
        harness.clock.now += 3
        found = await harness.find("s1")
        assert found.opened_ago_s == 5.0
        assert found.open_for_s == -1.0

    @pytest.mark.parametrize("second, contradicts", [(ORIGIN, 0), (PROVEN_ORIGIN, 1)])
    async def test_another_age_counts_as_a_contradiction(
        self, harness, second, contradicts
    ):
        counted = get_metrics().get_count("origins_contradicted")
        harness.tell(StreamOrigin("s1", "guide", "v1", proven=True))
        harness.tell(second)
        await harness.find("s1")
        assert get_metrics().get_count("origins_contradicted") - counted == contradicts

    async def test_batch_is_longer_than_a_datagram(self, harness):
        name = "n" * 60
        origins = [
            StreamOrigin(f"{number:016x}", name, name, name, 12345.678, 12345.678)
            for number in range(MAX_BATCH_ORIGINS)
        ]
        told = [asdict(origin) for origin in origins]
        for fields in told:
            del fields["content"]
        message = {"origins": told}
        assert len(encode(message)) < MAX_DATAGRAM_BYTES
        harness.send(RECORD_PREFIX, message)
        assert await harness.find(origins[-1].stream) is not None

    async def test_origins_of_the_same_request_are_longer_than_a_datagram(
        self, harness
    ):
        name = "n" * 60
        for number in range(MAX_CANDIDATES + 2):
            harness.tell(
                StreamOrigin(
                    f"{number:016x}",
                    name,
                    name,
                    name,
                    12345.678,
                    12345.678,
                    content="c",
                )
            )
        same = await harness.list_candidates("c")
        assert len(same) == MAX_CANDIDATES + 1

    async def test_origin_of_an_older_entry_is_unreadable(self, harness):
        """It lacks what later versions tell, and a later one may tell more."""
        plain = {"stream": "s1", "service": "guide", "software_version": "v1"}
        body = RECORD_PREFIX + b'{"origins": [%s]}'
        for text in (b'"later": 1, ', b""):
            inner = b"{" + text + orjson.dumps(plain)[1:]
            address = f"{HOST}:{harness.keeper.datagram_socket.get_port()}"
            harness.entry.send([address], body % inner)
            assert await harness.find("s1") == OLD_ORIGIN
