"""Readiness checks, and resolution of the gateways' addresses for callers."""

from urllib.parse import parse_qs

import orjson
from attrs import define

from medlarrail.policy.entry_listing import choose_entries
from medlarrail.programs.gateway import Gateway
from medlarrail.relay.inbound import ServerExchange

RESOLVE_TTL_S = 2
"""Time for which callers may cache an answer. It is short because some cache it three
times as long, and a gateway serves for six seconds after it has left the list."""
MAX_ADDRESSES = 64
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@define
class PlatformDirectory:
    """Answers readiness and address requests from one gateway's view of the cluster."""

    gateway: Gateway

    async def answer_ready(self, exchange: ServerExchange) -> None:
        """Answer whether this gateway accepts callers' requests."""
        status = 200 if self.gateway.is_ready() else 503
        if exchange.request.path != "/readyz":
            status = 404
        await exchange.send_whole(status, JSON_HEADERS, b"{}")

    async def answer_resolve(self, exchange: ServerExchange) -> None:
        """Answer with the addresses of the gateways that accept requests."""
        entries = self.gateway.cluster_view.entries
        if exchange.request.path != "/resolve" or not entries:
            status = 503 if exchange.request.path == "/resolve" else 404
            await exchange.send_whole(status, JSON_HEADERS, b"{}")
            return
        query = parse_qs(exchange.request.target.partition(b"?")[2].decode("latin1"))
        data_centre = query.get("zone", [""])[0]
        chosen = choose_entries(
            entries, data_centre, exchange.get_caller_host(), MAX_ADDRESSES
        )
        addresses = [entry.address for entry in chosen]
        body = {"addresses": addresses, "ttl-s": RESOLVE_TTL_S}
        await exchange.send_whole(200, JSON_HEADERS, orjson.dumps(body))
