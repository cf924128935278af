"""Tests of shared prefills: replays of prompts for the same parts, and failures.

The requests and decisions are the product's; the engines, the stores and the messages
are replaced by small fakes on exact time, so no network is involved.
"""

import random
from collections import OrderedDict
from types import SimpleNamespace

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.announcements import ModelWeights
from medlarrail.core.cluster_records import DesiredVersion
from medlarrail.core.deployment import AccountRule, EngineSpec, ServiceRule
from medlarrail.core.errors import Overloaded
from medlarrail.policy.context import TransferPlan
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.metadata import DispatchMetadata, PromptPart, RequestMetadata
from medlarrail.relay.part_directory import LocatedParts
from medlarrail.relay.prefill_memory import (
    MAX_PARTS,
    MAX_SITES,
    RETENTION_S,
    SCOPE_RETENTION_S,
    PrefillMemory,
    ReadNotice,
    ReadSites,
)
from medlarrail.relay.relayed_request import RelayedRequest
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.relay.table import Admission
from medlarrail.relay.workload_tracker import EngineTokens, WorkloadTracker
from medlarrail.testing.builders import (
    build_announcement,
    build_cluster_view_answer,
    build_deployment,
    build_route,
)

MESSAGE_S = 0.004
"""Time of a query and its reply between two gateways."""
SAVED_AFTER_S = 0.5
"""Time from the first event of a prompt until its part is known to be in a store."""
AGAIN_S = 20.0
"""A part that an engine had read so recently is prefilled again."""
SHARED_TOKENS, OWN_TOKENS = 12_800, 4_260


@define(frozen=True)
class Load:
    """A deployment with hard load: its engines and the prompts that they get."""

    engine_count: int
    entry_count: int
    tokens_per_ms: float
    spec: EngineSpec
    rate: float
    target_ms: int


PET_FOOD = Load(
    45, 63, 50.7, EngineSpec(32, 82_075, 327_680, 180_000.0, 12, ("m",)), 40.3, 1563
)
ROSTERS = Load(
    36, 27, 157.0, EngineSpec(12, 109_780, 18_432, 370_000.0, 12, ("m",)), 142.0, 526
)
IDS = ["pet-food", "rosters"]
LOADS = pytest.mark.parametrize("load", [PET_FOOD, ROSTERS], ids=IDS)


@define(eq=False)
class FakeEngine:
    """Prefills one prompt at a time and evicts the least recently used parts."""

    endpoint: EndpointView
    free_at: float = 0.0
    link_free_at: float = 0.0
    cache: OrderedDict[str, float] = field(factory=OrderedDict)
    """When each part has been read, by identity."""

    def has(self, identity: str, now: float) -> bool:
        """Return whether a part has been read and was not evicted."""
        return self.cache.get(identity, float("inf")) <= now

    def keep(self, identity: str, read_at: float, load: Load) -> None:
        """Add a part; running prompts hold a third of the memory."""
        self.cache[identity] = min(read_at, self.cache.get(identity, read_at))
        self.cache.move_to_end(identity)
        prompt_tokens = SHARED_TOKENS + OWN_TOKENS
        while len(self.cache) > 2 / 3 * load.spec.memory_tokens / prompt_tokens:
            self.cache.popitem(last=False)


@define(eq=False)
class FakeDirectory:
    """Answers for all parts: what a store holds, and where a part was read."""

    prefills: PrefillMemory
    saves: bool = True
    """Whether the stores have room."""
    held_at: dict[str, float] = field(factory=dict)
    saving: set[str] = field(factory=set)
    lost: bool = False
    clock: object = trio.current_time
    notices: list[ReadNotice] = field(factory=list)

    def is_needed(self) -> bool:
        return True

    def find_reader(self, part: PromptPart) -> str:
        return "gateway-0"

    def send_notice(self, reader: str, notice: ReadNotice) -> None:
        if not self.lost:
            self.notices.append(notice)
            self.prefills.record(notice)

    async def locate(self, scope, parts) -> LocatedParts:
        located_at = trio.current_time()
        await trio.sleep(MESSAGE_S)
        (part,) = parts
        if self.held_at.get(part.identity, float("inf")) <= trio.current_time():
            return LocatedParts(scope, located_at, TransferPlan(("store:1",), ("",)))
        save = ""
        if self.saves and not self.lost and part.identity not in self.saving:
            self.saving.add(part.identity)
            save = "store:1"
        sites = ReadSites()
        if not self.lost:
            sites = self.prefills.find(scope, part.identity)
        return LocatedParts(scope, located_at, TransferPlan(("",), (save,)), sites)


