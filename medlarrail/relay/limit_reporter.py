"""Reports the rates that endpoints name, so that every entry keeps its part of them.

An entry that gets no part of a rate gets no answers, so it learns from the others
when the rate changes or ends.
"""

import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.cluster_view import LIMITS_PATH, LimitReport
from medlarrail.protocol.empty import EmptyMessage

CALL_TIMEOUT_S = 1.0
MIN_PAUSE_S = 0.1
"""Pause after a report, in which changes are coalesced."""
REPEAT_INTERVAL_S = 1.0
"""Time after which an unchanged rate is reported again, for a new leader."""
TOLERANCE = 0.05
"""Relative change of a rate that is not reported at once."""


@define
class SentReport:
    """A report with the time at which it was sent."""

    report: LimitReport
    sent_at: float


@define(eq=False)
class LimitReporter:
    """Reports to the leading state member for the entry ``name``."""

    name: str
    clock: Clock = get_boottime
    state: StateClient | None = None
    _waiting: dict[str, LimitReport] = field(factory=dict)
    """The latest report for each endpoint that is not sent yet."""
    _sent: dict[str, SentReport] = field(factory=dict)
    _changed: trio.Event = field(factory=trio.Event)

    def record(self, endpoint: EndpointView, per_s: float | None) -> None:
        """Report the rate that ``endpoint`` named, None for none, if that is new."""
        announced = endpoint.announced
        report = LimitReport(self.name, announced.name, announced.started_ms, per_s)
        if self._is_known(endpoint, report):
            return
        self._waiting[announced.name] = report
        self._changed.set()

    def _is_known(self, endpoint: EndpointView, report: LimitReport) -> bool:
        previous = self._sent.get(report.endpoint)
        if report.limit_per_s is None and endpoint.limit_per_s is None:
            return previous is None or previous.report.limit_per_s is None
        if not is_similar(report.limit_per_s, endpoint.limit_per_s):
            return False
        return (
            previous is not None
            and previous.report.started_ms == report.started_ms
            and self.clock() - previous.sent_at < REPEAT_INTERVAL_S
        )

    async def run(self) -> None:
        """Send the reports until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            waiting, self._waiting = self._waiting, {}
            for report in waiting.values():
                await self._send(report)
            await trio.sleep(MIN_PAUSE_S)

    async def _send(self, report: LimitReport) -> None:
        self._sent[report.endpoint] = SentReport(report, self.clock())
        try:
            await self.state.call_leader(
                LIMITS_PATH, report, EmptyMessage, CALL_TIMEOUT_S
            )
        except MedlarError as error:
            get_metrics().count("limit_report_failures", type=type(error).__name__)
            # The endpoint may have departed meanwhile.
            if self._sent.pop(report.endpoint, None) is not None:
                self._waiting.setdefault(report.endpoint, report)
                self._changed.set()

    def drop(self, endpoint: str) -> None:
        """Forget the reports on an endpoint that has departed."""
        self._sent.pop(endpoint, None)
        self._waiting.pop(endpoint, None)


def is_similar(first: float | None, second: float | None) -> bool:
    """Return whether two rates differ by less than the tolerance."""
    if first is None or second is None:
        return first is second
    return abs(first - second) <= TOLERANCE * max(first, second)
