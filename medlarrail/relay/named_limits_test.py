"""Tests of the rate that an endpoint names in its answers."""

import eliot
import pytest
import trio
from attrs import define, field

from medlarrail.core.metrics import get_metrics
from medlarrail.relay.header_codec import MAX_LIMIT_PER_S, parse_limit
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.fleet import Fleet, start_fleet
from medlarrail.testing.scripted_endpoints import (
    HOST,
    ScriptedEndpoint,
    build_answer,
    build_request,
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
        messages = []
        eliot.add_destinations(messages.append)
        try:
            await harness.send(build_request(X_Request_Id="limited"))
        finally:
            eliot.remove_destination(messages.append)
        (message,) = [
            message
            for message in messages
            if message["message_type"] == "request:attempt"
            and message["request"] == "limited"
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
REQUESTS_PER_S = 50.0


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

    async def start(self, fleet: Fleet) -> None:
        """Listen, and announce the endpoint to the fleet's state member."""
        endpoint = ScriptedEndpoint(self.name, self._answer)
        await fleet.nursery.start(endpoint.run)
        address = f"{HOST}:{endpoint.port}"
        announcement = build_announcement(name=self.name, address=address, slots=32)
        fleet.view_server.record_announcement(announcement)

    async def _answer(self, connection, request: bytes) -> None:
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
        await engine.start(fleet)
    await fleet.wait(
        lambda gateway: (
            len(gateway.relay.cluster_view.endpoints) == len(engines)
            and gateway.relay.cluster_view.entries_settled
        )
    )
    return fleet, engines


async def send_steadily(fleet: Fleet, seconds: float) -> list[int]:
    """Send requests to the gateways in turn; return the status of each answer."""
    statuses = []

    async def send(gateway, request_id: str) -> None:
        answer = await gateway.send(build_request(X_Request_Id=request_id))
        statuses.append(int(answer.split(b" ")[1]))

    async with trio.open_nursery() as callers:
        for number in range(int(seconds * REQUESTS_PER_S)):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            callers.start_soon(send, gateway, f"r{number}")
            await trio.sleep(1 / REQUESTS_PER_S)
    return statuses


class TestNamedLimit:
    @pytest.mark.parametrize("limit", ["11.5", "1.4"])
    async def test_an_endpoint_gets_more_than_the_rate_that_it_named(
        self, nursery, tmp_path, limit
    ):
        """It went on getting its usual load from all gateways."""
        fleet, engines = await start_engines(nursery, tmp_path, gateways=7)
        engines[0].limit = limit
        statuses = await send_steadily(fleet, PLAY_S)
        limited = engines[0]
        times = [at for at in limited.times if at > limited.named_at + CONTACT_S]
        assert 0 < count_worst_window(times) <= get_allowed(float(limit))
        assert statuses.count(200) == len(statuses)