@define(eq=False)
class Replay:
    """Gateways and engines of one deployment; counts what is prefilled again."""

    load: Load
    sharing: bool = True
    saves: bool = True
    isolated: bool = False
    engines: dict[str, FakeEngine] = field(factory=dict)
    relays: list[RequestRelay] = field(factory=list)
    directory: FakeDirectory = field(init=False)
    read_at: dict[str, float] = field(factory=dict)
    again_tokens: int = 0
    kept_tokens: int = 0
    """Those of ``again_tokens`` that another engine still had, or was reading."""
    first_ms: list[float] = field(factory=list)
    refused: int = 0

    def __attrs_post_init__(self):
        prefills = PrefillMemory(trio.current_time)
        self.directory = FakeDirectory(prefills, self.saves)
        for number in range(self.load.engine_count):
            announced = build_announcement(
                name=f"engine-{number}",
                address=f"10.0.0.{number}:80",
                data_centre=f"dc{number % 3}",
                slots=self.load.spec.slots,
                models=(ModelWeights("m", 1),),
            )
            self.engines[announced.name] = FakeEngine(EndpointView(announced))
        self.relays = [self._build(number) for number in range(self.load.entry_count)]

    def _build(self, number: int) -> RequestRelay:
        spec = self.load.spec
        if not self.sharing:
            spec = evolve(spec, link_mbps=0.0)
        names = [f"gateway-{entry}" for entry in range(self.load.entry_count)]
        view = ClusterView(trio.current_time)
        stats = EndpointStats(view, "dc0", names[number], trio.current_time)
        relay = RequestRelay(view, DefaultHeaderCodec(), stats)
        deployment = build_deployment(
            version=2,
            routes=(self._route,),
            services=(ServiceRule("guide", engine=spec),),
            accounts=(
                AccountRule("lea-college", ("key-1",), isolated=self.isolated),
                AccountRule("open", ("key-2",)),
            ),
        )
        answer = evolve(build_cluster_view_answer(names), deployment=deployment)
        view.apply(answer, trio.current_time())
        view.endpoints.update(
            {name: engine.endpoint for name, engine in self.engines.items()}
        )
        relay.workload = WorkloadTracker(names[number], trio.current_time)
        relay.workloads = SimpleNamespace(
            is_needed=lambda: True, find=self._find_workload
        )
        relay.context = SimpleNamespace(is_held=lambda scope, part: False)
        relay.parts = self.directory
        return relay

    @property
    def _route(self):
        return build_route(
            kind="stream",
            resumable=True,
            target_ms=self.load.target_ms,
            timeout_ms=6 * self.load.target_ms,
        )

    async def _find_workload(self, names) -> dict[str, EngineTokens]:
        await trio.sleep(MESSAGE_S)
        found = {}
        for name in names:
            each = [relay.workload.get_engine(name) for relay in self.relays]
            found[name] = EngineTokens(
                name, sum(own.unread for own in each), sum(own.held for own in each)
            )
        return found

    def build_request(self, identity: str, entry: int, key: int) -> RelayedRequest:
        """Return a long prompt at one gateway; ``key`` tells the account."""
        relay = self.relays[entry % len(self.relays)]
        relay.cluster_view.confirmed_at = trio.current_time()
        metadata = RequestMetadata(
            request_id=f"{identity}-{trio.current_time()}-{entry}",
            model="m",
            parts=(PromptPart(identity, SHARED_TOKENS), PromptPart("", OWN_TOKENS)),
            prompt_tokens=SHARED_TOKENS + OWN_TOKENS,
            output_tokens=12,
        )
        request = SimpleNamespace(received_at=trio.current_time(), forwarded_by="")
        exchange = SimpleNamespace(request=request, started=False)
        account = relay.cluster_view.deployment.accounts[key]
        return RelayedRequest(
            relay, exchange, metadata, Admission(self._route, account)
        )

    async def send(
        self, identity: str, entry: int, key: int = 1
    ) -> DispatchMetadata | None:
        """Place a prompt and read it at the engine; None if it is refused."""
        began_at = trio.current_time()
        relayed = self.build_request(identity, entry, key)
        try:
            endpoint = await relayed._wait_for_dispatch()
        except Overloaded:
            self.refused += 1
            return None
        dispatch = relayed.build_dispatch(endpoint)
        prompt = relayed.begin_work(endpoint, dispatch)
        await trio.sleep_until(self._read(endpoint.announced.name, identity, dispatch))
        self.first_ms.append(1000 * (trio.current_time() - began_at))
        relayed.relay.workload.record_prefilled(prompt)
        if dispatch.save and dispatch.save[0]:
            saved_at = trio.current_time() + SAVED_AFTER_S
            self.directory.held_at[identity] = saved_at
        await trio.sleep(0.15)
        relayed.relay.workload.end(prompt)
        return dispatch

    def _read(self, name: str, identity: str, dispatch) -> float:
        """Return when an engine has read a prompt."""
        load, engine, now = self.load, self.engines[name], trio.current_time()
        address = dispatch.fetch[0] if dispatch.fetch else ""
        tokens = OWN_TOKENS
        begin_at = max(now, engine.free_at)
        if identity in engine.cache:
            pass
        elif address == "store:1":
            begin_at = max(begin_at, now + 0.05)
        else:
            fetched_at = self._fetch(engine, address, identity)
            if fetched_at is None:
                tokens += SHARED_TOKENS
                if now - self.read_at.get(identity, float("-inf")) < AGAIN_S:
                    self.again_tokens += SHARED_TOKENS
                    kept = any(identity in each.cache for each in self.engines.values())
                    self.kept_tokens += SHARED_TOKENS * kept
                self.read_at[identity] = now
            else:
                begin_at = max(begin_at, fetched_at)
        engine.free_at = begin_at + tokens / load.tokens_per_ms / 1000
        engine.keep(identity, engine.free_at, load)
        return engine.free_at

    def _fetch(self, engine: FakeEngine, address: str, identity: str) -> float | None:
        """Return when a part has been fetched from another engine, None for a miss."""
        now = trio.current_time()
        for source in self.engines.values():
            announced = source.endpoint.announced
            if announced.address != address or not source.has(identity, now):
                continue
            begin_at = max(now, engine.link_free_at, source.link_free_at)
            if begin_at - now > 2.0:
                return None
            bits = SHARED_TOKENS * self.load.spec.token_bytes * 8
            seconds = bits / (self.load.spec.link_mbps * 1e6)
            if announced.data_centre != engine.endpoint.announced.data_centre:
                seconds *= 2
            engine.link_free_at = source.link_free_at = begin_at + seconds
            return begin_at + seconds
        return None

    def get_late_share(self) -> float:
        """Return the share of prompts that were refused or answered late."""
        late = sum(first_ms > self.load.target_ms for first_ms in self.first_ms)
        return (late + self.refused) / max(1, len(self.first_ms) + self.refused)


