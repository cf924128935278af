"""What an owner knows of an endpoint's prefix cache.

Cache events come late and with gaps. A gap, or another incarnation, drops the
whole picture, so that a wrong picture is never used; it is then asked for anew.
"""

from collections.abc import Iterable

from attrs import define, field

from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.endpoints import CacheEvents, CacheKeys


@define
class CachePicture:
    """The keys that the endpoint has cached, as of event ``sequence``."""

    incarnation: str = ""
    sequence: int = -1
    complete: bool = False
    keys: set[str] = field(factory=set)

    def take_events(self, message: CacheEvents) -> bool:
        """Apply events; returns False where the picture has to be asked for."""
        if message.incarnation != self.incarnation or not self.complete:
            self.drop()
            return False
        for event in message.events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                get_metrics().count("cache_event_gaps")
                self.drop()
                return False
            self.sequence = event.sequence
            if event.added:
                self.keys.add(event.key)
            else:
                self.keys.discard(event.key)
        return True

    def take_keys(self, message: CacheKeys) -> None:
        """Take a whole picture."""
        self.incarnation = message.incarnation
        self.sequence = message.sequence
        self.keys = set(message.keys)
        self.complete = True

    def drop(self) -> None:
        """Forget the picture."""
        self.complete = False
        self.keys.clear()

    def count_prefix(self, block_keys: Iterable[str]) -> int:
        """Return how many of the leading blocks are cached."""
        count = 0
        for key in block_keys:
            if key not in self.keys:
                break
            count += 1
        return count
