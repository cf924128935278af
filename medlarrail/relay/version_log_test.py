"""Tests that the log tells who took which version for that of a stream, and why.

Streams of two software versions were joined, and no line told whether the version was
proven, by what, or which process had answered.
"""

import pytest
import trio

from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.errors import PeerTimeout, UnknownRoute
from medlarrail.policy.stream_versions import is_never_told
from medlarrail.relay import stream_origins
from medlarrail.relay.ended_endpoints_test import send_rest
from medlarrail.relay.incomplete_answers_test import call
from medlarrail.relay.replaced_processes_test import (
    DEPLOYMENT,
    FIRST,
    FIRST_LONG_AGO,
    SECOND,
    TAKE_UP,
    add,
    fail_calls,
    set_sightings,
)
from medlarrail.relay.restarted_endpoints_test import (
    DEPLOYMENT as REPORTING_DEPLOYMENT,
)
from medlarrail.relay.restarted_endpoints_test import (
    STARTED_MS,
    StartHeaderCodec,
    add_endpoint,
    reset_after_an_event,
)
from medlarrail.relay.stream_origins import FoundOrigin, StreamOriginDirectory
from medlarrail.relay.stream_versions_test import EVENTS_BEFORE_BREAK, begin, take_up
from medlarrail.relay.taken_up_streams_test import HEARD_S, IN_PLACE, begin_in_place
from medlarrail.relay.unrecorded_streams_test import start
from medlarrail.testing.fleet import Fleet
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    build_request,
    build_script,
    start_relay,
)


@pytest.fixture
async def fleet(nursery, tmp_path) -> Fleet:
    """Endpoints at which streams that begin stand still."""
    return await start(nursery, tmp_path, breaks=False, stalls=True)


class TestEvidence:
    """``stream_evidence`` of ``request:attempt``."""

    @pytest.fixture
    async def harness(self, nursery):
        harness = await start_relay(nursery, DEPLOYMENT)
        harness.relay.cluster_view.confirmed_at = trio.current_time()
        harness.relay.origins.record("r0", "guide", "v1")
        return harness

    async def list_evidence(self, harness, request) -> list[str]:
        with collect_messages("request:attempt") as attempts:
            await call(harness, request)
        return [one["stream_evidence"] for one in attempts]

    async def test_announced_version_looks_like_a_proven_one(self, harness):
        """The first attempt assumes it, the second one has asked."""
        script = build_script(reset_after_an_event, send_rest)
        for _ in range(2):
            await add(harness, script)
        found = await self.list_evidence(harness, build_request())
        assert found == ["announced", "announcements"]

    async def test_recorded_version_looks_like_a_proven_one(self, harness):
        """The program that told it does not know of connections."""
        await add(harness)
        assert await self.list_evidence(harness, TAKE_UP) == ["recorded"]

    async def test_proven_origin_looks_like_an_assumption(self, harness):
        await add(harness)
        harness.relay.origins.record("r0", "guide", "v1", proven=True)
        assert await self.list_evidence(harness, TAKE_UP) == ["origin"]

    async def test_only_listed_version_looks_like_a_proven_one(
        self, harness, monkeypatch
    ):
        """The members that would know of the stream do not, and an entry of the version
        before is listed."""
        await add(harness)
        older = RegisteredEntry("older", "", "leith")
        harness.relay.cluster_view.entries = (older,)

        async def find(self, request_id):
            return FoundOrigin(None, keepers_replied=True, never_told=True)

        monkeypatch.setattr(StreamOriginDirectory, "find", find)
        assert await self.list_evidence(harness, TAKE_UP) == ["listed"]

    async def test_attempt_does_not_tell_which_process_answered(self, nursery):
        """Its report told the start."""
        harness = await start_relay(nursery, REPORTING_DEPLOYMENT, StartHeaderCodec())
        harness.relay.origins.record("r0", "guide", "")
        await add_endpoint(harness, STARTED_MS)
        with collect_messages("request:attempt") as attempts:
            await call(harness, TAKE_UP)
        assert [one["told_started_ms"] for one in attempts] == [STARTED_MS]

    async def test_time_of_the_sending_is_not_known(self, harness):
        """It is needed to tell which process had the connection."""
        delay_s = 0.2

        async def answer_late(connection, request):
            await trio.sleep(delay_s)
            await reset_after_an_event(connection, request)

        script = build_script(answer_late, send_rest)
        for _ in range(2):
            await add(harness, script)
        with collect_messages("request:attempt") as attempts:
            await call(harness, build_request())
        first, second = attempts
        assert first["sent_ms"] < 1000 * delay_s <= second["sent_ms"]
        assert second["sent_ms"] <= second["total_ms"]


