"""Runs the platform's path with real processes under faults and checks each stream.

Endpoints are killed, replaced and released, gateways are killed, stopped and suspended
and state members killed, one after the other and at the same time. Software rollouts
can take the place of the release. The last line has the counts; the exit code is 1
after a violation.

Example: ``python3 -m medlarrail.platform.soak --seed 7 --duration 60``.
"""

import shutil
import signal
import tempfile
import time
from pathlib import Path
from random import Random

import orjson
import trio
import typer
from attrs import asdict, define, field

from medlarrail.platform.soak import (  # noqa: F401
    control_faults,
    departure_faults,
    endpoint_faults,
    link_faults,
    version_faults,
    weight_faults,
)
from medlarrail.platform.soak.callers import REPEATED_SHARE, Call, Caller
from medlarrail.platform.soak.check import (
    Counts,
    Violation,
    check_call,
    check_departures,
    check_isolation,
    check_runs,
    check_weights,
    count_calls,
    name_early_closes,
    read_carriers,
    read_records,
)
from medlarrail.platform.soak.engine import HEARTBEAT_S
from medlarrail.platform.soak.faults import Faults
from medlarrail.platform.soak.rollouts import LIMITS, Rollout, roll_out_steadily
from medlarrail.platform.soak.site import (
    DATA_CENTRES,
    GATEWAY_COUNT,
    WIDE_ENGINES,
    WIDE_STATE_COUNT,
    Site,
    Sources,
)
from medlarrail.platform.soak.take_ups import TakeUps, count_take_ups

CALLER_COUNT = 32
CALLERS_PER_GATEWAY = 2
"""Callers of each gateway, if these are more than ``CALLER_COUNT``."""
SERIES_COUNT = 2
"""Series of faults that overlap."""
PROCESSES_PER_SERIES = 25
"""Processes of each series, if that makes more than ``SERIES_COUNT``."""
VIOLATIONS_EXIT_CODE = 1


@define(eq=False)
class StreamSoak:
    """One run of the soak."""

    site: Site
    first_heartbeat_s: float = HEARTBEAT_S
    """Longest time after which an endpoint that starts during the run announces
    itself."""
    only: tuple[str, ...] = ()
    """Names of the only faults that are played, if there are any."""
    left_out: tuple[str, ...] = ()
    """Names of faults that are not played."""
    rollouts: list[Rollout] = field(factory=list)
    calls: list[Call] = field(factory=list)
    recent: list[Call] = field(factory=list)
    """Streams whose content callers may repeat."""
    violations: list[Violation] = field(factory=list)
    take_ups: dict[str, TakeUps] = field(factory=dict)
    """Streams that were taken up, by what their callers tell."""

    def take(self, call: Call) -> None:
        """Check a call that has ended."""
        self.calls.append(call)
        for violation in check_call(call):
            self.record(violation)

    def record(self, violation: Violation) -> None:
        """Keep a violation and print it."""
        self.violations.append(violation)
        self.site.note(str(violation))

    async def run(self, duration_s: float) -> Counts:
        """Run callers and faults, then compare with what the endpoints ran."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_on_signal, nursery.cancel_scope)
            self.site.link_nursery = nursery
            await self.site.start_all()
            self.site.note("started")
            self.site.first_heartbeat_s = self.first_heartbeat_s
            nursery.start_soon(self.play_faults, duration_s)
            await self.run_callers(duration_s)
            nursery.cancel_scope.cancel()
        for name in self.site.list_own_ends():
            self.record(Violation("end of a process", name, "by itself"))
        self.site.end_all()
        records = read_records(self.site.folder)
        runs = records.runs
        self.violations = name_early_closes(self.violations, runs)
        for violation in check_runs(self.calls, runs):
            self.record(violation)
        carriers = read_carriers(self.site.folder)
        for violation in check_departures(self.site, self.calls, records, carriers):
            self.record(violation)
        for violation in check_weights(self.site, self.calls, records, carriers):
            self.record(violation)
        all_runs = [run for own in runs.values() for run in own]
        for violation in check_isolation(self.site, all_runs):
            self.record(violation)
        for rollout in self.rollouts:
            for violation in rollout.check(all_runs):
                self.record(violation)
        self.write_record()
        self.take_ups = count_take_ups(self.site, self.calls, records.announcements)
        return count_calls(self.site, self.calls, records)

    async def run_callers(self, duration_s: float) -> None:
        """Run the callers until the last call of each has ended."""
        until = time.monotonic() + duration_s
        async with trio.open_nursery() as nursery:
            count = CALLERS_PER_GATEWAY * self.site.gateway_count
            for number in range(max(CALLER_COUNT, count)):
                name = f"c{number}"
                random = Random(f"{self.site.seed}-{name}")
                caller = Caller(name, self.site, random, self.take, self.recent)
                nursery.start_soon(caller.call_steadily, until)

    async def play_faults(self, duration_s: float) -> None:
        """Play all series of faults, and the release, for the time of the run."""
        with trio.move_on_after(duration_s):
            async with trio.open_nursery() as nursery:
                count = self.site.process_count // PROCESSES_PER_SERIES
                for number in range(max(SERIES_COUNT, count)):
                    random = Random(f"{self.site.seed}-faults-{number}")
                    faults = Faults(self.site, random, self.only, self.left_out)
                    nursery.start_soon(faults.play_steadily)
                random = Random(f"{self.site.seed}-joins")
                nursery.start_soon(self.site.join_states, random)
                faults = Faults(self.site, Random(f"{self.site.seed}-release"))
                if self.site.software_rollouts is not None:
                    nursery.start_soon(roll_out_steadily, faults, self.rollouts)
                elif "release" not in self.left_out:
                    nursery.start_soon(faults.release, duration_s)
        self.resume_processes()

    def resume_processes(self) -> None:
        """Resume processes and links that the end of the faults left as they were."""
        for program in (
            *self.site.states,
            *self.site.gateways,
            *self.site.engines,
        ):
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
        for engine in (*self.site.engines, *self.site.ended_engines):
            engine.link.end_faults()

    def write_record(self) -> None:
        """Write what the callers received."""
        lines = []
        for call in self.calls:
            entry = asdict(call)
            for answer in entry["answers"]:
                answer["body"] = len(answer["body"])
                answer["events"] = [event["number"] for event in answer["events"]]
            lines.append(orjson.dumps(entry))
        (self.site.folder / "calls.jsonl").write_bytes(b"\n".join(lines))


async def end_on_signal(scope: trio.CancelScope) -> None:
    """End the run in order when this process is asked to end."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def format_counts(soak: StreamSoak, counts: Counts) -> str:
    """Return the last line of the output."""
    kinds: dict[str, int] = {}
    for violation in soak.violations:
        kinds[violation.kind] = kinds.get(violation.kind, 0) + 1
    refused = sum(own.refused for own in soak.take_ups.values())
    fields = {
        "seed": soak.site.seed,
        "calls": sum(counts.calls.values()),
        "streams": counts.streams,
        "framings": dict(sorted(counts.framings.items())),
        "answers": dict(sorted(counts.answers.items())),
        "complete": counts.complete,
        "taken_up": {name: asdict(own) for name, own in soak.take_ups.items()},
        "refused_per_1000": round(1000 * refused / max(1, counts.streams), 1),
        "closed_early": counts.closed_early,
        "cut": counts.cut,
        "cut_though_sound": len(counts.cut_sound),
        "cut_though_sound_per_1000": counts.cut_sound_per_1000,
        "cut_unannounced": counts.cut_unannounced,
        "rollouts": [rollout.verdict for rollout in soak.rollouts],
        "faults": dict(sorted(soak.site.fault_counts.items())),
        "violations": kinds,
    }
    return orjson.dumps(fields).decode()


