"""Small models of engines and of entries that decide alone, for the benches."""

from collections import Counter
from collections.abc import Callable

import trio
from attrs import define, field, frozen

from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import EndpointRefused, Overloaded, StreamBroken
from medlarrail.ownership.permit_client import HeldPermit
from medlarrail.protocol.endpoints import LoadReport
from medlarrail.protocol.permits import AcquireAnswer

REPORT_INTERVAL_S = 0.25
DOWN_S = 1.0
DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")


@frozen
class Workload:
    """The sizes of one deployment; rates are requests a second."""

    name: str
    entries: int
    replicas: int
    latency_s: float
    rate_per_s: float
    prefill_s: float
    decode_s: float
    duration_s: float = 60.0
    accounts: int = 10
    large_accounts: int = 3


WORKLOADS = (
    Workload("thistlegate", 6, 9, 0.0005, 42.0, 0.15, 0.6),
    Workload("derwent-valley", 6, 5, 0.0015, 20.0, 0.25, 0.8),
)


@define
class SimEndpoint:
    """An engine that falls over when it runs more than it bears."""

    endpoint: Endpoint
    life: int = 1
    running: int = 0
    completed: int = 0
    overruns: int = 0
    down_until: float = 0.0
    _broken: trio.Event = field(factory=trio.Event)

    @property
    def incarnation(self) -> str:
        """Name of the present life."""
        return f"i{self.life}"

    def get_bearable(self) -> int:
        """Return the requests that it bears now."""
        warmup = self.endpoint.warmup_requests
        cold, warm = self.endpoint.cold_limit, self.endpoint.warm_limit
        return cold + int((warm - cold) * min(1.0, self.completed / warmup))

    def restart(self) -> None:
        """Break what runs and come back cold."""
        self.life += 1
        self.running = 0
        self.completed = 0
        self.down_until = trio.current_time() + DOWN_S
        self._broken.set()
        self._broken = trio.Event()

    async def run(self, prefill_s: float, decode_s: float, on_first) -> None:
        """Run one request; raises where it is refused or breaks."""
        if trio.current_time() < self.down_until:
            raise EndpointRefused(endpoint=self.endpoint.name)
        if self.running >= self.get_bearable():
            self.overruns += 1
            self.restart()
            raise StreamBroken(endpoint=self.endpoint.name)
        life, broken = self.life, self._broken
        self.running += 1
        for seconds, notify in ((prefill_s, on_first), (decode_s, None)):
            with trio.move_on_after(seconds):
                await broken.wait()
            if self.life != life:
                raise StreamBroken(endpoint=self.endpoint.name)
            if notify is not None:
                notify()
        self.running -= 1
        self.completed += 1


@define
class LaggedPermits:
    """Decides at each entry alone, on load reports that lag.

    It knows every endpoint's latest report, and counts what it sent itself since
    that report was sampled. With ``parts`` above 1 it admits only that part of an
    endpoint's limit, and counts only its own requests.
    """

    clock: Callable[[], float]
    parts: int = 1
    mine: Counter = field(factory=Counter)
    reports: dict[str, LoadReport] = field(factory=dict)
    sent: dict[str, list[float]] = field(factory=dict)
    sampled_at: dict[str, float] = field(factory=dict)
    endpoints: dict[str, Endpoint] = field(factory=dict)
    number: int = 0

    def make_permit_id(self) -> str:
        """Return a new id."""
        self.number += 1
        return f"p{self.number}"

    def take_report(self, report: LoadReport, sampled_at: float) -> None:
        """Take a report and forget what was sent before it."""
        self.reports[report.endpoint] = report
        self.sampled_at[report.endpoint] = sampled_at
        recent = [t for t in self.sent.get(report.endpoint, ()) if t > sampled_at]
        self.sent[report.endpoint] = recent

    async def acquire(self, request) -> HeldPermit:
        """Admit by the report and what was sent since."""
        await trio.lowlevel.checkpoint()
        name = request.endpoint
        report = self.reports.get(name)
        completed = report.completed if report else 0
        running = report.running if report else 0
        endpoint = self.endpoints[name]
        grown = min(1.0, completed / endpoint.warmup_requests)
        spread = endpoint.warm_limit - endpoint.cold_limit
        limit = endpoint.cold_limit + int(spread * grown)
        in_use = running + len(self.sent.get(name, ()))
        if self.parts > 1:
            limit = max(1, limit // self.parts)
            in_use = self.mine[name]
        if in_use >= limit:
            raise Overloaded(endpoint=name, retry_after_s=REPORT_INTERVAL_S)
        self.sent.setdefault(name, []).append(self.clock())
        self.mine[name] += 1
        answer = AcquireAnswer(request.permit, "", "", 1.0)
        end = self.clock() + request.hold_s
        return HeldPermit(request.permit, name, request.account, end, end, answer)

    def check(self, held: HeldPermit) -> None:
        """Every permit may be used."""

    def note_started(self, held: HeldPermit, incarnation: str) -> None:
        """Nothing to tell."""

    def give_back(self, held: HeldPermit, outcome: str, incarnation: str = "") -> None:
        """Count the request as ended."""
        self.mine[held.endpoint] -= 1
