"""Schedules long prompts by the pending workload of the engines.

Handles waves and bursts of long prompts, each of which takes an engine some
hundred milliseconds to prefill. An entry receives load reports only with the answers
to its own requests, a few times a second over all engines, which is too slow to track
short-lived queues. Entries therefore report their workload at every engine to each
other, or many entries to one coordinator for each engine, and a long prompt goes to the
engine with the least pending prefill.
"""

from collections.abc import Sequence
from heapq import nlargest
from random import Random
from typing import Literal

from attrs import frozen

from medlarrail.core.placement import get_weight
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS

MAX_REPORTING_ENTRIES = 24
"""Entries up to which each reports its workload to all others. With more of them, the
workload of each engine is reported to its coordinator, which answers the others, so
the messages of an entry do not grow with the deployment."""
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
    ``tokens_per_ms`` is its prefill speed, as learned from answers.
    ``saved`` are the tokens of the prompt to place that this engine need not prefill
    because it keeps them, or can fetch them faster; fewer than none if it has to wait
    for them. ``preferred`` are the tokens by which the prompt may be read later here.
    """

    name: str
    unread: float = 0.0
    held: float = 0.0
    memory_tokens: int = 0
    outdated: bool = False
    failure_rate: float = 0.0
    relative_latency: float = 1.0
    suspected: bool = False
    tokens_per_ms: float = PREFILL_TOKENS_PER_MS
    saved: int = 0
    preferred: int = 0

    def count_unread(self, prompt: "Prompt") -> int:
        """Return the tokens of a prompt that need prefill here."""
        return max(0, prompt.unread - self.saved)


@frozen
class Prompt:
    """A long prompt: its total tokens, and those that need prefill because they cannot
    be fetched from a store."""

    tokens: int
    unread: int


def get_workload_cost(engine: EngineWorkload, prompt: Prompt) -> float:
    """Return the cost until the engine has prefilled the prompt, in tokens.

    Tokens of an engine of another speed count by the time that they take.
    """
    cost = engine.unread + engine.count_unread(prompt) - engine.preferred
    if engine.memory_tokens:
        deficit = engine.held + prompt.tokens - engine.memory_tokens
        cost += MEMORY_DEFICIT_FACTOR * max(0.0, deficit)
    if engine.relative_latency > SLOW_LATENCY_RATIO:
        cost *= engine.relative_latency
    cost *= PREFILL_TOKENS_PER_MS / engine.tokens_per_ms
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


def find_coordinator(entries: Sequence[str], engine: str) -> str:
    """Return the entry that collects the workload of ``engine`` from all entries.

    All entries find the same one. ``entries`` must not be empty.
    """
    return max(entries, key=lambda entry: get_weight(entry, engine))


HOMES = 2
"""Engines that are asked because a context belongs to them, rather than by chance."""
DRAWN_ENGINES = 4
"""Engines drawn at random for a prompt. Of so many, one is rarely busy; each more costs
another query."""


def choose_candidates(names: Sequence[str], context: str, draw: str) -> list[str]:
    """Return the engines whose workload is asked for before a prompt is placed.

    Handles many entries before the same engines: an entry that knew the workload of all
    of them would need a message for each change at each of them, and entries that see
    the same idle engine at the same time would all use it. The homes of ``context``
    come first; the others are drawn by the hash of ``draw``.
    """
    if len(names) <= HOMES + DRAWN_ENGINES:
        return list(names)
    homes = nlargest(HOMES, names, key=lambda name: get_weight(name, context))
    others = [name for name in names if name not in homes]
    drawn = Random(draw).sample(others, DRAWN_ENGINES)
    return [*homes, *drawn]


IDLE_MS = 100.0
"""Backlog up to which an engine counts as idle: waiting for less gains nothing."""
MAX_QUEUE_RATIO = 0.8
"""Part of the time left to the latency target that a prompt may take at an engine with
a backlog, where more than ``MAX_REPORTING_ENTRIES`` send to the same engines."""
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

    @property
    def patience_ms(self) -> float:
        """The time after which the caller gives up, from its request on."""
        return self.left_ms + self.target_ms - self.target_left_ms


def decide_dispatch(
    engine: EngineWorkload,
    prompt: Prompt,
    budget: TimeBudget,
    wait_ms: float = 0.0,
    entry_count: int = 1,
) -> DispatchAction:
    """Return whether a long prompt is sent to the best ``engine``, waits or is refused.

    ``wait_ms`` is the expected wait of a late prompt, 0 if it is unknown, and
    ``entry_count`` the number of entries that send prompts to the same engines.

    Handles more long prompts than the engines can prefill, as after a change of
    weights: if each were sent at once, all of them would be late, and most would
    still be late long after the overload. Prompts that can meet the latency target
    go first. A prompt that cannot waits until an engine is idle, and is refused if none
    is at its last chance: sent there, it would make others miss their target, which
    would be sent at their last chance in turn. Only a prompt that is too large to meet
    its target is sent then, unless later prompts would miss theirs. One whose caller
    would give up first is refused at once. No prompt goes to a non-empty
    engine that lacks memory for it: it would evict others, which would need prefill
    again.
    """
    backlog_ms = engine.unread / engine.tokens_per_ms
    prefill_ms = engine.count_unread(prompt) / engine.tokens_per_ms
    first_ms = backlog_ms + prefill_ms
    lacks_memory = (
        0 < engine.memory_tokens < engine.held + prompt.tokens and engine.held > 0
    )
    queue_ratio = MAX_QUEUE_RATIO if entry_count > MAX_REPORTING_ENTRIES else 1.0
    if not lacks_memory and (
        first_ms <= queue_ratio * budget.target_left_ms or backlog_ms <= IDLE_MS
    ):
        return "send"
    if first_ms > budget.left_ms:
        return "refuse"
    if prefill_ms > budget.target_left_ms and wait_ms + prefill_ms > budget.left_ms:
        return "refuse"
    if first_ms + DISPATCH_MARGIN_MS < budget.left_ms:
        return "wait"
    if lacks_memory or prefill_ms <= budget.target_ms:
        return "refuse"
    return "refuse" if backlog_ms > budget.target_ms else "send"
