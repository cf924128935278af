"""Software rollouts on the platform's wire, with real processes on loopback.

State members and gateways run as in a deployment, and the endpoints are those of the
soak, which record what they ran.
"""

import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import orjson
import trio
from attrs import define, field

from medlarrail.platform.soak.check import Run, read_records
from medlarrail.platform.soak.rollouts import SERVICE, Rollout
from medlarrail.platform.soak.site import KEY, ROUTE_HOST, RunningProgram, Site
from medlarrail.platform.soak.wire import (
    EndedEarly,
    MessageReader,
    build_head,
    fetch,
)
from medlarrail.policy.software_rollout import COMPLETION_MARGIN_S
from medlarrail.testing.scripted_endpoints import HOST

SEED = 11
LIMITS = {"exposure_ratio": 0.1, "exposure_slack": 50, "rollback_ms": 5000}
OLD_COUNT = 3
NEW_COUNT = 2
BAD_SHARE = 1 / 3
CALLERS = {"unsafe": (13, 0.2, 1), "stream": (16, 1.0, 16)}
"""Callers, time between the requests of each, and events of an answer, by route: 80
requests a second, of which the trial of ten seconds shows 80 at the target; the
judgement needs about 60. Streams last a second, so that some run at any time."""
DURATION_S = 20.0
"""Duration of a rollout that streams of the replaced version don't outlast."""
BURST = 60
"""Requests that wait for a suspended gateway; a tenth would be for the target."""
WAIT_TIMEOUT_S = 40.0
POLL_S = 0.05
ACKNOWLEDGEMENT_S = 5.0
"""Time for which an operator sends an order again."""
PROPAGATION_S = 1.0
"""Time after a verdict until each gateway has it and requests sent before have come."""
AFTER_S = 1.5
"""Time after the verdict in which requests are sent to see where they go."""


@define
class CallerAnswer:
    """What a caller got for one request; status 0 without a whole answer."""

    sent_at: float
    status: int


