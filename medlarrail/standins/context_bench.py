"""Compares context caching strategies on one seeded trace of visits.

Contexts are used again after minutes to hours, those of some accounts far more often
than others. The engine's cache is small, and the stores hold a fraction of all contexts
ever cached. An oracle that knows the trace gives an upper bound for any eviction
policy.
"""

import math
from collections.abc import Iterator
from pathlib import Path
from random import Random

from attrs import define, field, frozen

from medlarrail.context.estimator import CostInputs, CostWeights, estimate
from medlarrail.core.metrics import Metrics
from medlarrail.state.eviction import Candidate, ReuseRates, get_policy

STRATEGIES = ("none", "engine", "stores-lru", "stores-value", "oracle")
HOUR_S = 3600.0
NEVER = math.inf
EVICTION_FRACTION = 0.05
"""Fraction of the capacity that one eviction frees."""


@frozen
class TraceSettings:
    """Parameters of the trace of one deployment; sizes in bytes of prompt text."""

    name: str
    weights: CostWeights
    contexts: int = 6000
    accounts: int = 10
    horizon_s: float = 8 * HOUR_S
    median_bytes: int = 40_000
    median_gap_s: float = 900.0
    data_per_text: float = 25.0
    """Bytes of cached data per byte of text."""
    prefill_bytes_per_s: float = 40_000.0
    link_bytes_per_s: float = 40_000_000.0
    engine_fraction: float = 0.02
    store_fraction: float = 0.06
    """Cache capacities, as fractions of the total size of all contexts."""


TRACES = (
    TraceSettings("thistlegate", CostWeights(1.0, 0.1, 0.1), median_gap_s=600.0),
    TraceSettings("derwent-valley", CostWeights(0.2, 1.0, 1.0), median_bytes=80_000),
)


@frozen
class Visit:
    """One use of a context of ``size`` bytes; ``next_at`` is when it is next used."""

    at: float
    context: int
    account: int
    size: int
    next_at: float


@frozen
class ContextResult:
    """Results of one strategy on one trace."""

    trace: str
    way: str
    visits: int
    recomputed_share: float
    saved_share_of_oracle: float
    link_bytes_per_visit: float
    first_token_p50_s: float
    first_token_p95_s: float


def build_trace(settings: TraceSettings, random: Random) -> list[Visit]:
    """Return the visits of all contexts, ordered by time."""
    rates = [random.choice((0.1, 0.3, 0.8)) for _ in range(settings.accounts)]
    visits: list[Visit] = []
    for context in range(settings.contexts):
        account = random.randrange(settings.accounts)
        size = int(settings.median_bytes * random.lognormvariate(0, 0.7))
        times = list(_iterate_times(settings, random, rates[account]))
        next_times = [*times[1:], NEVER]
        visits += [
            Visit(at, context, account, size, next_at)
            for at, next_at in zip(times, next_times, strict=True)
        ]
    return sorted(visits, key=lambda visit: visit.at)


def _iterate_times(settings, random: Random, rate: float) -> Iterator[float]:
    """Yield the visit times of one context, which recurs with probability ``rate``."""
    at = random.uniform(0, settings.horizon_s)
    while at < settings.horizon_s:
        yield at
        if random.random() > rate:
            return
        at += settings.median_gap_s * random.lognormvariate(0, 1.0)


@define
class CacheEntry:
    """A cached context."""

    visit: Visit
    uses: int
    used_at: float


@define
class Cache:
    """A cache of complete contexts with one eviction policy."""

    capacity: int
    policy: str
    rates: ReuseRates = field(factory=ReuseRates)
    entries: dict[int, CacheEntry] = field(factory=dict)
    used: int = 0

    def find(self, visit: Visit) -> bool:
        """Return whether the context is cached; a hit counts as a use."""
        entry = self.entries.get(visit.context)
        if entry is None:
            return False
        if not entry.uses:
            self.rates.record_reuse(str(visit.account))
        entry.uses += 1
        entry.used_at = visit.at
        entry.visit = visit
        return True

    def add(self, visit: Visit) -> None:
        """Cache a context, evicting others if it does not fit."""
        if visit.context in self.entries or visit.size > self.capacity:
            return
        if self.policy == "oracle" and visit.next_at == NEVER:
            return
        if self.used + visit.size > self.capacity:
            self._evict(visit)
        self.rates.record_stored(str(visit.account))
        self.entries[visit.context] = CacheEntry(visit, 0, visit.at)
        self.used += visit.size

    def _evict(self, visit: Visit) -> None:
        target_bytes = self.capacity * (1 - EVICTION_FRACTION) - visit.size
        for context, _ in sorted(
            self.entries.items(),
            key=lambda item: self._get_eviction_key(item[1], visit.at),
        ):
            self.used -= self.entries.pop(context).visit.size
            if self.used <= target_bytes:
                return

    def _get_eviction_key(self, entry: CacheEntry, now: float) -> float:
        if self.policy == "oracle":
            return -entry.visit.next_at
        rate = self.rates.get_rate(str(entry.visit.account))
        return get_policy(self.policy)(
            Candidate(entry.visit.size, entry.uses, now - entry.used_at, rate)
        )


