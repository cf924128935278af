"""Tests of the rate that an endpoint names in its answers."""

import random

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.cluster.registry import EndpointRegistry
from medlarrail.core.announcements import RegisteredEndpoint
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import PeerTimeout
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.rate_limits import LONG_WINDOW_S, SendRate
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.header_codec import MAX_LIMIT_PER_S, parse_limit
from medlarrail.relay.limit_reporter import LimitReporter
from medlarrail.testing.builders import (
    build_announcement,
    build_cluster_view_answer,
    build_deployment,
    build_endpoint_stats,
)
from medlarrail.testing.fleet import (
    Fleet,
    count_served,
    send_steadily,
    start_fleet,
)
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    build_answer,
    build_request,
    build_script,
    get_value,
    start_relay,
)


def name_limit(limit: str):
    """Return a script that answers with a limit."""

    async def run(connection, request):
        await connection.send(build_answer(request, X_Limit_Per_S=limit))

    return run


class TestObservability:
    async def test_an_attempt_logs_the_limit_that_was_named(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(name_limit("2.5"))
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_request(X_Request_Id="limited"))
        (message,) = [
            attempt for attempt in attempts if attempt["request"] == "limited"
        ]
        assert message["limit_per_s"] == 2.5

    @pytest.mark.parametrize("text", ["-1", "nan", "inf", "1e99", "many", "1,5"])
    def test_an_unusable_limit_is_taken(self, text):
        assert parse_limit(text) is None
        assert get_metrics().get_count("limits_unreadable") == 1

    @pytest.mark.parametrize("text", ["0", "1.4", "11.5", str(MAX_LIMIT_PER_S)])
    def test_a_decimal_limit_is_refused(self, text):
        assert parse_limit(text) == float(text)
        assert parse_limit("") is None
        assert get_metrics().get_count("limits_unreadable") == 0


CONTACT_S = 0.8
"""Time from the first naming after which the rate has to be kept here."""
PLAY_S = 6.0
WINDOW_S = 4.0
SERVICE = ServiceRule("guide")


