"""Tests that a caller gets the complete answer to its own request, or an error
that tells reliably whether anything ran.
"""

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.follower import Follower
from medlarrail.core.entities import EntrySession, SessionView
from medlarrail.core.errors import (
    DeadlineExceeded,
    EndpointOutOfService,
    EndpointSilent,
    EndpointUnreachable,
    MedlarError,
    NoEndpoint,
    Overloaded,
    PeerTimeout,
    RunDeadlineExceeded,
    RunFailure,
    StreamBroken,
)
from medlarrail.ownership.path_health import PathHealth, RetryBudgets
from medlarrail.ownership.permit_client import HeldPermit
from medlarrail.protocol.openai import CompletionRequest
from medlarrail.protocol.permits import AcquireAnswer
from medlarrail.serving.engine_client import EngineClient
from medlarrail.serving.routing import PromptRun, Router, RoutingPolicy
from medlarrail.testing.builders import build_contract, build_endpoint
from medlarrail.testing.scripted_backends import ScriptedEngine, serve
from medlarrail.transport.client import HttpClient

TOKENS = 5
EXPECTED_ANSWER = "".join(f"t{n} " for n in range(TOKENS))


class OpenSession:
    """A session whose lease never expires."""

    name = "entry-1"
    epoch = 1
    data_centre = "leith"

    def require_lease(self):
        return self.epoch


@define
class AlwaysGrantingPermits:
    """Grants every permit, and records the outcome of each run."""

    refusals: dict[str, MedlarError] = field(factory=dict)
    outcomes: list[tuple[str, str]] = field(factory=list)

    def make_permit_id(self):
        return f"p{len(self.outcomes)}"

    async def acquire(self, request):
        if request.endpoint in self.refusals:
            raise self.refusals[request.endpoint]
        answer = AcquireAnswer(request.permit, "i1", "v1", 1.0)
        return HeldPermit(request.permit, request.endpoint, "a", 9e9, 9e9, answer)

    def check(self, held):
        pass

    def record_started(self, held, incarnation):
        pass

    def release(self, held, outcome, incarnation=""):
        self.outcomes.append((held.endpoint, outcome))


@pytest.fixture
async def harness(nursery):
    harness = Harness(nursery)
    yield harness
    await harness.client.aclose()


