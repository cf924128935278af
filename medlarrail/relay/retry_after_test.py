"""Tests of the time without requests that an endpoint asks for."""

import math

import pytest
import trio
from attrs import define, field

from medlarrail.core.metrics import get_metrics
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.relay.header_codec import (
    MAX_RETRY_AFTER_S,
    DefaultHeaderCodec,
    parse_retry_after,
)
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.fleet import Fleet, start_fleet
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import (
    HOST,
    RelayHarness,
    ScriptedEndpoint,
    build_answer,
    build_request,
    get_value,
    start_relay,
)


def reject(retry_after: str):
    """Return a script that rejects requests and asks for a time without them."""

    async def run(connection, request):
        answer = build_answer(
            request, status=b"503 Full", X_Not_Run="1", Retry_After=retry_after
        )
        await connection.send(answer)

    return run


class TestObservability:
    async def test_an_attempt_logs_the_time_that_was_asked_for(self, nursery):
        harness = await start_relay(nursery)
        await harness.add(reject("2.5"))
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_request(X_Request_Id="rejected"))
        (message,) = [
            attempt for attempt in attempts if attempt["request"] == "rejected"
        ]
        assert message["retry_after_s"] == 2.5

    @pytest.mark.parametrize(
        "text",
        ["-1", "nan", "inf", "1e99", "soon", "1,5", "Fri, 04 Dec 2026 15:00:00 GMT"],
    )
    def test_an_unusable_time_is_taken(self, text):
        assert parse_retry_after(503, text) is None
        assert get_metrics().get_count("retry_after_unreadable") == 1

    @pytest.mark.parametrize("text", ["0", "1.4", "30", str(MAX_RETRY_AFTER_S)])
    def test_a_decimal_time_is_refused(self, text):
        assert parse_retry_after(503, text) == float(text)
        assert get_metrics().get_count("retry_after_unreadable") == 0

    @pytest.mark.parametrize("codec", [DefaultHeaderCodec(), PlatformHeaderCodec()])
    def test_only_an_unavailable_endpoint_asks_for_time(self, codec):
        headers = ((b"Retry-After", b"1.5"),)
        assert codec.read_answer(503, headers).retry_after_s == 1.5
        assert codec.read_answer(429, headers).retry_after_s is None
        assert codec.read_answer(200, headers).retry_after_s is None
        assert codec.read_answer(503, ()).retry_after_s is None


CONTACT_S = 0.5
"""Time after an endpoint's answer from which the users count requests."""
ALLOWED_REQUESTS = 2
"""Requests of one gateway that the users then allow."""
REQUESTS_PER_S = 50.0


@define(eq=False)
class OverloadedEndpoint:
    """An endpoint that rejects all requests until ``overloaded_until``.

    It asks each gateway that it rejects for ``retry_after_s``. ``paused`` counts the
    requests that arrive in this time all the same, by gateway. Times are on trio's
    clock.
    """

    name: str
    retry_after_s: float = 0.0
    overloaded_until: float = -math.inf
    answer_s: float = 0.002
    status: bytes = b"503 Full"
    not_run: str = "1"
    arrivals: int = 0
    paused: dict[str, int] = field(factory=dict)
    _asked: dict[str, list[tuple[float, float]]] = field(factory=dict)
    """For each gateway, spans in which it may hardly send."""

    async def start(self, fleet: Fleet) -> None:
        """Listen, and announce the endpoint to the fleet's state member."""
        endpoint = ScriptedEndpoint(self.name, self._answer)
        await fleet.nursery.start(endpoint.run)
        announcement = build_announcement(
            name=self.name, address=f"{HOST}:{endpoint.port}", slots=32
        )
        fleet.view_server.record_announcement(announcement)

    async def _answer(self, connection, request: bytes) -> None:
        now = trio.current_time()
        gateway = get_value(request, b"x-sent-to").decode()
        self.arrivals += 1
        spans = self._asked.setdefault(gateway, [])
        if any(start < now < end for start, end in spans):
            self.paused[gateway] = self.paused.get(gateway, 0) + 1
        if now >= self.overloaded_until:
            await trio.sleep(self.answer_s)
            await connection.send(build_answer(request))
            return
        headers = {"X_Not_Run": self.not_run} if self.not_run else {}
        retry_after = f"{self.retry_after_s:.2f}"
        await connection.send(
            build_answer(
                request, status=self.status, Retry_After=retry_after, **headers
            )
        )
        spans.append((now + CONTACT_S, now + self.retry_after_s))


async def start_endpoints(
    nursery, path, gateways: int, others: int = 3
) -> tuple[Fleet, OverloadedEndpoint]:
    """Return a fleet with one endpoint to be overloaded and some idle, slower ones."""
    fleet = await start_fleet(nursery, path, build_deployment(), gateways=gateways)
    overloaded = OverloadedEndpoint("engine-0")
    endpoints = [overloaded]
    endpoints += [
        OverloadedEndpoint(f"engine-{number + 1}", answer_s=0.01)
        for number in range(others)
    ]
    for endpoint in endpoints:
        await endpoint.start(fleet)
    await fleet.wait(
        lambda gateway: (
            len(gateway.relay.cluster_view.endpoints) == len(endpoints)
            and gateway.relay.cluster_view.entries_settled
        )
    )
    return fleet, overloaded


async def send_steadily(fleet: Fleet, seconds: float) -> list[bytes]:
    """Send requests to the gateways in turn; return the answers."""
    answers = []

    async def send(gateway: RelayHarness, number: int) -> None:
        name = gateway.relay.endpoint_stats.entry
        request = build_request(X_Request_Id=f"r{number}", X_Sent_To=name)
        answers.append(await gateway.send(request))

    async with trio.open_nursery() as callers:
        for number in range(int(seconds * REQUESTS_PER_S)):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            callers.start_soon(send, gateway, number)
            await trio.sleep(1 / REQUESTS_PER_S)
    return answers


def count_served(answers: list[bytes]) -> int:
    """Return the number of answers with status 200."""
    return sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)


class TestRequestedBackOff:
    @pytest.mark.parametrize("gateways", [1, 7])
    @pytest.mark.parametrize("retry_after_s", [1.2, 2.5])
    async def test_an_endpoint_gets_requests_during_the_time_that_it_asked_for(
        self, nursery, tmp_path, gateways, retry_after_s
    ):
        """It went on getting them, and rejected each, though others were idle."""
        fleet, overloaded = await start_endpoints(nursery, tmp_path, gateways)
        overloaded.retry_after_s = retry_after_s
        overloaded.overloaded_until = trio.current_time() + 2.0
        answers = await send_steadily(fleet, 2.0 + retry_after_s)
        assert max(overloaded.paused.values(), default=0) <= ALLOWED_REQUESTS
        assert count_served(answers) == len(answers)

    async def test_requests_for_paused_endpoints_are_sent_to_them(
        self, nursery, tmp_path
    ):
        """The only endpoint asked for time; each request was sent to it."""
        fleet, overloaded = await start_endpoints(nursery, tmp_path, 1, others=0)
        overloaded.retry_after_s = 2.0
        overloaded.overloaded_until = trio.current_time() + 1.0
        answers = await send_steadily(fleet, 1.5)
        assert max(overloaded.paused.values(), default=0) <= ALLOWED_REQUESTS
        assert count_served(answers) == 0
        started_at = trio.current_time()
        (answer,) = await send_steadily(fleet, 1 / REQUESTS_PER_S)
        assert trio.current_time() - started_at < 0.3
        assert answer.startswith(b"HTTP/1.1 503")
        assert 0.2 < float(get_value(answer, b"retry-after")) <= 0.5
