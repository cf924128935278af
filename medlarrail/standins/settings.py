"""Settings of the stand-in back ends."""

from attrs import field, frozen

from medlarrail.core.entities import Endpoint
from medlarrail.settings.common import Keys, Listen


@frozen
class Behaviour:
    """How a stand-in back end behaves; times in seconds, sizes in bytes.

    ``token_interval_s`` is the time between two tokens of one stream,
    ``cache_blocks`` limits the prefix cache, ``link_bytes_per_s`` is the transfer
    rate of cached blocks, and ``load_s`` is the time to load new weights.
    ``event_delay_s`` and ``event_loss`` set the delay and the loss rate of cache
    events. With ``falls_over`` a back end that exceeds its capacity crashes and
    restarts cold as a new incarnation.
    """

    token_interval_s: float = 0.01
    cache_blocks: int = 64
    block_data_bytes: int = 256
    link_bytes_per_s: float = 1_000_000.0
    load_s: float = 1.0
    event_delay_s: float = 0.2
    event_loss: float = 0.02
    report_interval_s: float = 0.25
    report_lag_s: float = 0.05
    falls_over: bool = True
    down_s: float = 0.5
    call_s: float = 0.02


@frozen
class StandinSettings:
    """Settings of ``medlar-standin engine`` and ``medlar-standin service``."""

    name: str
    data_centre: str
    listen: Listen
    keys: Keys
    entry_urls: tuple[str, ...]
    endpoint: Endpoint
    behaviour: Behaviour = field(factory=Behaviour)
    seed: int = 1
    runs_file: str = ""
    """File in which a service records each run, so that counts survive a restart."""
    log_file: str = ""
