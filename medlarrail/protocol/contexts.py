"""Messages between entries and context stores."""

from attrs import frozen

from medlarrail.protocol.endpoints import CacheBlock

LOOKUP_PATH = "/internal/context/lookup"
RESTORE_PATH = "/internal/context/restore"
SAVE_CONTEXT_PATH = "/internal/context/keep"
COPY_PATH = "/internal/context/copy"
MIRROR_PATH = "/internal/context/mirror"
STORE_STATUS_PATH = "/v1/store"


@frozen
class LookupRequest:
    """Asks how much of a prompt's context is stored, and the cost of a restore."""

    account: str
    keys: tuple[str, ...]
    endpoint: str


@frozen
class LookupAnswer:
    """Number and size of the leading blocks stored, and the state of the link.

    ``wait_s`` is the time that a restore would be queued, ``rate_bytes_per_s`` the
    estimated rate of the link.
    """

    blocks: int
    block_bytes: int
    wait_s: float
    rate_bytes_per_s: float


@frozen
class RestoreRequest:
    """Asks to restore the blocks after the first ``skip`` at an endpoint."""

    account: str
    weight_version: str
    endpoint: str
    endpoint_url: str
    keys: tuple[str, ...]
    skip: int
    limit_s: float


@frozen
class RestoreAnswer:
    """Number of blocks that the endpoint accepted."""

    taken: int


@frozen
class SaveContextRequest:
    """Asks to fetch a context from an endpoint, and to copy it to ``copy_url``."""

    account: str
    model: str
    weight_version: str
    endpoint: str
    endpoint_url: str
    keys: tuple[str, ...]
    copy_url: str


@frozen
class MirrorRequest:
    """Asks to copy a stored context to a store that lacks it."""

    account: str
    keys: tuple[str, ...]
    copy_url: str


@frozen
class CopyRequest:
    """A copy of an extent for the second store.

    ``parent`` is the key of the block before the first one.
    """

    account: str
    model: str
    weight_version: str
    parent: str
    blocks: tuple[CacheBlock, ...]


@frozen
class StoreStatus:
    """The status of a store; sizes in bytes."""

    name: str
    extents: int
    memory_used: int
    memory_bytes: int
    disk_used: int
    disk_bytes: int
    waiting_transfers: int
