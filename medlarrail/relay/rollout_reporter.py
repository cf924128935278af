"""Reports what this entry saw of running rollouts to the leading state member."""

import trio
from attrs import define, field

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import RolloutReport
from medlarrail.policy.notification import get_report_interval_s
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.software_rollouts import REPORTS_PATH
from medlarrail.relay.rollout_traffic import RolloutTraffic

CALL_TIMEOUT_S = 1.0
MIN_INTERVAL_S = 0.5
"""Shortest pause between two reports in which the stage has not changed."""


@define(eq=False)
class RolloutReporter:
    """Sends the reports of ``traffic``; a report that is lost is not repeated, since
    the next one has the same counts."""

    traffic: RolloutTraffic
    state: StateClient | None = None
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        cluster_view = self.traffic.stats.cluster_view
        cluster_view.rollout_listeners.append(self._report_now)

    def _report_now(self) -> None:
        self._changed.set()

    async def run(self) -> None:
        """Report until cancelled, at once if a rollout has changed."""
        while True:
            self._changed = trio.Event()
            self.traffic.refresh()
            # The next reports wait for these, so that they arrive in order.
            async with trio.open_nursery() as nursery:
                for report in self.traffic.list_reports():
                    nursery.start_soon(self._send, report)
            with trio.move_on_after(self._get_interval_s()):
                await self._changed.wait()

    def _get_interval_s(self) -> float:
        entry_count = self.traffic.stats.cluster_view.entry_count
        return max(MIN_INTERVAL_S, get_report_interval_s(entry_count))

    async def _send(self, report: RolloutReport) -> None:
        try:
            await self.state.call_leader(
                REPORTS_PATH, report, EmptyMessage, CALL_TIMEOUT_S
            )
        except MedlarError as error:
            get_metrics().count("rollout_report_failures", type=type(error).__name__)
