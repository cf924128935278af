"""Tests of a request that crashes each endpoint that runs it."""

from collections.abc import Iterator
from itertools import cycle
from pathlib import Path

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.core.cluster_records import BlockedParts, SharedPart
from medlarrail.core.deployment import AccountRule
from medlarrail.policy.crashing_requests import NEVER_S
from medlarrail.relay import crash_evidence
from medlarrail.relay.fingerprint import RequestFingerprint
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.testing.builders import (
    build_cluster_view_answer,
    build_deployment,
    build_route,
)
from medlarrail.testing.crashing_engines import (
    CrashingFleet,
    CrashingService,
    EngineHeaders,
    start_crashing_fleet,
)
from medlarrail.testing.fleet import start_fleet
from medlarrail.testing.scripted_endpoints import (
    RelayHarness,
    answer_ok,
    build_request,
    get_value,
    start_relay,
)

CONTACT_S = 3.0
"""Time in which a gateway that is in touch learns of everything."""
CRASHES = 3
"""Crashes after which the users count further attempts of the request."""
MAX_LATER_REQUESTS = 3
"""Attempts that may reach endpoints later than ``CONTACT_S`` after those crashes."""
PLAY_S = 11.0
REQUEST_INTERVAL_S = 0.12
ENDPOINTS = 6
HEADERS = EngineHeaders(b"x-request-id", b"")
ACCOUNTS = (AccountRule("lea-college", ("key-1",)), AccountRule("other", ("key-2",)))


@define(eq=False)
class Callers:
    """Callers that send requests to the gateways in turn, marked as crashing or not.

    The mark reaches the endpoints and is no part of what identifies a request.
    """

    crashing: CrashingFleet
    nursery: trio.Nursery
    statuses: dict[str, int] = field(factory=dict)
    """Status of each answer by request ID."""
    _gateways: Iterator[RelayHarness] = field(init=False)

    def __attrs_post_init__(self):
        self._gateways = cycle(self.crashing.fleet.gateways)

    def send(self, mark: str, **request) -> str:
        """Start to send a request and return its ID."""
        request_id = f"{mark}-{len(self.statuses)}"
        self.statuses[request_id] = 0
        data = build_request(X_Request_Id=request_id, X_Mark=mark, **request)
        self.nursery.start_soon(self._send, next(self._gateways), request_id, data)
        return request_id

    async def _send(self, gateway: RelayHarness, request_id: str, data: bytes) -> None:
        answer = b""
        try:
            answer = await gateway.send(data)
        except trio.BrokenResourceError:
            pass
        self.statuses[request_id] = int(answer.split(b" ")[1]) if answer else 0


def get_mark(request: bytes) -> str:
    """Return the mark of a request that reached an endpoint."""
    return get_value(request, b"x-mark").decode()


async def start_callers(nursery: trio.Nursery, path: Path, **route) -> Callers:
    """Return the callers of a fleet whose endpoints crash under marked requests."""
    deployment = build_deployment(
        routes=(build_route(timeout_ms=1000, **route),), accounts=ACCOUNTS
    )
    fleet = await start_fleet(nursery, path, deployment)
    crashing = await start_crashing_fleet(fleet, HEADERS, ENDPOINTS, CrashingService)
    crashing.is_crashing = lambda request: get_mark(request).startswith("crash")
    return Callers(crashing, nursery)


async def send_mixed(
    callers: Callers, crashing: list[dict], sound: dict, seconds: float = PLAY_S
) -> list[str]:
    """Send crashing requests in turn, with two sound ones beside each.

    Returns the IDs of the sound ones.
    """
    ids = []
    kinds = cycle(enumerate(crashing))
    end_at = trio.current_time() + seconds
    while trio.current_time() < end_at:
        number, request = next(kinds)
        callers.send(f"crash{number}", **request)
        ids += [callers.send("sound", **sound) for _ in range(2)]
        await trio.sleep(REQUEST_INTERVAL_S)
    await trio.sleep(1.0)
    return ids


def count_later(callers: Callers, mark: str) -> int:
    """Return the attempts that count: some time after the third crash."""
    at = [at for at, request in callers.crashing.requests if get_mark(request) == mark]
    if len(at) < CRASHES:
        return 0
    return sum(time > at[CRASHES - 1] + CONTACT_S for time in at)


