"""Simulated engines and local admission at entries, for the benchmarks."""

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
    """The size and load of one deployment; rates are requests per second."""

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
class SimulatedEndpoint:
    """A simulated engine that crashes when it exceeds its capacity."""

    endpoint: Endpoint
    incarnation_number: int = 1
    running: int = 0
    completed: int = 0
    overruns: int = 0
    down_until: float = 0.0
    _aborted: trio.Event = field(factory=trio.Event)

    @property
    def incarnation(self) -> str:
        """Incarnation name of the current process."""
        return f"i{self.incarnation_number}"

    def get_capacity(self) -> int:
        """Return the number of concurrent requests that it can run now."""
        warmup = self.endpoint.warmup_requests
        cold, warm = self.endpoint.cold_limit, self.endpoint.warm_limit
        return cold + int((warm - cold) * min(1.0, self.completed / warmup))

    def restart(self) -> None:
        """Abort running requests and restart cold after ``DOWN_S``."""
        self.incarnation_number += 1
        self.running = 0
        self.completed = 0
        self.down_until = trio.current_time() + DOWN_S
        self._aborted.set()
        self._aborted = trio.Event()

    async def run(self, prefill_s: float, decode_s: float, on_first) -> None:
        """Run one request; raises if it is refused or aborted."""
        if trio.current_time() < self.down_until:
            raise EndpointRefused(endpoint=self.endpoint.name)
        if self.running >= self.get_capacity():
            self.overruns += 1
            self.restart()
            raise StreamBroken(endpoint=self.endpoint.name)
        incarnation_number, aborted = self.incarnation_number, self._aborted
        self.running += 1
        for seconds, notify in ((prefill_s, on_first), (decode_s, None)):
            with trio.move_on_after(seconds):
                await aborted.wait()
            if self.incarnation_number != incarnation_number:
                raise StreamBroken(endpoint=self.endpoint.name)
            if notify is not None:
                notify()
        self.running -= 1
        self.completed += 1


@define
class DelayedPermits:
    """Admits requests locally at one entry, based on load reports that lag.

    The load of an endpoint is its latest report plus the requests that this entry sent
    since the report was sampled. With ``limit_divisor`` above 1 the endpoint's limit is
    divided by it, and only the entry's own requests count.
    """

    clock: Callable[[], float]
    limit_divisor: int = 1
    own_requests: Counter = field(factory=Counter)
    reports: dict[str, LoadReport] = field(factory=dict)
    sent_at: dict[str, list[float]] = field(factory=dict)
    sampled_at: dict[str, float] = field(factory=dict)
    endpoints: dict[str, Endpoint] = field(factory=dict)
    number: int = 0

    def make_permit_id(self) -> str:
        """Return a new permit id."""
        self.number += 1
        return f"p{self.number}"

    def apply_report(self, report: LoadReport, sampled_at: float) -> None:
        """Store a report and discard send times before its sample."""
        self.reports[report.endpoint] = report
        self.sampled_at[report.endpoint] = sampled_at
        recent = [t for t in self.sent_at.get(report.endpoint, ()) if t > sampled_at]
        self.sent_at[report.endpoint] = recent

    async def acquire(self, request) -> HeldPermit:
        """Admit a request based on the latest report and the requests sent since."""
        await trio.lowlevel.checkpoint()
        name = request.endpoint
        report = self.reports.get(name)
        completed = report.completed if report else 0
        running = report.running if report else 0
        endpoint = self.endpoints[name]
        warmup_progress = min(1.0, completed / endpoint.warmup_requests)
        warmup_gain = endpoint.warm_limit - endpoint.cold_limit
        limit = endpoint.cold_limit + int(warmup_gain * warmup_progress)
        in_use = running + len(self.sent_at.get(name, ()))
        if self.limit_divisor > 1:
            limit = max(1, limit // self.limit_divisor)
            in_use = self.own_requests[name]
        if in_use >= limit:
            raise Overloaded(endpoint=name, retry_after_s=REPORT_INTERVAL_S)
        self.sent_at.setdefault(name, []).append(self.clock())
        self.own_requests[name] += 1
        answer = AcquireAnswer(request.permit, "", "", 1.0)
        end = self.clock() + request.hold_s
        return HeldPermit(request.permit, name, request.account, end, end, answer)

    def check(self, held: HeldPermit) -> None:
        """Do nothing, as every permit is valid."""

    def record_started(self, held: HeldPermit, incarnation: str) -> None:
        """Do nothing, as there is no owner to notify."""

    def release(self, held: HeldPermit, outcome: str, incarnation: str = "") -> None:
        """Record that the request has ended."""
        self.own_requests[held.endpoint] -= 1
