"""Passes on to later leaders which incarnation of each endpoint has announced itself.

A leader writes an endpoint's incarnation to the replicated log after it has first heard
of it. Each member remembers since when it knows. If it leads later and hears of the
same incarnation, that one has run ever since: a start time belongs to one process.
"""

from itertools import islice

import trio
from attrs import define, field, frozen

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import MedlarError
from medlarrail.core.incarnations import EndpointIncarnation
from medlarrail.core.metrics import get_metrics
from medlarrail.state.operations import Envelope, NoOperation

MAX_ENDPOINTS = 4096
"""Maximum endpoints that are remembered; those that started first are dropped."""
REPORT_DELAY_S = 0.25
"""Time for which incarnations are collected for one log entry."""
MAX_REPORTED = 256
"""Maximum incarnations in one log entry."""


@frozen
class KnownIncarnation:
    """An incarnation that had announced itself at ``since``, on this member's clock."""

    incarnation: EndpointIncarnation
    since: float


@define(eq=False)
class KnownIncarnations:
    """The latest incarnation of each endpoint, at the member of ``view_server``."""

    view_server: "ClusterViewServer"  # noqa: F821
    _known: dict[str, KnownIncarnation] = field(factory=dict)
    _unreported: dict[str, EndpointIncarnation] = field(factory=dict)
    """Those that this leader has not written to the log."""
    _report_due: trio.Event = field(factory=trio.Event)

    def clear_unreported(self) -> None:
        """Forget what was to be written in an earlier leadership."""
        self._unreported.clear()

    def on_applied(self, incarnations: tuple[EndpointIncarnation, ...]) -> None:
        """Remember incarnations that were in an entry of the log."""
        now = self.view_server.clock()
        for incarnation in incarnations:
            name = incarnation.name
            known = self._known.get(name)
            if known is None or known.incarnation != incarnation:
                # Inserted anew, so that the first ones are those that started first.
                self._known.pop(name, None)
                self._known[name] = KnownIncarnation(incarnation, now)
        while len(self._known) > MAX_ENDPOINTS:
            del self._known[next(iter(self._known))]

    def find_since(self, announced: Announcement) -> float | None:
        """Return since when the sender of an announcement is known to have run.

        None if it was not known; later leaders are told of it then. One that tells no
        start cannot be told from the process before it.
        """
        if not announced.started_ms:
            return None
        incarnation = EndpointIncarnation(
            announced.name, announced.started_ms, announced.software_version
        )
        known = self._known.get(announced.name)
        if known is not None and known.incarnation == incarnation:
            return known.since
        self._unreported[announced.name] = incarnation
        self._report_due.set()
        return None

    async def run(self) -> None:
        """Write new incarnations to the log while leading, until cancelled."""
        while True:
            await self._report_due.wait()
            self._report_due = trio.Event()
            while self._unreported and self.view_server.member.leadership is not None:
                await trio.sleep(REPORT_DELAY_S)
                await self._report()

    async def _report(self) -> None:
        batch = tuple(islice(self._unreported.values(), MAX_REPORTED))
        try:
            operation = NoOperation(incarnations=batch)
            await self.view_server.member.propose(Envelope(operation))
        except MedlarError as error:
            get_metrics().count("incarnation_reports", outcome=type(error).__name__)
            return
        get_metrics().count("incarnation_reports", outcome="committed")
        for incarnation in batch:
            if self._unreported.get(incarnation.name) == incarnation:
                del self._unreported[incarnation.name]
