"""Reads reports of model endpoints and sends them orders, in the platform's format."""

import orjson
from attrs import define

from medlarrail.cluster.weight_rollout import EngineState, OrderResult, WeightOrder
from medlarrail.core.announcements import Announcement
from medlarrail.core.codec import parse_json, read_count
from medlarrail.core.errors import BadJson, PeerBroken
from medlarrail.transport.client import HttpClient

MAX_ANSWER_BYTES = 1_000_000
"""Maximum size of a report, which lists the running requests."""
CALL_TIMEOUT_S = 1.0
"""Timeout of one call; an order that times out may still be carried out."""
RESULT_BY_STATUS: dict[int, OrderResult] = {
    200: "holds",
    202: "accepted",
    409: "conflict",
    412: "fenced",
    421: "gone",
}


@define
class PlatformOrders:
    """See ``medlarrail.cluster.weight_rollout.WeightOrderSender``."""

    client: HttpClient

    async def read_state(self, endpoint: Announcement) -> EngineState:
        """Return the loaded weight versions and order state of an endpoint."""
        url = f"http://{endpoint.address}/report"
        answer = await self.client.fetch(
            "GET", url, timeout_s=CALL_TIMEOUT_S, max_bytes=MAX_ANSWER_BYTES
        )
        try:
            payload = parse_json(answer.body)
            versions = tuple(
                (str(model["name"]), read_count(model["version"]))
                for model in payload["models"]
            )
            # "sequence" is the number of orders accepted since the endpoint started.
            return EngineState(
                versions, read_count(payload["sequence"]), bool(payload["busy"])
            )
        except (BadJson, KeyError, TypeError, ValueError) as error:
            raise PeerBroken(url=url) from error

    async def order(self, order: WeightOrder) -> OrderResult:
        """Send an order that takes effect after the in-flight requests have ended."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": "wait",
            "holder": order.holder,
            "fencing-token": order.fencing,
            "expect": order.orders_taken,
        }
        answer = await self.client.fetch(
            "POST",
            f"http://{order.endpoint.address}/order",
            orjson.dumps(body),
            headers={"expect-instance": order.endpoint.name},
            timeout_s=CALL_TIMEOUT_S,
            new_connection=True,
            max_bytes=MAX_ANSWER_BYTES,
        )
        return RESULT_BY_STATUS.get(answer.status, "rejected")
