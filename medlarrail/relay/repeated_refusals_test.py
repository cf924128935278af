"""Tests of endpoints that write an earlier refusal once more on a kept connection.

A caller who is told that a request did not run may send it again.
"""

import pytest
import trio

from medlarrail.testing.builders import build_deployment, build_route
from medlarrail.testing.scripted_endpoints import (
    answer_ok,
    build_answer,
    build_request,
    build_script,
    start_relay,
)

ROUTES = {
    "repeat": build_route(max_attempts=2),
    "stream": build_route(kind="stream", resumable=True, max_attempts=2),
}


def build_repeating_script(status: bytes, id_header: bool = True):
    """Return a script that refuses one request, and later writes that once more.

    The copy also asks for a time without requests and says that the endpoint leaves.
    """
    copies = []

    async def refuse(connection, request):
        if not id_header:
            request = request.replace(b"X-Request-Id", b"X-Other")
        headers = {"X_Not_Run": "1"}
        await connection.send(build_answer(request, b"", status, **headers))
        headers |= {"Retry_After": "30", "X_Leaving": "1"}
        copies.append(build_answer(request, b"", status, **headers))

    async def repeat(connection, request):
        await connection.send(copies[0])
        await answer_ok(connection, request)

    return build_script(refuse, repeat)


def get_status(answer: bytes) -> int:
    return int(answer.split(b" ")[1])


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("status", [b"503 Full", b"429 Slow down"])
@pytest.mark.parametrize("id_header", [True, False])
async def test_a_request_that_runs_is_said_not_to_have_run(
    nursery, kind, status, id_header
):
    harness = await start_relay(nursery, build_deployment(routes=(ROUTES[kind],)))
    endpoint = await harness.add(build_repeating_script(status, id_header=id_header))
    first = await harness.send(build_request(X_Request_Id="r1"))
    assert get_status(first) in (429, 503)
    second = await harness.send(build_request(X_Request_Id="r2"))
    assert len(endpoint.requests) == 2
    assert get_status(second) not in (408, 421, 429, 503)
    stats = harness.relay.endpoint_stats
    (view,) = harness.relay.cluster_view.endpoints.values()
    assert not stats.back_offs.is_active(view.announced, stats.clock())
    assert not stats.leaving.has(view.announced)


async def test_the_next_request_gets_the_answer_behind_the_copy(nursery):
    harness = await start_relay(nursery)
    endpoint = await harness.add(build_repeating_script(b"503 Full"))
    for number in range(1, 5):
        answer = await harness.send(build_request(X_Request_Id=f"r{number}"))
        await trio.sleep(0.01)
        if get_status(answer) == 200:
            assert f"X-Request-Id: r{number}".lower().encode() in answer.lower()
    assert endpoint.connections > 1
