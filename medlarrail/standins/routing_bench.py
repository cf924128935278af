"""Compares routing strategies on the same seeded load.

The routing code is the production code; engines, callers and the network are simulated
under a virtual clock, so that a run takes seconds and its results are reproducible.
"""

import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import trio
import trio.testing
from attrs import define, evolve, field, frozen

from medlarrail.core.entities import Contract, Endpoint
from medlarrail.core.errors import (
    EndpointUnreachable,
    MedlarError,
    NoEndpoint,
    Refusal,
    SessionExpired,
)
from medlarrail.core.metrics import Metrics
from medlarrail.ownership.fairness import get_queue_weight
from medlarrail.ownership.path_health import PathHealth
from medlarrail.protocol.endpoints import LoadReport
from medlarrail.serving.permit_search import PermitSearch
from medlarrail.serving.routing import Router
from medlarrail.serving.routing_target import RoutingTarget
from medlarrail.standins.routing_bench_models import (
    DATA_CENTRES,
    REPORT_INTERVAL_S,
    WORKLOADS,
    DelayedPermits,
    SimulatedEndpoint,
    Workload,
)
from medlarrail.state.operations import RegisterEndpoint
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.determinism import make_deterministic
from medlarrail.testing.entries import EntryHost
from medlarrail.transport.client import CONNECT_TIMEOUT_S

MODEL = "model"
STRATEGIES = ("lagged", "divided", "permits")
"""Local admission by load reports, local admission within a fixed share of each
limit, and permits."""
REPORT_LAG_S = 0.25
DEADLINE_S = 15.0
QUEUE_WAIT_S = 1.0
RESTART_EVERY_S = 4.0
WARM_UP_S = 6.0
ENTRY_SWITCH_S = 0.01
"""Time that a caller takes to switch to another entry."""
OVERLOAD_S = 10.0
OVERLOAD_FACTOR = 6.0


@frozen
class BenchResult:
    """Results of one strategy under one workload; times in seconds."""

    workload: str
    way: str
    requests: int
    answered: int
    first_token_p50_s: float
    first_token_p95_s: float
    overruns: int
    broken: int
    refusals: int
    share_error: float
    messages_per_request: float


