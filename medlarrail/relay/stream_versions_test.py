"""Tests of streams while endpoints of several software versions serve.

What two versions write does not fit together, and endpoints do not check it. Each
event of the scripted endpoints names the version that wrote it.
"""

import re
from itertools import count

import pytest
import trio
from attrs import define, field

from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.relay.forwarding import Forwarder
from medlarrail.relay.request_relay import RetryPolicy
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.fleet import Fleet, start_fleet
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    ScriptedConnection,
    build_request,
    get_value,
)

DEPLOYMENT = build_deployment(
    routes=(build_route(kind="stream", resumable=True, max_attempts=3),)
)
STREAM_EVENTS = 8
EVENTS_BEFORE_BREAK = 3
STREAMS = 40
MIN_CONTINUED_SHARE = 0.8
"""Share of the streams that go on while two endpoints of their version serve."""
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@define
class VersionScript:
    """Writes events of ``version``; a stream that begins breaks off or stalls."""

    version: str
    breaks: bool = True
    """Whether a stream that begins is reset; otherwise it goes on."""
    stalls: bool = False
    """Whether it stands still instead, until its connection is closed."""
    interval_s: float = 0.001
    """Between two events."""

    async def __call__(self, connection: ScriptedConnection, request: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += b"Content-Type: text/event-stream\r\n"
        head += b"X-Request-Id: " + get_value(request, b"x-request-id") + b"\r\n\r\n"
        await connection.send(head)
        last_id = int(get_value(request, b"last-event-id") or 0)
        for number in range(last_id + 1, STREAM_EVENTS + 1):
            if not last_id and number == EVENTS_BEFORE_BREAK + 1:
                if self.stalls:
                    await trio.sleep(5)
                if self.breaks:
                    connection.reset()
                    return
            event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
            await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
            await trio.sleep(self.interval_s)
        await connection.send(b"0\r\n\r\n")


@define
class ReceivedStream:
    """The events that a caller has received, over all its attempts."""

    request_id: str
    """The attempt that brought the first event."""
    versions: list[bytes] = field(factory=list)
    last_id: int = 0
    refused: bool = False
    """Whether an attempt was refused as not run."""

    def receive(self, answer: bytes) -> None:
        """Add the events of one answer."""
        self.refused = answer.startswith(b"HTTP/1.1 503")
        for number, version in EVENT.findall(answer):
            assert int(number) == self.last_id + 1
            self.last_id = int(number)
            self.versions.append(version)

    @property
    def is_joined(self) -> bool:
        """Whether its events come from several versions."""
        return len(set(self.versions)) > 1

    @property
    def is_complete(self) -> bool:
        return self.last_id == STREAM_EVENTS


_numbers = count()


async def begin(gateway: RelayHarness, events: int = STREAM_EVENTS) -> ReceivedStream:
    """Request a stream and receive it up to its end or some event."""
    stream = ReceivedStream(f"r{next(_numbers)}")
    request = build_request(X_Request_Id=stream.request_id)
    stream.receive(await receive(gateway, request, events))
    return stream


async def take_up(
    gateway: RelayHarness,
    stream: ReceivedStream,
    events: int = STREAM_EVENTS,
    **headers,
) -> None:
    """Go on with a stream at a gateway."""
    headers = {"X_Resumes": stream.request_id, **headers}
    request = build_request(
        X_Request_Id=f"r{next(_numbers)}",
        Last_Event_Id=str(stream.last_id),
        **{name: value for name, value in headers.items() if value},
    )
    stream.receive(await receive(gateway, request, events))


async def receive(gateway: RelayHarness, request: bytes, events: int) -> bytes:
    """Send a request; return what came until some event or the end."""
    received = b""
    async with await gateway.connect() as connection:
        await connection.send_all(request)
        with trio.move_on_after(2):
            while not has_event(received, events) and (
                part := await connection.receive_some(65536)
            ):
                received += part
    return received


def has_event(received: bytes, number: int) -> bool:
    """Return whether the whole event of this number was received."""
    return any(int(found) == number for found, _ in EVENT.findall(received))


def count_joined(streams: list[ReceivedStream]) -> int:
    return sum(stream.is_joined for stream in streams)


def count_complete(streams: list[ReceivedStream]) -> int:
    return sum(stream.is_complete for stream in streams)


async def start(
    nursery: trio.Nursery, path, versions: dict[str, int], **changes
) -> Fleet:
    """Start three gateways and so many endpoints of each software version."""
    fleet = await start_fleet(nursery, path, DEPLOYMENT)
    for gateway in fleet.gateways:
        gateway.relay.retries = RetryPolicy(slack=1000.0)
    for version, endpoints in versions.items():
        for number in range(endpoints):
            script = VersionScript(version, **changes)
            await fleet.add_endpoint(f"{version}-{number}", script, version)
    await fleet.wait_for_endpoints(sum(versions.values()))
    return fleet


async def interrupt_and_take_up(
    first: RelayHarness, second: RelayHarness
) -> list[ReceivedStream]:
    """Begin streams at a gateway and go on with each at another one."""
    streams = []
    for _ in range(STREAMS):
        stream = await begin(first, EVENTS_BEFORE_BREAK)
        await take_up(second, stream)
        streams.append(stream)
    return streams


VERSION_COUNTS = ({"v1": 2, "v2": 2}, {"v1": 4, "v2": 2}, {"v1": 2, "v2": 8})


class TestWithinOneAnswer:
    @pytest.mark.parametrize("versions", VERSION_COUNTS)
    async def test_a_broken_stream_goes_on_at_another_version(
        self, nursery, tmp_path, versions
    ):
        fleet = await start(nursery, tmp_path, versions)
        streams = [await begin(fleet.gateways[0]) for _ in range(STREAMS)]
        assert count_joined(streams) == 0
        assert count_complete(streams) >= MIN_CONTINUED_SHARE * STREAMS


class TestTakeUp:
    @pytest.mark.parametrize("versions", VERSION_COUNTS)
    async def test_a_stream_is_taken_up_at_another_version(
        self, nursery, tmp_path, versions
    ):
        """Its gateway has ended; the caller goes on at another one."""
        fleet = await start(nursery, tmp_path, versions, breaks=False, stalls=True)
        streams = await interrupt_and_take_up(*fleet.gateways[:2])
        assert count_joined(streams) == 0
        assert count_complete(streams) >= MIN_CONTINUED_SHARE * STREAMS

    async def test_a_stream_is_taken_up_after_all_gateways_were_killed(
        self, nursery, tmp_path
    ):
        """No gateway remembers it: two versions serve, and either may have begun it."""
        versions = {"v1": 2, "v2": 2}
        fleet = await start(nursery, tmp_path, versions, breaks=False, stalls=True)
        streams = [
            await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK) for _ in range(STREAMS)
        ]
        started = await fleet.restart_gateways(DEPLOYMENT)
        for stream in streams:
            await take_up(started, stream)
        assert count_joined(streams) == 0
        assert count_complete(streams) >= MIN_CONTINUED_SHARE * STREAMS

    async def test_an_unknown_stream_is_taken_up_at_any_version(
        self, nursery, tmp_path
    ):
        """All gateways and state members were killed: nobody remembers it."""
        versions = {"v1": 2, "v2": 2}
        fleet = await start(nursery, tmp_path, versions, breaks=False, stalls=True)
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        await fleet.keeper.restart()
        started = await fleet.restart_gateways(DEPLOYMENT)
        sent_before = fleet.count_requests()
        await take_up(started, stream)
        assert stream.refused
        assert stream.last_id == EVENTS_BEFORE_BREAK
        assert fleet.count_requests() == sent_before

    async def test_a_stream_of_the_only_version_is_refused(self, nursery, tmp_path):
        """It began at a gateway of the version before, which told nobody."""
        fleet = await start(nursery, tmp_path, {"v1": 2}, breaks=False, stalls=True)
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        await fleet.keeper.restart(STREAM_RETENTION_S)
        started = await fleet.restart_gateways(DEPLOYMENT)
        await take_up(started, stream)
        assert stream.is_complete

    async def test_a_stream_goes_on_at_a_version_that_came_after_it(
        self, nursery, tmp_path
    ):
        """Only one version was listed when the stream began."""
        fleet = await start(nursery, tmp_path, {"v1": 2}, breaks=False, stalls=True)
        streams = [
            await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK) for _ in range(10)
        ]
        for number in range(6):
            script = VersionScript("v2", breaks=False)
            await fleet.add_endpoint(f"v2-{number}", script, "v2")
        await fleet.wait_for_endpoints(8)
        started = await fleet.restart_gateways(DEPLOYMENT)
        for stream in streams:
            await take_up(started, stream)
        assert count_joined(streams) == 0
        assert count_complete(streams) >= MIN_CONTINUED_SHARE * len(streams)

    async def test_a_stream_that_was_taken_up_before_changes_its_version(
        self, nursery, tmp_path
    ):
        """Each take-up names the attempt that brought the first event."""
        versions = {"v1": 2, "v2": 2}
        fleet = await start(nursery, tmp_path, versions, breaks=False, stalls=True)
        streams = []
        for _ in range(10):
            stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
            await take_up(fleet.gateways[1], stream, EVENTS_BEFORE_BREAK + 2)
            await take_up(fleet.gateways[2], stream)
            streams.append(stream)
        assert count_joined(streams) == 0
        assert count_complete(streams) == len(streams)

    @pytest.mark.parametrize("resumes", ["", "another"])
    async def test_a_take_up_that_names_no_known_request_is_guessed(
        self, nursery, tmp_path, resumes
    ):
        versions = {"v1": 2, "v2": 2}
        fleet = await start(nursery, tmp_path, versions, breaks=False, stalls=True)
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        await take_up(fleet.gateways[1], stream, X_Resumes=resumes)
        assert stream.refused
        assert stream.last_id == EVENTS_BEFORE_BREAK

    async def test_a_partitioned_gateway_takes_the_only_version_it_knows(
        self, nursery, tmp_path
    ):
        """It has not heard of the other version, and no state member replies."""
        fleet = await start(nursery, tmp_path, {"v1": 2}, breaks=False, stalls=True)
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        fleet.keeper.stop()
        member_url = fleet.view_server.member.url
        fleet.cluster.network.cut.add(("mem://gateway-2", member_url))
        await take_up(fleet.gateways[1], stream)
        assert stream.refused
        assert stream.last_id == EVENTS_BEFORE_BREAK


class TestForwarding:
    """A gateway that is partitioned from all endpoints lets others carry requests."""

    async def start(self, nursery, path, monkeypatch, **changes) -> Fleet:
        fleet = await start(nursery, path, {"v1": 2, "v2": 2}, **changes)
        monkeypatch.setattr(
            Forwarder,
            "is_partitioned",
            lambda self, service: self.entry == "gateway-1",
        )
        return fleet

    @pytest.mark.parametrize("first, second", [(1, 0), (0, 2)])
    async def test_a_stream_that_another_gateway_carries_changes_its_version(
        self, nursery, tmp_path, monkeypatch, first, second
    ):
        """It is taken up at the partitioned gateway, or began there."""
        fleet = await self.start(
            nursery, tmp_path, monkeypatch, breaks=False, stalls=True
        )
        gateways = fleet.gateways
        streams = await interrupt_and_take_up(gateways[first], gateways[second])
        assert count_joined(streams) == 0
        assert count_complete(streams) >= MIN_CONTINUED_SHARE * STREAMS
