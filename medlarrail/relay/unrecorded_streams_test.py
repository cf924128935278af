"""Tests of streams of a process that nobody has heard of, beside one listed version.

An endpoint starts again in place with other software and does not announce itself. The
only listed version is not that of its streams, which go on through a gateway that did
not send their first events.
"""

import pytest
import trio

from medlarrail.policy.stream_versions import RELEARNING_S, STREAM_RETENTION_S
from medlarrail.relay import stream_version
from medlarrail.relay.forwarding import Forwarder
from medlarrail.relay.request_relay import RetryPolicy
from medlarrail.relay.stream_origins import StreamOriginDirectory
from medlarrail.relay.stream_versions_test import (
    DEPLOYMENT,
    EVENTS_BEFORE_BREAK,
    ReceivedStream,
    VersionScript,
    begin,
    receive,
    take_up,
)
from medlarrail.relay.taken_up_streams_test import (
    HEARD_S,
    IN_PLACE,
    announce,
    begin_in_place,
    send_in_place,
    start_in_place,
)
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.fleet import Fleet, start_fleet
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    build_request,
    get_value,
)


async def start(nursery, path, deployment=DEPLOYMENT, **script_changes) -> Fleet:
    """Start two gateways, ``engine`` and two other endpoints, all announced as v1.

    The next process of ``engine`` has the address, with v2.
    """
    fleet = await start_fleet(nursery, path, deployment, gateways=2)
    for name in (IN_PLACE, "other-1", "other-2"):
        script = VersionScript("v1", **script_changes)
        await fleet.add_endpoint(name, script, "v1")
    await fleet.wait_for_endpoints(3)
    for gateway in fleet.gateways:
        gateway.relay.retries = RetryPolicy(slack=1000.0)
    await trio.sleep(HEARD_S)
    start_in_place(fleet)
    return fleet


@pytest.fixture
async def fleet(nursery, tmp_path) -> Fleet:
    """Endpoints at which streams that begin stand still."""
    return await start(nursery, tmp_path, breaks=False, stalls=True)


def cut_off_after_first_event(fleet: Fleet, monkeypatch) -> None:
    """Let the first gateway reach no endpoint once ``engine`` has had a request."""
    endpoint = fleet.endpoints[0]
    monkeypatch.setattr(
        Forwarder,
        "is_partitioned",
        lambda self, service: self.entry == "gateway-1" and bool(endpoint.requests),
    )


def require_not_joined(stream: ReceivedStream) -> None:
    assert set(stream.versions) == {b"v2"}
    assert stream.last_id == EVENTS_BEFORE_BREAK


class TestForwarding:
    async def test_broken_stream_goes_on_at_the_listed_version_through_a_peer(
        self, nursery, tmp_path, monkeypatch
    ):
        """The peer did not find which process had begun it."""
        fleet = await start(nursery, tmp_path)
        cut_off_after_first_event(fleet, monkeypatch)
        with send_in_place(fleet.gateways[0]):
            stream = await begin(fleet.gateways[0])
        require_not_joined(stream)

    async def test_take_up_goes_on_at_the_listed_version_through_a_peer(
        self, fleet, monkeypatch
    ):
        """The gateway that knew the origin did not pass it on."""
        cut_off_after_first_event(fleet, monkeypatch)
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        await take_up(fleet.gateways[0], stream)
        require_not_joined(stream)


async def get_other_gateway(fleet: Fleet, is_killed: bool) -> RelayHarness:
    """Return a gateway that did not begin the streams, in place of all or beside."""
    if is_killed:
        return await fleet.restart_gateways(DEPLOYMENT)
    return fleet.gateways[1]


class TestTakeUp:
    @pytest.mark.parametrize("has_ended", [False, True])
    @pytest.mark.parametrize("is_killed", [False, True])
    async def test_stream_goes_on_at_the_listed_version_at_another_gateway(
        self, fleet, is_killed, has_ended
    ):
        """The gateway that sent its first events was killed, or is there."""
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        if has_ended:
            fleet.endpoints[0].stop()
        gateway = await get_other_gateway(fleet, is_killed)
        await take_up(gateway, stream)
        require_not_joined(stream)

    @pytest.mark.parametrize("is_killed", [False, True])
    async def test_origin_is_not_known_while_one_version_is_listed(
        self, fleet, is_killed
    ):
        """Only the gateway that sent its first events knew the connection."""
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        gateway = await get_other_gateway(fleet, is_killed)
        found = await gateway.relay.origins.find(stream.request_id)
        assert found.keepers_replied
        assert found.origin is not None
        assert found.connection.endpoint == IN_PLACE

    async def test_keepers_are_told_of_streams_that_nobody_may_take_up(
        self, nursery, tmp_path
    ):
        """Each stream costs two datagrams, which those of other routes do not need."""
        routes = (build_route(kind="stream"),)
        deployment = build_deployment(routes=routes)
        fleet = await start(nursery, tmp_path, deployment, breaks=False, stalls=True)
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        found = await fleet.gateways[1].relay.origins.find(stream.request_id)
        assert found.keepers_replied
        assert found.origin is None


