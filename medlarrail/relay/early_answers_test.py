"""Tests of answers that begin before the endpoint has read the request.

A reset is reported once, by the call that is made next. If that is the sending of the
request, what was received before is then read up to a regular end.
"""

from random import Random

import pytest
import trio
from attrs import define, frozen

from medlarrail.relay.ended_endpoints_test import add_status
from medlarrail.relay.incomplete_answers_test import (
    BODY,
    DEPLOYMENTS,
    EVENTS,
    ReceivedAnswer,
    call,
    frame_answer,
)
from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.partitioned_site import start_site
from medlarrail.testing.scripted_endpoints import (
    ScriptedConnection,
    build_answer,
    build_request,
    get_value,
    start_relay,
)

UPLOAD_BYTES = 3_500_000
READ_BYTES = 8192
"""Part of an upload that an endpoint reads before it answers."""
RUNS_PER_KIND = 6
SOUND_ANSWERS = 1000
"""Early answers, of which at most 1 in 1,000 may be cut."""
SOUND_UPLOAD_BYTES = (100_000, 600_000)
MAX_RESET_DELAY_S = 0.02
SEED = 20261206
CARRIED = build_deployment(
    routes=(
        build_route(max_attempts=1),
        build_route(name="tell", prefix="/tell/", kind="stream", max_attempts=1),
    )
)
ODD_STATUS_LINES = [
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 abc OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1",
    b"HTTP/9 200 OK",
    b"200 OK",
    b"\0\0\0",
]


def build_upload(path: str = "/ask/1", size: int = UPLOAD_BYTES, **headers) -> bytes:
    """Return a request with a large body."""
    return build_request(path, "POST", b"u" * size, **headers)


def build_head(request: bytes, status: bytes, header: bytes = b"") -> bytes:
    """Return the head of an answer to ``request``."""
    request_id = get_value(request, b"x-request-id")
    head = b"HTTP/1.1 " + status + b"\r\nX-Request-Id: " + request_id + b"\r\n"
    return head + header + b"\r\n"


@define
class EarlyAnswer:
    """A script that answers after a part of the request, then ends as told.

    ``end`` is one of these:

    - ``reset``;
    - ``close``: nothing more is sent, and the rest is read until the peer closes;
    - ``half-close``: nothing more is sent or read;
    - ``keep``: the rest of the request is read, and another one may follow.
    """

    framing: str
    end: str
    status: bytes = b"200 OK"
    cut: int | None = None
    """Bytes of the framed body that are sent, None for all."""
    pause_s: float = 0.003
    """Time from the last byte to the end."""

    async def __call__(self, connection: ScriptedConnection, request: bytes) -> None:
        header, body = frame_answer(self.framing)
        if self.end != "keep":
            header += b"Connection: close\r\n"
        await connection.send(build_head(request, self.status, header))
        await connection.send(body[: self.cut])
        await trio.sleep(self.pause_s)
        if self.end == "reset":
            connection.reset()
            return
        if self.end in ("close", "half-close"):
            await connection.stream.send_eof()
        if self.end == "half-close":
            await trio.sleep_forever()
        head, _, body = request.partition(b"\r\n\r\n")
        rest = int(get_value(head, b"content-length")) - len(body)
        while part := await self._read(connection, rest):
            rest -= len(part)
        if self.end == "close":
            await connection.stream.aclose()

    async def _read(self, connection: ScriptedConnection, rest: int) -> bytes:
        if self.end == "close":
            rest = READ_BYTES
        return await connection.stream.receive_some(rest) if rest else b""


def is_cut(answer: ReceivedAnswer) -> bool:
    """Return whether its caller can tell that an answer is incomplete."""
    return answer.ending == "broken" or answer.status >= 500


async def send_upload(nursery, kind: str, script, deployment=None) -> ReceivedAnswer:
    """Return the answer to an upload of which the endpoint reads the first part."""
    harness = await start_relay(nursery, deployment or DEPLOYMENTS[kind])
    endpoint = await harness.add(script)
    endpoint.read_limit = READ_BYTES
    answer = await call(harness, build_upload())
    assert len(endpoint.requests) == 1
    return answer


