"""Compares what gateways may know of engines when they place long prompts.

Gateways, engines and stores are simulated under a seeded load, at several sizes of a
deployment. An engine prefills one prompt at a time, and keeps the shared parts that it
used last; a part that it lacks is fetched from a store.
"""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

from attrs import define, field, frozen

from medlarrail.core.placement import get_weight
from medlarrail.policy.workload import (
    MAX_REPORTING_ENTRIES,
    EngineWorkload,
    Prompt,
    choose_by_workload,
    choose_candidates,
)

PREFILL_TOKENS_PER_S = 56_600.0
SHARED_TOKENS = 12_800
OWN_TOKENS_MEAN = 4_260
FETCH_S = 0.025
"""Time to fetch a shared part from a store."""
PARTS_IN_MEMORY = 3
"""Shared parts that an engine keeps beside the prompts that it runs."""
PARTS = 835
POPULARITY_EXPONENT = 0.8
UTILIZATION = 0.6
"""Share of the engines' time that the prompts take if every shared part is fetched."""
PROMPTS = 10_000
WARM_UP_PROMPTS = 2_500
MESSAGE_S = 0.002
"""Time until a message between gateways has been handled."""
REPORT_AGE_S = 0.2
"""Age of what gateways know of engines from load reports."""
REPORTS_PER_PROMPT = 3
"""Changes of an engine's workload by one prompt: begun, prefilled, ended."""


@frozen
class Deployment:
    """The number of gateways, and of engines for long prompts."""

    gateways: int
    engines: int


DEPLOYMENTS = (
    Deployment(12, 9),
    Deployment(65, 35),
    Deployment(191, 24),
    Deployment(390, 330),
)


@define(eq=False)
class SimulatedEngine:
    """An engine with the prompts that it was sent."""

    name: str
    prompts: int = 0
    _sent_at: list[float] = field(factory=list)
    _free_at: list[float] = field(factory=list)
    """When the prompts sent so far are prefilled, for each of ``_sent_at``."""
    _parts: OrderedDict[int, None] = field(factory=OrderedDict)

    def get_unread(self, now: float, age_s: float) -> float:
        """Return the tokens to prefill at ``now``, as known ``age_s`` before."""
        index = bisect_right(self._sent_at, now - age_s)
        free_at = self._free_at[index - 1] if index else 0.0
        return max(0.0, free_at - now) * PREFILL_TOKENS_PER_S

    def holds(self, part: int) -> bool:
        """Return whether a shared part is in memory."""
        return part in self._parts

    def send(self, now: float, part: int, seconds: float) -> float:
        """Queue a prompt; return when it is prefilled."""
        free_at = max([now, *self._free_at[-1:]]) + seconds
        self._sent_at.append(now)
        self._free_at.append(free_at)
        self._parts[part] = None
        self._parts.move_to_end(part)
        if len(self._parts) > PARTS_IN_MEMORY:
            self._parts.popitem(last=False)
        self.prompts += 1
        return free_at


@frozen
class Arrival:
    """A long prompt at a gateway."""

    at: float
    gateway: int
    part: int
    own_tokens: int

    @property
    def context(self) -> str:
        """The key of its shared part."""
        return f"part-{self.part}"


@frozen
class Placement:
    """A chosen engine, when it was chosen, and the messages that this took."""

    engine: SimulatedEngine
    at: float
    messages: int = 0


Way = Callable[[Arrival, list[SimulatedEngine], Deployment, Random], Placement]
WAYS: dict[str, Way] = {}


def register(way: Way) -> Way:
    """Register a way to place prompts by the name of its function."""
    WAYS[way.__name__.removeprefix("place_by_").replace("_", " ")] = way
    return way


def choose(
    engines: list[SimulatedEngine], arrival: Arrival, now: float, age_s: float
) -> SimulatedEngine:
    """Return the engine that the product's policy chooses."""
    workloads = [
        EngineWorkload(engine.name, engine.get_unread(now, age_s)) for engine in engines
    ]
    prompt = Prompt(SHARED_TOKENS + arrival.own_tokens, arrival.own_tokens)
    chosen = choose_by_workload(workloads, prompt, arrival.context)
    return next(engine for engine in engines if engine.name == chosen.name)


@register
def place_by_hash(arrival, engines, deployment, rng) -> Placement:
    """Use the home of the shared part, whatever its load: no messages."""
    return Placement(
        max(engines, key=lambda engine: get_weight(engine.name, arrival.context)),
        arrival.at,
    )


@register
def place_by_load_reports(arrival, engines, deployment, rng) -> Placement:
    """Use the least loaded of all engines by reports that are a little old."""
    return Placement(choose(engines, arrival, arrival.at, REPORT_AGE_S), arrival.at)


