"""Messages between endpoints and entries, and orders to endpoints."""

from attrs import frozen

from medlarrail.core.entities import Endpoint, OrderKind, Store

ANNOUNCE_PATH = "/v1/announce"
ANNOUNCE_STORE_PATH = "/v1/announce-store"
REPORT_PATH = "/v1/report"
EVENTS_PATH = "/v1/cache-events"
LEAVE_PATH = "/v1/leave"
ORDER_PATH = "/v1/order"
ENDPOINT_STATE_PATH = "/v1/state"
CACHE_KEYS_PATH = "/v1/cache/keys"
CACHE_IMPORT_PATH = "/v1/cache/import"
CACHE_EXPORT_PATH = "/v1/cache/export"

REQUEST_ID_HEADER = "x-request-id"
INCARNATION_HEADER = "x-incarnation"
WEIGHT_VERSION_HEADER = "x-weight-version"


@frozen
class AnnounceRequest:
    """Registers an endpoint, at its start and again every few seconds."""

    endpoint: Endpoint


@frozen
class AnnounceStoreRequest:
    """Registers a store."""

    store: Store


@frozen
class AnnounceAnswer:
    """The entry to send reports to, and the entries to fall back to."""

    owner_url: str
    entry_urls: tuple[str, ...]


@frozen
class LoadReport:
    """The load of an endpoint, ``age_s`` seconds after it was sampled.

    ``completed`` counts requests since the start of this incarnation. ``stamp``
    and ``stamp_owner`` echo the owner's latest answer, which proves that this
    incarnation was alive after that owner issued the stamp.
    """

    endpoint: str
    incarnation: str
    running: int
    queued: int
    completed: int
    weight_version: str
    age_s: float = 0.0
    stamp: float = -1.0
    stamp_owner: int = 0


@frozen
class ReportAnswer:
    """The entry to send the next report to, and the stamp to echo in it."""

    owner_url: str
    stamp: float
    stamp_owner: int


@frozen
class CacheEvent:
    """One block that was added to the endpoint's prefix cache or evicted from it."""

    sequence: int
    key: str
    added: bool


@frozen
class CacheEvents:
    """Cache events in order of their sequence numbers, possibly with gaps."""

    endpoint: str
    incarnation: str
    events: tuple[CacheEvent, ...]


@frozen
class CacheKeys:
    """Every block in the prefix cache as of the event ``sequence``."""

    incarnation: str
    sequence: int
    keys: tuple[str, ...]


@frozen
class LeaveRequest:
    """Announces an endpoint's shutdown; it still completes its running requests."""

    endpoint: str
    incarnation: str


@frozen
class Order:
    """An order to an endpoint; ``fencing`` is the epoch of the owner's view."""

    kind: OrderKind
    value: str
    fencing: int


@frozen
class EndpointReport:
    """The actual state of an endpoint, which its owner reconciles with the orders."""

    incarnation: str
    weight_version: str
    loading: str = ""
    role: str = ""
    adapter: str = ""


@frozen
class CacheBlock:
    """A block of cached context; ``data`` is base64 text."""

    key: str
    parent: str
    data: str


@frozen
class CacheBlocks:
    """Consecutive blocks of one chain."""

    weight_version: str
    blocks: tuple[CacheBlock, ...]


@frozen
class CacheKeyList:
    """Keys of the blocks to export."""

    keys: tuple[str, ...]


@frozen
class CacheImported:
    """Number of blocks that were accepted."""

    taken: int