@define
class RoutingBench:
    """Simulation of one strategy under one workload."""

    workload: Workload
    strategy: str
    random: Random
    cluster: Cluster
    entries: list[EntryHost] = field(factory=list)
    routers: list[Router] = field(factory=list)
    delayed_permits: list[DelayedPermits] = field(factory=list)
    engines: dict[str, SimulatedEndpoint] = field(factory=dict)
    metrics: Metrics = field(factory=Metrics)
    counts: Counter = field(factory=Counter)
    served: Counter = field(factory=Counter)
    messages: int = 0
    cut_data_centre: str = ""

    async def set_up(self) -> None:
        """Start members, entries and engines."""
        await self.cluster.bootstrap("state-1", "state-2", "state-3")
        for number in range(self.workload.entries):
            data_centre = pick_data_centre(number)
            entry = EntryHost(self.cluster, f"entry-{number + 1}", data_centre)
            await entry.start()
            self.entries.append(entry)
            self.routers.append(self._build_router(entry))
        for number in range(self.workload.replicas):
            await self._add_engine(f"engine-{number + 1}", pick_data_centre(number))
        self.cluster.nursery.start_soon(self._report)
        await trio.sleep(3.0)

    def _build_router(self, entry: EntryHost) -> Router:
        permits = entry.permits
        if self.strategy != "permits":
            limit_divisor = self.workload.entries if self.strategy == "divided" else 1
            permits = DelayedPermits(trio.current_time, limit_divisor)
            self.delayed_permits.append(permits)
        health = PathHealth(trio.current_time)
        return Router(entry.session, entry.follower, permits, health, entry.clock)

    async def _add_engine(self, name: str, data_centre: str) -> None:
        endpoint = Endpoint(
            name,
            f"mem://{name}",
            "model",
            MODEL,
            data_centre,
            "i1",
            cold_limit=2,
            warm_limit=8,
            warmup_requests=12,
        )
        self.engines[name] = SimulatedEndpoint(endpoint)
        for permits in self.delayed_permits:
            permits.endpoints[name] = endpoint
        await self.cluster.propose(RegisterEndpoint(endpoint))

    async def _report(self) -> None:
        """Sample load reports and deliver them late, with any new incarnation."""
        stamps: dict[str, tuple[float, int]] = {}
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for name, engine in self.engines.items():
                sampled_at = trio.current_time()
                if sampled_at >= engine.down_until:
                    report = LoadReport(
                        name,
                        engine.incarnation,
                        engine.running,
                        0,
                        engine.completed,
                        "",
                        REPORT_LAG_S,
                        *stamps.get(name, (-1.0, 0)),
                    )
                    self.cluster.nursery.start_soon(
                        self._deliver_report, report, sampled_at, stamps
                    )

    async def _deliver_report(self, report, sampled_at: float, stamps) -> None:
        await trio.sleep(REPORT_LAG_S)
        for permits in self.delayed_permits:
            permits.apply_report(report, sampled_at)
        registered = self.entries[0].follower.catalogue.endpoints.get(report.endpoint)
        if registered is not None and registered.incarnation != report.incarnation:
            changed = evolve(registered, incarnation=report.incarnation)
            await self.cluster.propose(RegisterEndpoint(changed))
        for entry in self.entries:
            owned = entry.owners.find_owned(report.endpoint)
            if owned is not None and self.can_reach(entry, owned.endpoint):
                entry.owners.apply_report(report)
                stamps[report.endpoint] = (entry.clock(), entry.session.epoch)

    def list_contracts(self) -> list[Contract]:
        """Return the contracts; large accounts have four times the share."""
        large = self.workload.large_accounts
        return [
            Contract(
                f"account-{number}",
                share=4.0 if number < large else 1.0,
                priority=0,
                queue_wait_s=QUEUE_WAIT_S,
            )
            for number in range(self.workload.accounts)
        ]

    async def load(self, rate_per_s: float, duration_s: float, equal: bool) -> None:
        """Send requests at random times; by share of the account unless ``equal``."""
        contracts = self.list_contracts()
        weights = [1.0 if equal else contract.share for contract in contracts]
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.random.expovariate(rate_per_s))
                contract = self.random.choices(contracts, weights)[0]
                nursery.start_soon(self.request, contract)

    async def request(self, contract: Contract) -> None:
        """Send one request, retrying at other entries or after the advised delay."""
        self.counts["requests"] += 1
        started_at = trio.current_time()
        target = RoutingTarget(
            contract, "model", MODEL, str(self.random.random()), started_at + DEADLINE_S
        )
        router = self.random.choice(self.routers)
        while target.get_remaining_s() > 0:
            try:
                await self._run_once(router, target, started_at)
                return
            except (SessionExpired, NoEndpoint):
                self.counts["refusals"] += 1
                router = self.random.choice(self.routers)
                await trio.sleep(ENTRY_SWITCH_S)
            except Refusal as error:
                self.counts["refusals"] += 1
                await trio.sleep(max(0.05, error.retry_after_s))
            except MedlarError:
                self.counts["broken"] += 1

    def can_reach(self, entry: EntryHost, endpoint: Endpoint) -> bool:
        """Return whether no partition separates an entry from an endpoint."""
        cut = self.cut_data_centre
        return (entry.data_centre == cut) == (endpoint.data_centre == cut)

    async def _connect(self, router: Router, endpoint: Endpoint) -> None:
        """Connect to an endpoint; across a partition this times out and fails."""
        if not self.can_reach(self.entries[self.routers.index(router)], endpoint):
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise EndpointUnreachable(endpoint=endpoint.name)

    async def _run_once(
        self, router: Router, target: RoutingTarget, started_at
    ) -> None:
        grant = await PermitSearch(router, target).run()
        endpoint, held = grant.endpoint, grant.held
        engine = self.engines[endpoint.name]
        error: BaseException | None = None
        incarnation = engine.incarnation

        def on_first() -> None:
            router.permits.record_started(held, engine.incarnation)
            self.metrics.observe("first_token", trio.current_time() - started_at)

        try:
            router.check_dispatch(endpoint, held)
            await self._connect(router, endpoint)
            jitter = self.random.uniform(0.5, 1.5)
            await engine.run(
                self.workload.prefill_s * jitter,
                self.workload.decode_s * jitter,
                on_first,
            )
            self.counts["answered"] += 1
            self.served[target.contract.account] += 1
        except BaseException as caught:
            error = caught
            raise
        finally:
            router.record_outcome(endpoint, held, error, incarnation)

    async def restart_engines(self) -> None:
        """Restart random engines at intervals, without announcing it."""
        while True:
            await trio.sleep(RESTART_EVERY_S)
            self.random.choice(list(self.engines.values())).restart()

    async def run(self) -> BenchResult:
        """Run the normal load with restarts, then an overload that measures shares."""
        await self.set_up()
        await self.load(self.workload.rate_per_s / 2, WARM_UP_S, equal=False)
        self.metrics.reset()
        self.counts.clear()
        before = self.cluster.network.calls
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.restart_engines)
                await self.load(
                    self.workload.rate_per_s, self.workload.duration_s, equal=False
                )
                scope.cancel()
        self.messages = self.cluster.network.calls - before
        result = self._collect()
        return evolve(result, share_error=await self._measure_shares())

    async def _measure_shares(self) -> float:
        """Return the maximum relative error of an account's share under overload."""
        self.served.clear()
        with trio.move_on_after(OVERLOAD_S):
            rate_per_s = self.workload.rate_per_s * OVERLOAD_FACTOR
            await self.load(rate_per_s, OVERLOAD_S, equal=True)
        contracts = self.list_contracts()
        weights = {
            contract.account: get_queue_weight(contract.share, contract.priority)
            for contract in contracts
        }
        total = sum(self.served.values()) or 1
        errors = [
            abs(self.served[name] / total - weight / sum(weights.values()))
            / (weight / sum(weights.values()))
            for name, weight in weights.items()
        ]
        return max(errors)

    def _collect(self) -> BenchResult:
        return BenchResult(
            workload=self.workload.name,
            way=self.strategy,
            requests=self.counts["requests"],
            answered=self.counts["answered"],
            first_token_p50_s=self.metrics.get_percentile("first_token", 50),
            first_token_p95_s=self.metrics.get_percentile("first_token", 95),
            overruns=sum(engine.overruns for engine in self.engines.values()),
            broken=self.counts["broken"],
            refusals=self.counts["refusals"],
            share_error=0.0,
            messages_per_request=self.messages / max(1, self.counts["requests"]),
        )


def pick_data_centre(number: int) -> str:
    """Return the data centre of the process with this index."""
    return DATA_CENTRES[number % len(DATA_CENTRES)]


async def _run_strategy(workload: Workload, strategy: str, seed: int) -> BenchResult:
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(Path(folder), nursery, seed=seed)
            cluster.network.delay_s = workload.latency_s
            bench = RoutingBench(workload, strategy, Random(seed), cluster)
            result = await bench.run()
            nursery.cancel_scope.cancel()
    return result


def run_bench(seed: int, duration_s: float) -> list[BenchResult]:
    """Return the result of each strategy under each workload."""
    results = []
    for workload in WORKLOADS:
        for strategy in STRATEGIES:
            make_deterministic(seed)
            clock = trio.testing.MockClock(autojump_threshold=0)
            sized = evolve(workload, duration_s=duration_s)
            results.append(trio.run(_run_strategy, sized, strategy, seed, clock=clock))
    return results
