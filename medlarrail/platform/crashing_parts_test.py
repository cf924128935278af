"""Tests of requests whose prompt has a part that crashes engines."""

from pathlib import Path

import trio
from attrs import define, field

from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.crashing_engines import (
    CrashingFleet,
    EngineHeaders,
    start_crashing_fleet,
)
from medlarrail.testing.fleet import start_fleet
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.scripted_endpoints import RelayHarness, start_relay

CONTACT_S = 3.0
"""Time in which a gateway that is in touch learns of everything."""
CRASHES = 5
"""Crashes after which the users count further requests with the part."""
MAX_LATER_REQUESTS = 3
"""Requests with the part that may reach engines later than ``CONTACT_S``."""
DEPLOYMENT = build_deployment(
    routes=(build_route(kind="stream", resumable=True, timeout_ms=1000),)
)
HEADERS = EngineHeaders(b"request-id", b"prefix-hash", b"Response-Signature: s\r\n")
REQUEST_PAUSE_S = 0.1


def build_prompt(request_id: str, *parts: str) -> bytes:
    """Return a request whose prompt has ``parts``, the last being its own."""
    prompt = ",".join(f"{part}:100" for part in (*parts, request_id))
    return (
        "POST /ask/1 HTTP/1.1\r\nHost: tickets.example\r\nApi-Key: key-1\r\n"
        f"Request-Id: {request_id}\r\nModel: m\r\nToken-Usage: 400,8\r\n"
        f"Prefix-Hash: {prompt}\r\nDeadline-Ms: 1000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@define(eq=False)
class Callers:
    """Callers that send prompts to the gateways in turn."""

    crashing: CrashingFleet
    nursery: trio.Nursery
    statuses: dict[str, int] = field(factory=dict)
    """Status of each answer by request ID."""
    _count: int = 0

    def send(self, *parts: str) -> str:
        """Start to send a prompt and return its request ID."""
        self._count += 1
        request_id = f"r{self._count}"
        gateways = self.crashing.fleet.gateways
        gateway = gateways[self._count % len(gateways)]
        self.nursery.start_soon(self._send, gateway, request_id, parts)
        return request_id

    async def _send(
        self, gateway: RelayHarness, request_id: str, parts: tuple[str, ...]
    ) -> None:
        answer = b""
        try:
            answer = await gateway.send(build_prompt(request_id, *parts))
        except trio.BrokenResourceError:
            pass
        self.statuses[request_id] = int(answer.split(b" ")[1]) if answer else 0


class TestObservability:
    async def test_a_broken_attempt_logs_the_shared_parts(self, nursery):
        harness = await start_relay(nursery, DEPLOYMENT, PlatformHeaderCodec())

        async def close(connection, request):
            await connection.stream.aclose()

        await harness.add(close)
        with collect_messages("request:attempt") as attempts:
            await harness.send(build_prompt("observed", "a", "b"))
        (message,) = [
            attempt for attempt in attempts if attempt["request"] == "observed"
        ]
        assert message["shared_parts"] == ["a", "b"]
        assert message["started_ms"] == 1000


async def start_callers(nursery: trio.Nursery, path: Path) -> Callers:
    """Return the callers of a fleet whose engines crash on the part ``bad``."""
    fleet = await start_fleet(nursery, path, DEPLOYMENT, PlatformHeaderCodec())
    crashing = await start_crashing_fleet(fleet, HEADERS)
    crashing.crashing_part = "bad"
    return Callers(crashing, nursery)


@define
class Recorder:
    """Counts what a relay records of its attempts; see ``CrashReporter``."""

    broken: int = 0
    completed: int = 0
    unproven: int = 0

    def record_broken(self, *arguments) -> None:
        """Count a request that broke off."""
        self.broken += 1

    def record_completed(self, *arguments) -> None:
        """Count a request that was answered completely."""
        self.completed += 1

    def record_unproven(self, *arguments) -> None:
        """Count an answer whose end is not proven."""
        self.unproven += 1


async def record_answer(nursery: trio.Nursery, answer: bytes) -> Recorder:
    """Return what a relay records of an answer after which the connection is closed."""
    harness = await start_relay(nursery, DEPLOYMENT, PlatformHeaderCodec())
    harness.relay.crashes = Recorder()

    async def send_and_close(connection, request):
        await connection.send(answer)
        await connection.stream.aclose()

    await harness.add(send_and_close)
    await harness.send(build_prompt("r1", "a", "b"))
    return harness.relay.crashes


class TestEvidence:
    """An answer without a length or chunks may end because its endpoint crashed."""

    HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: r1\r\n"
    EVENT = b"id: 1\ndata: x\n\n"

    async def test_an_unframed_answer_clears_its_parts(self, nursery):
        recorded = await record_answer(nursery, self.HEAD + b"\r\n" + self.EVENT)
        assert recorded == Recorder(unproven=1)

    async def test_an_unframed_answer_without_a_body_is_no_evidence(self, nursery):
        recorded = await record_answer(nursery, self.HEAD + b"\r\n")
        assert recorded == Recorder(broken=1)

    async def test_a_framed_answer_does_not_clear_its_parts(self, nursery):
        length = b"Content-Length: %d\r\n\r\n" % len(self.EVENT)
        recorded = await record_answer(nursery, self.HEAD + length + self.EVENT)
        assert recorded == Recorder(completed=1)


async def send_mixed(callers: Callers, seconds: float) -> list[str]:
    """Send crashing and sound prompts in turn; return the IDs of the sound ones."""
    sound = []
    end_at = trio.current_time() + seconds
    while trio.current_time() < end_at:
        callers.send("first", "caller", "bad")
        for middle in ("caller", "other"):
            sound.append(callers.send("first", middle))
            await trio.sleep(REQUEST_PAUSE_S / 2)
    return sound


class TestCrashingPart:
    async def test_a_part_of_a_prompt_crashes_one_engine_after_the_other(
        self, nursery, tmp_path
    ):
        """Each crash was blamed on the endpoint, and the next one got the request."""
        callers = await start_callers(nursery, tmp_path)
        crashing = callers.crashing
        await send_mixed(callers, CONTACT_S + 2.0)
        assert crashing.crashes
        later = [
            request
            for request in crashing.received
            if "bad" in request.parts
            and len(crashing.crashes) >= CRASHES
            and request.at > crashing.crashes[CRASHES - 1] + CONTACT_S
        ]
        assert len(later) <= MAX_LATER_REQUESTS

    async def test_requests_beside_a_crashing_part_are_not_served(
        self, nursery, tmp_path
    ):
        """They share the caller, the first part or both, and crash nothing."""
        callers = await start_callers(nursery, tmp_path)
        await send_mixed(callers, 2 * CONTACT_S)
        sound = await send_mixed(callers, 1.0)
        await trio.sleep(1.0)
        served = [callers.statuses[request_id] == 200 for request_id in sound]
        assert sum(served) >= 0.5 * len(served)
