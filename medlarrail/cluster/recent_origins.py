"""The origins of the streams that began lately, within limits of number and age."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.stream_origins import StreamOrigin


@define
class KeptOrigin:
    """An origin and when it was last told."""

    origin: StreamOrigin
    told_at: float


@define(eq=False)
class RecentOrigins:
    """At most ``max_count`` origins by the key of their stream."""

    max_count: int
    clock: Clock = get_boottime
    _kept: OrderedDict[str, KeptOrigin] = field(factory=OrderedDict)
    """The latest told last."""

    def add(self, origin: StreamOrigin) -> StreamOrigin:
        """Keep an origin; the first one of a stream stays, and is returned."""
        now = self.clock()
        kept = self._kept.setdefault(origin.stream, KeptOrigin(origin, now))
        kept.told_at = now
        self._kept.move_to_end(origin.stream)
        while len(self._kept) > self.max_count or self._is_oldest_expired(now):
            self._kept.popitem(last=False)
        return kept.origin

    def _is_oldest_expired(self, now: float) -> bool:
        oldest = next(iter(self._kept.values()))
        return now - oldest.told_at > STREAM_RETENTION_S

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not kept."""
        kept = self._kept.get(stream)
        return kept.origin if kept is not None else None

    def iterate_service(self, service: str) -> Iterator[StreamOrigin]:
        """Yield the origins of a service's streams."""
        for kept in self._kept.values():
            if kept.origin.service == service:
                yield kept.origin