class TestRefusal:
    """``stream:version`` and ``endpoint:incarnation`` of refused streams."""

    @pytest.mark.parametrize(
        "sightings, outcome, reason, started_ms",
        [
            ((FIRST,), "known", "", 1000),
            ((FIRST_LONG_AGO,), "unknown", "none heard", None),
            ((FIRST, SECOND), "unknown", "several heard", None),
        ],
    )
    async def test_lookup_has_no_reason_and_names_no_request(
        self, nursery, sightings, outcome, reason, started_ms
    ):
        harness = await start_relay(nursery, DEPLOYMENT)
        harness.relay.origins.record("r0", "guide", "v1")
        await add(harness)
        set_sightings(harness, "engine-1", *sightings)
        request = build_request(
            Last_Event_Id="1", X_Resumes="r0", X_Request_Id="r-asks"
        )
        with collect_messages("endpoint:incarnation") as lookups:
            await call(harness, request)
        (lookup,) = lookups
        assert lookup["request"] == "r-asks"
        assert (lookup["outcome"], lookup["reason"]) == (outcome, reason)
        assert lookup["started_ms"] == started_ms
        assert lookup["open_for_s"] is None

    @pytest.mark.parametrize(
        "error, reason",
        [
            (None, "process unknown"),
            (PeerTimeout(url="x"), "leader unanswered"),
            (UnknownRoute(path="x"), "leader of an older version"),
        ],
    )
    async def test_version_has_no_reason(self, nursery, error, reason):
        harness = await start_relay(nursery, DEPLOYMENT)

        async def break_off(connection, request):
            set_sightings(harness, connection.endpoint.name)
            if error is not None:
                fail_calls(harness, error)
            await reset_after_an_event(connection, request)

        await add(harness, break_off)
        await add(harness, break_off)
        with collect_messages("stream:version") as proofs:
            await call(harness, build_request())
        assert (proofs[0]["proven"], proofs[0]["reason"]) == (False, reason)
        assert proofs[0]["started_ms"] is None

    async def test_proven_version_names_no_process(self, fleet):
        stream = await begin_in_place(fleet.gateways[0], b"v2")
        heard = fleet.announcements[IN_PLACE].started_ms
        with collect_messages("stream:version") as proofs:
            fleet.silent.discard(IN_PLACE)
            await trio.sleep(HEARD_S)
            await take_up(fleet.gateways[1], stream)
        assert [(one["proven"], one["started_ms"]) for one in proofs] == [(True, heard)]


class TestKeepers:
    """``told_keepers`` of ``request:attempt`` and ``keepers`` of ``stream:resumed``."""

    async def take_up(self, fleet: Fleet, stream) -> dict:
        with collect_messages("stream:resumed") as resumed:
            await take_up(fleet.gateways[1], stream)
        return resumed[-1]

    async def test_gateway_that_begins_and_one_that_asks_name_no_keeper(self, fleet):
        with collect_messages("request:attempt") as attempts:
            stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
            await trio.sleep(HEARD_S)
        resumed = await self.take_up(fleet, stream)
        told = attempts[0]["told_keepers"]
        assert attempts[0]["outcome"] == "abandoned"
        assert len(told) > 0
        assert set(resumed["keepers"]) == set(told)
        assert "known" in resumed["keepers"].values()
        assert resumed["reason"] == ""

    async def test_restarted_keeper_looks_like_one_that_does_not_reply(self, fleet):
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        await fleet.keeper.restart()
        resumed = await self.take_up(fleet, stream)
        assert set(resumed["keepers"].values()) == {"forgotten"}

    async def test_silent_keeper_looks_like_one_that_does_not_know(self, fleet):
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        fleet.keeper.stop()
        resumed = await self.take_up(fleet, stream)
        assert set(resumed["keepers"].values()) == {"unanswered"}
        assert not resumed["keepers_replied"]


class TestUnknownOrigin:
    @pytest.mark.parametrize(
        "is_there, kept_for_s, reason",
        [
            (True, 60.0, "not recorded"),
            (True, 1.0, "forgotten"),
            (False, 60.0, "no keeper replied"),
        ],
    )
    async def test_unknown_version_has_no_reason(
        self, nursery, tmp_path, monkeypatch, is_there, kept_for_s, reason
    ):
        """Two versions are listed, and nobody knows of the stream."""
        monkeypatch.setattr(
            stream_origins,
            "is_never_told",
            lambda told_s: is_never_told(kept_for_s),
        )
        fleet = await start(nursery, tmp_path, breaks=False, stalls=True)
        await fleet.add_endpoint("other-3", fleet.endpoints[1].script, "v2")
        await fleet.wait_for_endpoints(4)
        stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
        if is_there:
            await fleet.keeper.restart()
        else:
            fleet.keeper.stop()
        with collect_messages("stream:resumed") as resumed:
            await take_up(fleet.gateways[1], stream)
        assert stream.refused
        assert [one["reason"] for one in resumed] == [reason]


class TestAbandonedAttempt:
    async def test_events_that_a_caller_got_before_it_left_are_not_logged(self, fleet):
        """The attempt had no line, so its events could not be traced to an endpoint."""
        with collect_messages("request:attempt") as attempts:
            stream = await begin(fleet.gateways[0], EVENTS_BEFORE_BREAK)
            await trio.sleep(HEARD_S)
        (attempt,) = [one for one in attempts if one["request"] == stream.request_id]
        assert attempt["outcome"] == "abandoned"
        events = (attempt["first_event"], attempt["last_event"])
        assert events == ("1", str(EVENTS_BEFORE_BREAK))

    async def test_attempt_that_the_deadline_ends_is_not_logged(self, nursery):
        harness = await start_relay(nursery, DEPLOYMENT)
        await add(harness, send_nothing)
        request = build_request(X_Deadline_Ms="300")
        with collect_messages("request:attempt") as attempts:
            await call(harness, request)
        assert [one["outcome"] for one in attempts] == ["stopped"]


async def send_nothing(connection, request):
    await trio.sleep_forever()
