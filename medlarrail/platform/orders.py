"""Orders and reports of model endpoints, spelled as the platform does."""

import orjson
from attrs import define

from medlarrail.cluster.weight_keeper import EngineState, OrderResult, WeightOrder
from medlarrail.core.announcements import Announcement
from medlarrail.core.codec import parse_json
from medlarrail.core.errors import BadJson, PeerBroken
from medlarrail.transport.client import HttpClient

CALL_TIMEOUT_S = 1.0
"""Time limit of one call; an order without an answer may still be carried out."""
RESULTS: dict[int, OrderResult] = {
    200: "holds",
    202: "accepted",
    409: "conflict",
    412: "fenced",
    421: "gone",
}


@define
class PlatformOrders:
    """See ``medlarrail.cluster.weight_keeper.WeightOrders``."""

    client: HttpClient

    async def read_state(self, endpoint: Announcement) -> EngineState:
        """Return an endpoint's report on its weights and orders."""
        url = f"http://{endpoint.address}/report"
        answer = await self.client.fetch("GET", url, timeout_s=CALL_TIMEOUT_S)
        try:
            plain = parse_json(answer.body)
            versions = tuple(
                (str(one["name"]), int(one["version"])) for one in plain["models"]
            )
            # "sequence" is the number of orders taken since the endpoint's start.
            return EngineState(versions, int(plain["sequence"]), bool(plain["busy"]))
        except (BadJson, KeyError, TypeError, ValueError) as error:
            raise PeerBroken(url=url) from error

    async def order(self, order: WeightOrder) -> OrderResult:
        """Give an order that waits for the requests that run."""
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
            fresh=True,
        )
        return RESULTS.get(answer.status, "rejected")