def get_allowed(limit_per_s: float) -> float:
    """Return the requests that the users allow in any four seconds."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def count_worst_window(times: list[float]) -> int:
    """Return the largest number of requests within ``WINDOW_S``."""
    return max(
        (sum(end - WINDOW_S < at <= end for at in times) for end in times), default=0
    )


@define(eq=False)
class LimitedEngine:
    """An endpoint that names ``limit`` in each answer, empty for none.

    ``times`` holds when its requests arrived, and ``named_at`` when it first named a
    limit, on trio's clock.
    """

    name: str
    limit: str = ""
    answer_s: float = 0.001
    times: list[float] = field(factory=list)
    named_at: float = float("inf")

    async def answer(self, connection, request: bytes) -> None:
        """Answer as a script does."""
        now = trio.current_time()
        self.times.append(now)
        await trio.sleep(self.answer_s)
        headers = {}
        if self.limit:
            self.named_at = min(self.named_at, now)
            headers["X_Limit_Per_S"] = self.limit
        await connection.send(build_answer(request, **headers))


async def start_engines(nursery, path, gateways: int) -> tuple[Fleet, list]:
    """Return a fleet with three endpoints, the first of which is the fastest."""
    fleet = await start_fleet(nursery, path, build_deployment(), gateways=gateways)
    engines = [
        LimitedEngine("engine-1"),
        LimitedEngine("engine-2", answer_s=0.01),
        LimitedEngine("engine-3", answer_s=0.01),
    ]
    for engine in engines:
        await fleet.add_endpoint(engine.name, engine.answer)
    await fleet.wait_for_endpoints(len(engines))
    return fleet, engines


class TestNamedLimit:
    @pytest.mark.parametrize("limit", ["11.5", "1.4"])
    async def test_an_endpoint_gets_more_than_the_rate_that_it_named(
        self, nursery, tmp_path, limit
    ):
        """It went on getting its usual load from all gateways."""
        fleet, engines = await start_engines(nursery, tmp_path, gateways=7)
        engines[0].limit = limit
        answers = await send_steadily(fleet, PLAY_S)
        limited = engines[0]
        times = [at for at in limited.times if at > limited.named_at + CONTACT_S]
        assert 0 < count_worst_window(times) <= get_allowed(float(limit))
        assert count_served(answers) == len(answers)

    async def test_entries_without_a_part_never_learn_that_a_limit_ended(
        self, nursery, tmp_path
    ):
        """They get no answers of the endpoint."""
        fleet, engines = await start_engines(nursery, tmp_path, gateways=7)
        engines[0].limit = "1.4"
        await send_steadily(fleet, 1.0)
        engines[0].limit = ""
        await send_steadily(fleet, LONG_WINDOW_S)
        assert not any(
            gateway.relay.cluster_view.endpoints["engine-1"].limit_per_s
            for gateway in fleet.gateways
        )
        engines[0].times.clear()
        await send_steadily(fleet, 1.0)
        assert len(engines[0].times) > 2 * 1.4

    async def test_requests_for_limited_endpoints_wait_for_their_deadline(
        self, nursery, tmp_path
    ):
        """All endpoints are limited, so some requests cannot be served in time."""
        fleet, engines = await start_engines(nursery, tmp_path, gateways=1)
        for engine in engines:
            engine.limit = "0.5"
        await send_steadily(fleet, 1.0)
        started_at = trio.current_time()
        answer = await fleet.gateways[0].send(build_request())
        assert trio.current_time() - started_at < 0.1
        assert answer.startswith(b"HTTP/1.1 503")
        assert 0 < float(get_value(answer, b"retry-after")) <= LONG_WINDOW_S


def build_entries(names: list[str], listed: list[str]) -> list[EndpointStats]:
    """Return the statistics of the entries ``names``, to whom ``listed`` are listed."""
    return [build_endpoint_stats(name, listed) for name in names]


def send_if_available(
    entry: EndpointStats, now: float, limit_per_s: float | None
) -> bool:
    """Send a request of one entry to an endpoint if its part of the rate allows."""
    entry.clock = lambda: now
    view = EndpointView(build_announcement(), limit_per_s=limit_per_s)
    if entry.get_unavailable_reason(view, SERVICE):
        return False
    entry.record_sent(view)
    return True


class TestManyEntries:
    @pytest.mark.parametrize("entry_count", [1, 7, 82, 390, 1000])
    @pytest.mark.parametrize("limit_per_s", [0.0, 0.2, 1.4, 11.5, 300.0])
    def test_the_parts_add_up_to_more_than_the_rate(self, entry_count, limit_per_s):
        """A first request of each entry would be 1,000."""
        names = [f"gateway-{number}" for number in range(entry_count)]
        entries = build_entries(names, names)
        rng = random.Random(entry_count)
        times = []
        now = 0.0
        while now < 2 * WINDOW_S:
            now += rng.expovariate(2000)
            if send_if_available(rng.choice(entries), now, limit_per_s):
                times.append(now)
        assert 0 < count_worst_window(times) <= max(1, limit_per_s * WINDOW_S)
        assert len(times) >= 0.4 * limit_per_s * 2 * WINDOW_S

    def test_entries_with_different_lists_exceed_the_rate(self):
        """A fifth of the entries are cut off; the others share the rate again."""
        names = [f"gateway-{number}" for number in range(82)]
        entries = build_entries(names[:16], names)
        entries += build_entries(names[16:], names[16:])
        sent = sum(
            send_if_available(entry, 0.01 * attempt, 11.5)
            for attempt in range(390)
            for entry in entries
        )
        assert 0 < sent <= get_allowed(11.5)

    def test_entries_that_just_started_take_the_whole_rate(self):
        """They do not know yet how many entries there are."""
        entry = build_endpoint_stats("gateway-1", ["gateway-1"], settled=False)
        assert not send_if_available(entry, 0.0, 11.5)
        assert send_if_available(entry, 0.0, None)


class TestStatements:
    def check(self, stats: EndpointStats, view: EndpointView) -> bool:
        """Return whether many requests may be sent to the endpoint."""
        for _ in range(5):
            if stats.get_unavailable_reason(view, SERVICE):
                return False
            stats.record_sent(view)
        return True

    def test_the_latest_answer_goes_before_an_older_list(self):
        stats = build_endpoint_stats("gateway-1", ["gateway-1"])
        view = EndpointView(build_announcement(), limit_per_s=0.2, limit_changed_at=0.0)
        assert not self.check(stats, view)
        stats.record_named_rate(view, None)
        assert self.check(stats, view)
        stats.record_named_rate(view, 0.2)
        assert not self.check(stats, view)

    def test_a_list_goes_before_an_older_answer(self):
        stats = build_endpoint_stats("gateway-1", ["gateway-1"])
        view = EndpointView(build_announcement())
        stats.record_named_rate(view, 0.2)
        assert not self.check(stats, view)
        view.limit_changed_at = stats.clock()
        assert self.check(stats, view)

    def test_the_next_incarnation_is_limited_by_the_rate_of_the_last(self):
        stats = build_endpoint_stats("gateway-1", ["gateway-1"])
        view = EndpointView(build_announcement())
        stats.record_named_rate(view, 0.2)
        restarted = EndpointView(build_announcement(started_ms=2000))
        assert self.check(stats, restarted)

    @pytest.mark.parametrize("settled", [False, True])
    def test_a_new_leader_forgets_the_rates_before_it_was_told(self, settled):
        cluster_view = ClusterView()
        answer = build_cluster_view_answer()
        limited = RegisteredEndpoint(build_announcement(), 1, limit_per_s=1.4)
        cluster_view.apply(evolve(answer, endpoints=(limited,)))
        unlimited = evolve(limited, limit_per_s=None)
        cluster_view.apply(
            evolve(answer, epoch="m2-2", endpoints=(unlimited,), settled=settled)
        )
        expected = None if settled else 1.4
        assert cluster_view.endpoints["engine-1"].limit_per_s == expected

    async def test_a_refusal_does_not_end_a_limit(self, nursery):
        """Only a run answers with the headers of the endpoint's own state."""
        harness = await start_relay(nursery)

        async def refuse(connection, request):
            await connection.send(
                build_answer(request, status=b"503 Full", X_Not_Run="1")
            )

        await harness.add(build_script(name_limit("0.2"), refuse))
        harness.relay.cluster_view.entries_settled = True
        view = harness.relay.cluster_view.endpoints["engine-1"]
        await harness.send(build_request())
        harness.relay.endpoint_stats.get_record("engine-1").send_rate = SendRate()
        await harness.send(build_request())
        record = harness.relay.endpoint_stats.get_record("engine-1")
        assert record.named_rate.per_s == 0.2
        assert harness.relay.endpoint_stats.get_unavailable_reason(view, SERVICE)

    def test_registry_keeps_the_rate_of_an_incarnation(self):
        registry = EndpointRegistry()
        registry.record_announcement(build_announcement())
        assert registry.set_limit("engine-1", 1000, 1.4)
        assert not registry.set_limit("engine-1", 1000, 1.4)
        assert not registry.set_limit("engine-1", 999, 9.0)
        registry.record_announcement(build_announcement(sequence=2))
        assert registry.endpoints["engine-1"].limit_per_s == 1.4
        registry.record_announcement(build_announcement(sequence=3, started_ms=2000))
        assert registry.endpoints["engine-1"].limit_per_s is None


