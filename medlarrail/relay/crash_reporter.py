"""Reports crashed endpoints and the requests that ran there.

A broken connection alone is no crash: connections are reset and answers cut while the
endpoint goes on. It has crashed if it accepts no connections any more, or if another
incarnation has announced itself in its place. An entry that reaches no endpoint of the
service may be partitioned from them: then it has crashed only if no other entry that
was asked reaches the service either, or if the leader no longer lists it.
What ran there is reported at once, since another entry may report the crash.
"""

from collections.abc import Sequence

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.announcements import Announcement
from medlarrail.core.cluster_records import SharedPart, is_request_key
from medlarrail.core.errors import EndpointUnreachable
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.notification import get_report_interval_s
from medlarrail.relay.fingerprint import RequestFingerprint
from medlarrail.relay.forwarding import Forwarder
from medlarrail.relay.metadata import PromptPart
from medlarrail.relay.outbound import OutboundPool

CHECK_DELAY_S = 0.02
"""Pause before an endpoint is checked, so that all its broken requests are known."""
RESTART_POLL_S = 0.25
RESTART_WINDOW_S = 6.0
"""Time for which another incarnation of an endpoint is awaited after a break."""
REPORT_PERIOD_S = 10.0
"""Time for which a report is sent again while no leader takes it."""
REPORT_PAUSE_S = 0.1
MAX_CHECKS = 200
"""Maximum checks at the same time."""
MAX_REPORTED_PARTS = 400
"""Maximum parts in the report of one endpoint, about 12 KB."""
MAX_BATCH_REPORTS = 50
"""Maximum endpoints in one message."""

Suspect = PromptPart | RequestFingerprint
"""What may have crashed an endpoint: a shared part of a prompt, or a whole request."""


@define
class BrokenEndpoint:
    """An endpoint at which requests broke off, with the keys of what they held."""

    announced: Announcement
    model: str
    broken_at: float
    keys: set[str] = field(factory=set)

    def list_reported_parts(self) -> tuple[str, ...]:
        """Return the keys for a report, those of whole requests first."""
        keys = sorted(self.keys, key=lambda key: (not is_request_key(key), key))
        return tuple(keys[:MAX_REPORTED_PARTS])


