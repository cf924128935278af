"""Settings of a state member."""

from attrs import field, frozen

from medlarrail.cluster.weight_rollout import RolloutPolicy
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.settings.common import Keys, Listen
from medlarrail.transport.server import ServerLimits


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
    """URLs of the members to form a cluster with or to ask to join; empty if an
    operator does both."""
    first_start: bool = False
    """Whether this is the first start of the whole system, with empty disks."""
    metrics_address: str = ""
    """``host:port`` that serves metrics without a key; empty for none."""
    rollout: RolloutPolicy = field(factory=RolloutPolicy)
    software_rollouts: SoftwareRolloutPolicy | None = None
    """Limits of software rollouts; None for a deployment without them."""
    server: ServerLimits = field(factory=lambda: ServerLimits(body_bytes=256_000_000))
    memory_limit_mb: int = 0
    """Memory of the VM in MB; 0 for what the system says."""
    log_file: str = ""
