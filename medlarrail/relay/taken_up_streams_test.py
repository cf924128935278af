"""Tests of take-ups of streams whose endpoint had started again in place.

The gateway that sent the first events took its process for the one before, so the
version that it recorded is not that of the events.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio
from attrs import evolve

from medlarrail.core.errors import PeerTimeout, UnknownRoute
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.endpoint_sightings import SIGHTINGS_PATH
from medlarrail.relay.request_relay import RetryPolicy
from medlarrail.relay.stream_versions_test import (
    DEPLOYMENT,
    EVENTS_BEFORE_BREAK,
    STREAM_EVENTS,
    ReceivedStream,
    VersionScript,
    begin,
    has_event,
    take_up,
)
from medlarrail.testing.fleet import Fleet, start_fleet
from medlarrail.testing.scripted_endpoints import RelayHarness, build_request

IN_PLACE = "engine"
"""The endpoint that starts again."""
EVENT_INTERVAL_S = 0.1
HEARD_S = 0.5
"""Time in which endpoints announce themselves several times."""


@pytest.fixture
async def fleet(nursery, tmp_path) -> Fleet:
    """Two gateways, ``engine`` and another endpoint of v1, and one of v2."""
    fleet = await start_fleet(nursery, tmp_path, DEPLOYMENT, gateways=2)
    for name, version in ((IN_PLACE, "v1"), ("other-1", "v1"), ("other-2", "v2")):
        script = VersionScript(version, breaks=False, stalls=True)
        await fleet.add_endpoint(name, script, version)
    await fleet.wait_for_endpoints(3)
    for gateway in fleet.gateways:
        gateway.relay.retries = RetryPolicy(slack=1000.0)
    return fleet


def suspend_updates(fleet: Fleet) -> None:
    """Let the first gateway have no more news of endpoints."""
    calls = ("mem://gateway-1", fleet.view_server.member.url)
    fleet.cluster.network.cut.update((calls, calls[::-1]))


@contextmanager
def send_in_place(gateway: RelayHarness) -> Iterator[None]:
    """Let a gateway send to ``engine`` only."""
    endpoints = gateway.relay.cluster_view.endpoints
    others = {name: endpoints.pop(name) for name in list(endpoints) if name != IN_PLACE}
    yield
    endpoints.update(others)


def start_in_place(fleet: Fleet) -> None:
    """Let a process of v2 have the address of ``engine``; it is silent at first."""
    fleet.endpoints[0].script.version = "v2"
    fleet.silent.add(IN_PLACE)


async def announce(fleet: Fleet) -> None:
    """Let the next process announce itself, from now on."""
    announcement = fleet.announcements[IN_PLACE]
    sequence = announcement.sequence + 1
    announcement = evolve(announcement, software_version="v2", sequence=sequence)
    fleet.announcements[IN_PLACE] = announcement
    fleet.silent.discard(IN_PLACE)
    await fleet.view_server.register_announcement(announcement)


async def begin_in_place(gateway: RelayHarness, version: bytes) -> ReceivedStream:
    with send_in_place(gateway):
        stream = await begin(gateway, EVENTS_BEFORE_BREAK)
    assert stream.versions == [version] * EVENTS_BEFORE_BREAK
    return stream


async def begin_with_old_view(fleet: Fleet) -> ReceivedStream:
    """Begin a stream at the next process, which the gateway takes for the first."""
    suspend_updates(fleet)
    start_in_place(fleet)
    await announce(fleet)
    await trio.sleep(HEARD_S)
    return await begin_in_place(fleet.gateways[0], b"v2")


def fail_lookups(gateway: RelayHarness, error: Exception) -> None:
    state = gateway.relay.incarnations.state
    call_leader = state.call_leader

    async def fail(path, message, *args):
        if path == SIGHTINGS_PATH and message.endpoint == IN_PLACE:
            raise error
        return await call_leader(path, message, *args)

    gateway.relay.incarnations.state = type("State", (), {"call_leader": fail})


class TestTakeUp:
    async def test_stream_is_taken_up_at_the_version_that_was_announced_before(
        self, fleet
    ):
        """Its first gateway had no news of the next process."""
        stream = await begin_with_old_view(fleet)
        await take_up(fleet.gateways[1], stream)
        assert stream.versions[-1] == b"v2"
        assert stream.is_complete

    async def test_stream_is_taken_up_before_its_process_was_heard_of(self, fleet):
        """It announced itself only after the stream had broken off."""
        start_in_place(fleet)
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        await announce(fleet)
        await take_up(fleet.gateways[1], stream)
        assert stream.refused
        assert stream.last_id == EVENTS_BEFORE_BREAK

    async def test_stream_of_the_process_before_does_not_go_on(self, fleet):
        """The next process has its address when the caller comes back."""
        await trio.sleep(HEARD_S)
        stream = await begin_in_place(fleet.gateways[0], b"v1")
        await trio.sleep(HEARD_S)
        start_in_place(fleet)
        await announce(fleet)
        await take_up(fleet.gateways[1], stream)
        assert stream.versions[-1] == b"v1"
        assert stream.is_complete

    async def test_announcement_during_a_stream_proves_its_version(self, fleet):
        """The end of a connection may arrive after the next process at the address
        has announced itself."""
        start_in_place(fleet)
        script = fleet.endpoints[0].script
        script.stalls, script.interval_s = False, EVENT_INTERVAL_S
        gateway = fleet.gateways[0]
        stream = ReceivedStream("r-in-place")
        request = build_request(X_Request_Id=stream.request_id)
        received = b""
        async with await gateway.connect() as connection:
            with send_in_place(gateway):
                await connection.send_all(request)
                while not has_event(received, 1):
                    received += await connection.receive_some(65536)
            await announce(fleet)
            while not has_event(received, STREAM_EVENTS - 2):
                received += await connection.receive_some(65536)
        stream.receive(received)
        assert stream.versions[-1] == b"v2"
        await trio.sleep(0.1)
        await take_up(gateway, stream)
        assert set(stream.versions) == {b"v2"}
        assert not stream.is_complete

    async def test_stream_of_an_older_entry_does_not_go_on(self, fleet):
        """It tells the version without the connection."""
        gateway = fleet.gateways[1]
        stream = await begin_in_place(gateway, b"v1")
        stream.request_id = "r-older"
        own = fleet.gateways[0].relay.origins
        own.record(stream.request_id, "guide", "v1")
        await take_up(gateway, stream)
        assert stream.is_complete

    async def test_stream_goes_on_without_an_answer_of_the_leader(self, fleet):
        stream = await begin_with_old_view(fleet)
        fail_lookups(fleet.gateways[1], PeerTimeout(url="x"))
        await take_up(fleet.gateways[1], stream)
        assert stream.refused

    async def test_stream_goes_on_beside_an_older_leader(self, fleet):
        """That does not tell who began it; the announced version was believed."""
        stream = await begin_with_old_view(fleet)
        fail_lookups(fleet.gateways[1], UnknownRoute(path="x"))
        await take_up(fleet.gateways[1], stream)
        assert stream.refused

    async def test_streams_of_two_gateways_count_as_contradicted(self, fleet):
        """Each tells how long ago the connection was opened, which differs."""
        await trio.sleep(HEARD_S)
        before = get_metrics().get_count("origins_contradicted")
        stream = await begin_in_place(fleet.gateways[0], b"v1")
        await take_up(fleet.gateways[1], stream, EVENTS_BEFORE_BREAK + 2)
        await take_up(fleet.gateways[0], stream)
        assert stream.is_complete
        assert get_metrics().get_count("origins_contradicted") == before
