"""Auxiliary HTTP servers of a daemon, such as its metrics endpoint."""

from collections.abc import Awaitable, Callable

import trio

from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.inbound import InboundServer, ServerExchange

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


async def start_metrics(nursery: trio.Nursery, address: str) -> None:
    """Serve this process's metrics as Prometheus text on ``address``."""

    async def answer(exchange: ServerExchange) -> None:
        from medlarrail.core.prometheus import format_prometheus

        headers = [(b"Content-Type", METRICS_CONTENT_TYPE)]
        await exchange.send_whole(200, headers, format_prometheus(get_metrics()))

    await serve_auxiliary(nursery, address, answer)


ExchangeHandler = Callable[[ServerExchange], Awaitable[None]]


async def serve_auxiliary(
    nursery: trio.Nursery, address: str, answer: ExchangeHandler
) -> None:
    """Serve ``address``, a ``host:port`` other than the callers', with ``answer``."""

    async def answer_error(exchange: ServerExchange, error: MedlarError) -> None:
        await exchange.send_whole(error.status, [], b"")

    host, _, port = address.partition(":")
    server = InboundServer(answer, answer_error)
    await nursery.start(server.run, host, int(port))
