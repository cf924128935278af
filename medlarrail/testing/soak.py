"""Runs a deployment of real processes with fault injection and checks the answers.

Processes are killed, suspended and resumed, lose their folders and are cut off by
proxies that stop forwarding, while callers send prompts and purchases. At the end
the answers are compared with what the stand-ins ran. The last line of the output
is the number of violations.
"""

import contextlib
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import orjson
import trio
import typer
from attrs import define, evolve, field

from medlarrail.core.codec import decode
from medlarrail.core.errors import MedlarError, PeerError
from medlarrail.core.timing import OUT_OF_SERVICE_BOUND_S
from medlarrail.protocol.control import REPLACE_PATH, MembersAnswer, ReplaceRequest
from medlarrail.standins.engine import make_answer
from medlarrail.standins.service import Receipt
from medlarrail.standins.settings import Behaviour
from medlarrail.state.operations import SetDataCentre
from medlarrail.testing.caller import Caller
from medlarrail.testing.deployment import (
    HOST,
    MODEL,
    SERVICE,
    Layout,
    write_deployment,
)
from medlarrail.testing.fault_proxy import FaultProxy
from medlarrail.testing.processes import Processes

ACCOUNTS = ("lea-college", "award-pay", "third")
CALLER_COUNT = 6
PROXIED_ROLES = ("state", "entry", "store", "engine", "service")
ANSWER_TOKENS = 12
CALL_TIMEOUT_S = 20.0
SETTLE_S = 12.0
FAULT_DURATION_RANGE_S = (1.0, 6.0)
CLOCK_SLACK_S = 1.0
"""Allowance for the time between the acceptance of a change and its return to the
harness."""


@define
class SoakResults:
    """Counts of faults and outcomes by kind, and the violations."""

    faults: Counter = field(factory=Counter)
    requests: Counter = field(factory=Counter)
    refusals: Counter = field(factory=Counter)
    violations: list[str] = field(factory=list)

    def check(self, condition: bool, what: str) -> None:
        """Record a violation unless ``condition`` holds."""
        if not condition:
            self.violations.append(what)
            typer.echo(f"VIOLATION: {what}")


