"""A stand-in plain service that counts each purchase by its key."""

import trio
from attrs import define, frozen

from medlarrail.core.codec import encode
from medlarrail.protocol.endpoints import INCARNATION_HEADER, REQUEST_ID_HEADER
from medlarrail.standins.backend import Backend
from medlarrail.transport.routes import IDEMPOTENCY_HEADER, Reply, Request, route


@frozen
class Receipt:
    """The answer to a purchase or a lookup."""

    key: str
    runs: int
    seat: int


@define
class Service(Backend):
    """Sells seats, and looks them up."""

    sold: int = 0

    @route("POST", "/purchase")
    async def handle_purchase(self, request: Request) -> Reply:
        """Sell a seat; every run counts, so a repeat shows."""
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        with self.run_request(key):
            self.sold += 1
            receipt = Receipt(key, self.runs[key], self.sold)
            with self.breakable():
                await trio.sleep(self.settings.behaviour.call_s)
        return self._reply(request, receipt)

    @route("GET", "/lookup")
    async def handle_lookup(self, request: Request) -> Reply:
        """Look a seat up; may be repeated freely."""
        with self.run_request("lookup"):
            with self.breakable():
                await trio.sleep(self.settings.behaviour.call_s)
        return self._reply(request, Receipt("", self.runs["lookup"], self.sold))

    def _reply(self, request: Request, receipt: Receipt) -> Reply:
        headers = {
            REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, ""),
            INCARNATION_HEADER: self.incarnation,
        }
        return Reply(body=encode(receipt), headers=headers)
