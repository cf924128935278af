"""Settings of an entry."""

from attrs import field, frozen

from medlarrail.context.estimator import CostWeights
from medlarrail.serving.caller_api import CallerLimits
from medlarrail.serving.routing import RoutingPolicy
from medlarrail.settings.common import Keys, Listen
from medlarrail.transport.server import ServerLimits


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
    weights: CostWeights = field(factory=CostWeights)
    server: ServerLimits = field(factory=ServerLimits)
    memory_limit_mb: int = 0
    """Memory of the VM in MB; 0 for what the system says."""
    log_file: str = ""