async def replay_wave(load: Load, sharing: bool, saves: bool = True) -> Replay:
    """Replay a wave of prompts for one part within a second, among others."""
    replay = Replay(load, sharing, saves)
    rng = random.Random(7)
    count = round(load.rate * 0.5)
    async with trio.open_nursery() as nursery:

        async def send_at(at: float, identity: str) -> None:
            await trio.sleep(at)
            await replay.send(identity, rng.randrange(10**6))

        for _ in range(count):
            nursery.start_soon(send_at, 2.0 + rng.random(), "wave")
        for number in range(round(load.rate * 2)):
            nursery.start_soon(send_at, 4.0 * rng.random(), f"other-{number}")
    return replay


async def replay_hot_part(load: Load, sharing: bool, saves: bool) -> Replay:
    """Replay some seconds in which 28% of the prompts have the same part."""
    replay = Replay(load, sharing, saves)
    rng = random.Random(11)
    async with trio.open_nursery() as nursery:
        now = 0.0
        while (now := now + rng.expovariate(load.rate)) < 6.0:
            hot = rng.random() < 0.28
            identity = "hot" if hot else f"part-{rng.randrange(950)}"

            async def send_at(at=now, identity=identity) -> None:
                await trio.sleep(at)
                await replay.send(identity, rng.randrange(10**6))

            nursery.start_soon(send_at)
    return replay