@define(eq=False)
class RolloutSite:
    """A site with callers, and the calls of its operator."""

    site: Site
    old: list[RunningProgram] = field(factory=list)
    new: list[RunningProgram] = field(factory=list)
    answers: list[CallerAnswer] = field(factory=list)
    rollout: Rollout = field(init=False)

    def __attrs_post_init__(self):
        self.rollout = Rollout(self.site, SERVICE, "v2", "v1", 0.0)

    # Callers.

    async def send_steadily(self, kind: str, number: int) -> None:
        """Send requests on one route and connection to one gateway."""
        caller_count, interval_s, _ = CALLERS[kind]
        await trio.sleep(interval_s * number / caller_count)
        gateway = self.site.gateways[number % len(self.site.gateways)]
        stream = None
        for count in range(1_000_000):
            due = trio.current_time() + interval_s
            answer = CallerAnswer(time.monotonic(), 0)
            try:
                if stream is None:
                    stream = await trio.open_tcp_stream(HOST, gateway.port)
                request_id = f"{kind}{number}-{count}"
                answer.status = await self.send(stream, kind, request_id)
            except (OSError, EndedEarly, trio.BrokenResourceError):
                if stream is not None:
                    await trio.aclose_forcefully(stream)
                    stream = None
            self.answers.append(answer)
            await trio.sleep_until(due)

    async def send_once(self, gateway: RunningProgram, number: int) -> None:
        """Send a request on a connection of its own."""
        async with await trio.open_tcp_stream(HOST, gateway.port) as stream:
            assert await self.send(stream, "unsafe", f"burst-{number}") == 200

    @staticmethod
    async def send(stream: trio.SocketStream, kind: str, request_id: str) -> int:
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": request_id,
            "Api-Key": KEY,
            "Token-Usage": "10,1",
            "Deadline-Ms": 10_000,
            "Content-Length": 0,
        }
        line = f"POST /{kind}/{request_id}/{CALLERS[kind][2]} HTTP/1.1"
        await stream.send_all(build_head(line, headers))
        reader = MessageReader(stream)
        head = await reader.read_head()
        await reader.read_body(head)
        return head.status

    # Endpoints.

    def start_new(self, failures: float = 0.0) -> None:
        """Start endpoints of the target beside the old ones."""
        self.site.failures["v2"] = failures
        self.new = [self.site.add_engine(SERVICE, "v2") for _ in range(NEW_COUNT)]

    async def count_in_gateways(
        self, name: str, version: str, *gateways: RunningProgram
    ) -> int:
        """Return the sum of a counter over gateways, by default over all."""
        total = 0
        for gateway in gateways or self.site.gateways:
            settings = orjson.loads(gateway.settings_file.read_bytes())
            answer = await fetch("GET", f"http://{settings['metrics_address']}/")
            for line in answer[1].decode().splitlines():
                if name in line and f'version="{version}"' in line:
                    total += int(float(line.split()[-1]))
        return total

    def list_runs(self, version: str) -> list[Run]:
        """Return the runs at a version in the order of their beginning."""
        records = read_records(self.site.folder)
        runs = (run for runs in records.runs.values() for run in runs)
        own = self.rollout.list_runs(list(runs), version)
        return sorted(own, key=lambda run: run.began_at)

    # Operator.

    async def find_leader(self) -> RunningProgram:
        """Return the member to which the others redirect."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while True:
                for state in self.site.states:
                    answer = await fetch("GET", f"{state.url}/rollouts/none")
                    if answer is not None and answer[0].status == 404:
                        return state
                await trio.sleep(POLL_S)

    async def order(self, duration_s: float) -> None:
        """Order the rollout, and again until it is acknowledged."""
        self.rollout.duration_s = duration_s
        with trio.fail_after(ACKNOWLEDGEMENT_S):
            await self.rollout.order()

    async def read_state(self) -> str:
        """Return the state once a leader answers."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while (state := await self.rollout.read()) is None:
                await trio.sleep(POLL_S)
        return state

    async def wait_verdict(self) -> str:
        """Return the verdict once GET answers it."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            return await self.rollout.wait_verdict()

    # Checks.

    async def check(self) -> None:
        """Check the only verdict, the exposure, and the requests after the verdict."""
        until = self.rollout.ordered_at + self.rollout.duration_s
        await trio.sleep(max(0, until - time.monotonic()))
        records = read_records(self.site.folder)
        runs = (run for runs in records.runs.values() for run in runs)
        assert self.rollout.check(list(runs)) == []

    async def assert_unused(self, version: str) -> None:
        """Check that a version gets nothing from now on, while others get requests."""
        await trio.sleep(PROPAGATION_S)
        since = time.monotonic()
        await trio.sleep(AFTER_S)
        runs = {name: self.list_runs(name) for name in ("v1", "v2")}
        late = [run for run in runs.pop(version) if run.began_at > since]
        assert not late
        (others,) = runs.values()
        assert len([run for run in others if run.began_at > since]) > 10


@asynccontextmanager
async def run_site(folder: Path, **changes: object) -> AsyncIterator[RolloutSite]:
    """Run a site under load, with its first endpoints at v1."""
    changes = {"software_rollouts": LIMITS, **changes}
    engines = {SERVICE: OLD_COUNT}
    site = Site(folder, SEED, engine_counts=engines, plain=True, **changes)
    running = RolloutSite(site)
    try:
        async with trio.open_nursery() as nursery:
            await site.start_all()
            running.old = list(site.engines)
            for kind, (caller_count, _, _) in CALLERS.items():
                for number in range(caller_count):
                    nursery.start_soon(running.send_steadily, kind, number)
            with trio.fail_after(WAIT_TIMEOUT_S):
                while sum(one.status == 200 for one in running.answers[-20:]) < 20:
                    await trio.sleep(POLL_S)
            nursery.start_soon(running.rollout.watch)
            yield running
            nursery.cancel_scope.cancel()
        assert site.list_own_ends() == []
    finally:
        site.end_all()


async def test_requests_fail_when_the_old_endpoints_stop(tmp_path):
    """A good version is completed in time, once nothing runs at the old endpoints. They
    then stop without draining, so a request that is still sent there would fail."""
    async with run_site(tmp_path, state_count=3, gateway_count=2) as running:
        leader = await running.find_leader()
        running.start_new()
        order = {"service": SERVICE, "target": "v2", "duration-s": DURATION_S}
        began = len(running.answers)
        for state in running.site.states:
            if state is not leader:
                head, _ = await fetch("POST", f"{state.url}/rollouts", order)
                assert head.status == 307
                assert head.headers["location"] == f"{leader.url}/rollouts"
        rollout = running.rollout
        rollout.ordered_at, rollout.duration_s = time.monotonic(), DURATION_S
        for _ in range(2):
            head, _ = await fetch("POST", f"{leader.url}/rollouts", order)
            assert head.status == 200
        rollout.acknowledged.set()
        assert await rollout.read() == "running"
        assert await running.wait_verdict() == "completed"
        for engine in running.old:
            running.site.kill(engine)
        # Later, it would be completed although requests run there.
        near_deadline_s = DURATION_S - COMPLETION_MARGIN_S
        assert rollout.verdict_at < rollout.ordered_at + near_deadline_s
        await running.assert_unused("v1")
        assert rollout.states_read == ["running", "completed"]
        runs = running.list_runs("v1")
        assert not [run.request_id for run in runs if run.ended_at is None]
    assert {one.status for one in running.answers[began:]} == {200}


async def test_bad_version_gets_more_than_its_share(tmp_path):
    async with run_site(tmp_path, state_count=1, gateway_count=2) as running:
        running.start_new(failures=BAD_SHARE)
        await running.order(8)
        assert await running.wait_verdict() == "rolled_back"
        await running.assert_unused("v2")
        await running.check()
        runs = running.list_runs("v2")
        failed = [run for run in runs if run.faulty]
        assert len(failed) > 3
        assert await running.count_in_gateways("rollout_requests", "v2") == len(runs)
        name = "rollout_answers_failed"
        assert await running.count_in_gateways(name, "v2") == len(failed)
        assert await running.count_in_gateways(name, "v1") == 0
        assert running.rollout.states_read == ["running", "rolled_back"]


async def test_rollouts_are_answered_without_settings(tmp_path):
    """Without the settings, a deployment is served as before."""
    async with run_site(
        tmp_path, state_count=1, gateway_count=1, software_rollouts=None
    ) as running:
        (state,) = running.site.states
        order = {"service": SERVICE, "target": "v2", "duration-s": 10}
        for method, path, body in (
            ("POST", "/rollouts", order),
            ("GET", f"/rollouts/{SERVICE}", None),
        ):
            head, _ = await fetch(method, state.url + path, body)
            assert head.status == 404
        running.start_new()
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not running.list_runs("v2"):
                await trio.sleep(POLL_S)


async def test_rollout_is_lost_with_the_leader(tmp_path):
    """The leader is killed right after its acknowledgement."""
    async with run_site(tmp_path, state_count=3, gateway_count=2) as running:
        leader = await running.find_leader()
        running.start_new()
        await running.order(12)
        running.site.kill(leader)
        assert await running.find_leader() is not leader
        assert await running.read_state() == "running"
        assert await running.wait_verdict() == "completed"
        await running.assert_unused("v1")
        running.site.restart_state(leader)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while await fetch("GET", f"{leader.url}/rollouts/{SERVICE}") is None:
                await trio.sleep(POLL_S)
        await running.check()


async def test_rollout_is_lost_with_all_processes(tmp_path):
    """All state members and gateways are killed at the same time during the trial."""
    async with run_site(tmp_path, state_count=3, gateway_count=2) as running:
        site = running.site
        running.start_new(failures=BAD_SHARE)
        await running.order(10)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not running.list_runs("v2"):
                await trio.sleep(POLL_S)
        for program in (*site.states, *site.gateways):
            site.kill(program)
        for state in site.states:
            site.restart_state(state)
        for gateway in site.gateways:
            site.start(gateway)
        assert await running.read_state() in ("running", "rolled_back")
        with trio.fail_after(WAIT_TIMEOUT_S):
            for gateway in site.gateways:
                await site.wait_ready(gateway)
        assert await running.wait_verdict() == "rolled_back"
        await running.assert_unused("v2")
        await running.check()


async def test_suspended_gateway_sends_to_a_version_after_its_roll_back(tmp_path):
    """A gateway that is suspended before the verdict doesn't know of it when it goes
    on, and finds many requests that came meanwhile."""
    async with run_site(tmp_path, state_count=1, gateway_count=2) as running:
        site = running.site
        suspended = site.gateways[1]
        running.start_new(failures=BAD_SHARE)
        await running.order(10)
        name = "rollout_requests"
        while not await running.count_in_gateways(name, "v2", suspended):
            # An endpoint is listed once its version is in the log.
            assert not running.rollout.verdict
            await trio.sleep(POLL_S)
        site.signal(suspended, signal.SIGSTOP)
        assert await running.wait_verdict() == "rolled_back"
        await trio.sleep(PROPAGATION_S)
        async with trio.open_nursery() as nursery:
            for number in range(BURST):
                nursery.start_soon(running.send_once, suspended, number)
            await trio.sleep(PROPAGATION_S)
            resumed_at = time.monotonic()
            site.signal(suspended, signal.SIGCONT)
        await running.assert_unused("v2")
        assert not [one for one in running.list_runs("v2") if one.began_at > resumed_at]
        await running.check()
