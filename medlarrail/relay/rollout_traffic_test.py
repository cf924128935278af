"""Tests of a gateway's requests during a software rollout.

``may_use_target``, ``get_route_ratio`` and ``is_locally_bad`` are replaced by simple
ones: the tests here are of what the gateway does by their decisions.
"""

from collections.abc import Callable

import pytest
import trio
import trio.testing
from attrs import define, evolve, field

from medlarrail.core.deployment import Deployment, EngineSpec, ServiceRule
from medlarrail.core.errors import PeerTimeout
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import (
    LATENCY_BOUNDS_MS,
    RolloutCounts,
    RolloutReport,
    SoftwareRollout,
    SoftwareRolloutPolicy,
)
from medlarrail.policy import software_rollout
from medlarrail.policy.software_rollout import MAX_VIEW_AGE_S
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.software_rollouts import REPORTS_PATH
from medlarrail.relay.divided_room import DividedRoom
from medlarrail.relay.ended_endpoints_test import send_rest
from medlarrail.relay.forwarding import Forwarder
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.metadata import InboundRequest, PromptPart, RequestMetadata
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.outbound_connection import OutboundConnection
from medlarrail.relay.relayed_request import RelayedRequest
from medlarrail.relay.request_forwarding import RequestForwarding
from medlarrail.relay.request_relay import RetryPolicy
from medlarrail.relay.restarted_endpoints_test import StartHeaderCodec
from medlarrail.relay.rollout_counts import get_latency_class
from medlarrail.relay.rollout_reporter import MIN_INTERVAL_S
from medlarrail.relay.rollout_traffic import RolloutTraffic
from medlarrail.relay.service_rollout import MAX_LOGGED_CHANGES, ServiceRollout
from medlarrail.relay.stream_versions_test import ReceivedStream, VersionScript
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    HOST,
    STATUS_PATH,
    RelayHarness,
    Script,
    ScriptedConnection,
    answer_ok,
    build_answer,
    build_request,
    get_value,
    start_relay,
)

POLICY = SoftwareRolloutPolicy(exposure_ratio=0.1, exposure_slack=50)
STARTED_MS = 5_000
ROLLOUT = SoftwareRollout("guide", "v2", 12_000, STARTED_MS, replaced=("v1",))
FULL = evolve(ROLLOUT, stage="full")
ROLLED_BACK = evolve(ROLLOUT, state="rolled_back")
COMPLETED = evolve(FULL, state="completed")
ONCE = build_deployment(routes=(build_route(kind="once", max_attempts=1),))
REPEATED = build_deployment(routes=(build_route(max_attempts=3),))
STREAM = build_deployment(
    routes=(build_route(kind="stream", resumable=True, max_attempts=3),)
)
LOCALLY_BAD = 5
"""Failures from which on the stand-in takes a target for bad."""
REQUESTS = 200


def may_use_target(traffic, policy):
    """Allow a share of the requests without any slack."""
    if traffic.view_age_s > MAX_VIEW_AGE_S:
        return False
    if traffic.stage == "full":
        return True
    return traffic.sent_to_target + 1 <= policy.exposure_ratio * (traffic.sent + 1)


def is_locally_bad(counts):
    """Judge by a number of failures."""
    return sum(item.failures for item in counts if item.is_target) >= LOCALLY_BAD


@pytest.fixture(autouse=True)
def decisions(monkeypatch):
    """Use the simple decisions."""
    monkeypatch.setattr(software_rollout, "may_use_target", may_use_target)
    monkeypatch.setattr(software_rollout, "get_route_ratio", lambda *_: 1.0)
    monkeypatch.setattr(software_rollout, "is_locally_bad", is_locally_bad)


def allow_all(monkeypatch):
    """Draw each request for the target."""
    monkeypatch.setattr(software_rollout, "may_use_target", lambda *_: True)


async def fail(connection: ScriptedConnection, request: bytes) -> None:
    await connection.send(build_answer(request, b"bad", b"500 Error"))


async def reject(connection: ScriptedConnection, request: bytes) -> None:
    await connection.send(build_answer(request, b"", b"503 Full", X_Not_Run="1"))


async def misdirect(connection: ScriptedConnection, request: bytes) -> None:
    await connection.send(build_answer(request, b"", b"421 Other", X_Endpoint="other"))


async def answer_late(connection: ScriptedConnection, request: bytes) -> None:
    await trio.sleep(0.1)
    await connection.send(build_answer(request))


