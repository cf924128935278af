"""Remembers on the leading state member when endpoints announced themselves.

The registry has the latest announcement of each endpoint. To tell which process an
entry was connected to, the times of the incarnation before it are needed, too.
"""

from collections.abc import Iterator

import trio
from attrs import define, evolve, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.policy.incarnations import HeardIncarnation
from medlarrail.protocol.endpoint_sightings import Sighting

MAX_INCARNATIONS = 3
"""Incarnations of one endpoint that are remembered."""
RETENTION_S = 60.0
"""Time for which an endpoint is remembered after its latest announcement: longer than
a stream takes."""


@define(eq=False)
class EndpointSightings:
    """The latest incarnations of each endpoint, oldest first."""

    clock: Clock = get_boottime
    _heard: dict[str, tuple[HeardIncarnation, ...]] = field(factory=dict)
    _recorded: trio.Event = field(factory=trio.Event)

    def record(self, announced: Announcement, received_at: float) -> None:
        """Record an announcement that is not outdated."""
        heard = self._heard.get(announced.name, ())
        latest = heard[-1] if heard else None
        key = (announced.started_ms, announced.software_version)
        if latest is not None and key == (latest.started_ms, latest.software_version):
            latest_at = max(latest.last_at, received_at)
            heard = (*heard[:-1], evolve(latest, last_at=latest_at))
        else:
            heard = (*heard, HeardIncarnation(*key, received_at, received_at))
        self._heard[announced.name] = heard[-MAX_INCARNATIONS:]
        self._recorded.set()
        self._recorded = trio.Event()

    async def wait_heard(self, name: str, since: float) -> None:
        """Return once an announcement of an endpoint was received after ``since``."""
        while not any(one.last_at >= since for one in self._heard.get(name, ())):
            await self._recorded.wait()

    def iterate(self, name: str, asked_at: float) -> Iterator[Sighting]:
        """Yield the incarnations of an endpoint, for a request of ``asked_at``."""
        for one in self._heard.get(name, ()):
            yield Sighting(
                one.started_ms,
                one.software_version,
                asked_at - one.first_at,
                asked_at - one.last_at,
            )

    def remove_expired(self) -> None:
        """Forget endpoints that were not heard of for a while."""
        oldest = self.clock() - RETENTION_S
        for name, heard in list(self._heard.items()):
            if heard[-1].last_at < oldest:
                del self._heard[name]
