"""Partitions engines by prompt length, to avoid head-of-line blocking.

Handles a mix of few long prompts and many short ones: an engine prefills one
prompt at a time, so a short prompt queued behind a long one waits many times its
own prefill time. Long prompts go to a share of the engines equal to their share of
the prompt tokens in memory, and short ones to the remaining engines. All entries
rank the engines identically, so they agree on the partition without coordination.
"""

from collections.abc import Sequence

from attrs import define, field

from medlarrail.core.placement import rank_nodes
from medlarrail.policy.rate_limits import SlidingCount

LONG_PROMPT_TOKENS = 1024
"""Unshared tokens above which a prompt is long: the prefill chunk of the engines."""
PREFILL_TOKENS_PER_MS = 50.0
"""Prefill throughput of an engine while it also serves other requests."""
MIX_WINDOW_S = 5.0
"""Window over which the mix of long and short prompts is measured."""
MIN_LONG_SHARE = 0.5
MAX_LONG_SHARE = 0.78
"""Bounds on the share for long prompts, to keep capacity for bursts of either kind."""
MIN_ENGINES_TO_SPLIT = 4
"""Number of engines below which the partitions would be too small for bursts."""


@define
class PromptMix:
    """Tokens of recent long and short prompts."""

    _long: SlidingCount = field(factory=lambda: SlidingCount(MIX_WINDOW_S))
    _short: SlidingCount = field(factory=lambda: SlidingCount(MIX_WINDOW_S))

    def record(self, now: float, own_tokens: int, all_tokens: int) -> None:
        """Record a prompt that was sent to an engine, with all the tokens it holds."""
        counter = self._long if is_long(own_tokens) else self._short
        counter.add(now, all_tokens)

    def get_long_tokens_per_s(self, now: float) -> float:
        """Return the tokens per second of long prompts."""
        return self._long.get(now) / MIX_WINDOW_S

    def get_long_share(self, now: float) -> float:
        """Return the share of the engines for long prompts."""
        long, short = self._long.get(now), self._short.get(now)
        share = long / (long + short) if long + short else 0.5
        return min(MAX_LONG_SHARE, max(MIN_LONG_SHARE, share))


def is_long(own_tokens: int) -> bool:
    """Return whether a prompt with ``own_tokens`` unshared tokens is long."""
    return own_tokens > LONG_PROMPT_TOKENS


def get_max_concurrency(slots: int, memory_tokens: int, prompt_tokens: int) -> int:
    """Return how many prompts of one size an engine can run concurrently.

    More of them would evict each other from its memory.
    """
    if not memory_tokens or not prompt_tokens:
        return max(1, slots)
    return max(1, min(slots, memory_tokens // prompt_tokens))


def are_all_full(loads: Sequence[float], slots: Sequence[int]) -> bool:
    """Return whether none of the engines has a free slot.

    Handles the loss of an engine for short prompts, or more concurrent short
    prompts than there are slots: they may then overflow to the engines for long
    prompts, where few requests leave most slots free.
    """
    return all(load >= count for load, count in zip(loads, slots, strict=True))


def list_engines(
    names: Sequence[str], service: str, long: bool, long_share: float
) -> list[str]:
    """Return the engines for long or for short prompts.

    Example: with a share of 0.5 four engines split in two and two.
    """
    ranked = rank_nodes(names, service)
    if len(ranked) < MIN_ENGINES_TO_SPLIT:
        return ranked
    count = min(len(ranked) - 1, max(1, round(long_share * len(ranked))))
    return ranked[:count] if long else ranked[count:]