class TestReservation:
    async def test_requests_that_wait_for_a_connection_exceed_the_rate(self, nursery):
        """They were checked when the endpoint was chosen but counted when sent."""
        harness = await start_relay(nursery)
        endpoint = await harness.add(name_limit("0.2"))
        harness.relay.cluster_view.entries_settled = True
        harness.relay.cluster_view.endpoints["engine-1"].limit_per_s = 0.2
        async with trio.open_nursery() as callers:
            for _ in range(5):
                callers.start_soon(harness.send, build_request())
        assert len(endpoint.requests) == 1


class FailingState:
    """Records the reports to the leader after some calls that fail."""

    def __init__(self, failures: int = 0):
        self.failures = failures
        self.reports = []

    async def call_leader(self, path, report, answer_type, timeout_s):
        """See ``StateClient``."""
        await trio.sleep(0.05)
        if self.failures:
            self.failures -= 1
            raise PeerTimeout(url="mem://leader")
        self.reports.append(report.limit_per_s)
        return answer_type()


class TestLimitReporter:
    async def start(self, nursery, failures: int = 0) -> LimitReporter:
        reporter = LimitReporter("gateway-1", trio.current_time)
        reporter.state = FailingState(failures)
        nursery.start_soon(reporter.run)
        return reporter

    async def test_a_report_is_sent_until_the_leader_has_it(
        self, nursery, autojump_clock
    ):
        reporter = await self.start(nursery, failures=3)
        reporter.record(EndpointView(build_announcement()), 1.4)
        await trio.sleep(2.0)
        assert reporter.state.reports == [1.4]

    async def test_a_report_on_a_departed_endpoint_ends_the_process(
        self, nursery, autojump_clock
    ):
        """The endpoint departed while the leader did not take the report."""
        reporter = await self.start(nursery, failures=3)
        reporter.record(EndpointView(build_announcement()), 1.4)
        await trio.sleep(0.02)
        reporter.drop("engine-1")
        await trio.sleep(2.0)
        assert reporter.state.reports == []

    async def test_each_answer_is_reported(self, nursery, autojump_clock):
        """A rate that the leader lists is reported once a second, for a new leader."""
        reporter = await self.start(nursery)
        view = EndpointView(build_announcement(), limit_per_s=10.0)
        for number in range(300):
            reporter.record(view, 10.0 + 0.1 * (number % 2))
            await trio.sleep(0.01)
        assert len(reporter.state.reports) in (3, 4)

    async def test_the_end_of_a_limit_is_not_reported(self, nursery, autojump_clock):
        reporter = await self.start(nursery)
        view = EndpointView(build_announcement())
        reporter.record(view, None)
        await trio.sleep(1.0)
        assert reporter.state.reports == []
        reporter.record(view, 1.4)
        await trio.sleep(1.0)
        view.limit_per_s = 1.4
        reporter.record(view, None)
        await trio.sleep(1.0)
        assert reporter.state.reports == [1.4, None]