SOUND = {"path": "/ask/sound"}
KINDS = {
    "path": ({"path": "/ask/crash"}, SOUND),
    "query": ({"path": "/ask/1?a=2"}, {"path": "/ask/1?a=1"}),
    "body": (
        {"path": "/ask/1", "method": "POST", "body": b"crash"},
        {"path": "/ask/1", "method": "POST", "body": b"sound"},
    ),
    "account": (
        {"path": "/ask/1", "Authorization": "Bearer key-2"},
        {"path": "/ask/1"},
    ),
}
"""What tells the crashing request from the sound ones."""


class TestCrashingRequest:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_a_request_crashes_one_endpoint_after_the_other(
        self, nursery, tmp_path, kind
    ):
        """Each crash was blamed on the endpoint, and the next one got the request."""
        callers = await start_callers(nursery, tmp_path)
        crashing, sound = KINDS[kind]
        ids = await send_mixed(callers, [crashing], sound)
        assert count_later(callers, "crash0") <= MAX_LATER_REQUESTS
        second_half = ids[len(ids) // 2 :]
        served = [callers.statuses[request_id] == 200 for request_id in second_half]
        assert sum(served) >= 0.9 * len(served)

    async def test_a_request_that_runs_once_is_sent_again_by_its_caller(
        self, nursery, tmp_path
    ):
        callers = await start_callers(nursery, tmp_path, kind="once", max_attempts=1)
        crashing = {"path": "/ask/crash", "method": "POST"}
        await send_mixed(callers, [crashing], {"path": "/ask/sound", "method": "POST"})
        assert count_later(callers, "crash0") <= MAX_LATER_REQUESTS

    @pytest.mark.parametrize("count", [2, 3])
    async def test_several_crashing_requests_hide_each_other(
        self, nursery, tmp_path, count
    ):
        callers = await start_callers(nursery, tmp_path)
        crashing = [{"path": f"/ask/crash{number}"} for number in range(count)]
        await send_mixed(callers, crashing, SOUND)
        later = [count_later(callers, f"crash{number}") for number in range(count)]
        assert max(later) <= MAX_LATER_REQUESTS


REQUEST = "request:d1"
SUSPECT = SharedPart("guide", REQUEST)


def apply_answer(relay: RequestRelay, **changes) -> None:
    """Let a leader list suspected or blocked requests to a relay."""
    answer = evolve(build_cluster_view_answer(), whole=False, **changes)
    relay.cluster_view.apply(answer)


class TestRefusals:
    async def start(self, nursery, monkeypatch) -> RelayHarness:
        """Return a relay, without a leader, all requests of which have one key."""
        monkeypatch.setattr(RequestFingerprint, "key", REQUEST)
        harness = await start_relay(nursery)
        await harness.add(answer_ok)
        return harness

    async def test_a_blocked_request_invites_its_caller_to_repeat_it(
        self, nursery, monkeypatch
    ):
        harness = await self.start(nursery, monkeypatch)
        blocked = BlockedParts("guide", "", (REQUEST,), 3, trial_at_s=NEVER_S * 10)
        apply_answer(harness.relay, blocked=(blocked,))
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"RequestBlocked" in answer
        assert get_value(answer, b"retry-after") is None
        assert not harness.endpoints[0].requests

    async def test_a_suspected_request_is_sent_without_a_leader(
        self, nursery, monkeypatch
    ):
        harness = await self.start(nursery, monkeypatch)
        apply_answer(harness.relay, suspects=(SUSPECT,), trial_requests=(SUSPECT,))
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 503")
        assert float(get_value(answer, b"retry-after")) > 0
        assert not harness.endpoints[0].requests

    async def test_a_watched_request_is_held_up(self, nursery, monkeypatch):
        """One crash makes no trial."""
        harness = await self.start(nursery, monkeypatch)
        apply_answer(harness.relay, suspects=(SUSPECT,), trial_requests=())
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_requests_are_hashed_though_none_is_watched(
        self, nursery, monkeypatch
    ):
        harness = await start_relay(nursery)
        await harness.add(answer_ok)
        monkeypatch.setattr(crash_evidence, "get_fingerprint", None)
        answer = await harness.send(build_request())
        assert answer.startswith(b"HTTP/1.1 200")
