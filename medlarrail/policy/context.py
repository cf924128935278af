"""Chooses the stores that parts of a prompt are fetched from and saved to.

Handles prompts that recur after the endpoint has evicted their context: prefilling
a long shared part again takes many times as long as fetching it, so each shared
part is saved once, in a store with free capacity, and fetched from there whenever
the endpoint lacks it. Parts that belong to a single request are never transferred.
Small parts only use stores with a low start-up latency: a link runs one transfer
at a time, so many short transfers that start slowly would occupy it and delay the
long ones.
"""

import math
from collections.abc import Sequence

from attrs import frozen

from medlarrail.core.placement import get_weight
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS

BLOCK_TOKENS = 16
"""Allocation unit of the stores, in tokens."""
SMALL_PART_RATIO = 0.01
"""Fraction of a store's capacity up to which a part counts as small: small parts go
to the stores with the lowest start-up latency, large ones to the largest stores."""

LOW_LATENCY_MS = 1.0
"""Start-up latency up to which a store is used for parts of any size."""
MAX_WEIGHT = 2**64 - 1
MAX_WAIT_RATIO = 0.5
"""Maximum start-up latency of a transfer, as a fraction of the prefill time saved."""


@frozen
class StoreView:
    """An entry's view of a store; ``first_ms`` is its start-up latency per transfer."""

    address: str
    data_centre: str
    capacity_tokens: int
    free_tokens: int
    first_ms: float = 0.0
    fetchable: bool = True
    savable: bool = True


@frozen
class PartView:
    """A shared part of a prompt and the stores that hold all of it.

    ``saving`` is set while a requested save may be in progress.
    """

    identity: str
    tokens: int
    held_at: tuple[str, ...] = ()
    saving: bool = False


@frozen
class TransferPlan:
    """The store to fetch from and the store to save to, for each shared part."""

    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()


def plan_transfers(
    parts: Sequence[PartView],
    stores: Sequence[StoreView],
    data_centre: str,
    tokens_per_ms: float = PREFILL_TOKENS_PER_MS,
) -> TransferPlan:
    """Return the transfers for a request that runs in ``data_centre``.

    ``tokens_per_ms`` is the speed of the engines, as this entry has learned it. It
    decides what is fetched, not where parts are saved: all entries have to find the
    same homes of a part.
    """
    return TransferPlan(
        fetch=tuple(
            _choose_source(part, stores, data_centre, tokens_per_ms) for part in parts
        ),
        save=tuple(_choose_target(part, stores) for part in parts),
    )


def is_worthwhile(
    tokens: int, store: StoreView, tokens_per_ms: float = PREFILL_TOKENS_PER_MS
) -> bool:
    """Return whether a transfer starts well before prefill would have finished."""
    prefill_ms = tokens / tokens_per_ms
    return store.first_ms <= max(LOW_LATENCY_MS, MAX_WAIT_RATIO * prefill_ms)


def _choose_source(
    part: PartView,
    stores: Sequence[StoreView],
    data_centre: str,
    tokens_per_ms: float,
) -> str:
    """Return the nearest store that holds the part, or an empty string."""
    sources = [
        store
        for store in stores
        if store.fetchable
        and store.address in part.held_at
        and is_worthwhile(part.tokens, store, tokens_per_ms)
    ]
    source = min(
        sources,
        key=lambda store: (
            store.data_centre != data_centre,
            store.first_ms,
            store.address,
        ),
        default=None,
    )
    return "" if source is None else source.address


def _choose_target(part: PartView, stores: Sequence[StoreView]) -> str:
    """Return the store to save a part to, or an empty string if none is needed."""
    if part.held_at or part.saving:
        return ""
    candidates = [store for store in stores if can_save(part.tokens, store)]
    homes = rank_homes(part, candidates)
    return homes[0].address if homes else ""


def can_save(tokens: int, store: StoreView) -> bool:
    """Return whether a store has room for a part and may be saved to."""
    needed_tokens = -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
    return store.savable and store.free_tokens >= needed_tokens


def rank_homes(part: PartView, stores: Sequence[StoreView]) -> list[StoreView]:
    """Return the stores that a part belongs to, the preferred one first."""
    candidates = [store for store in stores if is_worthwhile(part.tokens, store)]
    if not candidates:
        return []
    is_small = _is_small(part, candidates)
    return sorted(
        candidates,
        key=lambda store: (
            part.tokens > store.capacity_tokens * SMALL_PART_RATIO,
            store.first_ms if is_small else 0.0,
            -_get_share_weight(store, part, is_small),
        ),
    )


def _get_share_weight(store: StoreView, part: PartView, is_small: bool) -> float:
    """Return the weight by which a store gets its share of the parts.

    Large parts are divided in proportion to the capacities: if the largest store came
    first for each of them, it would be full while the others are empty. The order of
    stores of one capacity depends on their hashes only.
    """
    weight = get_weight(store.address, part.identity)
    if is_small:
        return weight
    return store.capacity_tokens / -math.log((weight + 1) / (MAX_WEIGHT + 2))


def _is_small(part: PartView, stores: Sequence[StoreView]) -> bool:
    """Return whether even the smallest store could hold many parts of this size."""
    min_capacity = min(store.capacity_tokens for store in stores)
    return part.tokens <= min_capacity * SMALL_PART_RATIO
