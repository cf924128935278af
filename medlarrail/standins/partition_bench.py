"""Measures service while a data centre is partitioned off and after it reconnects."""

import tempfile
from pathlib import Path
from random import Random

import trio
import trio.testing
from attrs import define, field, frozen

from medlarrail.core.metrics import Metrics
from medlarrail.standins.routing_bench import RoutingBench
from medlarrail.standins.routing_bench_models import DATA_CENTRES, WORKLOADS, Workload
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.determinism import make_deterministic

PHASE_S = 15.0
SETTLE_S = 6.0
LOAD_FRACTION = 0.6
"""Fraction of the normal load, as the cut makes a quarter of engines unreachable."""


@frozen
class PartitionResult:
    """Service measured in one phase; times in seconds."""

    workload: str
    phase: str
    requests: int
    answered: int
    first_token_p50_s: float
    first_token_p95_s: float
    overruns: int


@define
class PartitionBench(RoutingBench):
    """A simulated deployment in which one data centre is temporarily cut off."""

    results: list[PartitionResult] = field(factory=list)

    def cut(self, data_centre: str) -> None:
        """Partition a data centre off: messages are lost without an error."""
        self.cut_data_centre = data_centre
        network = self.cluster.network
        inside = {node.url for node in self.entries if node.data_centre == data_centre}
        members = self.cluster.get_members()
        inside.update(
            node.url
            for number, node in enumerate(members)
            if DATA_CENTRES[number] == data_centre
        )
        for left in inside:
            for right in set(network.hosts) - inside:
                network.cut.update({(left, right), (right, left)})

    def heal(self) -> None:
        """End the partition."""
        self.cut_data_centre = ""
        self.cluster.network.clear_cuts()

    async def run_phase(self, name: str) -> None:
        """Run the load for one phase and record its results."""
        self.metrics = Metrics()
        self.counts.clear()
        before = sum(engine.overruns for engine in self.engines.values())
        rate_per_s = self.workload.rate_per_s * LOAD_FRACTION
        await self.load(rate_per_s, PHASE_S, equal=False)
        overruns = sum(engine.overruns for engine in self.engines.values())
        self.results.append(
            PartitionResult(
                self.workload.name,
                name,
                self.counts["requests"],
                self.counts["answered"],
                self.metrics.get_percentile("first_token", 50),
                self.metrics.get_percentile("first_token", 95),
                overruns - before,
            )
        )

    async def run_phases(self) -> list[PartitionResult]:
        """Run the load before, during and after a partition."""
        await self.set_up()
        await self.load(self.workload.rate_per_s * LOAD_FRACTION, SETTLE_S, equal=False)
        await self.run_phase("before")
        self.cut(DATA_CENTRES[0])
        await self.run_phase("cut, first 15 s")
        await self.run_phase("cut, later")
        self.heal()
        await self.run_phase("back, first 15 s")
        await self.run_phase("back, later")
        return self.results


async def _run(workload: Workload, seed: int) -> list[PartitionResult]:
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(Path(folder), nursery, seed=seed)
            cluster.network.delay_s = workload.latency_s
            bench = PartitionBench(workload, "permits", Random(seed), cluster)
            results = await bench.run_phases()
            nursery.cancel_scope.cancel()
    return results


def run_partition_bench(seed: int) -> list[PartitionResult]:
    """Return the results of each phase under each workload."""
    results: list[PartitionResult] = []
    for workload in WORKLOADS:
        make_deterministic(seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        results += trio.run(_run, workload, seed, clock=clock)
    return results
