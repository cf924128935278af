"""Settings of a gateway."""

from attrs import field, frozen

from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.policy.back_off import BackOffPolicy
from medlarrail.policy.isolation import IsolationPolicy
from medlarrail.relay.drain import DrainPolicy
from medlarrail.relay.request_relay import RetryPolicy
from medlarrail.settings.common import Keys, Listen


@frozen
class GatewaySettings:
    """Settings of a gateway, an entry for opaque requests.

    ``health_address``, ``directory_address`` and ``metrics_address`` are separate
    ``host:port`` addresses.
    """

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    state_urls: tuple[str, ...]
    health_address: str = ""
    directory_address: str = ""
    metrics_address: str = ""
    work_address: str = ""
    """``host:port`` for exchanging reports of work at engines between gateways;
    without it each gateway knows only its own work."""
    retries: RetryPolicy = field(factory=RetryPolicy)
    back_off: BackOffPolicy = field(factory=BackOffPolicy)
    drain: DrainPolicy = field(factory=DrainPolicy)
    isolation: IsolationPolicy = field(factory=IsolationPolicy)
    software_rollouts: SoftwareRolloutPolicy | None = None
    """Limits of software rollouts; None for a deployment without them."""
    max_connections: int = 2000
    """Concurrent caller connections: half of the process's file descriptors."""
    memory_limit_mb: int = 0
    """Memory of the VM in MB; 0 for what the system says."""
    log_file: str = ""