@define
class Soak:
    """One soak run."""

    processes: Processes
    random: Random
    results: SoakResults
    keys: dict[str, str] = field(factory=dict)
    purchase_answers: dict[str, str] = field(factory=dict)
    reported_not_run: set[str] = field(factory=set)
    proxies: dict[str, FaultProxy] = field(factory=dict)
    purchase_count: int = 0

    # Callers.

    async def call(self, account: str) -> None:
        """Send prompts and purchases sequentially, without end."""
        caller = Caller(
            self.keys[account], self.processes.deployment.list_urls("entry")
        )
        while True:
            with contextlib.suppress(MedlarError):
                if self.random.random() < 0.6:
                    await self.send_prompt(caller, account)
                else:
                    await self.send_purchase(caller, account)
            await trio.sleep(self.random.uniform(0, 0.2))

    async def send_prompt(self, caller: Caller, account: str) -> None:
        """Send a prompt and compare its answer with the expected ones."""
        prompt = f"{account}-{self.random.randrange(30)} " * 40
        with trio.move_on_after(CALL_TIMEOUT_S) as scope:
            result = await caller.ask(MODEL, prompt, ANSWER_TOKENS)
        if scope.cancelled_caught:
            self.results.requests["prompt timeout"] += 1
            return
        if result.complete:
            answers = [make_answer(prompt, v, ANSWER_TOKENS) for v in ("v1", "v2")]
            self.results.check(result.text in answers, f"answer of {prompt[:20]}")
            self.results.requests["prompt answered"] += 1
        else:
            self.results.requests["prompt refused"] += 1
            self.results.refusals[type(result.error).__name__] += 1

    async def send_purchase(self, caller: Caller, account: str) -> None:
        """Send a purchase with a new idempotency key a random number of times."""
        self.purchase_count += 1
        key = f"{account}-{self.purchase_count}"
        for _ in range(self.random.randrange(1, 5)):
            urls = await caller.list_entries()
            url = self.random.choice(urls)
            try:
                answer = await caller.buy(
                    f"{SERVICE}/purchase", key, url, timeout_s=CALL_TIMEOUT_S
                )
            except PeerError as error:
                self.results.refusals[type(error).__name__] += 1
                self.reported_not_run.discard(key)
                continue
            self.record_purchase(key, answer)

    def record_purchase(self, key: str, answer) -> None:
        """Check and record the answer to a purchase."""
        if answer.status == 200:
            receipt = decode(answer.body, Receipt)
            self.results.check(receipt.key == key, f"receipt of {key} for another key")
            self.results.check(receipt.runs == 1, f"{key} ran {receipt.runs} times")
            first_answer = self.purchase_answers.setdefault(key, answer.body.decode())
            self.results.check(
                first_answer == answer.body.decode(), f"{key}: two different answers"
            )
            self.reported_not_run.discard(key)
            self.results.requests["purchase answered"] += 1
            return
        error = orjson.loads(answer.body)["error"]
        self.results.requests[f"purchase {error['run']}"] += 1
        self.results.refusals[error["type"]] += 1
        if error["run"] == "no":
            self.results.check(
                key not in self.purchase_answers,
                f"{key}: reported as not run after an answer",
            )
            self.reported_not_run.add(key)
        else:
            self.reported_not_run.discard(key)

    # Faults.

    def pick(self, *roles: str) -> str:
        """Return the name of a running process of one of the roles."""
        names = [
            process.name
            for process in self.processes.deployment.processes
            if process.role in roles
            and process.name in self.processes.running
            and process.name not in self.processes.stopping
        ]
        return self.random.choice(names)

    async def inject_faults(self) -> None:
        """Inject random faults sequentially, without end."""
        actions = (
            self.kill_process,
            self.kill_process,
            self.freeze_process,
            self.freeze_process,
            self.lose_disk,
            self.crash_endpoint,
            self.take_out,
            self.restart_gracefully,
            self.lose_connections,
            self.cut_off,
        )
        while True:
            await trio.sleep(self.random.uniform(0.5, 3.0))
            action = self.random.choice(actions)
            self.results.faults[action.__name__] += 1
            try:
                await action()
            except (MedlarError, trio.TooSlowError) as error:
                self.results.faults[f"{action.__name__} {type(error).__name__}"] += 1

    async def kill_process(self) -> None:
        """Kill a process and start it again after up to 3 s."""
        name = self.pick("state", "entry", "store", "engine", "service")
        self.processes.kill(name)
        await trio.sleep(self.random.uniform(0, 3))
        self.processes.start(name)

    async def freeze_process(self) -> None:
        """Suspend a process with SIGSTOP for a while, then resume it."""
        name = self.pick("state", "entry", "store", "engine")
        self.processes.send(name, signal.SIGSTOP)
        try:
            await trio.sleep(self.random.uniform(*FAULT_DURATION_RANGE_S))
        finally:
            self.processes.send(name, signal.SIGCONT)

    async def lose_disk(self) -> None:
        """Delete the folder of a state member and replace the member."""
        name = self.pick("state")
        process = self.processes.deployment.find(name)
        self.processes.kill(name)
        shutil.rmtree(Path(self.processes.deployment.folder) / f"{name}.data")
        self.processes.start(name)
        await self.processes.wait_answer(process.url)
        await self.processes.make_state_client().call_leader(
            REPLACE_PATH, ReplaceRequest(name, process.url), MembersAnswer, 30.0
        )

    async def lose_connections(self) -> None:
        """Stop forwarding on the open connections to a process; new ones work."""
        self.proxies[self.pick(*PROXIED_ROLES)].silence_open_connections()

    async def cut_off(self) -> None:
        """Cut a process off from the network for a while."""
        proxy = self.proxies[self.pick(*PROXIED_ROLES)]
        proxy.cut = True
        await trio.sleep(self.random.uniform(*FAULT_DURATION_RANGE_S))
        proxy.cut = False

    async def crash_endpoint(self) -> None:
        """Make a back end fail silently."""
        name = self.pick("engine", "service")
        process = self.processes.deployment.find(name)
        with contextlib.suppress(PeerError):
            await self.processes.client.fetch(
                "POST", f"{process.url}/standin/fall-over", timeout_s=2
            )

    async def take_out(self) -> None:
        """Take a data centre out for a while and check that it gets no new work."""
        name = self.random.choice(("leith", "perth"))
        await self.processes.change(SetDataCentre(name, False))
        await trio.sleep(OUT_OF_SERVICE_BOUND_S + CLOCK_SLACK_S)
        before = await self.count_runs(name)
        await trio.sleep(2.0)
        after = await self.count_runs(name)
        for backend, runs in before.items():
            got_work = backend in after and after[backend] > runs
            self.results.check(not got_work, f"{backend} got work while {name} was out")
        await self.processes.change(SetDataCentre(name, True))

    async def count_runs(self, data_centre: str) -> dict[str, int]:
        """Return the run count of each back end in a data centre, by incarnation."""
        counts = {}
        for process in self.processes.deployment.processes:
            if process.role not in ("engine", "service"):
                continue
            settings = orjson.loads(Path(process.settings_file).read_bytes())
            if settings["data_centre"] == data_centre:
                with contextlib.suppress(MedlarError):
                    stats = await self.processes.fetch_backend(process.url)
                    runs = sum(record.runs for record in stats.runs)
                    counts[f"{process.name}/{stats.incarnation}"] = runs
        return counts

    async def restart_gracefully(self) -> None:
        """Restart an entry with SIGTERM, as a release does."""
        name = self.pick("entry")
        code = await self.processes.stop(name)
        self.results.check(code == 0, f"{name} exited with {code}")
        self.processes.start(name)

    # Control of the run.

    async def run(self, duration: float) -> None:
        """Run behind proxies for ``duration`` seconds, then recover and compare."""
        async with trio.open_nursery() as nursery:
            for process in self.processes.deployment.processes:
                proxy = FaultProxy(HOST, process.public_port, process.port)
                self.proxies[process.name] = proxy
                await nursery.start(proxy.run)
            await self.run_faults(duration)
            nursery.cancel_scope.cancel()

    async def run_faults(self, duration: float) -> None:
        """Inject faults under load, then recover and compare."""
        await self.processes.bootstrap()
        await self.processes.wait_ready()
        for account in ACCOUNTS:
            self.keys[account] = await self.processes.add_contract(account)
        with trio.move_on_after(duration):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.inject_faults)
                for index in range(CALLER_COUNT):
                    account = ACCOUNTS[index % len(ACCOUNTS)]
                    nursery.start_soon(self.call, account)
        await self.recover()

    async def recover(self) -> None:
        """Restart processes, undo faults and check that service is restored."""
        for name in list(self.processes.stopping):
            await self.processes.wait_stopped(name)
        for process in self.processes.deployment.processes:
            if process.name not in self.processes.running:
                self.processes.start(process.name)
            self.processes.send(process.name, signal.SIGCONT)
            self.proxies[process.name].cut = False
        for name in ("leith", "perth"):
            await self.processes.change(SetDataCentre(name, True))
        await trio.sleep(SETTLE_S)
        try:
            await self.processes.wait_ready()
        except trio.TooSlowError:
            self.results.check(False, "not ready after the faults")
            await self.print_status()
        caller = Caller(
            self.keys[ACCOUNTS[0]], self.processes.deployment.list_urls("entry")
        )
        result = await caller.ask(MODEL, "after the faults", ANSWER_TOKENS)
        self.results.check(
            result.complete, f"no service after the faults: {result.error}"
        )
        await self.compare_runs()

    async def print_status(self) -> None:
        """Print the status of each entry and state member."""
        for process in self.processes.deployment.processes:
            fetch = {
                "entry": self.processes.fetch_entry,
                "state": self.processes.fetch_state,
            }.get(process.role)
            if fetch is None:
                continue
            try:
                typer.echo(f"{process.name}: {await fetch(process.url)}")
            except MedlarError as error:
                typer.echo(f"{process.name}: {error}")

    async def compare_runs(self) -> None:
        """Compare the answers to callers with the runs that the services recorded."""
        runs: Counter = Counter()
        for url in self.processes.deployment.list_urls("service"):
            stats = await self.processes.fetch_backend(url)
            runs.update({record.key: record.runs for record in stats.runs})
        for key in self.reported_not_run:
            self.results.check(
                runs[key] == 0, f"{key} reported as not run, but ran {runs[key]} times"
            )
        for key, count in runs.items():
            if key != "lookup":
                self.results.check(count <= 1, f"{key} ran {count} times")
        await self.count_invariants()

    async def count_invariants(self) -> None:
        """Check the processes' counters for invariant violations and defects."""
        for process in self.processes.deployment.processes:
            if process.role in ("engine", "service"):
                stats = await self.processes.fetch_backend(process.url)
                name = f"{process.name}: "
                self.results.check(not stats.bad_blocks, name + "bad blocks")
                self.results.check(not stats.overruns, name + "overrun while cold")
                continue
            answer = await self.processes.client.fetch(
                "GET", f"{process.url}/metrics", new_connection=True
            )
            for line in answer.body.decode().splitlines():
                if line.startswith(
                    ("medlar_invariant_violations_total", "medlar_defec")
                ):
                    self.results.check(False, f"{process.name}: {line}")