@define(eq=False)
class Site:
    """A gateway with endpoints of several versions."""

    harness: RelayHarness
    versions: dict[str, str] = field(factory=dict)
    """Software version of each endpoint."""

    @property
    def traffic(self) -> RolloutTraffic:
        return self.harness.relay.rollouts

    @property
    def rollout(self) -> ServiceRollout:
        return self.traffic.find("guide")

    async def add(self, script: Script, version: str, count: int = 1, **changes):
        for _ in range(count):
            endpoint = await self.harness.add(
                script, software_version=version, slots=32, **changes
            )
            self.versions[endpoint.name] = version

    def order(self, rollout: SoftwareRollout) -> None:
        """Apply a record as the state members list it, confirmed just now."""
        cluster_view = self.harness.relay.cluster_view
        cluster_view.confirmed_at = cluster_view.clock() + 1000
        cluster_view._apply_rollouts((rollout,))

    def make_view_old(self) -> None:
        cluster_view = self.harness.relay.cluster_view
        cluster_view.confirmed_at = cluster_view.clock() - MAX_VIEW_AGE_S - 0.1

    async def send(self, count: int = REQUESTS, begin: int = 0) -> list[int]:
        """Send requests one after the other; return the statuses."""
        statuses = []
        for number in range(begin, begin + count):
            answer = await self.harness.send(
                build_request(X_Request_Id=f"r{number}", method="POST", body=b"s")
            )
            statuses.append(int(answer.split()[1]))
        return statuses

    async def send_at_once(self, count: int = REQUESTS) -> None:
        async with trio.open_nursery() as callers:
            for number in range(count):
                request = build_request(X_Request_Id=f"r{number}")
                callers.start_soon(self.harness.send, request)

    def list_requests(self, version: str) -> list[bytes]:
        """Return the IDs of the requests that reached a version."""
        return [
            get_value(request, b"x-request-id")
            for endpoint in self.harness.endpoints
            if self.versions[endpoint.name] == version
            for request in endpoint.requests
        ]

    def count(self, version: str) -> int:
        return len(self.list_requests(version))

    def list_used(self, version: str) -> set[str]:
        """Return the endpoints of a version that got requests."""
        return {
            endpoint.name
            for endpoint in self.harness.endpoints
            if endpoint.requests and self.versions[endpoint.name] == version
        }

    def get_counts(self, is_target: bool) -> RolloutCounts:
        """Return the counts of the only route."""
        (counts,) = [
            item
            for item in self.rollout.counts.list_counts()
            if item.is_target is is_target
        ]
        return counts


async def start_site(
    nursery: trio.Nursery,
    deployment: Deployment = REPEATED,
    old: Script = answer_ok,
    new: Script = answer_ok,
    rollout: SoftwareRollout | None = ROLLOUT,
    counts: tuple[int, int] = (4, 2),
    codec=None,
) -> Site:
    """Start a gateway with endpoints of versions 1 and 2, by default under trial."""
    harness = await start_relay(nursery, deployment, codec)
    harness.relay.retries = RetryPolicy(slack=1000.0)
    harness.relay.enable_rollouts(POLICY)
    site = Site(harness)
    await site.add(old, "v1", counts[0])
    await site.add(new, "v2", counts[1], started_ms=2000)
    if rollout is not None:
        site.order(rollout)
    return site


