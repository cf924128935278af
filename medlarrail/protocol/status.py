"""Status of an entry for operators."""

from attrs import frozen

ENTRY_STATUS_PATH = "/v1/status"


@frozen
class OwnedStatus:
    """The owner's record of an owned endpoint."""

    endpoint: str
    limit: int
    in_use: int
    unproven: int
    queued: int
    completed: int
    cold: bool
    holders_known: bool
    reported_ago_s: float
    cached_blocks: int


@frozen
class CounterStatus:
    """One counter and its labels."""

    name: str
    labels: str
    value: int


@frozen
class EntryStatus:
    """The lease, the counters and the endpoints of an entry."""

    name: str
    data_centre: str
    epoch: int
    lease_valid: bool
    applied_index: int
    held_permits: int
    first_token_p50_s: float
    first_token_p95_s: float
    counters: tuple[CounterStatus, ...]
    owned: tuple[OwnedStatus, ...]