class Harness:
    """Scripted engines behind a router."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.engines = {}
        self.permits = AlwaysGrantingPermits()
        self.client = HttpClient()
        self.follower = Follower(None, ("mem://none",))
        session = EntrySession("entry-1", "mem://entry-1", "leith", 1)
        self.follower.catalogue.view = SessionView(1, (session,))
        self.follower.owner_map.update(self.follower.catalogue.view)
        self.health = PathHealth()
        self.router = Router(OpenSession(), self.follower, self.permits, self.health)
        self.budgets = RetryBudgets()

    async def add(self, name, **script):
        engine = ScriptedEngine(**script)
        url = await serve(self.nursery, engine)
        endpoint = build_endpoint(name=name, url=url, weight_version=engine.version)
        self.follower.catalogue.endpoints[name] = endpoint
        self.engines[name] = engine
        return engine

    def build_run(self, limit_s=5.0, silence_s=0.3):
        return PromptRun(
            router=self.router,
            engines=EngineClient(self.client),
            budgets=self.budgets,
            policy=RoutingPolicy(silence_s, silence_s),
            contract=build_contract(),
            request=CompletionRequest("seat-guide", "prompt", TOKENS),
            deadline=trio.current_time() + limit_s,
        )

    async def collect(self, **limits):
        run = self.build_run(**limits)
        return "".join([chunk.text async for chunk in run.iterate()])

    def get_preferred(self):
        """Return the name of the first candidate."""
        target = self.build_run()._build_target()
        return self.router.list_candidates(target)[0].name


FAULTS = ("silent", "crossed", "gap", "short", "early-done", "garbage", "cut")


class TestCompleteAnswers:
    @pytest.mark.parametrize("fault", (*FAULTS, "crossed-header"))
    async def test_a_faulty_stream_is_completed_by_another_engine(self, harness, fault):
        await harness.add("a")
        await harness.add("b")
        first = harness.get_preferred()
        harness.engines[first].fault = fault
        assert await harness.collect() == EXPECTED_ANSWER
        assert len(harness.permits.outcomes) == 2
        assert harness.permits.outcomes[0][1] in ("broken", "silent")
        assert harness.permits.outcomes[1][1] == "ok"

    async def test_a_resume_starts_after_the_last_token(self, harness):
        await harness.add("a")
        await harness.add("b")
        first = harness.get_preferred()
        harness.engines[first].fault = "cut"
        await harness.collect()
        other = next(name for name in harness.engines if name != first)
        resumed = harness.engines[other].requests[0]
        assert resumed.resume_from == 2
        assert resumed.resume_text == "t0 t1 "

    async def test_an_answer_is_never_resumed_at_another_weight_version(self, harness):
        await harness.add("a")
        await harness.add("b", version="v2")
        harness.engines[harness.get_preferred()].fault = "cut"
        other = next(name for name in "ab" if name != harness.get_preferred())
        with pytest.raises(StreamBroken) as caught:
            harness.engines[harness.get_preferred()].tokens_before_fault = 1
            await harness.collect()
        assert caught.value.tokens >= 1
        assert not harness.engines[other].requests

    async def test_a_single_engine_resumes_its_own_answer(self, harness):
        engine = await harness.add("a", fault="cut", tokens_before_fault=2)
        assert await harness.collect() == EXPECTED_ANSWER
        assert [request.resume_from for request in engine.requests] == [0, 2, 4]

    async def test_the_deadline_ends_a_silent_stream(self, harness):
        await harness.add("a", fault="silent")
        started_at = trio.current_time()
        with pytest.raises((RunDeadlineExceeded, StreamBroken)):
            await harness.collect(limit_s=0.5, silence_s=5.0)
        assert trio.current_time() - started_at < 1.5

    async def test_a_deadline_that_passes_between_two_chunks_ends_the_stream(
        self, harness
    ):
        await harness.add("a")
        run = harness.build_run(limit_s=0.3)
        with pytest.raises(RunDeadlineExceeded):
            async for _ in run.iterate():
                await trio.sleep(0.2)

    async def test_a_spent_budget_ends_the_retries(self, harness):
        engine = await harness.add("a", fault="cut", tokens_before_fault=0)
        while harness.budgets.spend(build_contract().account):
            pass
        with pytest.raises(RunFailure):
            await harness.collect()
        assert len(engine.requests) == 1


class TestRefusals:
    async def test_a_request_without_endpoints_is_refused(self, harness):
        with pytest.raises(NoEndpoint):
            await harness.collect()

    async def test_the_refusal_with_the_shortest_retry_delay_is_raised(self, harness):
        await harness.add("a")
        await harness.add("b")
        harness.permits.refusals = {
            "a": Overloaded(endpoint="a", retry_after_s=9.0),
            "b": Overloaded(endpoint="b", retry_after_s=2.0),
        }
        with pytest.raises(Overloaded) as caught:
            await harness.collect()
        assert caught.value.retry_after_s == 2.0

    async def test_silent_endpoints_do_not_exhaust_the_search(self, harness):
        """The first candidates may all be in one partitioned data centre."""
        for name in "abcde":
            await harness.add(name)
        target = harness.build_run()._build_target()
        ranked = [endpoint.name for endpoint in harness.router.list_candidates(target)]
        harness.permits.refusals = {
            name: EndpointSilent(endpoint=name) for name in ranked[:4]
        }
        assert await harness.collect() == EXPECTED_ANSWER
        assert harness.health.is_suspected(ranked[0])

    async def test_an_owner_that_answers_again_is_no_longer_suspected(self, harness):
        await harness.add("a")
        owner_health = harness.router.owner_health
        harness.permits.refusals = {"a": PeerTimeout(url="mem://entry-1")}
        for _ in range(3):
            with pytest.raises(NoEndpoint):
                await harness.collect()
        assert owner_health.is_suspected("entry-1")
        harness.permits.refusals = {}
        assert await harness.collect() == EXPECTED_ANSWER
        assert not owner_health.is_suspected("entry-1")

    async def test_an_unreachable_endpoint_is_suspected(self, harness):
        await harness.add("a")
        endpoint = harness.follower.catalogue.endpoints["a"]
        unreachable = evolve(endpoint, url="http://127.0.0.1:1")
        harness.follower.catalogue.endpoints["a"] = unreachable
        with pytest.raises(EndpointUnreachable):
            await harness.collect()
        assert harness.health.is_suspected("a")
        assert {outcome for _, outcome in harness.permits.outcomes} == {"unreachable"}

    async def test_a_passed_deadline_runs_nothing(self, harness):
        engine = await harness.add("a")
        with pytest.raises(DeadlineExceeded):
            await harness.collect(limit_s=0.0)
        assert not engine.requests

    async def test_an_endpoint_taken_out_after_the_grant_gets_no_request(self, harness):
        engine = await harness.add("a")
        acquire = harness.permits.acquire

        class TakingEndpointOut(AlwaysGrantingPermits):
            async def acquire(self, request):
                held = await acquire(request)
                endpoint = harness.follower.catalogue.endpoints["a"]
                taken_out = evolve(endpoint, state="out")
                harness.follower.catalogue.endpoints["a"] = taken_out
                return held

        harness.router.permits = TakingEndpointOut()
        with pytest.raises(EndpointOutOfService):
            await harness.collect()
        assert not engine.requests