def build_layout() -> Layout:
    """Return the layout of the deployment under test."""
    layout = Layout(states=3, entries=3, engines=3, services=2, proxied=True)
    service = evolve(layout.service, warm_limit=8)
    return evolve(layout, service=service, behaviour=Behaviour(falls_over=True))


def print_results(results: SoakResults) -> None:
    """Print the counts, with the number of violations last."""
    for title in ("faults", "requests", "refusals"):
        counts = sorted(getattr(results, title).items())
        typer.echo(f"{title}: " + ", ".join(f"{k} {v}" for k, v in counts))
    typer.echo(f"violations: {len(results.violations)}")


def main(seed: int = 1, duration: float = 60.0, keep: bool = False) -> None:
    """Run one soak; exits with 1 if there were violations."""
    folder = Path(tempfile.mkdtemp(prefix="medlar-soak-"))
    processes = Processes(write_deployment(folder, build_layout()))
    soak = Soak(processes, Random(seed), SoakResults())
    try:
        processes.start_all()
        trio.run(soak.run, duration)
    except* trio.TooSlowError:
        soak.results.check(False, "no recovery after the faults")
    finally:
        processes.kill_all()
        if not keep and not soak.results.violations:
            shutil.rmtree(folder, ignore_errors=True)
        else:
            typer.echo(f"logs: {folder}")
    print_results(soak.results)
    sys.exit(1 if soak.results.violations else 0)


if __name__ == "__main__":
    typer.run(main)
