"""Settings of a context store."""

from typing import Literal

from attrs import field, frozen

from medlarrail.settings.common import Keys, Listen
from medlarrail.transport.server import ServerLimits


@frozen
class StoreSettings:
    """Settings of ``medlar-store``; ``eviction`` is the name of a policy."""

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
    memory_limit_mb: int = 0
    """Memory of the VM in MB; 0 for what the system says."""
    log_file: str = ""
