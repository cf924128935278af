"""Tells the other entries what this one has at each engine, and hears them."""

from collections.abc import Iterator

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.cluster.picture import Picture
from medlarrail.core.codec import decode, encode
from medlarrail.core.errors import CallerError
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.work import ReportingGroup, find_group
from medlarrail.relay.work_tally import WorkReport, WorkTally
from medlarrail.transport.datagrams import DatagramPort

REFRESH_S = 0.5
"""Pause between two reports without a change: a third of their life."""
SHORTEST_PAUSE_S = 0.005
"""Pause between two reports: changes within it go into one."""
LARGEST_ENGINES = 40
"""Engines in one report, those with most work first: about 3 KB."""


@define(eq=False)
class WorkExchange:
    """Exchanges reports with the entries of this entry's group."""

    picture: Picture
    tally: WorkTally
    port: DatagramPort
    _changed: trio.Event = field(factory=trio.Event)
    _heard_from: frozenset[str] = frozenset()

    def __attrs_post_init__(self):
        self.tally.on_change.append(self._note_change)

    def _note_change(self) -> None:
        self._changed.set()

    def find_group(self) -> ReportingGroup:
        """Return the group of entries that this one belongs to."""
        names = [one.name for one in self.picture.entries if one.work_address]
        return find_group(names, self.tally.entry)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Tell and hear until cancelled."""
        await self.port.open()
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hear)
                nursery.start_soon(self._tell)
        finally:
            self.port.close()

    async def _tell(self) -> None:
        while True:
            with trio.move_on_after(REFRESH_S):
                await self._changed.wait()
            self._changed = trio.Event()
            body = encode(self._build_report())
            for address in self._iterate_addresses():
                await self.port.send(address, body)
            self._log_silent()
            await trio.sleep(SHORTEST_PAUSE_S)

    def _build_report(self) -> WorkReport:
        report = self.tally.build_report()
        if len(report.engines) <= LARGEST_ENGINES:
            return report
        ordered = sorted(report.engines, key=lambda one: -one.unread - one.held)
        return evolve(report, engines=tuple(ordered[:LARGEST_ENGINES]))

    def _iterate_addresses(self) -> Iterator[str]:
        group = set(self.find_group().entries) - {self.tally.entry}
        for one in self.picture.entries:
            if one.name in group:
                yield one.work_address

    async def _hear(self) -> None:
        while True:
            body = await self.port.receive()
            try:
                self.tally.take(decode(body, WorkReport))
            except CallerError as error:
                get_metrics().count("reports_unreadable", type=type(error).__name__)

    def _log_silent(self) -> None:
        """Log each entry of the group that fell silent or is heard again."""
        heard = self.tally.list_heard()
        for name in heard - self._heard_from:
            eliot.log_message("peer:heard", entry=name)
        for name in self._heard_from - heard:
            eliot.log_message("peer:silent", entry=name)
        self._heard_from = heard
