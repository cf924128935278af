"""Orders software rollouts, and checks where their requests went.

A good or bad version is started beside the one that serves. After the verdict the old
endpoints are killed, or the new ones leave.
"""

import time
from collections.abc import Sequence

import orjson
import trio
from attrs import define, field

from medlarrail.platform.soak.check import Run, Violation
from medlarrail.platform.soak.events import VERSIONS
from medlarrail.platform.soak.faults import Faults
from medlarrail.platform.soak.site import POLL_S, Site
from medlarrail.platform.soak.wire import call_any, fetch

SERVICE = "talk"
TARGET_COUNT = 2
"""Endpoints of a target."""
BAD_SHARE = 1 / 3
BAD_FAILURES = 0.5
"""Share of the requests that a bad version fails."""
DURATION_S = 18.0
LIMITS = {"exposure_ratio": 0.3, "exposure_slack": 50, "rollback_ms": 5000}
"""The callers of a soak make about twenty requests a second, of which a tenth would
not tell a good version from a bad one in the time."""
SPREAD_S = 2.5
"""Time after a verdict in which requests may still reach the version that lost: a
gateway stops sending to a target by itself once its view is two seconds old."""
AFTER_S = 4.0
"""Time after the verdict in which it is read again."""


@define(eq=False)
class Rollout:
    """One rollout as its operator saw it."""

    site: Site
    service: str
    target: str
    replaced: str
    duration_s: float
    ordered_at: float = 0.0
    acknowledged: trio.Event = field(factory=trio.Event)
    states_read: list[str] = field(factory=list)
    """Each state that differs from the one before, as GET answered."""
    verdict_at: float = float("inf")

    @property
    def verdict(self) -> str:
        """The latest state that was read, empty without a verdict."""
        latest = self.states_read[-1] if self.states_read else ""
        return latest if latest in ("completed", "rolled_back") else ""

    async def order(self) -> None:
        """Order the rollout, and again until it is acknowledged."""
        self.ordered_at = time.monotonic()
        order = {
            "service": self.service,
            "target": self.target,
            "duration-s": self.duration_s,
        }
        urls = self.site.control_urls
        while not await call_any("POST", urls, "/rollouts", order):
            await trio.sleep(POLL_S)
        self.acknowledged.set()

    async def read(self) -> str | None:
        """Return the state that a leader answers, None without an answer of one.

        An error, and another target, are returned as they are, as no state.
        """
        for state in self.site.states:
            answer = await fetch("GET", f"{state.url}/rollouts/{self.service}")
            if answer is None or answer[0].status in (307, 503):
                continue
            if answer[0].status != 200:
                return str(answer[0].status)
            fields = orjson.loads(answer[1])
            is_own = fields["target"] == self.target
            return fields["state"] if is_own else str(fields)
        return None

    async def watch(self) -> None:
        """Record each state that GET answers after the order, until cancelled."""
        await self.acknowledged.wait()
        while True:
            state = await self.read()
            if state is not None and self.states_read[-1:] != [state]:
                self.states_read.append(state)
                if self.verdict:
                    self.verdict_at = min(self.verdict_at, time.monotonic())
            await trio.sleep(POLL_S)

    async def wait_verdict(self) -> str:
        """Return the verdict once GET answers it."""
        while not self.verdict:
            await trio.sleep(POLL_S)
        return self.verdict

    def list_runs(self, runs: Sequence[Run], version: str = "") -> list[Run]:
        """Return the runs at the service's endpoints, of one version or all."""
        programs = (*self.site.engines, *self.site.ended_engines)
        names = {
            program.record
            for program in programs
            if program.service == self.service and version in ("", program.version)
        }
        return [run for run in runs if run.record in names]

    def check(self, runs: Sequence[Run]) -> list[Violation]:
        """Return what is wrong with the verdict and with the requests."""
        violations = []
        verdict = self.verdict
        expected = [state for state in ("running", verdict) if state]
        if self.states_read not in (expected, expected[1:]):
            detail = ", ".join(self.states_read)
            violations.append(Violation("verdict", self.target, detail))
        until = self.ordered_at + self.duration_s
        tried, sent = (
            sum(self.ordered_at <= run.began_at <= until for run in own)
            for own in (self.list_runs(runs, self.target), self.list_runs(runs))
        )
        limits = self.site.software_rollouts
        limit = limits["exposure_ratio"] * sent + limits["exposure_slack"]
        if verdict != "completed" and tried > limit:
            detail = f"{tried} of {sent}, limit {limit:.0f}"
            violations.append(Violation("exposure", self.target, detail))
        loser = self.replaced if verdict == "completed" else self.target
        for run in self.list_runs(runs, loser):
            late_s = run.began_at - self.verdict_at
            if late_s > SPREAD_S:
                detail = f"at {loser} {late_s:.2f} s after the verdict"
                violations.append(Violation("late request", run.request_id, detail))
        return violations


async def roll_out_steadily(faults: Faults, ordered: list[Rollout]) -> None:
    """Order one rollout after the other."""
    site, serving = faults.site, "v1"
    for target in VERSIONS[1:]:
        is_bad = faults.random.random() < BAD_SHARE
        site.failures[target] = BAD_FAILURES if is_bad else 0.0
        site.note(f"rollout of {target}, which is {'bad' if is_bad else 'good'}")
        rollout = Rollout(site, SERVICE, target, serving, DURATION_S)
        ordered.append(rollout)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rollout.watch)
            await rollout.order()
            for _ in range(TARGET_COUNT):
                site.add_engine(SERVICE, target)
            verdict = await rollout.wait_verdict()
            site.note(f"{target} {verdict}")
            is_completed = verdict == "completed"
            loser = serving if is_completed else target
            serving = target if is_completed else serving
            if is_completed:
                await end_engines(faults, loser, at_once=True)
            await trio.sleep(AFTER_S)
            await end_engines(faults, loser)
            nursery.cancel_scope.cancel()


async def end_engines(faults: Faults, version: str, at_once: bool = False) -> None:
    """End the endpoints of a version, those that a fault uses after that."""
    site = faults.site
    while own := [
        one for one in site.engines if one.service == SERVICE and one.version == version
    ]:
        with faults.claim(own, keep=0) as engine:
            if engine is None:
                await trio.sleep(POLL_S)
            elif at_once:
                site.kill(engine)
            else:
                await site.stop(engine)