class TestUnknownNames:
    @pytest.mark.parametrize("resumes", ["", "another"])
    async def test_take_up_that_names_no_known_request_goes_on_at_the_listed_version(
        self, fleet, resumes
    ):
        """The keepers were told of the stream, but cannot find it. That they do not
        know the name was taken for the proof that only one version had begun it."""
        await fleet.keeper.restart(STREAM_RETENTION_S)
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        await take_up(fleet.gateways[1], stream, X_Resumes=resumes)
        require_not_joined(stream)
        assert stream.refused

    async def test_caller_that_names_nothing_tries_again_at_once(self, fleet):
        """It would be refused until its deadline."""
        (route,) = DEPLOYMENT.routes
        request = build_request(X_Request_Id="r1", Last_Event_Id="3")
        answer = await fleet.gateways[1].send(request)
        assert answer.startswith(b"HTTP/1.1 503")
        assert float(get_value(answer, b"retry-after")) > 0.9 * route.timeout_ms / 1000


@pytest.fixture
async def known_fleet(fleet) -> Fleet:
    """A fleet whose keeper has run for long."""
    await fleet.keeper.restart(RELEARNING_S)
    return fleet


async def begin_as(gateway: RelayHarness, request_id: str) -> ReceivedStream:
    """Begin a stream by a request with this ID."""
    stream = ReceivedStream(request_id)
    request = build_request(X_Request_Id=request_id)
    stream.receive(await receive(gateway, request, EVENTS_BEFORE_BREAK))
    return stream


def lose_origins(patch: pytest.MonkeyPatch) -> None:
    """Let no state member get what gateways tell it."""
    patch.setattr(StreamOriginDirectory, "_tell", lambda self, origin: ())


async def begin_at(
    fleet: Fleet, number: int, version: bytes, request_id: str = ""
) -> ReceivedStream:
    """Begin a stream through the first gateway at an endpoint that has announced."""
    view = fleet.gateways[0].relay.cluster_view
    kept = fleet.endpoints[number].name
    others = {
        name: view.endpoints.pop(name) for name in list(view.endpoints) if name != kept
    }
    if request_id:
        stream = await begin_as(fleet.gateways[0], request_id)
    else:
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
    view.endpoints.update(others)
    assert set(stream.versions) == {version}
    return stream