class TestReplays:
    """Against the rule before, which only prefers the home of a part a little."""

    @pytest.mark.parametrize("load, ratio", [(PET_FOOD, 0.2), (ROSTERS, 0.5)], ids=IDS)
    async def test_a_wave_for_one_part_reads_it_at_many_engines(
        self, autojump_clock, load, ratio
    ):
        before = await replay_wave(load, sharing=False)
        after = await replay_wave(load, sharing=True)
        assert before.again_tokens >= 10 * SHARED_TOKENS
        assert after.again_tokens <= ratio * before.again_tokens
        assert after.get_late_share() <= before.get_late_share()

    @pytest.mark.parametrize("saves", [True, False], ids=["saved", "full"])
    @LOADS
    async def test_a_hot_part_is_read_again(self, autojump_clock, load, saves):
        """With stores that have room or none; an evicted part has to be read again."""
        before = await replay_hot_part(load, False, saves)
        after = await replay_hot_part(load, True, saves)
        assert before.kept_tokens >= 5 * SHARED_TOKENS
        assert after.kept_tokens <= 0.3 * before.kept_tokens
        assert after.again_tokens < before.again_tokens
        assert after.get_late_share() <= before.get_late_share()


async def read_part(replay: Replay, identity: str = "part", key: int = 1) -> str:
    """Let one prompt read a part; return the address of its engine."""
    dispatch = await replay.send(identity, 0, key)
    return dispatch.endpoint.address


async def place(replay: Replay, key: int = 1):
    """Return the source and the engine of another prompt for the part.

    The engine that has the part is busy.
    """
    for sites in replay.directory.prefills._parts["part"].sites.values():
        for engine in sites:
            replay.relays[2].workload.begin(engine, 60_000, 60_000)
    relayed = replay.build_request("part", 1, key)
    endpoint = await relayed._wait_for_dispatch()
    dispatch = relayed.build_dispatch(endpoint)
    return (dispatch.fetch[0] if dispatch.fetch else ""), endpoint.announced.name


def change(replay: Replay, address: str, **changes) -> None:
    """Change how all gateways see an engine: its announcement, or ``loading``."""
    for relay in replay.relays:
        for name, endpoint in list(relay.cluster_view.endpoints.items()):
            if endpoint.announced.address == address:
                loading = changes.get("loading", False)
                others = {key: changes[key] for key in changes if key != "loading"}
                announced = evolve(endpoint.announced, **others)
                view = EndpointView(announced, loading=loading)
                relay.cluster_view.endpoints[name] = view


@pytest.fixture
async def replay(autojump_clock) -> Replay:
    """A deployment with small tokens, whose stores are full."""
    return Replay(ROSTERS, saves=False)


