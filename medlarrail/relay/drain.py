"""Graceful shutdown of a gateway: accepted requests are completed."""

from collections.abc import Callable

import eliot
import trio
from attrs import frozen

from medlarrail.relay.inbound import InboundServer
from medlarrail.relay.request_relay import RequestRelay

POLL_INTERVAL_S = 0.05
ANSWER_MARGIN_S = 0.2
"""Time before the end of the shutdown at which requests that still wait for an endpoint
are answered with an error, so that the answers reach their callers."""


@frozen
class DrainPolicy:
    """Shutdown times in seconds.

    Callers cache their list of gateways, so new requests are accepted for at least
    ``shortest_s``, then until none has arrived for ``quiet_s``, and for
    ``longest_s`` at most. ``limit_s`` bounds the whole shutdown. Requests that would
    not be answered by then are refused; those received after ``bounded_from_s`` if
    their deadlines are later.
    """

    shortest_s: float = 2.5
    bounded_from_s: float = 2.5
    quiet_s: float = 1.0
    longest_s: float = 6.0
    limit_s: float = 7.5


async def drain_gateway(
    server: InboundServer, relay: RequestRelay, policy: DrainPolicy
) -> None:
    """Keep serving until callers have moved away, then wait for active requests."""
    started_at = trio.current_time()
    server.draining = True
    answers_due_at = started_at + policy.limit_s - ANSWER_MARGIN_S
    relay.shutdown.begin(answers_due_at, started_at + policy.bounded_from_s)
    with trio.move_on_at(answers_due_at):
        with trio.move_on_after(policy.longest_s):
            await trio.sleep(policy.shortest_s)
            await _wait_until_quiet(lambda: server.started_count, policy.quiet_s)
        relay.draining = True
        await _wait_until_idle(server)
    relay.draining = True
    relay.shutdown.interrupt()
    with trio.move_on_at(started_at + policy.limit_s):
        await _wait_until_idle(server)
    eliot.log_message(
        "gateway:drained",
        seconds=round(trio.current_time() - started_at, 2),
        unfinished=server.active,
        connections=server.connections,
    )


async def _wait_until_idle(server: InboundServer) -> None:
    while server.active:
        await trio.sleep(POLL_INTERVAL_S)


async def _wait_until_quiet(count: Callable[[], int], quiet_s: float) -> None:
    """Return once ``count`` has not changed for ``quiet_s`` seconds."""
    previous = count()
    since = trio.current_time()
    while trio.current_time() < since + quiet_s:
        await trio.sleep(POLL_INTERVAL_S)
        if count() != previous:
            previous = count()
            since = trio.current_time()
