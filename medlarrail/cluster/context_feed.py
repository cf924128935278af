"""What stores of kept context tell, and the calls that ask them."""

from typing import Protocol

from attrs import frozen


@frozen
class HeldPart:
    """A part that a store holds whole, under the scope it was saved in."""

    scope: str
    identity: str
    tokens: int


@frozen
class HeldList:
    """All that a store holds; ``partial_tokens`` is room taken by unfinished
    parts, and ``next_event`` the number to follow events from."""

    epoch: str
    next_event: int
    parts: tuple[HeldPart, ...]
    partial_tokens: int = 0


@frozen
class HeldEvent:
    """A part came (``tokens`` above 0) or went."""

    part: HeldPart
    added: bool


@frozen
class HeldEvents:
    """What changed; after a gap only a whole list tells what is held."""

    epoch: str
    next_event: int
    gap: bool
    events: tuple[HeldEvent, ...]


class ContextFeed(Protocol):
    """Asks stores what they hold, and has them free it."""

    async def read_list(self, address: str) -> HeldList:
        """Return all that a store holds."""

    async def read_events(
        self, address: str, since: int, wait_ms: int, timeout_s: float
    ) -> HeldEvents:
        """Return what changed since an event, waiting a while for something."""

    async def free_parts(
        self, address: str, epoch: str, parts: tuple[HeldPart, ...]
    ) -> None:
        """Free parts, unless the store restarted after ``epoch``."""