class TestTrial:
    async def test_the_target_gets_more_than_its_share(self, nursery):
        site = await start_site(nursery)
        assert set(await site.send()) == {200}
        assert 0.08 * REQUESTS <= site.count("v2") <= 0.1 * REQUESTS
        assert (site.rollout.sent, site.rollout.sent_to_target) == (
            REQUESTS,
            site.count("v2"),
        )

    async def test_requests_at_the_same_time_exceed_the_share(self, nursery):
        """They were drawn before any of them was counted."""
        site = await start_site(nursery, old=answer_late, new=answer_late)
        await site.send_at_once(100)
        assert 0 < site.count("v2") <= 10
        assert site.rollout.sent == 100

    async def test_failing_requests_that_are_repeated_exceed_the_share(self, nursery):
        """Each send to the target counts, and those that failed were repeated."""
        site = await start_site(nursery, new=reject)
        assert set(await site.send()) == {200}
        sent = site.count("v1") + site.count("v2")
        assert site.rollout.sent == sent > REQUESTS
        assert 0 < site.count("v2") <= 0.1 * sent

    async def test_requests_that_were_never_sent_use_up_the_share(
        self, nursery, monkeypatch
    ):
        """Their callers left while they waited for a connection."""
        allow_all(monkeypatch)

        async def acquire(*_):
            await trio.sleep_forever()

        monkeypatch.setattr(OutboundPool, "acquire", acquire)
        site = await start_site(nursery)
        async with await site.harness.connect() as stream:
            await stream.send_all(build_request())
            await trio.sleep(0.1)
            assert site.rollout.sent_to_target == 1
        await trio.sleep(0.1)
        assert (site.rollout.sent, site.rollout.sent_to_target) == (0, 0)

    async def test_a_rare_route_shows_nothing_of_the_target(self, nursery, monkeypatch):
        """A version that is bad on that route only would be completed."""
        monkeypatch.undo()
        rollout = (await start_site(nursery)).rollout
        for number in range(1000):
            route = "rare" if number % 20 == 0 else "frequent"
            if not rollout.reserve(route):
                rollout.record_sent(route, is_target=False)
        assert rollout.sent_to_target <= 0.1 * 1000
        assert rollout._target_by_route["rare"] >= 15

    async def test_the_load_of_the_target_is_thin(self, nursery, monkeypatch):
        """Spread over as many endpoints as the other version has, a version that is
        bad under load only would not show it; all gateways use the same endpoints."""
        allow_all(monkeypatch)
        used = []
        for _ in range(2):
            site = await start_site(nursery, counts=(20, 6))
            await site.send(20)
            used.append(site.list_used("v2"))
        assert len(used[0]) == 2
        assert used[0] == used[1]

    async def test_target_endpoints_that_can_not_be_reached_cost_requests(
        self, nursery
    ):
        """They did not come up: the other version serves."""
        site = await start_site(nursery)
        for endpoint in site.harness.endpoints[4:]:
            endpoint.stop()
        await trio.testing.wait_all_tasks_blocked()
        with collect_messages("request:attempt") as attempts:
            assert set(await site.send(50)) == {200}
        tried = [item for item in attempts if item["endpoint"] == "engine-5"]
        tried += [item for item in attempts if item["endpoint"] == "engine-6"]
        assert len(tried) <= 10
        assert site.rollout.sent_to_target == 0
        assert site.rollout.sent == site.count("v1") == 50

    async def test_a_third_version_loses_its_requests(self, nursery):
        site = await start_site(nursery, counts=(1, 1))
        await site.add(answer_ok, "v0", 2, started_ms=500)
        site.traffic.sightings.refresh()
        await trio.sleep(1.05)
        await site.send(30)
        assert site.count("v0") > 0
        assert site.get_counts(False).answers == site.count("v1")