class TestUnnamedStreams:
    """Callers take streams up, and do not name the request that began them."""

    async def test_stream_is_refused_though_its_request_is_known(self, known_fleet):
        """Nothing that clients of some platforms send names a stream."""
        stream = await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        assert set(stream.versions) == {b"v1"}
        assert stream.is_complete

    async def test_stream_is_refused_through_a_peer(self, known_fleet, monkeypatch):
        """The peer was told the ID of the take-up, by which nobody finds a stream."""
        stream = await begin_at(known_fleet, 1, b"v1")
        monkeypatch.setattr(
            Forwarder, "is_partitioned", lambda self, service: self.entry == "gateway-1"
        )
        await take_up(known_fleet.gateways[0], stream, X_Resumes="")
        assert set(stream.versions) == {b"v1"}
        assert stream.is_complete

    async def test_stream_goes_on_at_the_version_of_another_caller(self, known_fleet):
        """Both sent the same request."""
        await announce(known_fleet)
        await trio.sleep(HEARD_S)
        streams = [
            await begin_at(known_fleet, 1, b"v1"),
            await begin_at(known_fleet, 0, b"v2"),
        ]
        for stream in streams:
            await take_up(known_fleet.gateways[1], stream, X_Resumes="")
            assert stream.refused
            assert len(set(stream.versions)) == 1

    async def test_stream_is_refused_for_one_of_its_version(self, known_fleet):
        first, second = [await begin_at(known_fleet, 1, b"v1") for _ in range(2)]
        await take_up(known_fleet.gateways[1], first, X_Resumes="")
        await take_up(known_fleet.gateways[1], second, X_Resumes="")
        assert first.is_complete
        assert second.is_complete

    async def test_stream_of_an_unannounced_process_goes_on_for_another_one(
        self, known_fleet
    ):
        """The process of one of two was known, which was taken for that of both."""
        stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)
        assert stream.refused

    async def test_stream_is_unknown_where_it_began(self, known_fleet, monkeypatch):
        """The members had not got what they were told, and the gateway did not look
        into its own memory."""
        with monkeypatch.context() as patch:
            lose_origins(patch)
            stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[0], stream, X_Resumes="")
        require_not_joined(stream)

    async def test_stream_of_a_request_without_an_id_is_not_recorded(self, known_fleet):
        gateway = known_fleet.gateways[0]
        stream = ReceivedStream("")
        with send_in_place(gateway):
            answer = await receive(gateway, build_request(), EVENTS_BEFORE_BREAK)
        stream.receive(answer)
        await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)

    async def test_stream_that_nobody_knows_goes_on_at_a_new_gateway(
        self, known_fleet, monkeypatch
    ):
        """A gateway that started lately reckons with those of the version before."""
        with monkeypatch.context() as patch:
            lose_origins(patch)
            stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)
        assert stream.refused

    async def test_gateway_of_the_version_before_was_replaced(
        self, known_fleet, monkeypatch
    ):
        """It had told nobody what its streams asked for, and was not listed any more
        when the one started at which the caller came back."""
        await announce(known_fleet)
        await trio.sleep(HEARD_S)
        record = StreamOriginDirectory.record

        def record_without_content(self, *args):
            return record(self, *args[:-1])

        with monkeypatch.context() as patch:
            patch.setattr(StreamOriginDirectory, "record", record_without_content)
            stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)

    async def test_caller_begins_again_at_a_gateway_that_is_cut_off(
        self, known_fleet, monkeypatch
    ):
        """Its first stream was told to the members, and the second one to nobody."""
        await begin_at(known_fleet, 1, b"v1")
        with monkeypatch.context() as patch:
            lose_origins(patch)
            stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)

    async def test_caller_comes_back_long_after_its_keepers_were_restarted(
        self, known_fleet
    ):
        """Meanwhile another stream of the same request began."""
        stream = await begin_in_place(known_fleet.gateways[0], b"v2")
        await known_fleet.keeper.restart(RELEARNING_S)
        await begin_at(known_fleet, 1, b"v1")
        await take_up(known_fleet.gateways[1], stream, X_Resumes="")
        require_not_joined(stream)

    @pytest.mark.parametrize("resumes", ["", "first"])
    async def test_two_streams_have_the_same_request_id(self, known_fleet, resumes):
        """The origin of the second one was dropped."""
        await begin_at(known_fleet, 1, b"v1", "first")
        gateway = known_fleet.gateways[1]
        with send_in_place(gateway):
            stream = await begin_as(gateway, "first")
        await take_up(known_fleet.gateways[0], stream, X_Resumes=resumes)
        require_not_joined(stream)

    async def test_stream_that_lasts_is_forgotten(
        self, known_fleet, nursery, monkeypatch
    ):
        """The stream of another caller with the same request was taken for it."""
        gateway = known_fleet.gateways[0]
        monkeypatch.setattr(stream_version, "TELL_INTERVAL_S", 0.1)
        nursery.start_soon(stream_version.tell_running_streams, gateway.relay)
        async with await gateway.connect() as connection:
            await connection.send_all(build_request(X_Request_Id="r1"))
            await connection.receive_some()
            await known_fleet.keeper.restart()
            await trio.sleep(HEARD_S)
            found = await known_fleet.gateways[1].relay.origins.find("r1")
        assert found.origin is not None


class TestKeepers:
    async def test_stream_goes_on_after_its_keepers_were_restarted(self, fleet):
        """They replied that they did not know it, which was taken for the proof that
        no other version had begun it."""
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        await fleet.keeper.restart()
        await take_up(fleet.gateways[1], stream)
        require_not_joined(stream)
        assert stream.refused

    async def test_stream_is_refused_where_it_began(self, fleet):
        """The gateway that sent its first events needs no keeper."""
        gateway = fleet.gateways[0]
        gateway.relay.cluster_view.endpoints.pop(IN_PLACE)
        stream = await begin(gateway, EVENTS_BEFORE_BREAK)
        await fleet.keeper.restart()
        await take_up(gateway, stream)
        assert set(stream.versions) == {b"v1"}
        assert stream.is_complete

    async def test_stream_that_began_after_the_restart_is_refused(self, fleet):
        """The keepers were told of it, though they have kept origins for a moment."""
        gateway = fleet.gateways[0]
        await fleet.keeper.restart()
        stream = await begin_in_place(gateway, b"v2")
        found = await fleet.gateways[1].relay.origins.find(stream.request_id)
        assert found.connection.endpoint == IN_PLACE

    async def test_stream_goes_on_though_no_keeper_replies(self, fleet):
        """The cluster view was fresh, which tells nothing of unannounced processes."""
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        fleet.keeper.stop()
        await take_up(fleet.gateways[1], stream)
        require_not_joined(stream)
        assert stream.refused

    async def test_stream_of_a_gateway_that_is_cut_off_from_the_keepers_goes_on(
        self, fleet, monkeypatch
    ):
        """What it told them was lost, and they replied that they were told nothing."""
        await fleet.keeper.restart(STREAM_RETENTION_S)
        first = fleet.gateways[0]
        monkeypatch.setattr(StreamOriginDirectory, "_tell", lambda self, origin: None)
        stream = await begin_in_place(first, b"v2")
        await take_up(fleet.gateways[1], stream)
        require_not_joined(stream)
        assert stream.refused
