"""Auxiliary HTTP servers of a daemon, such as its metrics endpoint."""

from collections.abc import Awaitable, Callable

import trio

from medlarrail.core.deployment import RequestLimits
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.inbound import InboundServer, ServerExchange
from medlarrail.transport.memory_gate import MemoryGate

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


PROBE_LIMITS = RequestLimits(header_bytes=8192, body_bytes=4096)
"""Probes and scrapes have short heads and no bodies."""
MAX_CONNECTIONS = 256
"""Concurrent connections of each listener; for a further one an idle one is closed."""


async def start_metrics(nursery: trio.Nursery, address: str, gate: MemoryGate) -> None:
    """Serve this process's metrics as Prometheus text on ``address``."""

    async def answer(exchange: ServerExchange) -> None:
        from medlarrail.core.prometheus import format_prometheus

        headers = [(b"Content-Type", METRICS_CONTENT_TYPE)]
        await exchange.send_whole(200, headers, format_prometheus(get_metrics()))

    await serve_auxiliary(nursery, address, answer, gate, "metrics")


ExchangeHandler = Callable[[ServerExchange], Awaitable[None]]


async def serve_auxiliary(
    nursery: trio.Nursery,
    address: str,
    answer: ExchangeHandler,
    gate: MemoryGate,
    name: str,
) -> None:
    """Serve ``address``, a ``host:port`` other than the callers', with ``answer``.

    ``name`` stands for this listener in counters and log lines.
    """

    async def answer_error(exchange: ServerExchange, error: MedlarError) -> None:
        await exchange.send_whole(error.status, [], b"")

    host, _, port = address.partition(":")
    server = InboundServer(
        answer,
        answer_error,
        PROBE_LIMITS,
        max_connections=MAX_CONNECTIONS,
        name=name,
        gate=gate,
        allows_pipelining=False,
    )
    await nursery.start(server.run, host, int(port))