def split_names(option: str) -> tuple[str, ...]:
    """Return the names in an option, separated by commas."""
    return tuple(filter(None, option.split(",")))


def main(
    seed: int = 1,
    duration: float = 60.0,
    sources: Path | None = None,
    mixed: bool = False,
    disorder: float = 0.0,
    only: str = "",
    without: str = "",
    rollouts: bool = False,
    gateways: int = GATEWAY_COUNT,
    engines: int = 0,
    early_closes: float = 0.0,
    repeated: float = REPEATED_SHARE,
    prompt_heartbeats: bool = False,
    wide: bool = False,
    keep: Path | None = None,
) -> None:
    """Run a soak of ``duration`` seconds.

    ``--sources`` runs the programs of another checkout, with ``--mixed`` only half of
    the gateways. ``--disorder`` is the share of streams that endpoints send in no
    order, ``--only`` names the faults that are played, and ``--without`` some that are
    left out, separated by commas. ``--rollouts`` orders software rollouts in place of
    the release. ``--gateways`` is their number, and ``--engines`` that of the endpoints
    of each service, if it is given. ``--early-closes`` is the share of the streams
    without a length that living endpoints close before the end, which no gateway can
    tell from whole ones. ``--repeated`` is the share of the calls with the content of
    a recent stream, which may run at another software version. With
    ``--prompt-heartbeats`` an endpoint announces itself at once, not up to an interval
    of heartbeats after its start. ``--wide`` adds a second service of models, two data
    centres, and two state members that join during the run and that only half of the
    gateways are told of. The logs are copied to ``--keep`` after a violation or the cut
    of a sound stream.
    """
    folder = Path(tempfile.mkdtemp(prefix="stream-soak-"))
    own_sources = Sources(sources.resolve() if sources else None, mixed)
    limits = LIMITS if rollouts else None
    site = Site(folder, seed, own_sources, disorder, limits, report=typer.echo)
    site.gateway_count, site.early_closes = gateways, early_closes
    site.repeated_share = repeated
    if wide:
        site.engine_counts, site.state_count = dict(WIDE_ENGINES), WIDE_STATE_COUNT
        site.data_centre_count = len(DATA_CENTRES)
    if engines:
        site.engine_counts = dict.fromkeys(site.engine_counts, engines)
    names = split_names(only), split_names(without)
    soak = StreamSoak(site, 0.0 if prompt_heartbeats else HEARTBEAT_S, *names)
    counts = Counts()
    try:
        counts = trio.run(soak.run, duration)
    finally:
        soak.site.end_all()
        if keep is not None and (soak.violations or counts.cut_sound):
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    for answer in counts.cut_sound:
        seconds = answer.ended_at - soak.site.began_at
        what = f"{answer.request_id} {answer.gateway} {answer.status}"
        typer.echo(f"{seconds:7.2f} cut though sound: {what}")
    typer.echo(format_counts(soak, counts))
    if soak.violations:
        raise typer.Exit(VIOLATIONS_EXIT_CODE)


if __name__ == "__main__":
    typer.run(main)