@define
class ContextBench:
    """Simulation of one strategy on one trace."""

    settings: TraceSettings
    strategy: str
    visits: list[Visit]
    engine: Cache = field(init=False)
    store: Cache = field(init=False)
    metrics: Metrics = field(factory=Metrics)
    recomputed: int = 0
    link_bytes: int = 0
    _link_free_at: float = 0.0

    def __attrs_post_init__(self):
        sizes = {visit.context: visit.size for visit in self.visits}
        total = sum(sizes.values())
        policy = {"stores-lru": "lru", "oracle": "oracle"}.get(self.strategy, "value")
        self.engine = Cache(int(total * self.settings.engine_fraction), "lru")
        self.store = Cache(int(total * self.settings.store_fraction), policy)

    def run(self) -> None:
        """Replay every visit."""
        for visit in self.visits:
            self.metrics.observe("first_token", self._serve(visit))

    def _serve(self, visit: Visit) -> float:
        """Return the time to first token of one visit, in seconds."""
        recompute_s = visit.size / self.settings.prefill_bytes_per_s
        stored = self.strategy not in ("none", "engine") and self.store.find(visit)
        if self.strategy != "none" and self.engine.find(visit):
            return 0.0
        self.engine.add(visit)
        if stored:
            restored_s = self._restore(visit)
            if restored_s is not None:
                return restored_s
        self.recomputed += visit.size
        if self.strategy not in ("none", "engine") and not stored:
            self.store.add(visit)
            self._use_link(visit)
        return recompute_s

    def _restore(self, visit: Visit) -> float | None:
        """Return the duration of a restore, or None if recomputing is better."""
        settings = self.settings
        cost_inputs = CostInputs(
            text_bytes=visit.size,
            data_bytes=int(visit.size * settings.data_per_text),
            wait_s=max(0.0, self._link_free_at - visit.at),
            link_bytes_per_s=settings.link_bytes_per_s,
            prefill_bytes_per_s=settings.prefill_bytes_per_s,
        )
        chosen = estimate(cost_inputs, settings.weights)
        if chosen.choice == "recompute":
            return None
        self._use_link(visit)
        return chosen.restore_s

    def _use_link(self, visit: Visit) -> None:
        size = int(visit.size * self.settings.data_per_text)
        self.link_bytes += size
        start = max(self._link_free_at, visit.at)
        self._link_free_at = start + size / self.settings.link_bytes_per_s


def run_context_bench(seed: int) -> list[ContextResult]:
    """Return the result of each strategy on each trace."""
    results: list[ContextResult] = []
    for settings in TRACES:
        visits = build_trace(settings, Random(seed))
        total = sum(visit.size for visit in visits)
        benches = {
            strategy: ContextBench(settings, strategy, visits)
            for strategy in STRATEGIES
        }
        for bench in benches.values():
            bench.run()
        saved = {
            strategy: total - bench.recomputed for strategy, bench in benches.items()
        }
        for strategy, bench in benches.items():
            results.append(
                ContextResult(
                    trace=settings.name,
                    way=strategy,
                    visits=len(visits),
                    recomputed_share=bench.recomputed / total,
                    saved_share_of_oracle=saved[strategy] / saved["oracle"],
                    link_bytes_per_visit=bench.link_bytes / len(visits),
                    first_token_p50_s=bench.metrics.get_percentile("first_token", 50),
                    first_token_p95_s=bench.metrics.get_percentile("first_token", 95),
                )
            )
    return results


BAR_WIDTH = 400
BAR_HEIGHT = 22


def write_report(results: list[ContextResult], folder: Path) -> None:
    """Write a table in Markdown and a bar chart in SVG."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "context.md").write_text("\n".join(_iterate_table(results)) + "\n")
    (folder / "context.svg").write_text("\n".join(_iterate_chart(results)) + "\n")


def _iterate_table(results: list[ContextResult]) -> Iterator[str]:
    yield "| trace | way | recomputed | saved of the oracle | link, visit | p50 | p95 |"
    yield "|---|---|---|---|---|---|---|"
    for result in results:
        yield (
            f"| {result.trace} | {result.way} | {result.recomputed_share:.1%} "
            f"| {result.saved_share_of_oracle:.1%} "
            f"| {result.link_bytes_per_visit / 1e6:.2f} MB "
            f"| {result.first_token_p50_s:.2f} s | {result.first_token_p95_s:.2f} s |"
        )


def _iterate_chart(results: list[ContextResult]) -> Iterator[str]:
    height = BAR_HEIGHT * (len(results) + 1)
    yield f'<svg xmlns="http://www.w3.org/2000/svg" width="760" height="{height}">'
    yield '<text x="4" y="15" font-size="13">share of context recomputed</text>'
    for number, result in enumerate(results, start=1):
        y = number * BAR_HEIGHT
        width = result.recomputed_share * BAR_WIDTH
        label = f"{result.trace}, {result.way}"
        yield f'<text x="4" y="{y + 15}" font-size="12">{label}</text>'
        yield (
            f'<rect x="230" y="{y + 4}" width="{width:.0f}" height="14" fill="#47a"/>'
        )
        yield (
            f'<text x="{236 + width:.0f}" y="{y + 15}" font-size="12">'
            f"{result.recomputed_share:.1%}</text>"
        )
    yield "</svg>"
