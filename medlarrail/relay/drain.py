"""The orderly shutdown of a gateway: no request that was taken is cut."""

from collections.abc import Callable

import eliot
import trio
from attrs import frozen

from medlarrail.relay.front import RelayFront
from medlarrail.relay.inbound import InboundServer

POLL_S = 0.05


@frozen
class DrainPolicy:
    """Times of a shutdown in seconds.

    Callers keep their list of gateways for a while, so new requests are taken
    for at least ``shortest_s``, until none came for ``quiet_s``, and for
    ``longest_s`` at most. ``limit_s`` bounds the whole shutdown.
    """

    shortest_s: float = 2.5
    quiet_s: float = 1.0
    longest_s: float = 6.0
    limit_s: float = 7.5


async def drain_gateway(
    server: InboundServer, front: RelayFront, policy: DrainPolicy
) -> None:
    """Serve on until callers have gone elsewhere, then let requests end."""
    started_at = trio.current_time()
    server.draining = True
    with trio.move_on_after(policy.limit_s):
        with trio.move_on_after(policy.longest_s):
            await trio.sleep(policy.shortest_s)
            await _wait_quiet(lambda: server.begun, policy.quiet_s)
        front.refuse_new = True
        while server.active:
            await trio.sleep(POLL_S)
    eliot.log_message(
        "gateway:drained",
        seconds=round(trio.current_time() - started_at, 2),
        unfinished=server.active,
        connections=server.connections,
    )


async def _wait_quiet(count: Callable[[], int], quiet_s: float) -> None:
    """Return once ``count`` stayed the same for ``quiet_s`` seconds."""
    seen = count()
    since = trio.current_time()
    while trio.current_time() < since + quiet_s:
        await trio.sleep(POLL_S)
        if count() != seen:
            seen = count()
            since = trio.current_time()
