"""A stand-in HTTP service that counts the runs of each purchase by its key."""

from collections import Counter
from pathlib import Path

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
    """A service that sells seats and looks them up."""

    sold: int = 0

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        path = Path(self.settings.runs_file)
        if self.settings.runs_file and path.exists():
            self.runs.update(Counter(path.read_text().split()))
            self.sold = sum(self.runs.values())

    def _record_run(self, key: str) -> None:
        if self.settings.runs_file:
            with open(self.settings.runs_file, "a") as file:
                file.write(f"{key}\n")

    @route("POST", "/purchase")
    async def handle_purchase(self, request: Request) -> Reply:
        """Sell a seat; every run is counted, so that a repeated run is detected."""
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        with self.run_request(key):
            self.sold += 1
            self._record_run(key)
            receipt = Receipt(key, self.runs[key], self.sold)
            with self.cancel_on_crash():
                await trio.sleep(self.settings.behaviour.call_s)
        return self._reply(request, receipt)

    @route("GET", "/lookup")
    async def handle_lookup(self, request: Request) -> Reply:
        """Look a seat up; idempotent."""
        with self.run_request("lookup"):
            with self.cancel_on_crash():
                await trio.sleep(self.settings.behaviour.call_s)
        return self._reply(request, Receipt("", self.runs["lookup"], self.sold))

    def _reply(self, request: Request, receipt: Receipt) -> Reply:
        headers = {
            REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, ""),
            INCARNATION_HEADER: self.incarnation,
        }
        return Reply(body=encode(receipt), headers=headers)
