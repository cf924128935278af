"""Exchanges workload reports with the other entries."""

from collections.abc import Callable, Sequence

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.codec import encode
from medlarrail.policy.workload import MAX_REPORTING_ENTRIES, find_coordinator
from medlarrail.relay.workload_tracker import (
    EngineTokens,
    WorkloadReport,
    WorkloadTracker,
)
from medlarrail.transport.datagrams import DatagramSocket, decode_datagram

REPORT_INTERVAL_S = 0.5
"""Pause between two reports without a change: a third of their lifetime."""
MIN_REPORT_PAUSE_S = 0.005
"""Minimum pause between two reports, in which changes are coalesced."""
MAX_REPORTED_ENGINES = 40
"""Maximum engines in one report, about 3 KB; those with the most tokens are kept."""


DatagramHandler = Callable[[bytes], None]


@frozen
class SentReport:
    """The workload that was reported to a coordinator at ``sent_at``."""

    engines: tuple[EngineTokens, ...]
    sent_at: float

    def is_outdated(self, engines: tuple[EngineTokens, ...], now: float) -> bool:
        """Return whether another report is due."""
        return engines != self.engines or now - self.sent_at >= REPORT_INTERVAL_S


def _limit(engines: Sequence[EngineTokens]) -> tuple[EngineTokens, ...]:
    """Return the engines of one report: those with the most tokens."""
    by_workload = sorted(engines, key=lambda tokens: -tokens.unread - tokens.held)
    return tuple(by_workload[:MAX_REPORTED_ENGINES])


@define(eq=False)
class WorkloadReporter:
    """Sends and receives reports of the workload at engines.

    Few entries report to all others, many to the coordinator of each engine.
    """

    cluster_view: ClusterView
    tracker: WorkloadTracker
    datagram_socket: DatagramSocket
    handlers: dict[bytes, DatagramHandler] = field(factory=dict)
    """Handlers of other messages by the first byte of their datagrams."""
    _changed: trio.Event = field(factory=trio.Event)
    _live_peers: frozenset[str] = frozenset()
    _listed: tuple[RegisteredEntry, ...] | None = None
    _reporting: dict[str, RegisteredEntry] = field(factory=dict)
    """Entries of ``_listed`` that exchange reports, without this one."""
    _coordinators: dict[str, str] = field(factory=dict)
    """Names of the coordinators by engine, for ``_listed``."""
    _sent: dict[str, SentReport] = field(factory=dict)
    """Latest report to each coordinator that was not empty."""

    def __attrs_post_init__(self):
        self.tracker.on_change.append(self._signal_change)

    def _signal_change(self) -> None:
        self._changed.set()

    def _get_reporting(self) -> dict[str, RegisteredEntry]:
        """Return the other entries that exchange reports, by name."""
        if self.cluster_view.entries is not self._listed:
            self._listed = self.cluster_view.entries
            self._coordinators.clear()
            self._reporting = {
                entry.name: entry
                for entry in self._listed
                if entry.work_address and entry.name != self.tracker.entry
            }
        return self._reporting

    def uses_coordinators(self) -> bool:
        """Return whether there are too many entries for all to report to all."""
        return len(self._get_reporting()) + 1 > MAX_REPORTING_ENTRIES

    def count_reporting_entries(self) -> int:
        """Return the number of entries that report all of their workload here."""
        return 1 if self.uses_coordinators() else len(self._get_reporting()) + 1

    def find_coordinator(self, engine: str) -> RegisteredEntry | None:
        """Return the coordinator of an engine, or None if it is this entry."""
        reporting = self._get_reporting()
        name = self._coordinators.get(engine)
        if name is None:
            name = find_coordinator([*reporting, self.tracker.entry], engine)
            self._coordinators[engine] = name
        return reporting.get(name)

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
            if self.uses_coordinators():
                self._report_to_coordinators()
            else:
                self._report_to_all()
                self._log_peer_changes()
            await trio.sleep(MIN_REPORT_PAUSE_S)

    def _report_to_all(self) -> None:
        body = encode(self.tracker.build_report(_limit(self.tracker.list_own())))
        addresses = [entry.work_address for entry in self._get_reporting().values()]
        self.datagram_socket.send(addresses, body)

    def _report_to_coordinators(self) -> None:
        """Report to each coordinator what has changed, or was reported a while ago.

        A report to a coordinator is of all its engines, so it replaces the last one;
        the last of all is empty.
        """
        now = trio.current_time()
        by_coordinator: dict[str, list[EngineTokens]] = {
            name: [] for name in self._sent
        }
        for tokens in self.tracker.list_own():
            coordinator = self.find_coordinator(tokens.engine)
            if coordinator is not None:
                by_coordinator.setdefault(coordinator.name, []).append(tokens)
        for name, engines in by_coordinator.items():
            engines = _limit(engines)
            sent = self._sent.get(name)
            if sent is not None and not sent.is_outdated(engines, now):
                continue
            if engines:
                self._sent[name] = SentReport(engines, now)
            else:
                del self._sent[name]
            coordinator = self._get_reporting().get(name)
            if coordinator is not None:
                body = encode(self.tracker.build_report(engines))
                self.datagram_socket.send([coordinator.work_address], body)

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