class TestSources:
    """What a prompt must never fetch, and what it falls back to."""

    async def test_a_busy_engine_is_fetched_from(self, replay):
        address = await read_part(replay)
        source, engine = await place(replay)
        assert source == address
        assert replay.engines[engine].endpoint.announced.address != address

    async def test_an_idle_engine_with_the_part_gets_the_prompt(self, replay):
        address = await read_part(replay)
        dispatch = await replay.send("part", 5)
        assert dispatch.endpoint.address == address
        assert not any(dispatch.fetch)
        assert replay.again_tokens == 0

    @pytest.mark.parametrize(
        "changes",
        [
            {"started_ms": 2000},
            {"state": "leaving"},
            {"models": (ModelWeights("m", 2),)},
            {"models": ()},
            {"loading": True},
            {"service": "other"},
        ],
        ids=lambda changes: next(iter(changes)),
    )
    async def test_an_engine_that_changed_is_a_source(self, replay, changes):
        """A source that has restarted has lost the part; one with other weights gives
        away context of another version."""
        address = await read_part(replay)
        change(replay, address, **changes)
        source, _ = await place(replay)
        assert source == ""

    async def test_an_engine_out_of_service_is_a_source(self, replay):
        address = await read_part(replay)
        number = int(address.split(":")[0].split(".")[-1])
        for relay in replay.relays:
            relay.cluster_view.out_data_centres = frozenset({f"dc{number % 3}"})
        assert (await place(replay))[0] == ""

    async def test_a_suspected_engine_is_a_source(self, replay):
        """A dead source costs some hundred milliseconds."""
        address = await read_part(replay)
        name = replay.directory.prefills.find("/m/1", "part").sites[0].engine
        health = replay.relays[1].endpoint_stats.health
        while not health.is_suspected(name):
            health.record_failure(name)
        assert address
        assert (await place(replay))[0] == ""

    async def test_an_engine_that_says_it_leaves_is_a_source(self, replay):
        await read_part(replay)
        name = replay.directory.prefills.find("/m/1", "part").sites[0].engine
        announced = replay.engines[name].endpoint.announced
        replay.relays[1].endpoint_stats.leaving.record(announced)
        assert (await place(replay))[0] == ""

    async def test_engines_fetch_during_a_change_of_weights(self, replay):
        """A source may load other weights before this gateway knows, and checks no
        version."""
        await read_part(replay)
        view = replay.relays[1].cluster_view
        view.desired["m"] = DesiredVersion("m", "2", ordinal=2)
        view.desired_received_at["m"] = trio.current_time()
        assert (await place(replay))[0] == ""

    async def test_engines_fetch_by_an_old_view(self, replay):
        await read_part(replay)
        relayed = replay.build_request("part", 1, 1)
        relayed.relay.cluster_view.confirmed_at = trio.current_time() - 2.5
        await relayed.part_location.run()
        relayed.chooser.choose()
        assert not any(source.fetchable for source in relayed.prefill_sharing._sources)

    async def test_a_source_restarts_between_choice_and_dispatch(self, replay):
        """Opening a connection takes time, in which the view may change."""
        address = await read_part(replay)
        replay.relays[2].workload.begin(
            replay.directory.prefills.find("/m/1", "part").sites[0].engine, 60_000, 0
        )
        relayed = replay.build_request("part", 1, 1)
        endpoint = await relayed._wait_for_dispatch()
        assert relayed.prefill_sharing.get_planned(endpoint).source == address
        change(replay, address, started_ms=3000)
        assert not any(relayed.build_dispatch(endpoint).fetch)

    async def test_an_isolated_account_uses_the_part_of_others(self, autojump_clock):
        """Neither does it fetch what others read, nor do others fetch what it read."""
        replay = Replay(ROSTERS, saves=False, isolated=True)
        await read_part(replay)
        assert (await place(replay, key=0))[0] == ""
        replay = Replay(ROSTERS, saves=False, isolated=True)
        await read_part(replay, key=0)
        assert (await place(replay, key=1))[0] == ""
        assert (await place(replay, key=0))[0] == ""

    async def test_engines_fetch_soon_after_an_account_was_isolated(self, replay):
        """A source may still keep what the account made then. The entry saw it itself,
        or heard of it when it started."""
        address = await read_part(replay)
        times = replay.relays[1].cluster_view.isolation_times
        times.record_ago(SCOPE_RETENTION_S - 5)
        assert (await place(replay))[0] == ""
        await trio.sleep(4)
        assert (await place(replay))[0] == ""
        await trio.sleep(2)
        assert (await place(replay))[0] == address

    async def test_stores_are_used_first(self, replay):
        await read_part(replay)
        replay.directory.held_at["part"] = 0.0
        assert (await place(replay))[0] == "store:1"


