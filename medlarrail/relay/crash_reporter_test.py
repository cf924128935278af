"""Tests of what an entry takes for a crash, and of what it reports."""

import math

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.cluster_records import BlockedParts, SharedPart
from medlarrail.core.errors import PeerTimeout
from medlarrail.policy.notification import MAX_UPDATES_PER_S
from medlarrail.protocol.crashes import (
    BREAKS_PATH,
    CompletionReport,
    CrashReport,
    CrashReports,
)
from medlarrail.relay.crash_reporter import RESTART_POLL_S, CrashReporter
from medlarrail.relay.metadata import PromptPart
from medlarrail.relay.outbound import OutboundPool
from medlarrail.testing.builders import build_announcement, build_cluster_view_answer
from medlarrail.testing.scripted_endpoints import (
    HOST,
    ScriptedEndpoint,
    answer_ok,
)

PARTS = (PromptPart("a", 10), PromptPart("b", 10))
BLOCKED = BlockedParts("guide", "m", ("b",), 3, trial_at_s=50.0)


@define
class FakeState:
    """Records the messages to the leader after some calls that fail.

    The reports of a batch are recorded one by one; ``breaks`` are those of endpoints
    that may have crashed.
    """

    failures: int = 0
    messages: list = field(factory=list)
    breaks: list = field(factory=list)

    async def call_leader(self, path, message, answer_type, timeout_s):
        """See ``StateClient``."""
        await trio.lowlevel.checkpoint()
        if self.failures:
            self.failures -= 1
            raise PeerTimeout(url="mem://leader")
        if path == BREAKS_PATH:
            self.breaks.extend(message.reports)
        elif isinstance(message, CrashReports):
            self.messages.extend(message.reports)
        else:
            self.messages.append(message)
        return answer_type()


@define
class FakeForwarder:
    """A forwarder of a gateway that reaches no endpoint."""

    outage: bool = False

    def record_unreachable(self, announced):
        """See ``Forwarder``."""

    def is_partitioned(self, service):
        """See ``Forwarder``."""
        return True

    def is_outage(self, service):
        """See ``Forwarder``."""
        return self.outage


def build_reporter() -> CrashReporter:
    """Return a reporter that is not running."""
    cluster_view = ClusterView(trio.current_time)
    return CrashReporter(cluster_view, OutboundPool(), "gateway-1", FakeState())


async def start_endpoint(nursery: trio.Nursery) -> ScriptedEndpoint:
    """Start an endpoint that accepts connections."""
    endpoint = ScriptedEndpoint("engine-1", answer_ok)
    await nursery.start(endpoint.run)
    return endpoint


async def get_closed_port() -> int:
    """Return a port at which nothing listens."""
    (listener,) = await trio.open_tcp_listeners(0, host=HOST)
    async with listener:
        return listener.socket.getsockname()[1]