class TestMovedRequests:
    @pytest.mark.parametrize("script", [reject, misdirect])
    async def test_a_once_only_request_is_moved(self, nursery, monkeypatch, script):
        """It was rejected, so it may be sent again, but not to another version."""
        allow_all(monkeypatch)
        site = await start_site(nursery, ONCE, new=script)
        assert await site.send(1) != [200]
        assert site.count("v1") == 0 < site.count("v2")

    async def test_a_once_only_request_of_the_old_version_is_moved(self, nursery):
        site = await start_site(nursery, ONCE, old=reject)
        statuses = await site.send(50)
        assert statuses.count(200) == site.count("v2")
        assert not set(site.list_requests("v1")) & set(site.list_requests("v2"))

    async def test_a_once_only_request_is_moved_by_the_verdict(
        self, nursery, monkeypatch
    ):
        allow_all(monkeypatch)

        async def reject_at_verdict(connection, request):
            site.order(ROLLED_BACK)
            await reject(connection, request)

        site = await start_site(nursery, ONCE, new=reject_at_verdict)
        assert await site.send(1) != [200]
        assert site.count("v2") == 1
        assert site.count("v1") == 0

    async def test_a_once_only_request_is_moved_by_the_order(
        self, nursery, monkeypatch
    ):
        """It was sent and rejected before the order arrived."""
        allow_all(monkeypatch)

        async def reject_at_order(connection, request):
            site.order(ROLLOUT)
            await reject(connection, request)

        site = await start_site(nursery, ONCE, old=reject_at_order, rollout=None)
        assert await site.send(1) != [200]
        assert site.count("v1") > 0 == site.count("v2")

    async def test_a_waiting_request_goes_to_the_version_that_is_replaced(
        self, nursery
    ):
        """It was drawn in the first stage, but was not sent yet."""
        site = await start_site(nursery)
        relay = site.harness.relay
        request = InboundRequest(
            b"GET", b"/ask/1", "tickets.example", (), b"", trio.current_time()
        )
        exchange = ServerExchange(None, request)
        admission = relay.table.admit(request.host, request.path, "key-1")
        relayed = RelayedRequest(relay, exchange, RequestMetadata(), admission)
        versions = []
        for rollout in (ROLLOUT, FULL):
            site.order(rollout)
            versions.append(relayed.chooser.choose().endpoint.announced)
        assert [item.software_version for item in versions] == ["v1", "v2"]
        relayed.version_choice.release()
        assert (site.rollout.sent, site.rollout.sent_to_target) == (0, 0)

    async def test_a_once_only_request_is_carried_to_another_version(
        self, nursery, monkeypatch
    ):
        """Another gateway would draw it anew."""
        allow_all(monkeypatch)
        site = await start_site(nursery, ONCE, new=reject)
        offered = []

        async def forward(self, names):
            offered.append(names)
            return False

        def is_partitioned(self, service):
            return site.count("v2") > 0

        monkeypatch.setattr(RequestForwarding, "_forward", forward)
        monkeypatch.setattr(Forwarder, "is_partitioned", is_partitioned)
        await site.send(1)
        assert site.count("v2") > 0
        assert not offered

    @pytest.mark.parametrize("script", [fail, reject, misdirect])
    async def test_a_request_that_may_be_repeated_fails_at_the_target(
        self, nursery, monkeypatch, script
    ):
        allow_all(monkeypatch)
        site = await start_site(nursery, new=script, counts=(4, 40))
        statuses = await site.send(LOCALLY_BAD)
        assert set(statuses) == {200}
        assert site.count("v2") == LOCALLY_BAD

    async def test_a_repeated_request_goes_to_the_target_without_a_draw(self, nursery):
        site = await start_site(nursery, old=fail)
        await site.send(50)
        assert not set(site.list_requests("v1")) & set(site.list_requests("v2"))

    async def test_retries_to_the_other_version_exceed_their_budget(
        self, nursery, monkeypatch
    ):
        allow_all(monkeypatch)
        monkeypatch.setattr(software_rollout, "is_locally_bad", lambda counts: False)
        site = await start_site(nursery, new=fail)
        site.harness.relay.retries = RetryPolicy(10.0, ratio=0.2, slack=2.0)
        statuses = await site.send(50)
        assert statuses.count(200) == site.count("v1")
        assert 0 < site.count("v1") <= 0.2 * 50 + 2

    async def test_a_cold_target_exceeds_its_rate(self, nursery, monkeypatch):
        """The others serve what was drawn for it."""
        allow_all(monkeypatch)
        service = ServiceRule("guide", cold_s=5.0, cold_per_s=2.0)
        deployment = evolve(REPEATED, services=(service,))
        site = await start_site(nursery, deployment, counts=(4, 1))
        cluster_view = site.harness.relay.cluster_view
        cluster_view.entries_settled = True
        cluster_view.endpoints["engine-5"].cold_until = cluster_view.clock() + 60
        statuses = await site.send(30)
        assert set(statuses) == {200}
        assert 0 < site.count("v2") <= 2


class TestVerdict:
    async def test_requests_go_to_a_target_that_was_rolled_back(self, nursery):
        site = await start_site(nursery)
        await site.send(50)
        sent = site.count("v2")
        site.order(ROLLED_BACK)
        assert set(await site.send(50)) == {200}
        assert site.count("v2") == sent > 0

    async def test_requests_go_to_a_version_that_was_replaced(self, nursery):
        site = await start_site(nursery)
        await site.send(50)
        site.order(FULL)
        sent = site.count("v1")
        assert set(await site.send(50)) == {200}
        site.order(COMPLETED)
        assert set(await site.send(50)) == {200}
        assert site.count("v1") == sent

    async def test_a_later_release_is_excluded(self, nursery):
        site = await start_site(nursery, rollout=COMPLETED, counts=(2, 1))
        await site.add(answer_ok, "v3", 1, started_ms=9000)
        site.traffic.sightings.refresh()
        await trio.sleep(1.05)
        await site.send(20)
        assert site.count("v1") == 0
        assert site.count("v2") > 0 < site.count("v3")

    async def test_a_verdict_is_overtaken_by_an_older_record(self, nursery):
        site = await start_site(nursery, rollout=ROLLED_BACK)
        assert not site.rollout.is_running
        site.harness.relay.cluster_view.rollouts["guide"] = FULL
        assert set(await site.send(20)) == {200}
        assert site.count("v2") == 0

    async def test_a_request_that_waits_for_a_connection_outlasts_the_verdict(
        self, nursery, monkeypatch
    ):
        """It was drawn and its endpoint chosen before the target was rolled back."""
        allow_all(monkeypatch)
        site = await start_site(nursery)
        site.harness.relay.pool = SlowPool(notify=lambda: site.order(ROLLED_BACK))
        assert await site.send(1) == [200]
        assert site.count("v2") == 0
        assert (site.rollout.sent, site.rollout.sent_to_target) == (1, 0)

    async def test_another_order_goes_on_with_the_counts_of_the_one_before(
        self, nursery
    ):
        site = await start_site(nursery)
        await site.send(50)
        site.order(ROLLED_BACK)
        site.order(evolve(ROLLOUT, started_ms=STARTED_MS + 1))
        assert (site.rollout.sent, site.rollout.counts.list_counts()) == (0, ())
        await site.send(50)
        assert 0 < site.rollout.sent_to_target <= 5