class TestLostMessages:
    @LOADS
    async def test_without_notices_prompts_are_placed_as_before(
        self, autojump_clock, load
    ):
        """All notices and replies are lost, as with gateways that know none of them."""

        async def run(sharing: bool) -> list:
            replay = Replay(load, sharing=sharing, saves=False)
            replay.directory.lost = True
            rng = random.Random(5)
            placed = []
            for number in range(60):
                dispatch = await replay.send(f"part-{rng.randrange(4)}", number)
                placed.append((dispatch.endpoint.name, dispatch.fetch))
            return [(name, tuple(filter(None, fetch))) for name, fetch in placed]

        assert await run(True) == await run(False)

    async def test_the_memory_is_lost_in_the_middle(self, replay):
        """The entry that remembers the part restarts: it is read once more, no more."""
        await read_part(replay)
        replay.directory.prefills = PrefillMemory(trio.current_time)
        for number in range(6):
            await replay.send("part", number)
        assert replay.again_tokens <= SHARED_TOKENS

    async def test_a_failed_prompt_leaves_its_engine_known(self, replay):
        """The engine crashed before it had read the part."""
        relayed = replay.build_request("part", 0, 1)
        endpoint = await relayed._wait_for_dispatch()
        prompt = relayed.begin_work(endpoint, relayed.build_dispatch(endpoint))
        assert replay.directory.prefills.find("/m/1", "part").sites
        relayed.relay.workload.end(prompt)
        assert not replay.directory.prefills.find("/m/1", "part").sites

    async def test_a_prompt_sends_many_notices(self, replay):
        """At most two for a prompt that reads its part, one if the engine has it, and
        none for one whose part a store holds, or is small."""
        for expected in (2, 1):
            before = len(replay.directory.notices)
            await replay.send("part", 0)
            assert len(replay.directory.notices) - before == expected
        replay.directory.held_at["part"] = 0.0
        await replay.send("part", 0)
        assert len(replay.directory.notices) == 3


class TestPrefillMemory:
    def build(self):
        self.now = 100.0
        return PrefillMemory(lambda: self.now)

    def test_sites_are_kept_beyond_their_time_or_number(self):
        memory = self.build()
        for number in range(MAX_SITES + 2):
            self.now += 1
            memory.record(ReadNotice("s", "p", f"e{number}", 1, "read"))
        sites = memory.find("s", "p").sites
        assert [site.engine for site in sites] == ["e5", "e4", "e3", "e2"]
        self.now += RETENTION_S + 0.1
        assert not memory.find("s", "p").sites

    def test_the_number_of_parts_grows_without_bound(self):
        memory = self.build()
        for number in range(MAX_PARTS + 50):
            memory.record(ReadNotice("s", f"p{number}", "e", 1, "read"))
        assert len(memory) == MAX_PARTS

    def test_a_late_notice_of_an_earlier_incarnation_counts(self):
        memory = self.build()
        memory.record(ReadNotice("s", "p", "e", 2, "reading", 300))
        memory.record(ReadNotice("s", "p", "e", 1, "read"))
        (site,) = memory.find("s", "p").sites
        assert (site.started_ms, site.remaining_ms) == (2, 300)

    def test_a_failure_removes_what_a_prompt_in_front_has_read(self):
        memory = self.build()
        memory.record(ReadNotice("s", "p", "e", 1, "read"))
        memory.record(ReadNotice("s", "p", "e", 1, "reading", 300))
        memory.record(ReadNotice("s", "p", "e", 1, "failed"))
        assert memory.find("s", "p").sites

    def test_transfers_from_one_engine_queue(self):
        memory = self.build()
        memory.record(ReadNotice("s", "p", "e", 1, "read"))
        for number in range(2):
            reader = f"f{number}"
            memory.record(ReadNotice("s", "p", reader, 1, "reading", 400, "e", 190))
        by_name = {site.engine: site for site in memory.find("s", "p").sites}
        assert by_name["e"].busy_ms == 380

    def test_another_scope_makes_sources_of_a_part(self):
        """Engines fetch by identity only, so another account's copy may be sent."""
        memory = self.build()
        memory.record(ReadNotice("/m/1", "p", "e", 1, "read"))
        assert not memory.find("/m/1", "p").sole_scope
        self.now += SCOPE_RETENTION_S + 1
        assert memory.find("/m/1", "p").sole_scope
        assert not memory.find("lea/m/1", "p").sites
        assert not memory.find("/m/1", "p").sole_scope
