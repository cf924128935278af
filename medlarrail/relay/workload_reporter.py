"""Exchanges workload reports with the other entries."""

from collections.abc import Callable, Iterator

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.codec import encode
from medlarrail.policy.workload import ReportingGroup, find_group
from medlarrail.relay.workload_tracker import WorkloadReport, WorkloadTracker
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

REPORT_INTERVAL_S = 0.5
"""Pause between two reports without a change: a third of their lifetime."""
MIN_REPORT_PAUSE_S = 0.005
"""Minimum pause between two reports, in which changes are coalesced."""
MAX_REPORTED_ENGINES = 40
"""Maximum engines in one report, about 3 KB; those with the most tokens are kept."""


DatagramHandler = Callable[[bytes], None]


@define(eq=False)
class WorkloadReporter:
    """Sends and receives reports within this entry's group."""

    cluster_view: ClusterView
    tracker: WorkloadTracker
    datagram_socket: DatagramSocket
    handlers: dict[bytes, DatagramHandler] = field(factory=dict)
    """Handlers of other messages by the first byte of their datagrams."""
    _changed: trio.Event = field(factory=trio.Event)
    _live_peers: frozenset[str] = frozenset()

    def __attrs_post_init__(self):
        self.tracker.on_change.append(self._signal_change)

    def _signal_change(self) -> None:
        self._changed.set()

    def find_group(self) -> ReportingGroup:
        """Return the reporting group of this entry."""
        names = [
            entry.name for entry in self.cluster_view.entries if entry.work_address
        ]
        return find_group(names, self.tracker.entry)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send and receive reports until cancelled."""
        await self.datagram_socket.open()
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_reports)
                nursery.start_soon(self._send_reports)
        finally:
            self.datagram_socket.close()

    async def _send_reports(self) -> None:
        while True:
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._changed.wait()
            self._changed = trio.Event()
            body = encode(self._build_report())
            self.datagram_socket.send(self._iterate_addresses(), body)
            self._log_peer_changes()
            await trio.sleep(MIN_REPORT_PAUSE_S)

    def _build_report(self) -> WorkloadReport:
        report = self.tracker.build_report()
        if len(report.engines) <= MAX_REPORTED_ENGINES:
            return report
        by_workload = sorted(
            report.engines, key=lambda engine: -engine.unread - engine.held
        )
        return evolve(report, engines=tuple(by_workload[:MAX_REPORTED_ENGINES]))

    def _iterate_addresses(self) -> Iterator[str]:
        group = set(self.find_group().entries) - {self.tracker.entry}
        for entry in self.cluster_view.entries:
            if entry.name in group:
                yield entry.work_address

    async def _receive_reports(self) -> None:
        while True:
            for body in await self.datagram_socket.receive():
                self._handle_datagram(body)

    def _handle_datagram(self, body: bytes) -> None:
        handle = self.handlers.get(body[:1])
        if handle is not None:
            handle(body[1:])
            return
        report = decode_datagram(body, WorkloadReport, "reports_unreadable")
        if report is not None:
            self.tracker.store_report(report)

    def _log_peer_changes(self) -> None:
        """Log each entry whose reports have stopped or started."""
        live_peers = self.tracker.list_live_peers()
        for name in live_peers - self._live_peers:
            eliot.log_message("peer:reports-received", entry=name)
        for name in self._live_peers - live_peers:
            eliot.log_message("peer:reports-expired", entry=name)
        self._live_peers = live_peers