@define(eq=False)
class SlowPool(OutboundPool):
    """Calls ``notify`` while the first connection is opened."""

    notify: Callable[[], None] | None = None

    async def acquire(
        self, address: str, new_connection: bool, limit: int | None = None
    ) -> OutboundConnection:
        if self.notify is not None:
            self.notify()
            self.notify = None
        return await super().acquire(address, new_connection, limit)


class TestOldView:
    @pytest.mark.parametrize("rollout", [ROLLOUT, FULL])
    async def test_a_gateway_without_a_leader_uses_the_target(self, nursery, rollout):
        """The target may have been rolled back."""
        site = await start_site(nursery, rollout=rollout)
        site.make_view_old()
        assert set(await site.send(50)) == {200}
        assert site.count("v2") == 0
        site.order(rollout)
        assert set(await site.send(50)) == {200}
        assert site.count("v2") > 0

    @pytest.mark.parametrize("rollout", [ROLLOUT, FULL])
    async def test_a_gateway_that_wakes_up_sends_what_it_had_chosen(
        self, nursery, monkeypatch, rollout
    ):
        """It was suspended between the choice and the sending, across the verdict."""
        allow_all(monkeypatch)
        site = await start_site(nursery, rollout=rollout)
        site.harness.relay.pool = SlowPool(notify=site.make_view_old)
        assert await site.send(1) == [200]
        assert site.count("v2") == 0
        assert site.rollout.sent_to_target == 0

    async def test_changes_of_the_view_fill_the_log(self, nursery):
        site = await start_site(nursery)
        with collect_messages("rollout:target-use") as messages:
            for _ in range(3 * MAX_LOGGED_CHANGES):
                site.make_view_old()
                site.rollout.update_use()
                site.order(ROLLOUT)
                site.rollout.update_use()
            site.order(ROLLED_BACK)
            site.rollout.update_use()
        assert len(messages) <= MAX_LOGGED_CHANGES + 1
        assert messages[0]["use"] == "old view"
        assert messages[-1]["use"] == "rolled_back"


class TestRestart:
    async def test_a_gateway_that_restarts_has_its_slack_again(
        self, nursery, monkeypatch
    ):
        """Its part may have been used before; its counts begin at zero."""
        seen = []

        def record(traffic, policy):
            seen.append(traffic)
            return False

        monkeypatch.setattr(software_rollout, "may_use_target", record)
        site = await start_site(nursery)
        site.harness.relay.cluster_view.entries_settled = True
        await site.send(1)
        site.order(evolve(ROLLOUT, started_ms=site.traffic.epoch + 1000))
        await site.send(1)
        restarted, present = seen
        assert restarted.entry_count > POLICY.exposure_slack <= restarted.rank
        assert (present.entry_count, present.rank) == (1, 0)

    async def test_a_gateway_that_knows_no_other_has_all_of_the_slack(
        self, nursery, monkeypatch
    ):
        seen = []
        monkeypatch.setattr(
            software_rollout, "may_use_target", lambda traffic, _: seen.append(traffic)
        )
        site = await start_site(nursery)
        site.order(evolve(ROLLOUT, started_ms=site.traffic.epoch + 1000))
        await site.send(1)
        assert seen[0].entry_count > POLICY.exposure_slack <= seen[0].rank


class TestLocallyBad:
    async def test_a_gateway_waits_for_the_leader_to_see_that_the_target_is_bad(
        self, nursery
    ):
        site = await start_site(nursery, new=fail)
        with collect_messages("rollout:target-use") as messages:
            for _ in range(8):
                assert set(await site.send(20)) == {200}
                await trio.sleep(0.12)
        assert LOCALLY_BAD <= site.count("v2") <= LOCALLY_BAD + 2
        assert [message["use"] for message in messages] == ["trial", "bad"]

    async def test_the_verdict_does_not_end_it(self, nursery):
        site = await start_site(nursery, new=fail, rollout=FULL)
        await site.send(LOCALLY_BAD)
        await trio.sleep(0.12)
        await site.send(10)
        assert site.count("v2") < 10
        site.order(COMPLETED)
        await site.send(10)
        assert site.count("v2") > 10


