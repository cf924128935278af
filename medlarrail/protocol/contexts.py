"""Messages between entries and the stores of kept context."""

from attrs import frozen

from medlarrail.protocol.endpoints import CacheBlock

LOOKUP_PATH = "/internal/context/lookup"
RESTORE_PATH = "/internal/context/restore"
KEEP_PATH = "/internal/context/keep"
COPY_PATH = "/internal/context/copy"
MIRROR_PATH = "/internal/context/mirror"
STORE_STATUS_PATH = "/v1/store"


@frozen
class LookupRequest:
    """Asks how much of a prompt's context is held, and what bringing it costs."""

    account: str
    keys: tuple[str, ...]
    endpoint: str


@frozen
class LookupAnswer:
    """Leading blocks held, their bytes, and the link's state.

    ``wait_s`` is the backlog before a restore, ``rate_bytes_per_s`` the link's
    learnt rate.
    """

    blocks: int
    block_bytes: int
    wait_s: float
    rate_bytes_per_s: float


@frozen
class RestoreRequest:
    """Asks to bring the blocks after the first ``skip`` to an endpoint."""

    account: str
    weight_version: str
    endpoint: str
    endpoint_url: str
    keys: tuple[str, ...]
    skip: int
    limit_s: float


@frozen
class RestoreAnswer:
    """Blocks that the endpoint took."""

    taken: int


@frozen
class KeepRequest:
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
    """Asks to copy a held context to a store that lacks it."""

    account: str
    keys: tuple[str, ...]
    copy_url: str


@frozen
class CopyRequest:
    """An extent for the second store; ``parent`` is the key before its blocks."""

    account: str
    model: str
    weight_version: str
    parent: str
    blocks: tuple[CacheBlock, ...]


@frozen
class StoreStatus:
    """What a store says of itself; sizes in bytes."""

    name: str
    extents: int
    memory_used: int
    memory_bytes: int
    disk_used: int
    disk_bytes: int
    waiting_transfers: int
