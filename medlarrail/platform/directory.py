"""Readiness checks and the callers' question where to connect."""

import orjson
from attrs import define

from medlarrail.programs.gateway import Gateway
from medlarrail.relay.inbound import Exchange

KEPT_S = 2
"""Seconds for which callers keep an answer: short, since some keep it three
times as long, and a gateway serves on for six seconds after it left the list."""
LARGEST_LIST = 64
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@define
class PlatformDirectory:
    """Answers for one gateway from its picture."""

    gateway: Gateway

    async def answer_ready(self, exchange: Exchange) -> None:
        """Tell whether this gateway takes callers' requests."""
        status = 200 if self.gateway.is_ready() else 503
        if exchange.request.path != "/readyz":
            status = 404
        await exchange.send_whole(status, JSON_HEADERS, b"{}")

    async def answer_resolve(self, exchange: Exchange) -> None:
        """Tell the addresses of the gateways that take requests."""
        addresses = [one.address for one in self.gateway.picture.entries]
        if exchange.request.path != "/resolve" or not addresses:
            status = 503 if exchange.request.path == "/resolve" else 404
            await exchange.send_whole(status, JSON_HEADERS, b"{}")
            return
        body = {"addresses": addresses[:LARGEST_LIST], "ttl-s": KEPT_S}
        await exchange.send_whole(200, JSON_HEADERS, orjson.dumps(body))