class TestHold:
    async def test_a_version_gets_requests_before_its_order(self, nursery):
        """The endpoints were announced a moment before the order was accepted."""
        site = await start_site(nursery, rollout=None)
        assert set(await site.send(30)) == {200}
        assert site.count("v2") == 0
        site.order(ROLLOUT)
        await site.send(30)
        assert 0 < site.count("v2") <= 6

    async def test_an_ordinary_release_gets_no_requests(self, nursery):
        site = await start_site(nursery, rollout=None)
        await site.send(1)
        await trio.sleep(1.05)
        await site.send(30)
        assert site.count("v2") > 0

    async def test_a_release_waits_for_endpoints_that_are_gone(self, nursery):
        """Those of the version before are listed still but can't be reached."""
        site = await start_site(nursery, rollout=None, counts=(1, 1))
        site.harness.endpoints[0].stop()
        await trio.testing.wait_all_tasks_blocked()
        assert await site.send(1) == [200]


class TestPresentPath:
    async def test_a_deployment_without_rollouts_holds_versions(self, nursery):
        harness = await start_relay(nursery, REPEATED)
        site = Site(harness)
        await site.add(answer_ok, "v1", 2)
        await site.add(answer_ok, "v2", 2, started_ms=2000)
        await site.send(20)
        assert site.count("v1") > 0 < site.count("v2")

    async def test_another_service_is_affected(self, nursery):
        site = await start_site(
            nursery, rollout=evolve(ROLLOUT, service="box-office", state="completed")
        )
        await site.send(1)
        await trio.sleep(1.05)
        await site.send(20)
        assert site.count("v1") > 0 < site.count("v2")


class TestRoom:
    async def test_a_request_is_refused_as_the_other_version_has_room(
        self, nursery, monkeypatch
    ):
        """It was drawn for the version that has none, and has to wait for that."""
        site = await start_site(nursery, old=answer_late, counts=(1, 1))

        def may_send(self, announced, in_flight, now):
            return announced.software_version == "v2" or in_flight < 1

        monkeypatch.setattr(DividedRoom, "is_divided", lambda *_: True)
        monkeypatch.setattr(DividedRoom, "get_part", lambda *_: 4)
        monkeypatch.setattr(DividedRoom, "get_hold_s", lambda *_: 0.05)
        monkeypatch.setattr(DividedRoom, "may_send", may_send)
        statuses = []

        async def send(number):
            statuses.extend(await site.send(1, begin=number))

        async with trio.open_nursery() as callers:
            for number in range(4):
                callers.start_soon(send, number)
        assert statuses == [200] * 4
        assert site.count("v2") == 0


class TestStreams:
    async def receive(self, site: Site, number: int) -> ReceivedStream:
        stream = ReceivedStream(f"r{number}")
        request = build_request(X_Request_Id=stream.request_id)
        stream.receive(await site.harness.send(request))
        return stream

    async def test_a_stream_goes_on_at_another_version(self, nursery):
        """All break off after some events, of the target as well."""
        site = await start_site(
            nursery, STREAM, VersionScript("v1"), VersionScript("v2"), counts=(4, 2)
        )
        streams = [await self.receive(site, number) for number in range(100)]
        assert not any(len(set(stream.versions)) > 1 for stream in streams)
        begun = [stream for stream in streams if stream.versions[0] == b"v2"]
        assert 0 < len(begun) <= 10
        assert sum(stream.is_complete for stream in begun) >= len(begun) / 2
        sent = site.count("v1") + site.count("v2")
        assert site.count("v2") <= 0.1 * sent + 1
        assert all(s.is_complete for s in streams if s.versions[0] == b"v1")

    async def test_a_stream_goes_on_at_a_target_that_was_rolled_back(
        self, nursery, monkeypatch
    ):
        allow_all(monkeypatch)

        async def break_at_verdict(connection, request):
            site.order(ROLLED_BACK)
            await VersionScript("v2")(connection, request)

        site = await start_site(nursery, STREAM, VersionScript("v1"), break_at_verdict)
        stream = await self.receive(site, 1)
        assert stream.versions == [b"v2"] * 3
        assert site.count("v2") == 1
        assert site.count("v1") == 0

    async def test_a_stream_goes_on_at_a_version_that_was_replaced(self, nursery):
        async def break_at_verdict(connection, request):
            site.order(COMPLETED)
            await VersionScript("v1")(connection, request)

        site = await start_site(nursery, STREAM, break_at_verdict, VersionScript("v2"))
        stream = await self.receive(site, 1)
        assert stream.versions == [b"v1"] * 3
        assert (site.count("v1"), site.count("v2")) == (1, 0)

    async def test_a_stream_with_long_gaps_counts_as_fast(self, nursery):
        """The version sends its first event at once and stalls later."""

        async def stall(connection, request):
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            head += b"X-Request-Id: " + get_value(request, b"x-request-id")
            await connection.send(head + b"\r\n\r\n")
            for number in (1, 2, 3):
                event = b"id: %d\ndata: x\n\n" % number
                await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
                await trio.sleep(0.25 if number == 2 else 0)
            await connection.send(b"0\r\n\r\n")

        site = await start_site(nursery, STREAM, stall)
        await self.receive(site, 1)
        (index,) = [
            index
            for index, count in enumerate(site.get_counts(False).latencies)
            if count
        ]
        assert LATENCY_BOUNDS_MS[index] >= 250


