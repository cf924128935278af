"""An owner's replica of the set of keys in an endpoint's prefix cache.

Cache events may arrive late or be lost. A gap in the sequence, or a change of
incarnation, invalidates the whole key set, so that a wrong one is never used;
the owner then fetches the whole set again.
"""

from collections.abc import Iterable

from attrs import define, field

from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.endpoints import CacheEvents, CacheKeys


@define
class CachedKeySet:
    """The keys in the endpoint's cache, as of event ``sequence``."""

    incarnation: str = ""
    sequence: int = -1
    complete: bool = False
    keys: set[str] = field(factory=set)

    def apply_events(self, message: CacheEvents) -> bool:
        """Apply events; returns False if the key set must be fetched again."""
        if message.incarnation != self.incarnation or not self.complete:
            self.invalidate()
            return False
        for event in message.events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                get_metrics().count("cache_event_gaps")
                self.invalidate()
                return False
            self.sequence = event.sequence
            if event.added:
                self.keys.add(event.key)
            else:
                self.keys.discard(event.key)
        return True

    def replace_keys(self, message: CacheKeys) -> None:
        """Replace the key set by the one that the endpoint sent."""
        self.incarnation = message.incarnation
        self.sequence = message.sequence
        self.keys = set(message.keys)
        self.complete = True

    def invalidate(self) -> None:
        """Discard the keys; events are ignored until the set is fetched again."""
        self.complete = False
        self.keys.clear()

    def count_prefix(self, block_keys: Iterable[str]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for key in block_keys:
            if key not in self.keys:
                break
            count += 1
        return count