class TestReports:
    async def test_the_parts_of_all_broken_requests_are_reported(self, nursery):
        reporter = build_reporter()
        reporter.state.failures = 2
        await nursery.start(reporter.run)
        address = f"{HOST}:{await get_closed_port()}"
        announced = build_announcement(address=address)
        reporter.record_broken(announced, "m", PARTS[:1])
        reporter.record_broken(announced, "m", PARTS)
        await trio.sleep(0.5)
        (report,) = reporter.state.messages
        assert isinstance(report, CrashReport)
        assert (report.endpoint, report.started_ms) == ("engine-1", 1000)
        assert report.parts == ("a", "b")

    async def test_a_cut_answer_is_taken_for_a_crash(self, nursery):
        """The endpoint goes on, and so do its other connections."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        endpoint = await start_endpoint(nursery)
        announced = build_announcement(address=f"{HOST}:{endpoint.port}")
        reporter.record_broken(announced, "m", PARTS)
        await trio.sleep(0.5)
        assert reporter.state.messages == []

    async def test_a_crash_after_a_cut_answer_is_missed(self, nursery):
        """The endpoint was still being watched for the earlier break."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        endpoint = await start_endpoint(nursery)
        announced = build_announcement(address=f"{HOST}:{endpoint.port}")
        reporter.record_broken(announced, "m", PARTS[:1])
        await trio.sleep(0.1)
        closed = f"{HOST}:{await get_closed_port()}"
        reporter.record_broken(evolve(announced, address=closed), "m", PARTS[1:])
        await trio.sleep(0.2)
        (report,) = reporter.state.messages
        assert report.parts == ("b",)

    async def test_a_crash_is_missed_if_the_endpoint_is_back_at_once(self, nursery):
        """Its next incarnation accepts connections before the check."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        endpoint = await start_endpoint(nursery)
        announced = build_announcement(address=f"{HOST}:{endpoint.port}")
        reporter.record_broken(announced, "m", PARTS)
        await trio.sleep(0.1)
        restarted = evolve(announced, started_ms=2000)
        reporter.cluster_view.endpoints["engine-1"] = EndpointView(restarted)
        await trio.sleep(0.5)
        (report,) = reporter.state.messages
        assert report.started_ms == 1000

    async def test_only_suspected_parts_of_complete_answers_are_reported(self, nursery):
        reporter = build_reporter()
        await nursery.start(reporter.run)
        reporter.cluster_view.suspects = frozenset({SharedPart("guide", "b")})
        for _ in range(3):
            reporter.record_completed("guide", PARTS)
        reporter.record_completed("another", PARTS)
        await trio.sleep(0.1)
        assert reporter.state.messages == [
            CompletionReport("gateway-1", "guide", ("b",))
        ]

    async def test_each_complete_answer_is_reported_by_many_entries(self, nursery):
        """Every prompt had the suspected part, and each of 66 entries reported each of
        its answers until the leader's next list arrived."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        cluster_view = reporter.cluster_view
        cluster_view.suspects = frozenset({SharedPart("guide", "b")})
        cluster_view.entry_count = 66
        started_at = trio.current_time()
        for _ in range(100):
            reporter.record_completed("guide", PARTS)
            await trio.sleep(0.01)
        most = 1 + math.ceil(trio.current_time() - started_at) * MAX_UPDATES_PER_S / 66
        assert 1 < len(reporter.state.messages) <= most

    async def test_a_completed_trial_is_lost_with_the_leader(self, nursery):
        reporter = build_reporter()
        reporter.state.failures = 2
        await nursery.start(reporter.run)
        reporter.cluster_view.suspects = frozenset({SharedPart("guide", "b")})
        reporter.record_completed("guide", PARTS)
        await trio.sleep(0.5)
        assert len(reporter.state.messages) == 1

    @pytest.mark.parametrize("evidence", ["none", "outage", "departed"])
    async def test_endpoints_that_all_crash_are_taken_for_a_partition(
        self, nursery, evidence
    ):
        """Every gateway lost all endpoints at once, took that for a partition and
        reported none, and what crashed them was sent on."""
        reporter = build_reporter()
        reporter.forwarder = FakeForwarder()
        await nursery.start(reporter.run)
        announced = build_announcement(address=f"{HOST}:{await get_closed_port()}")
        reporter.cluster_view.endpoints["engine-1"] = EndpointView(announced)
        reporter.record_broken(announced, "m", PARTS)
        await trio.sleep(0.2)
        assert not reporter.state.messages
        if evidence == "outage":
            reporter.forwarder.outage = True
        elif evidence == "departed":
            del reporter.cluster_view.endpoints["engine-1"]
        await trio.sleep(2 * RESTART_POLL_S)
        assert len(reporter.state.messages) == (evidence != "none")

    async def test_what_ran_is_reported_after_a_suspected_partition(self, nursery):
        """Other entries had reported the crash, and their other parts were blocked."""
        reporter = build_reporter()
        reporter.forwarder = FakeForwarder()
        await nursery.start(reporter.run)
        port = await get_closed_port()
        for name in ("engine-1", "engine-2"):
            announced = build_announcement(name=name, address=f"{HOST}:{port}")
            reporter.cluster_view.endpoints[name] = EndpointView(announced)
            reporter.record_broken(announced, "m", PARTS)
        await trio.sleep(0.2)
        assert not reporter.state.messages
        breaks = reporter.state.breaks
        assert {report.endpoint for report in breaks} == {"engine-1", "engine-2"}
        assert [report.parts for report in breaks] == [("a", "b")] * 2
        await trio.sleep(2 * RESTART_POLL_S)
        assert len(breaks) == 2

    @pytest.mark.parametrize("crashed", [False, True])
    async def test_the_last_bytes_before_a_crash_clear_their_parts(
        self, nursery, crashed
    ):
        """An answer without a length or chunks ends with its connection."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        endpoint = await start_endpoint(nursery)
        port = await get_closed_port() if crashed else endpoint.port
        reporter.cluster_view.suspects = frozenset({SharedPart("guide", "b")})
        announced = build_announcement(address=f"{HOST}:{port}")
        reporter.record_unproven(announced, PARTS)
        await trio.sleep(0.2)
        assert len(reporter.state.messages) == (0 if crashed else 1)

    async def test_the_answer_to_a_late_trial_unblocks_nothing(self, nursery):
        """The crashes are too old for the list of suspects by then."""
        reporter = build_reporter()
        await nursery.start(reporter.run)
        answer = build_cluster_view_answer()
        reporter.cluster_view.apply(evolve(answer, blocked=(BLOCKED,)))
        reporter.record_completed("guide", PARTS)
        await trio.sleep(0.1)
        assert len(reporter.state.messages) == 1