class TestResetAnswers:
    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    @pytest.mark.parametrize("has_status", [False, True])
    async def test_reset_during_an_upload_looks_like_a_complete_answer(
        self, nursery, kind, has_status
    ):
        """The sending took the reset, and a call found the endpoint alive."""
        deployment = DEPLOYMENTS[kind]
        if has_status:
            deployment = add_status(deployment)
        harness = await start_relay(nursery, deployment)
        random = Random(f"{SEED} {kind} {has_status}")
        complete = []
        for _ in range(RUNS_PER_KIND):
            harness.relay.cluster_view.endpoints.clear()
            pause_s = random.uniform(0.0, MAX_RESET_DELAY_S)
            cut = len(EVENTS[0])
            script = EarlyAnswer("close", "reset", cut=cut, pause_s=pause_s)
            endpoint = await harness.add(script)
            endpoint.read_limit = READ_BYTES
            answer = await call(harness, build_upload())
            if not is_cut(answer):
                complete.append(answer)
        assert complete == []

    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_reset_after_the_last_byte_looks_like_a_regular_end(
        self, nursery, kind
    ):
        """Nothing tells that the last byte that arrived was the last one."""
        answer = await send_upload(nursery, kind, EarlyAnswer("close", "reset"))
        assert is_cut(answer)

    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_reset_after_the_end_looks_like_a_regular_end(self, nursery, kind):
        """An endpoint ended its answer, and dropped the upload that it had not read."""

        async def end_then_reset(connection, request):
            await connection.send(build_head(request, b"200 OK") + EVENTS[0])
            await connection.stream.send_eof()
            connection.reset()

        assert is_cut(await send_upload(nursery, kind, end_then_reset))

    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_half_closed_endpoint_that_reads_no_more_has_answered(
        self, nursery, kind
    ):
        """The request is never received as a whole."""
        script = EarlyAnswer("close", "half-close", cut=len(EVENTS[0]))
        assert is_cut(await send_upload(nursery, kind, script))

    @pytest.mark.parametrize("path", ["/ask/1", "/tell/1"])
    async def test_carried_answer_that_was_reset_looks_complete(self, nursery, path):
        """The gateway that carries a request gives each whole answer a framing."""
        site = await start_site(nursery, CARRIED, 2, 0)
        script = EarlyAnswer("close", "reset", cut=len(EVENTS[0]))
        await site.add_endpoint(script)
        site.endpoints[0].read_limit = READ_BYTES
        site.cut(range(1), "refused")
        complete = []
        for number in range(RUNS_PER_KIND):
            request = build_upload(path, X_Request_Id=f"carried-{number}")
            answer = await call(site.gateways[0], request)
            if not is_cut(answer):
                complete.append(answer)
        assert complete == []
        assert site.endpoints[0].requests


class TestFramedAnswers:
    """A length or the last chunk proves the end, whatever became of the upload."""

    @pytest.mark.parametrize("end", ["reset", "close", "half-close", "keep"])
    @pytest.mark.parametrize("framing", ["length", "chunked"])
    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_early_answer_with_a_framing_is_cut(
        self, nursery, kind, framing, end
    ):
        script = EarlyAnswer(framing, end)
        answer = await send_upload(nursery, kind, script)
        assert answer == ReceivedAnswer(200, BODY, "proven")

    @pytest.mark.parametrize("end", ["reset", "close", "half-close"])
    @pytest.mark.parametrize("framing", ["length", "chunked"])
    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_incomplete_early_answer_looks_complete(
        self, nursery, kind, framing, end
    ):
        script = EarlyAnswer(framing, end, cut=len(EVENTS[0]))
        assert is_cut(await send_upload(nursery, kind, script))

    async def test_rejection_arrives_only_after_the_whole_upload(self, nursery):
        """An endpoint that has rejected an upload does not read the rest of it."""

        async def reject(connection, request):
            await connection.send(build_answer(request, b"big", b"413 Too Large"))
            await trio.sleep_forever()

        answer = await send_upload(nursery, "once", reject)
        assert answer == ReceivedAnswer(413, b"big", "proven")


@frozen
class SoundAnswer:
    """One early rejection, as an endpoint sends it."""

    kind: str
    status: bytes
    framing: str
    end: str
    size: int


def draw_sound_answer(random: Random) -> SoundAnswer:
    """Draw an early rejection; one without a length can only end by a close."""
    framing, end = random.choice(
        [
            ("length", "keep"),
            ("length", "close"),
            ("chunked", "keep"),
            ("chunked", "close"),
            ("close", "close"),
        ]
    )
    return SoundAnswer(
        random.choice(list(DEPLOYMENTS)),
        random.choice([b"413 Too Large", b"503 Service Unavailable"]),
        framing,
        end,
        random.randint(*SOUND_UPLOAD_BYTES),
    )


