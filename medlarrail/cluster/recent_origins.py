"""The origins of the streams that began lately, within limits of number and age."""

from collections import OrderedDict
from itertools import islice

from attrs import define, evolve, field

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.stream_origins import MAX_CANDIDATES, StreamOrigin


@define(eq=False)
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
    _by_content: dict[str, dict[str, KeptOrigin]] = field(factory=dict)
    complete_since: float = field(init=False)
    """Since when all origins that were told are kept, up to their expiry."""

    def __attrs_post_init__(self):
        self.complete_since = self.clock()

    def add(self, origin: StreamOrigin) -> StreamOrigin:
        """Keep an origin and return the one that is kept of its stream.

        That is the first one, or the first one that is proven.
        """
        now = self.clock()
        kept = self._kept.get(origin.stream)
        if kept is None or (origin.proven and not kept.origin.proven):
            if kept is not None:
                self._remove_content(kept)
            kept = self._kept[origin.stream] = KeptOrigin(origin, now, now)
            if origin.content:
                same = self._by_content.setdefault(origin.content, {})
                same[origin.stream] = kept
        kept.told_at = now
        self._kept.move_to_end(origin.stream)
        self._remove_expired(now)
        while len(self._kept) > self.max_count:
            dropped = self._pop_oldest()
            self.complete_since = max(self.complete_since, dropped.told_at)
        return kept.get_origin(now)

    def _remove_expired(self, now: float) -> None:
        oldest = next(iter(self._kept.values()))
        while now - oldest.told_at > STREAM_RETENTION_S:
            self._pop_oldest()
            oldest = next(iter(self._kept.values()))

    def _pop_oldest(self) -> KeptOrigin:
        _, kept = self._kept.popitem(last=False)
        self._remove_content(kept)
        return kept

    def _remove_content(self, kept: KeptOrigin) -> None:
        content = kept.origin.content
        if content:
            same = self._by_content[content]
            del same[kept.origin.stream]
            if not same:
                del self._by_content[content]

    def mark_lost(self) -> None:
        """Note that origins may have been told up to now that are not kept."""
        self.complete_since = self.clock()

    def get_kept_for_s(self) -> float:
        """Return the seconds for which all origins that were told are kept."""
        return self.clock() - self.complete_since

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not kept."""
        kept = self._kept.get(stream)
        return kept.get_origin(self.clock()) if kept is not None else None

    def list_candidates(self, content: str) -> tuple[StreamOrigin, ...]:
        """Return the origins of streams with a content, up to one above the maximum."""
        now = self.clock()
        same = self._by_content.get(content, {}).values()
        return tuple(kept.get_origin(now) for kept in islice(same, MAX_CANDIDATES + 1))