@register
def place_by_groups(arrival, engines, deployment, rng) -> Placement:
    """Use an engine of the gateway's group, whose gateways report to each other."""
    count = -(-deployment.gateways // MAX_REPORTING_ENTRIES)
    group = engines[arrival.gateway % count :: count] or engines
    messages = REPORTS_PER_PROMPT * (-(-deployment.gateways // count) - 1)
    return Placement(
        choose(group, arrival, arrival.at, MESSAGE_S), arrival.at, messages
    )


@register
def place_by_two_choices(arrival, engines, deployment, rng) -> Placement:
    """Ask for the workload of two engines drawn at random."""
    drawn = rng.sample(engines, min(2, len(engines)))
    at = arrival.at + 2 * MESSAGE_S
    return Placement(choose(drawn, arrival, at, MESSAGE_S), at, 4 + REPORTS_PER_PROMPT)


@register
def place_by_coordinators(arrival, engines, deployment, rng) -> Placement:
    """Ask for the workload of homes of the shared part, and of others at random."""
    names = [engine.name for engine in engines]
    asked = choose_candidates(names, arrival.context, f"{arrival.at}")
    candidates = [engine for engine in engines if engine.name in asked]
    at = arrival.at + 2 * MESSAGE_S
    messages = 2 * len(candidates) + REPORTS_PER_PROMPT
    return Placement(choose(candidates, arrival, at, MESSAGE_S), at, messages)


@register
def place_by_full_knowledge(arrival, engines, deployment, rng) -> Placement:
    """Know everything at once: the bound for the other ways."""
    return Placement(choose(engines, arrival, arrival.at, 0.0), arrival.at)


@frozen
class PlacementResult:
    """Results of one way at one size; times to the first token in milliseconds."""

    gateways: int
    engines: int
    way: str
    p50_ms: int
    p90_ms: int
    p99_ms: int
    busiest_to_mean: float
    fetched_share: float
    """Prompts whose shared part was not in the engine's memory."""
    messages_per_s: float
    """Messages that a gateway sends."""


def iterate_arrivals(deployment: Deployment, rng: Random) -> Iterator[Arrival]:
    """Yield prompts in the order of their arrival."""
    seconds = FETCH_S + OWN_TOKENS_MEAN / PREFILL_TOKENS_PER_S
    rate = UTILIZATION * deployment.engines / seconds
    weights = [1 / (rank + 1) ** POPULARITY_EXPONENT for rank in range(PARTS)]
    at = 0.0
    for part in rng.choices(range(PARTS), weights, k=PROMPTS):
        at += rng.expovariate(rate)
        own_tokens = int(min(40_000, rng.lognormvariate(8.18, 0.6)))
        yield Arrival(at, rng.randrange(deployment.gateways), part, own_tokens)


def play(deployment: Deployment, name: str, seed: int) -> PlacementResult:
    """Place the prompts of one play in one way."""
    rng = Random(f"{seed}-{deployment.gateways}")
    engines = [SimulatedEngine(f"engine-{n:04}") for n in range(deployment.engines)]
    first_tokens_s: list[float] = []
    fetched = messages = 0
    arrivals = list(iterate_arrivals(deployment, rng))
    for number, arrival in enumerate(arrivals):
        measured = number >= WARM_UP_PROMPTS
        placement = WAYS[name](arrival, engines, deployment, rng)
        seconds = arrival.own_tokens / PREFILL_TOKENS_PER_S
        if not placement.engine.holds(arrival.part):
            seconds += FETCH_S
            fetched += measured
        prefilled_at = placement.engine.send(placement.at, arrival.part, seconds)
        if measured:
            first_tokens_s.append(prefilled_at - arrival.at)
            messages += placement.messages
    first_tokens_s.sort()
    count = len(first_tokens_s)
    seconds = arrivals[-1].at - arrivals[WARM_UP_PROMPTS].at
    loads = [engine.prompts for engine in engines]
    return PlacementResult(
        deployment.gateways,
        deployment.engines,
        name,
        *(int(1000 * first_tokens_s[int(count * share)]) for share in (0.5, 0.9, 0.99)),
        busiest_to_mean=round(max(loads) * len(loads) / sum(loads), 2),
        fetched_share=round(fetched / count, 3),
        messages_per_s=round(messages / deployment.gateways / seconds, 1),
    )


def run_placement_bench(seed: int) -> Iterator[PlacementResult]:
    """Yield the results of all ways at all sizes."""
    for deployment in DEPLOYMENTS:
        for name in WAYS:
            yield play(deployment, name, seed)


BAR_HEIGHT = 18
BAR_WIDTH_PER_MS = 0.25


def write_chart(results: list[PlacementResult], path: Path) -> None:
    """Write a bar chart in SVG of the time of 90 in 100 prompts."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(_iterate_chart(results)) + "\n")


def _iterate_chart(results: list[PlacementResult]) -> Iterator[str]:
    height = BAR_HEIGHT * (len(results) + 2)
    yield f'<svg xmlns="http://www.w3.org/2000/svg" width="820" height="{height}">'
    yield '<text x="4" y="14" font-size="13">first token, 90 in 100 prompts</text>'
    for number, result in enumerate(results, start=1):
        y = number * BAR_HEIGHT
        width = min(440.0, result.p90_ms * BAR_WIDTH_PER_MS)
        label = f"{result.gateways} gateways, {result.engines} engines: {result.way}"
        yield f'<text x="4" y="{y + 14}" font-size="11">{label}</text>'
        yield f'<rect x="300" y="{y + 4}" width="{width:.0f}" height="12" fill="#47a"/>'
        yield (
            f'<text x="{306 + width:.0f}" y="{y + 14}" font-size="11">'
            f"{result.p90_ms} ms</text>"
        )
    yield "</svg>"