@define(eq=False)
class CrashReporter:
    """Reports to the leading state member for the entry ``name``.

    Nothing is reported while ``run`` does not run.
    """

    cluster_view: ClusterView
    pool: OutboundPool
    name: str
    state: StateClient | None = None
    forwarder: Forwarder | None = None
    """Tells whether this entry is partitioned from the endpoints of a service."""
    _broken: dict[tuple[str, int], BrokenEndpoint] = field(factory=dict)
    _check_count: int = 0
    _crashed: list[BrokenEndpoint] = field(factory=list)
    """Crashes to be reported."""
    _is_reporting: bool = False
    _breaks: list[BrokenEndpoint] = field(factory=list)
    """Possible crashes to be reported."""
    _is_reporting_breaks: bool = False
    _completed: dict[str, set[str]] = field(factory=dict)
    """Keys of suspected parts by service, to be reported."""
    _nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Check and report until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def record_broken(
        self, announced: Announcement, model: str, parts: Sequence[Suspect]
    ) -> None:
        """Record a request that broke off at an endpoint, and check the endpoint."""
        if self._nursery is None or not parts:
            return
        key = (announced.name, announced.started_ms)
        broken = self._broken.get(key)
        if broken is None:
            if self._check_count >= MAX_CHECKS:
                get_metrics().count("crash_checks_skipped")
                return
            broken = BrokenEndpoint(announced, model, self.cluster_view.clock())
            self._broken[key] = broken
            self._nursery.start_soon(self._check, key, broken)
        broken.keys.update(part.key for part in parts)

    async def _check(self, key: tuple[str, int], broken: BrokenEndpoint) -> None:
        self._check_count += 1
        try:
            await trio.sleep(CHECK_DELAY_S)
            del self._broken[key]
            announced = broken.announced
            unreached = await self._is_unreachable(announced.address)
            partitioned = unreached and self._is_partitioned(announced)
            if partitioned:
                self._report_break(broken)
            crashed = unreached and not partitioned
            while not crashed and self._get_age_s(broken) < RESTART_WINDOW_S:
                await trio.sleep(RESTART_POLL_S)
                crashed = self._is_replaced(announced) or (
                    unreached and await self._is_gone_for_all(announced)
                )
        finally:
            self._check_count -= 1
        if crashed:
            self._report_crash(broken)

    async def _is_unreachable(self, address: str) -> bool:
        """Return whether an endpoint accepts no connections."""
        if any(connection.is_alive() for connection in self.pool.idle.get(address, ())):
            return False
        try:
            connection = await self.pool.acquire(address, new_connection=True)
        except EndpointUnreachable:
            return True
        self.pool.discard(connection)
        return False

    def _is_partitioned(self, announced: Announcement) -> bool:
        """Record an unreachable endpoint; return whether the whole service is."""
        if self.forwarder is None:
            return False
        self.forwarder.record_unreachable(announced)
        return self.forwarder.is_partitioned(announced.service)

    async def _is_gone_for_all(self, announced: Announcement) -> bool:
        """Return whether others, too, say that an endpoint is gone."""
        current = self.cluster_view.endpoints.get(announced.name)
        if current is None or current.announced.started_ms != announced.started_ms:
            return True
        return self.forwarder.is_outage(
            announced.service
        ) and await self._is_unreachable(announced.address)

    def _is_replaced(self, announced: Announcement) -> bool:
        return any(
            endpoint.announced.address == announced.address
            and (endpoint.announced.name, endpoint.announced.started_ms)
            != (announced.name, announced.started_ms)
            for endpoint in self.cluster_view.endpoints.values()
        )

    def _get_age_s(self, broken: BrokenEndpoint) -> float:
        return self.cluster_view.clock() - broken.broken_at

    def _report_crash(self, broken: BrokenEndpoint) -> None:
        announced = broken.announced
        get_metrics().count("endpoint_crashes", service=announced.service)
        eliot.log_message(
            "endpoint:crashed",
            endpoint=announced.name,
            started_ms=announced.started_ms,
            parts=list(broken.list_reported_parts()),
        )
        self._crashed.append(broken)
        if not self._is_reporting:
            self._is_reporting = True
            self._nursery.start_soon(self._report_crashes)

    async def _report_crashes(self) -> None:
        """Report what is waiting, in batches, until nothing is or it is too old."""
        from medlarrail.relay.crash_report_client import send_crashes

        await trio.lowlevel.checkpoint()
        while self._crashed:
            batch = self._crashed[:MAX_BATCH_REPORTS]
            now = self.cluster_view.clock()
            if await send_crashes(self.state, self.name, batch, now):
                del self._crashed[: len(batch)]
            self._crashed = [
                broken
                for broken in self._crashed
                if self._get_age_s(broken) < REPORT_PERIOD_S
            ]
            await trio.sleep(self._get_report_pause_s())
        self._is_reporting = False

    def _report_break(self, broken: BrokenEndpoint) -> None:
        self._breaks.append(broken)
        if not self._is_reporting_breaks:
            self._is_reporting_breaks = True
            self._nursery.start_soon(self._report_breaks)

    async def _report_breaks(self) -> None:
        """Report what is waiting, in batches, each once: older leaders take none."""
        from medlarrail.relay.crash_report_client import send_breaks

        await trio.lowlevel.checkpoint()
        while batch := self._breaks[:MAX_BATCH_REPORTS]:
            del self._breaks[: len(batch)]
            await send_breaks(self.state, self.name, batch, self.cluster_view.clock())
            await trio.sleep(self._get_report_pause_s())
        self._is_reporting_breaks = False

    def _get_report_pause_s(self) -> float:
        interval_s = get_report_interval_s(self.cluster_view.entry_count)
        return max(REPORT_PAUSE_S, interval_s)

    def record_unproven(
        self, announced: Announcement, parts: Sequence[Suspect]
    ) -> None:
        """Record an answer whose end is not proven: whole if the endpoint goes on."""
        watched = self._list_watched(announced.service, parts)
        if self._nursery is not None and watched and self._check_count < MAX_CHECKS:
            self._nursery.start_soon(self._check_unproven, announced, parts)

    async def _check_unproven(
        self, announced: Announcement, parts: Sequence[Suspect]
    ) -> None:
        self._check_count += 1
        try:
            await trio.sleep(CHECK_DELAY_S)
            if not await self._is_unreachable(announced.address):
                self.record_completed(announced.service, parts)
        finally:
            self._check_count -= 1

    def _list_watched(self, service: str, parts: Sequence[Suspect]) -> set[str]:
        keys = {part.key for part in parts}
        return {
            key
            for key in keys
            if self.cluster_view.is_watched(SharedPart(service, key))
        }

    def record_completed(self, service: str, parts: Sequence[Suspect]) -> None:
        """Report the suspected parts of a prompt that was answered completely."""
        watched = self._list_watched(service, parts)
        if self._nursery is None or not watched:
            return
        if service not in self._completed:
            self._completed[service] = set()
            self._nursery.start_soon(self._report_completed, service)
        self._completed[service] |= watched

    async def _report_completed(self, service: str) -> None:
        """Report what is waiting, in batches, until nothing is."""
        from medlarrail.relay.crash_report_client import send_completions

        await trio.lowlevel.checkpoint()
        while keys := self._completed[service]:
            self._completed[service] = set()
            with trio.move_on_after(REPORT_PERIOD_S):
                while not await send_completions(self.state, self.name, service, keys):
                    await trio.sleep(self._get_report_pause_s())
            await trio.sleep(get_report_interval_s(self.cluster_view.entry_count))
        del self._completed[service]