class SharedPartCodec(DefaultHeaderCodec):
    """Requests have a long shared part."""

    def read_request(self, headers):
        metadata = super().read_request(headers)
        parts = (PromptPart("shared", 1000), PromptPart("own", 10))
        return evolve(metadata, parts=parts, prompt_tokens=1010)


class TestCounts:
    async def test_failures_are_not_counted(self, nursery):
        site = await start_site(nursery, ONCE, old=fail)
        await site.send(3)
        assert site.get_counts(False) == RolloutCounts("ask", False, 3, 3, ())
        assert get_metrics().get_count("rollout_answers_failed", version="v1") == 3

    async def test_times_are_counted_in_another_class(self, nursery):
        site = await start_site(nursery, old=answer_late)
        await site.send(3)
        counts = site.get_counts(False)
        assert (counts.answers, counts.failures) == (3, 0)
        assert sum(counts.latencies[get_latency_class(0.1) :]) == 3
        assert len(counts.latencies) == len(LATENCY_BOUNDS_MS) + 1

    @pytest.mark.parametrize("script", [reject, misdirect])
    async def test_rejections_count_as_failures(self, nursery, script):
        site = await start_site(nursery, old=script, counts=(2, 0))
        await site.send(3)
        assert site.rollout.counts.list_counts() == ()
        assert site.rollout.sent == site.count("v1") > 0

    async def test_broken_and_crossed_answers_are_not_failures(self, nursery):
        async def reset(connection, request):
            connection.reset()

        async def cross(connection, request):
            await connection.send(build_answer(request.replace(b": r", b": x")))

        for script in (reset, cross):
            site = await start_site(nursery, ONCE, old=script)
            await site.send(1)
            assert site.get_counts(False).failures == 1

    async def test_a_timed_out_answer_is_not_a_failure(self, nursery):
        site = await start_site(nursery, ONCE, old=lambda *_: trio.sleep(5))
        await site.harness.send(build_request(X_Deadline_Ms="200"))
        assert site.get_counts(False) == RolloutCounts("ask", False, 1, 1, ())

    async def test_a_caller_that_leaves_counts_as_a_failure(self, nursery):
        site = await start_site(nursery, old=lambda *_: trio.sleep(5))
        async with await site.harness.connect() as stream:
            await stream.send_all(build_request())
            await trio.sleep(0.1)
        await trio.sleep(0.1)
        assert site.rollout.counts.list_counts() == ()
        assert site.rollout.sent == 1

    async def test_times_of_cold_endpoints_count(self, nursery):
        site = await start_site(nursery, counts=(1, 0))
        cluster_view = site.harness.relay.cluster_view
        cluster_view.endpoints["engine-1"].cold_until = cluster_view.clock() + 60
        await site.send(3)
        assert site.get_counts(False) == RolloutCounts("ask", False, 3, 0, ())

    async def test_times_of_prompts_without_stored_context_count(self, nursery):
        site = await start_site(nursery, codec=SharedPartCodec())
        await site.send(3)
        assert site.get_counts(False) == RolloutCounts("ask", False, 3, 0, ())

    async def test_counters_name_the_version(self, nursery):
        def get_count(version):
            return get_metrics().get_count(
                "rollout_requests", service="guide", version=version
            )

        before = get_count("v1"), get_count("v2")
        site = await start_site(nursery)
        await site.send(50)
        after = get_count("v1"), get_count("v2")
        expected = site.count("v1"), site.count("v2")
        assert tuple(b - a for a, b in zip(before, after, strict=True)) == expected


@define
class FakeState:
    """Records the reports, and loses some of them."""

    reports: list[RolloutReport] = field(factory=list)
    times: list[float] = field(factory=list)
    losses: int = 0

    async def call_leader(self, path, message, answer_type, timeout_s):
        assert (path, answer_type) == (REPORTS_PATH, EmptyMessage)
        if self.losses:
            self.losses -= 1
            raise PeerTimeout(url="mem://a")
        self.reports.append(message)
        self.times.append(trio.current_time())
        return EmptyMessage()

    async def wait_for(self, is_reached: Callable[[RolloutReport], bool]) -> None:
        """Wait until the latest report is of some kind."""
        await wait_until(lambda: self.reports and is_reached(self.reports[-1]))