class TestSoundAnswers:
    async def test_sound_early_rejections_are_cut(self, nursery):
        """Callers must be told why an upload was rejected."""
        random = Random(SEED)
        harnesses = {}
        for kind, deployment in DEPLOYMENTS.items():
            harnesses[kind] = await start_relay(nursery, add_status(deployment))
            endpoint = await harnesses[kind].add(None)
            endpoint.read_limit = READ_BYTES
        cut = []
        for number in range(SOUND_ANSWERS):
            drawn = draw_sound_answer(random)
            harness = harnesses[drawn.kind]
            harness.endpoints[0].script = EarlyAnswer(
                drawn.framing, drawn.end, drawn.status, pause_s=0.0
            )
            request = build_upload(size=drawn.size, X_Request_Id=f"early-{number}")
            answer = await call(harness, request)
            ending = "closed" if drawn.framing == "close" else "proven"
            expected = ReceivedAnswer(int(drawn.status[:3]), BODY, ending)
            if answer != expected:
                cut.append((drawn, answer.status, len(answer.body), answer.ending))
        assert len(cut) <= SOUND_ANSWERS // 1000, cut

    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_answer_that_ends_before_the_upload_was_read_is_cut(
        self, nursery, kind
    ):
        """An endpoint may answer first, and read the rest of an upload after that."""
        answer = await send_upload(nursery, kind, EarlyAnswer("close", "close"))
        assert answer == ReceivedAnswer(200, BODY, "closed")


class TestSecondResponses:
    """A second response comes behind an answer that only a close ends."""

    async def receive(self, nursery, kind: str, second: bytes, events=EVENTS):
        async def send_two(connection, request):
            head = build_head(request, b"200 OK")
            await connection.send(head + b"".join(events))
            await trio.sleep(0.002)
            await connection.send(second)
            await connection.stream.aclose()

        harness = await start_relay(nursery, DEPLOYMENTS[kind])
        await harness.add(send_two)
        return await call(harness, build_request())

    @pytest.mark.parametrize("newline", [b"\r\n", b"\n"])
    @pytest.mark.parametrize("body", [b"", b'{"a": 1}\n\n', b"data: y\n\n"])
    @pytest.mark.parametrize("events", [EVENTS, [b"data: x\n\n"]])
    @pytest.mark.parametrize("kind", ["fixed-stream", "resumable-stream"])
    async def test_second_response_reaches_the_caller_as_events(
        self, nursery, kind, events, body, newline
    ):
        head = b"HTTP/1.1 200 OK" + newline + b"Content-Length: 9" + 2 * newline
        answer = await self.receive(nursery, kind, head + body, events)
        assert answer == ReceivedAnswer(200, b"".join(events), "broken")

    @pytest.mark.parametrize("kind", ["fixed-stream", "resumable-stream"])
    async def test_second_response_inside_an_event_reaches_the_caller(
        self, nursery, kind
    ):
        """The last event of the first response was not ended."""
        second = b"data: y\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        answer = await self.receive(nursery, kind, second)
        assert answer == ReceivedAnswer(200, BODY, "broken")

    async def test_stream_with_unknown_fields_is_cut(self, nursery):
        """Clients ignore fields that they don't know, and lines of any length."""
        second = b": HTTP/1.1 200 OK\nx-trace: {}\nretry\ndata: HTTP/1.1 200 OK\n\n"
        answer = await self.receive(nursery, "fixed-stream", second)
        assert answer == ReceivedAnswer(200, BODY + second, "closed")


class TestOddStatusLines:
    @pytest.mark.parametrize("line", ODD_STATUS_LINES)
    @pytest.mark.parametrize("kind", DEPLOYMENTS)
    async def test_odd_status_reaches_the_caller(self, nursery, kind, line):
        """An answer with status 000 must not reach a caller."""

        async def send_odd(connection, request):
            request_id = get_value(request, b"x-request-id")
            rest = b"\r\nX-Request-Id: " + request_id + b"\r\nContent-Length: 2\r\n\r\n"
            await connection.send(line + rest + b"hi")
            await connection.stream.aclose()

        harness = await start_relay(nursery, DEPLOYMENTS[kind])
        await harness.add(send_odd)
        answer = await call(harness, build_request())
        assert answer.status == 502 and answer.body != b"hi"
