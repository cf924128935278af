"""The origins of the streams that began lately, within limits of number and age."""

from collections import OrderedDict

from attrs import define, evolve, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.stream_origins import StreamOrigin


@define
class KeptOrigin:
    """An origin, since when it is kept, and when it was last told."""

    origin: StreamOrigin
    kept_since: float
    told_at: float

    def get_origin(self, now: float) -> StreamOrigin:
        """Return the origin with the age of its connection at ``now``."""
        if now == self.kept_since or not self.origin.endpoint:
            return self.origin
        age_s = self.origin.opened_ago_s + now - self.kept_since
        return evolve(self.origin, opened_ago_s=round(age_s, 3))


@define(eq=False)
class RecentOrigins:
    """At most ``max_count`` origins by the key of their stream."""

    max_count: int
    clock: Clock = get_boottime
    _kept: OrderedDict[str, KeptOrigin] = field(factory=OrderedDict)
    """The latest told last."""

    def add(self, origin: StreamOrigin) -> StreamOrigin:
        """Keep an origin and return the one that is kept of its stream.

        That is the first one, or the first one that is proven.
        """
        now = self.clock()
        kept = self._kept.get(origin.stream)
        if kept is None or (origin.proven and not kept.origin.proven):
            kept = self._kept[origin.stream] = KeptOrigin(origin, now, now)
        kept.told_at = now
        self._kept.move_to_end(origin.stream)
        while len(self._kept) > self.max_count or self._is_oldest_expired(now):
            self._kept.popitem(last=False)
        return kept.get_origin(now)

    def _is_oldest_expired(self, now: float) -> bool:
        oldest = next(iter(self._kept.values()))
        return now - oldest.told_at > STREAM_RETENTION_S

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not kept."""
        kept = self._kept.get(stream)
        return kept.get_origin(self.clock()) if kept is not None else None