async def wait_until(is_reached: Callable[[], bool]) -> None:
    with trio.fail_after(5):
        while not is_reached():
            await trio.sleep(0.005)


@define
class HeldAnswers:
    """Answers no request before it is released."""

    waiting: int = 0
    released: trio.Event = field(factory=trio.Event)

    async def __call__(self, connection: ScriptedConnection, request: bytes) -> None:
        self.waiting += 1
        await self.released.wait()
        await connection.send(build_answer(request))


class TestReports:
    async def start(self, nursery, **changes) -> tuple[Site, FakeState]:
        site = await start_site(nursery, **changes)
        state = FakeState()
        site.harness.relay.connect_state(state)
        nursery.start_soon(site.harness.relay.rollout_reporter.run)
        await trio.sleep(0.05)
        return site, state

    async def test_a_report_lacks_what_was_seen(self, nursery):
        site, state = await self.start(nursery)
        await site.send(50)
        await state.wait_for(lambda report: report.sent == 50)
        report = state.reports[-1]
        assert (report.entry, report.service) == ("gateway-1", "guide")
        assert (report.epoch, report.started_ms) == (site.traffic.epoch, STARTED_MS)
        assert (report.sent, report.sent_to_target) == (50, site.count("v2"))
        assert (report.stage, report.in_flight_replaced) == ("trial", 0)
        answers = {item.is_target: item.answers for item in report.counts}
        assert answers == {False: site.count("v1"), True: site.count("v2")}

    async def test_a_lost_report_loses_counts(self, nursery):
        site, state = await self.start(nursery)
        await site.send(10)
        state.losses = 1
        await wait_until(lambda: not state.losses)
        await state.wait_for(lambda report: report.sent == 10)

    async def test_a_change_of_the_stage_is_reported_late(self, nursery):
        """The leader waits until all gateways have applied it."""
        held = HeldAnswers()
        site, state = await self.start(nursery, old=held)
        async with trio.open_nursery() as callers:
            callers.start_soon(site.send_at_once, 5)
            await wait_until(lambda: held.waiting == 5)
            await state.wait_for(lambda report: report.in_flight_replaced == 5)
            began_at = trio.current_time()
            site.order(FULL)
            await state.wait_for(lambda report: report.stage == "full")
            assert state.times[-1] - began_at < MIN_INTERVAL_S / 2
            assert state.reports[-1].in_flight_replaced == 5
            held.released.set()
        await state.wait_for(lambda report: report.in_flight_replaced == 0)

    async def test_requests_from_before_the_order_are_not_in_flight(self, nursery):
        """They run at the version that is about to be stopped, too."""
        held = HeldAnswers()
        site, state = await self.start(nursery, old=held, rollout=None)
        async with trio.open_nursery() as callers:
            callers.start_soon(site.send_at_once, 3)
            await wait_until(lambda: held.waiting == 3)
            site.order(FULL)
            await state.wait_for(lambda report: report.in_flight_replaced == 3)
            held.released.set()

    async def test_a_gateway_without_a_rollout_reports(self, nursery):
        site, state = await self.start(nursery)
        site.order(ROLLED_BACK)
        count = len(state.reports)
        await trio.sleep(MIN_INTERVAL_S + 0.2)
        assert len(state.reports) <= count + 1

    async def test_reports_are_too_frequent(self, nursery):
        _, state = await self.start(nursery)
        await trio.sleep(2 * MIN_INTERVAL_S)
        gaps = [b - a for a, b in zip(state.times, state.times[1:], strict=False)]
        assert len(gaps) >= 1
        assert min(gaps) >= MIN_INTERVAL_S - 0.01


class TestUnannouncedProcesses:
    async def test_stream_is_refused_at_the_only_endpoint(self, nursery, monkeypatch):
        """It is of the target, and has broken off. The search for another endpoint took
        back what was reserved for the stream there."""
        allow_all(monkeypatch)
        service = ServiceRule("guide", health_path=STATUS_PATH, engine=EngineSpec())
        deployment = evolve(STREAM, services=(service,))
        codec = StartHeaderCodec()
        site = await start_site(
            nursery, deployment, new=send_rest, counts=(0, 1), codec=codec
        )
        (endpoint,) = site.harness.endpoints
        site.harness.relay.pool.processes.record_broken(f"{HOST}:{endpoint.port}")
        answer = await site.harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 200"), answer
