"""The deployment document: routes, services, accounts and limits of one version.

An operator replaces the complete document, and the highest version is in force.
The records hold decoded values only; ``source`` retains the operator's original
text, so that a read returns exactly what was accepted.
"""

from typing import Literal

from attrs import field, frozen

RouteKind = Literal["repeat", "once", "stream"]


@frozen
class TrafficShare:
    """The weighted share of a route's requests that goes to ``service``."""

    service: str
    weight: float = 1.0


@frozen
class RouteRule:
    """Targets and limits of the requests with one host and path prefix.

    ``timeout_ms`` bounds the whole request, ``target_ms`` is the target latency of
    the answer (streams: of the first event), after which it is worth less to the
    caller, ``gap_ms`` the longest pause between two events, and ``patience_ms`` the
    time after which callers abandon a stream that has not begun, 0 for the timeout.
    ``max_attempts`` bounds the number of endpoints that one request may be sent to.
    A ``resumable`` stream may continue at another endpoint. On ``cached`` routes the
    endpoints cache parts of the prompts.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    shares: tuple[TrafficShare, ...]
    target_ms: int = 0
    gap_ms: int = 0
    patience_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    cached: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind == "repeat" or (self.kind == "stream" and self.resumable)


@frozen
class EngineSpec:
    """Properties of a service's model engines; memory in tokens.

    ``slots`` is the number of requests that run in one batch, ``memory_tokens`` the
    cache memory shared by running requests and cached parts, ``token_bytes`` the
    cache size of one token.
    """

    slots: int = 1
    memory_tokens: int = 0
    token_bytes: int = 0
    link_mbps: float = 0.0
    event_calls: int = 1
    """Concurrent calls for cache events that one engine supports."""
    models: tuple[str, ...] = ()


@frozen
class StoreSpec:
    """Properties of a context store; a ``managed`` one does not evict by itself."""

    address: str
    data_centre: str
    capacity_tokens: int
    link_mbps: float
    event_calls: int = 1
    managed: bool = False
    first_ms: float = 0.0


@frozen
class ServiceRule:
    """A service and the capacity of its endpoints.

    ``max_connections`` is the limit of one endpoint over all callers. For
    ``cold_s`` seconds after its start an endpoint is limited to ``cold_per_s``
    requests per second.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None
    store: StoreSpec | None = None


@frozen
class AccountRule:
    """A client account: its keys, and whether its context is isolated."""

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    """Overrides the route's priority if set."""
    isolated: bool = False


@frozen
class RequestLimits:
    """Size limits of a caller's requests, and how long a caller may be idle."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@frozen
class Deployment:
    """One version of the complete document."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    accounts: tuple[AccountRule, ...] = ()
    limits: RequestLimits = field(factory=RequestLimits)
    lists_accounts: bool = False
    """Whether the document has a list of accounts, which may be empty. Programs of the
    version before don't tell."""
    source: str = field(default="", repr=False)

    @property
    def requires_key(self) -> bool:
        """Whether requests need the key of an account, also if there is none left."""
        return self.lists_accounts or bool(self.accounts)


def select_newer(document: Deployment | None, version: int) -> Deployment | None:
    """Return the document if its version is higher, else None.

    Callers that have a version are told only what they lack.
    """
    is_newer = document is not None and document.version > version
    return document if is_newer else None
