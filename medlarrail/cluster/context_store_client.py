"""Contents and change events of context stores, and the interface that reads them."""

from typing import Protocol

from attrs import frozen


@frozen
class StoredPart:
    """A complete context part in a store, with the scope under which it was saved."""

    scope: str
    identity: str
    tokens: int


@frozen
class StoreListing:
    """Full listing of a store; ``partial_tokens`` is the space taken by unfinished
    parts, and ``next_event`` the number from which to follow events."""

    epoch: str
    next_event: int
    parts: tuple[StoredPart, ...]
    partial_tokens: int = 0


@frozen
class StoreEvent:
    """A part was added (``tokens`` above 0) or removed."""

    part: StoredPart
    added: bool


@frozen
class StoreEventBatch:
    """Changes of a store; after a gap the full listing has to be read again."""

    epoch: str
    next_event: int
    gap: bool
    events: tuple[StoreEvent, ...]


class ContextStoreClient(Protocol):
    """Reads the contents of stores and frees parts in them."""

    async def read_list(self, address: str) -> StoreListing:
        """Return the full listing of a store."""

    async def read_events(
        self, address: str, since: int, wait_ms: int, timeout_s: float
    ) -> StoreEventBatch:
        """Return the changes since an event, waiting up to ``wait_ms`` for one."""

    async def free_parts(
        self, address: str, epoch: str, parts: tuple[StoredPart, ...]
    ) -> None:
        """Free parts, unless the store has restarted since ``epoch``."""
