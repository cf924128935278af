"""Schedules long prompts by the pending workload of the engines.

Handles waves and bursts of long prompts, each of which takes an engine some
hundred milliseconds to prefill. An entry receives load reports only with the answers
to its own requests, a few times a second over all engines, which is too slow to track
short-lived queues. Entries therefore report their workload at every engine to each
other, and a long prompt goes to the engine with the least pending prefill.
"""

from collections.abc import Sequence
from typing import Literal

from attrs import frozen

from medlarrail.core.placement import get_weight, rank_nodes
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS

GROUP_SIZE = 24
"""Maximum entries per reporting group. With more entries, each group uses its own
engines, so the message rate of an entry does not grow with the deployment. In small
groups of one or two engines, prompts queue in one group beside idle engines of
another."""
AFFINITY_TOKENS = 1024
"""Extra pending tokens with which an engine is still preferred for a context that it
has served before: the prefill chunk of the engines."""
MEMORY_DEFICIT_FACTOR = 2.0
"""Cost of a token that exceeds the engine's memory: the prompt waits until others
have been answered, which takes longer than prefilling as many tokens."""
FAILURE_PENALTY_TOKENS = 100_000
"""Penalty for a failure rate of 1, in equivalent pending tokens."""
OUTDATED_PENALTY_TOKENS = 8_000
"""Penalty for old weights, in equivalent pending tokens: requests on them count for
a fifth less, which is as much as being late for one in five."""
SLOW_LATENCY_RATIO = 2.5
"""Relative latency above which an engine counts as slow; differences in prompt
length alone cause smaller ratios."""


@frozen
class EngineWorkload:
    """Pending workload of an engine from all entries, in tokens.

    ``unread`` counts prompts whose answer has not started, ``held`` counts all
    running prompts, and ``memory_tokens`` is the engine's capacity, 0 if unknown.
    """

    name: str
    unread: float = 0.0
    held: float = 0.0
    memory_tokens: int = 0
    outdated: bool = False
    failure_rate: float = 0.0
    relative_latency: float = 1.0
    suspected: bool = False


@frozen
class Prompt:
    """A long prompt: its total tokens, and those that need prefill because they cannot
    be fetched from a store."""

    tokens: int
    unread: int


def get_workload_cost(engine: EngineWorkload, prompt: Prompt) -> float:
    """Return the cost until the engine has prefilled the prompt, in tokens."""
    cost = engine.unread + prompt.unread
    if engine.memory_tokens:
        deficit = engine.held + prompt.tokens - engine.memory_tokens
        cost += MEMORY_DEFICIT_FACTOR * max(0.0, deficit)
    if engine.relative_latency > SLOW_LATENCY_RATIO:
        cost *= engine.relative_latency
    cost += OUTDATED_PENALTY_TOKENS * engine.outdated
    return cost + FAILURE_PENALTY_TOKENS * engine.failure_rate


def choose_by_workload(
    engines: Sequence[EngineWorkload], prompt: Prompt, context: str
) -> EngineWorkload | None:
    """Return the engine that can prefill the prompt first.

    Among engines with a similar workload, all entries choose the same one for the
    same ``context``.
    """
    if not engines:
        return None
    ranked = sorted(engines, key=lambda engine: -get_weight(engine.name, context))
    costs = {engine.name: get_workload_cost(engine, prompt) for engine in ranked}
    preferred = ranked[0].name
    costs[preferred] -= AFFINITY_TOKENS
    return min(ranked, key=lambda engine: (engine.suspected, costs[engine.name]))


IDLE_MS = 100.0
"""Backlog up to which an engine counts as idle: waiting for less gains nothing."""
DISPATCH_MARGIN_MS = 150.0
"""Time reserved to dispatch a late prompt, in addition to its prefill time."""

DispatchAction = Literal["send", "wait", "refuse"]


@frozen
class TimeBudget:
    """Time left until the latency target, time left until the caller gives up, and the
    latency target itself."""

    target_left_ms: float
    left_ms: float
    target_ms: float


def decide_dispatch(
    engine: EngineWorkload, prompt: Prompt, budget: TimeBudget
) -> DispatchAction:
    """Return whether a long prompt is sent to the best ``engine``, waits or is refused.

    Handles more long prompts than the engines can prefill, as after a change of
    weights: if each were sent at once, all of them would be late, and most would
    still be late long after the overload. Prompts that can meet the latency target
    go first. A prompt that cannot waits until an engine is idle, or until its last
    chance to be sent, unless it would then make later prompts miss their target. One
    whose caller would give up first is refused at once. No prompt goes to a non-empty
    engine that lacks memory for it: it would evict others, which would need prefill
    again.
    """
    backlog_ms = engine.unread / PREFILL_TOKENS_PER_MS
    first_ms = backlog_ms + prompt.unread / PREFILL_TOKENS_PER_MS
    lacks_memory = (
        0 < engine.memory_tokens < engine.held + prompt.tokens and engine.held > 0
    )
    if not lacks_memory and (
        first_ms <= budget.target_left_ms or backlog_ms <= IDLE_MS
    ):
        return "send"
    if first_ms > budget.left_ms:
        return "refuse"
    if first_ms + DISPATCH_MARGIN_MS < budget.left_ms:
        return "wait"
    return "refuse" if lacks_memory or backlog_ms > budget.target_ms else "send"


@frozen
class ReportingGroup:
    """Entries that report their workload to each other, and the index of the group."""

    entries: tuple[str, ...] = ()
    index: int = 0
    group_count: int = 1

    def list_engines(self, names: Sequence[str], service: str) -> list[str]:
        """Return the engines of this group, or all of them if it has none."""
        ranked = rank_nodes(names, service)
        selected = [
            name
            for rank, name in enumerate(ranked)
            if rank % self.group_count == self.index
        ]
        return selected or ranked


def find_group(entries: Sequence[str], own_name: str) -> ReportingGroup:
    """Return the group of ``own_name``; all entries compute the same groups.

    >>> find_group(["a", "b", "c"], "b").entries
    ('a', 'b', 'c')
    """
    names = sorted({*entries, own_name})
    group_count = -(-len(names) // GROUP_SIZE)
    index = names.index(own_name) % group_count
    return ReportingGroup(tuple(names[index::group_count]), index, group_count)
