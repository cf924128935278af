"""Remembers on the leading state member when endpoints announced themselves.

The registry has the latest announcement of each endpoint. To tell which process an
entry was connected to, the times of the incarnation before it are needed, too.
"""

from collections.abc import Callable, Iterator

import trio
from attrs import define, field

from medlarrail.cluster.known_incarnations import KnownIncarnations
from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.protocol.endpoint_sightings import Sighting

MAX_INCARNATIONS = 3
"""Incarnations of one endpoint that are remembered."""
RETENTION_S = 60.0
"""Time for which an endpoint is remembered after its latest announcement: longer than
a stream takes."""

AWAKE_INTERVAL_S = 0.1
"""Interval at which the leader notes that it is not suspended."""
MIN_SUSPENSION_S = 0.4
"""Shortest time without a note that counts as a suspension."""
BACKLOG_S = 1.0
"""Time after a suspension in which announcements are handled that waited for it."""

MAX_INTERVAL_S = 1.6
"""Time by which a process that runs has sent its next announcement: a third more than
their interval."""
MIN_SPACING_S = 0.6
"""Time between two announcements from which on they have not waited for the same event:
half of their interval."""


@define
class SeenIncarnation:
    """An incarnation of an endpoint, and when its announcements were received.

    ``first_at`` is an upper limit of the time of the first announcement. ``last_at`` is
    that of the latest one, less the time by which it is known to have been delayed.
    """

    started_ms: int
    software_version: str
    address: str
    first_at: float
    last_at: float
    sequence: int
    arrived_at: float

    def is_sender(self, announced: Announcement) -> bool:
        """Return whether it may have sent an announcement."""
        return (
            self.started_ms == announced.started_ms
            and self.software_version == announced.software_version
            and self.address == announced.address
        )

    def extend(self, sequence: int, arrived_at: float) -> None:
        """Count a further announcement, as sent when it was due at the latest.

        One that is overdue was delayed, or its sender paused, which the next one tells.
        """
        sent_by = arrived_at
        count = sequence - self.sequence
        # Without a start, another process may count anew.
        if count > 0 and self.started_ms:
            sent_by = self.last_at + count * MAX_INTERVAL_S
            if arrived_at >= self.arrived_at + MIN_SPACING_S:
                sent_by = max(sent_by, self.arrived_at)
            sent_by = min(sent_by, arrived_at)
        elif count < 0 and self.started_ms:
            return
        self.last_at = max(self.last_at, sent_by)
        self.sequence = sequence
        self.arrived_at = max(self.arrived_at, arrived_at)


@define(eq=False)
class EndpointSightings:
    """The latest incarnations of each endpoint, oldest first."""

    clock: Clock = get_boottime
    known: KnownIncarnations | None = None
    """What this member knew of before it led; None if it is alone."""
    _heard: dict[str, tuple[SeenIncarnation, ...]] = field(factory=dict)
    _recorded: dict[str, trio.Event] = field(factory=dict)
    """Set at the next announcement of an endpoint that is waited for."""
    _awake_at: float = float("inf")
    """Latest note, infinite before the first one as leader."""
    _suspended_at: float = float("-inf")
    """Begin of the latest suspension, at the earliest."""
    _resumed_at: float = float("-inf")
    _term_began: trio.Event = field(factory=trio.Event)

    async def run(self, is_leading: Callable[[], bool]) -> None:
        """Note steadily, while leading, that this process is not suspended."""
        while True:
            await self._term_began.wait()
            self._term_began = trio.Event()
            while is_leading():
                self.note_awake()
                await trio.sleep(AWAKE_INTERVAL_S)

    def note_awake(self) -> None:
        """Note the time, and a suspension since the note before."""
        now = self.clock()
        if self._awake_at + MIN_SUSPENSION_S < now:
            self._suspended_at, self._resumed_at = self._awake_at, now
        self._awake_at = now

    def _get_earliest_arrival(self, received_at: float) -> float:
        """Return since when an announcement may have waited to be received.

        Its sender may have ended during a suspension of this process.
        """
        if self._awake_at + MIN_SUSPENSION_S < received_at:
            return self._awake_at
        if received_at < self._resumed_at + BACKLOG_S:
            return min(received_at, self._suspended_at)
        return received_at

    def begin_term(self) -> None:
        """Begin a leadership, and forget the endpoints that tell no start.

        Others of their version may have started while another member led.
        """
        self._awake_at = float("inf")
        self._term_began.set()
        for name, heard in list(self._heard.items()):
            if not all(one.started_ms for one in heard):
                del self._heard[name]

    def record(self, announced: Announcement, received_at: float) -> None:
        """Record an announcement that is not outdated."""
        heard = self._heard.get(announced.name, ())
        latest = heard[-1] if heard else None
        arrived_at = self._get_earliest_arrival(received_at)
        if latest is not None and latest.is_sender(announced):
            latest.extend(announced.sequence, arrived_at)
        else:
            incarnation = SeenIncarnation(
                announced.started_ms,
                announced.software_version,
                announced.address,
                self._find_first_at(announced, received_at),
                arrived_at,
                announced.sequence,
                arrived_at,
            )
            self._heard[announced.name] = (*heard, incarnation)[-MAX_INCARNATIONS:]
        recorded = self._recorded.pop(announced.name, None)
        if recorded is not None:
            recorded.set()

    def _find_first_at(self, announced: Announcement, received_at: float) -> float:
        """Return when an incarnation, now heard of, announced itself at the latest."""
        since = self.known.find_since(announced) if self.known is not None else None
        return received_at if since is None else min(received_at, since)

    async def wait_heard(self, name: str, since: float) -> None:
        """Return once an announcement of an endpoint was received after ``since``."""
        while not any(one.last_at >= since for one in self._heard.get(name, ())):
            await self._recorded.setdefault(name, trio.Event()).wait()

    def iterate(self, name: str, asked_at: float) -> Iterator[Sighting]:
        """Yield the incarnations of an endpoint, for a request of ``asked_at``."""
        for one in self._heard.get(name, ()):
            yield Sighting(
                one.started_ms,
                one.software_version,
                asked_at - one.first_at,
                asked_at - one.last_at,
                one.address,
            )

    def remove_expired(self) -> None:
        """Forget endpoints that were not heard of for a while."""
        oldest = self.clock() - RETENTION_S
        for name, heard in list(self._heard.items()):
            if heard[-1].last_at < oldest:
                del self._heard[name]
        for name, recorded in list(self._recorded.items()):
            if not recorded.statistics().tasks_waiting:
                del self._recorded[name]
