"""Settings of the programs, as their JSON files hold them."""

from typing import Literal

from attrs import field, frozen

from medlarrail.cluster.weight_keeper import RolloutPolicy
from medlarrail.context.estimator import Weights
from medlarrail.core.entities import Fault
from medlarrail.relay.drain import DrainPolicy
from medlarrail.relay.front import RetryPolicy
from medlarrail.serving.front import CallerLimits
from medlarrail.serving.routing import RoutingPolicy
from medlarrail.transport.server import ServerLimits


@frozen
class Listen:
    """Where a program listens, and the URL under which others reach it.

    Port 0 stands for the port of the URL.
    """

    host: str
    port: int
    url: str

    @property
    def bind_port(self) -> int:
        """The port to bind, 0 where neither field has one."""
        if self.port:
            return self.port
        tail = self.url.rpartition(":")[2]
        return int(tail) if tail.isdigit() else 0


@frozen
class Keys:
    """Keys of the deployment.

    ``cluster`` is shared by the system's own processes, ``endpoint`` by
    endpoints; of operators' keys only SHA-256 digests are stored.
    """

    cluster: str
    endpoint: str = ""
    operators_sha256: tuple[str, ...] = ()


@frozen
class StateSettings:
    """Settings of ``medlar-state``; sizes in bytes."""

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    data_folder: str
    quota_bytes: int = 0
    seeds: tuple[str, ...] = ()
    """URLs of members to form the cluster with or to ask to be taken in; none
    where an operator does both."""
    first_start: bool = False
    """Whether the whole system starts for the first time, with empty disks."""
    metrics_address: str = ""
    """``host:port`` for metrics without a key; empty for none."""
    rollout: RolloutPolicy = field(factory=RolloutPolicy)
    server: ServerLimits = field(factory=lambda: ServerLimits(body_bytes=256_000_000))
    log_file: str = ""


@frozen
class EntrySettings:
    """Settings of ``medlar-entry``."""

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    state_urls: tuple[str, ...]
    callers: CallerLimits = field(factory=CallerLimits)
    routing: RoutingPolicy = field(factory=RoutingPolicy)
    weights: Weights = field(factory=Weights)
    server: ServerLimits = field(factory=ServerLimits)
    log_file: str = ""


@frozen
class GatewaySettings:
    """Settings of a gateway: an entry for opaque requests.

    ``health_address``, ``directory_address`` and ``metrics_address`` are each a
    ``host:port`` of their own.
    """

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    state_urls: tuple[str, ...]
    health_address: str = ""
    directory_address: str = ""
    metrics_address: str = ""
    retries: RetryPolicy = field(factory=RetryPolicy)
    drain: DrainPolicy = field(factory=DrainPolicy)
    max_connections: int = 2000
    """Callers' connections at once: half of the descriptors that a process has."""
    log_file: str = ""


@frozen
class StoreSettings:
    """Settings of ``medlar-store``; ``eviction`` names a policy."""

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    entry_urls: tuple[str, ...]
    data_folder: str
    memory_bytes: int
    disk_bytes: int
    eviction: Literal["value", "lru"] = "value"
    server: ServerLimits = field(factory=lambda: ServerLimits(body_bytes=64_000_000))
    log_file: str = ""


@frozen
class OperatorSettings:
    """Settings of ``medlar``: the state members and the operator's key."""

    state_urls: tuple[str, ...]
    key: str


def iterate_listen_faults(listen: Listen):
    """Yield what is wrong with an address."""
    if not 0 < listen.bind_port < 65536:
        yield Fault("$.listen.port", "not between 1 and 65535")
    if not listen.url.startswith("http://"):
        yield Fault("$.listen.url", "does not start with http://")


def iterate_faults(settings) -> list[Fault]:
    """Return what is wrong with settings whose types are right."""
    faults = list(iterate_listen_faults(settings.listen))
    if not settings.name:
        faults.append(Fault("$.name", "is empty"))
    if not settings.data_centre:
        faults.append(Fault("$.data_centre", "is empty"))
    if len(settings.keys.cluster) < SHORTEST_KEY:
        faults.append(Fault("$.keys.cluster", f"shorter than {SHORTEST_KEY}"))
    if not getattr(settings, "state_urls", ("set",)):
        faults.append(Fault("$.state_urls", "is empty"))
    return faults


SHORTEST_KEY = 16
"""Characters that a key of the deployment has at least."""
