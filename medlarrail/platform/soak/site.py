"""The processes of one soak: state members, gateways and endpoints, and their links.

Only processes that were started here are signalled, each by its own handle.
"""

import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

import orjson
import trio
from attrs import define, field, frozen

from medlarrail.platform.soak.engine import MODEL, SLOTS
from medlarrail.platform.soak.events import draw
from medlarrail.platform.soak.wire import call, call_any
from medlarrail.testing.deployment import find_free_ports
from medlarrail.testing.fault_proxy import FaultProxy
from medlarrail.testing.scripted_endpoints import HOST

ROOT = Path(__file__).parents[3]
ROUTE_HOST = "nylo40.example"
KEY = "a-key-of-a-caller"
KEYS = {"bozi300": KEY, "zuri200": "a-key-of-another-caller"}
"""Key of each client account, by its name."""
CLUSTER_KEY = "a-key-for-this-soak"
START_TIMEOUT_S = 30.0
START_TIME_S = 0.6
"""Time for the start of each process, in addition."""
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05
TIMEOUT_MS = 15_000
"""Time-out of each route."""
STATE_COUNT = 3
GATEWAY_COUNT = 4
ROUTES = {
    "stream": ("streaming", "talk"),
    "resumable": ("streaming", "talk"),
    "chat": ("streaming", "chat"),
    "assist": ("streaming", "assist"),
    "safe": ("safe", "talk"),
    "unsafe": ("unsafe", "talk"),
}
"""Kind and service of each route, by the first part of its path."""
MODEL_SERVICES = ("chat", "assist")
RESUMABLE = ("resumable", *MODEL_SERVICES)
ENGINES = {"talk": 3, "chat": 2}
"""Number of endpoints of each service."""
WIDE_ENGINES = ENGINES | {"assist": 3}
WIDE_STATE_COUNT = 5
DATA_CENTRES = ("leith", "hobart", "kingston")
JOIN_PAUSE_S = (1.0, 5.0)
"""Range of the pause before each state member that joins."""


@define(eq=False)
class RunningProgram:
    """One process, with what was done to it."""

    name: str
    role: str
    command: list[str]
    sources: Path
    settings_file: Path
    port: int
    service: str = ""
    version: str = ""
    process: subprocess.Popen | None = None
    is_ending: bool = False
    """Whether it was killed or asked to end."""
    ended_at: float | None = None
    """Time at which an endpoint was killed or began to leave, if it was."""
    data_centre: str = DATA_CENTRES[0]
    announced_port: int = 0
    """Port that an endpoint announces: that of its link, if it has one."""
    link: FaultProxy | None = None
    """Proxy between the gateways and an endpoint."""
    control_links: list[FaultProxy] = field(factory=list)
    """Proxies between an endpoint and each state member, if it has some. The endpoint
    that is started in its place gets the same ones."""

    @property
    def url(self) -> str:
        """URL at which the process listens."""
        return f"http://{HOST}:{self.port}"

    @property
    def record(self) -> str:
        """Name of the process among all of a run: those started in place differ."""
        return self.settings_file.stem


@define
class Disturbance:
    """A time in which a process was disturbed; ``until`` is open while it lasts."""

    record: str
    """That of a gateway, or of an endpoint that was disturbed or whose link was."""
    since: float
    until: float = float("inf")


@define
class Isolation:
    """The isolated accounts of one configuration."""

    version: int
    names: frozenset[str]
    sent_at: float
    acknowledged_at: float = float("inf")


@define
class NamedWeights:
    """A weight version that was named."""

    version: int
    acknowledged_at: float = float("inf")


@frozen
class Sources:
    """Where the programs' sources are: those of ``other`` run a part of them."""

    other: Path | None = None
    mixed: bool = False

    def choose(self, role: str, number: int) -> Path:
        """Return the folder with the sources of one program."""
        is_own = role == "engine" or self.other is None
        if self.mixed:
            is_own = is_own or role == "state" or number % 2 == 0
        return ROOT if is_own else self.other


def build_configuration(
    version: int, extra_routes: int = 0, isolated: frozenset[str] = frozenset()
) -> dict:
    """Return a configuration; later ones have further routes and isolated accounts."""
    extra = {f"extra{number}": ("safe", "talk") for number in range(extra_routes)}
    routes = [
        {
            "name": f"r-{prefix}",
            "host": ROUTE_HOST,
            "path-prefix": f"/{prefix}/",
            "kind": kind,
            "timeout-ms": TIMEOUT_MS,
            "target-latency-ms": 800,
            "target-gap-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "public": False,
            "sticky": prefix in MODEL_SERVICES,
            "resumable": prefix in RESUMABLE,
        }
        for prefix, (kind, service) in (ROUTES | extra).items()
    ]
    engine = {"slots": SLOTS, "kv-capacity-tokens": 1_000_000, "kv-token-bytes": 1000}
    engine |= {"link-mbps": 100_000.0, "models": [{"name": MODEL}]}
    common = {"health-path": "/healthz", "max-connections": 360}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "talk", **common},
            *({"name": name, **common, "engine": engine} for name in MODEL_SERVICES),
        ],
        "tenants": [
            {
                "name": name,
                "api-keys": [key],
                "priority": 1,
                "isolated": name in isolated,
            }
            for name, key in KEYS.items()
        ],
    }


@define(eq=False)
class Site:
    """All processes of a soak and the calls of its operator."""

    folder: Path
    seed: int
    sources: Sources = Sources()
    disorder: float = 0.0
    software_rollouts: dict | None = None
    """Limits of software rollouts, None for a site without them."""
    state_count: int = STATE_COUNT
    """Number of state members. Those after the third join during the run; the first
    three, and every other gateway, are not told of them."""
    data_centre_count: int = 1
    gateway_count: int = GATEWAY_COUNT
    engine_counts: dict[str, int] = field(factory=ENGINES.copy)
    failures: dict[str, float] = field(factory=dict)
    """Share of the requests that endpoints answer with 500, by software version."""
    early_closes: float = 0.0
    """Share of the streams without a length that endpoints close before the end."""
    repeated_share: float = 0.0
    """Share of the calls with the content of a recent stream."""
    plain: bool = False
    """Whether endpoints answer in the plainest way."""
    first_heartbeat_s: float = 0.0
    """Longest time after which an endpoint first announces itself."""
    link_nursery: trio.Nursery | None = None
    """Where the links run, None for endpoints that gateways reach directly."""
    report: Callable[[str], None] = print
    began_at: float = field(factory=time.monotonic)
    states: list[RunningProgram] = field(factory=list)
    later_states: list[RunningProgram] = field(factory=list)
    """State members that have not been started yet."""
    gateways: list[RunningProgram] = field(factory=list)
    engines: list[RunningProgram] = field(factory=list)
    """Endpoints that run; those that ended are in ``ended_engines``."""
    ended_engines: list[RunningProgram] = field(factory=list)
    own_ends: list[str] = field(factory=list)
    """Names of processes that had ended by themselves before they got a signal."""
    disturbances: list[Disturbance] = field(factory=list)
    engine_count: int = 0
    software_version: str = ""
    """That of the endpoints that replace others, empty for that of these."""
    busy: set[str] = field(factory=set)
    """Names of the processes that a fault is being played on."""
    fault_counts: Counter = field(factory=Counter)
    config_version: int = 1
    isolations: list[Isolation] = field(factory=list)
    """Those of all configurations, in their order."""
    named_weights: list[NamedWeights] = field(factory=list)
    """In their order."""
    ready_ports: dict[str, int] = field(factory=dict)
    reserved_ports: list[int] = field(factory=list)
    """Ports that a program is going to listen on, or to announce again."""

    @property
    def process_count(self) -> int:
        """Number of processes at the start."""
        return self.state_count + self.gateway_count + sum(self.engine_counts.values())

    @property
    def control_urls(self) -> list[str]:
        """URLs of the state members, also of those that join later."""
        return [state.url for state in (*self.states, *self.later_states)]

    @property
    def weights_version(self) -> int:
        """The newest weight version."""
        return self.named_weights[-1].version if self.named_weights else 1

    @property
    def rollout_settings(self) -> dict:
        """Settings of software rollouts of a member or gateway, if there are any.

        Older programs refuse the field.
        """
        limits = self.software_rollouts
        return {} if limits is None else {"software_rollouts": limits}

    def choose_routes(self, kinds: Sequence[str]) -> list[str]:
        """Return the routes whose services have endpoints."""
        return [kind for kind in kinds if ROUTES[kind][1] in self.engine_counts]

    def note(self, text: str) -> None:
        """Print one line of the timeline."""
        self.report(f"{time.monotonic() - self.began_at:7.2f} {text}")

    # Start.

    def build(self) -> None:
        """Write the settings of the state members and gateways."""
        self.reserved_ports = find_free_ports(
            self.state_count + 5 * self.gateway_count, HOST
        )
        ports = iter(self.reserved_ports)
        for number in range(self.state_count):
            name = f"core-{number + 1}"
            state = self._build_program(name, "state", number, next(ports))
            is_later = number >= STATE_COUNT
            (self.later_states if is_later else self.states).append(state)
        for state in (*self.states, *self.later_states):
            self._write_state_settings(state, first_start=True)
        for number in range(self.gateway_count):
            name = f"edge-{number + 1}"
            gateway = self._build_program(name, "gateway", number, next(ports))
            self.gateways.append(gateway)
            self.ready_ports[name] = next(ports)
            is_told = number % 2 == 1
            settings = {
                "name": name,
                "data_centre": gateway.data_centre,
                "keys": {"cluster": CLUSTER_KEY},
                "listen": {"host": HOST, "port": 0, "url": gateway.url},
                "state_urls": self.control_urls[: None if is_told else STATE_COUNT],
                "health_address": f"{HOST}:{self.ready_ports[name]}",
                "directory_address": f"{HOST}:{next(ports)}",
                "metrics_address": f"{HOST}:{next(ports)}",
                "work_address": f"{HOST}:{next(ports)}",
                "isolation": {"mode": "last-known"},
                "retries": {"window_s": 10, "ratio": 0.2, "slack": 54},
                **self.rollout_settings,
            }
            gateway.settings_file.write_bytes(orjson.dumps(settings))

    def _build_program(
        self, name: str, role: str, number: int, port: int
    ) -> RunningProgram:
        command = [sys.executable, "-m", "medlarrail.platform", role]
        sources = self.sources.choose(role, number)
        file = self.folder / f"{name}.json"
        program = RunningProgram(name, role, command, sources, file, port)
        program.data_centre = self.choose_data_centre(number)
        return program

    def choose_data_centre(self, number: int) -> str:
        """Return the data centre of the process with a number."""
        return DATA_CENTRES[number % self.data_centre_count]

    def _write_state_settings(self, state: RunningProgram, first_start: bool) -> None:
        is_founder = int(state.name.removeprefix("core-")) <= STATE_COUNT
        settings = {
            "name": state.name,
            "data_centre": state.data_centre,
            "keys": {"cluster": CLUSTER_KEY},
            "listen": {"host": HOST, "port": 0, "url": state.url},
            "data_folder": str(self.folder / state.name),
            "seeds": self.control_urls[: STATE_COUNT if is_founder else None],
            "first_start": first_start,
            "rollout": {"at_once": 3},
            **self.rollout_settings,
        }
        state.settings_file.write_bytes(orjson.dumps(settings))

    def start(self, program: RunningProgram) -> None:
        """Start one process."""
        program.is_ending = False
        command = program.command
        if program.role == "engine":
            command = [*command, str(program.settings_file)]
        environment = {
            **os.environ,
            "MEDLARRAIL_BOOT": str(program.settings_file),
            "PYTHONPATH": str(program.sources),
        }
        with (self.folder / f"{program.name}.log").open("ab") as log:
            program.process = subprocess.Popen(
                command,
                cwd=program.sources,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def restart_state(self, state: RunningProgram) -> None:
        """Start a state member again with its own disk."""
        self._write_state_settings(state, first_start=False)
        self.start(state)

    async def join_states(self, random: Random) -> None:
        """Start the state members that join the cluster, one after the other."""
        while self.later_states:
            await trio.sleep(random.uniform(*JOIN_PAUSE_S))
            state = self.later_states.pop(0)
            self.states.append(state)
            self.start(state)
            self.note(f"{state.name} joins")

    def find_engine_port(self) -> int:
        """Return a free port that no other program is going to listen on."""
        while True:
            (port,) = find_free_ports(1, HOST)
            if port not in self.reserved_ports:
                self.reserved_ports.append(port)
                return port

    def add_engine(
        self,
        service: str,
        version: str,
        like: RunningProgram | None = None,
        at: RunningProgram | None = None,
    ) -> RunningProgram:
        """Start an endpoint.

        ``like`` gives it the name, the address and the links to the state members of
        another one, ``at`` its address alone.
        """
        self.engine_count += 1
        name = like.name if like is not None else f"i-{self.engine_count:04d}"
        last = like or at
        announced = self.find_engine_port() if last is None else last.announced_port
        port = announced if self.link_nursery is None else self.find_engine_port()
        links = self.add_control_links() if like is None else like.control_links
        data_centre = self.choose_data_centre(self.engine_count)
        data_centre = data_centre if like is None else like.data_centre
        file = self.folder / f"engine-{self.engine_count}.json"
        settings = {
            "name": name,
            "service": service,
            "host": HOST,
            "port": port,
            "announced_port": announced,
            "version": version,
            "control_urls": self.control_urls,
            "control_links": {
                url: f"http://{HOST}:{link.port}"
                for url, link in zip(self.control_urls, links, strict=False)
            },
            "zone": data_centre,
            "record_file": str(self.folder / f"engine-{self.engine_count}.runs"),
            "seed": self.seed,
            "weights": self.weights_version,
            "disorder": self.disorder,
            "failures": self.failures.get(version, 0.0),
            "early_closes": self.early_closes,
            "plain": self.plain,
            "first_heartbeat_s": self.first_heartbeat_s
            * draw(self.seed, self.engine_count, "first heartbeat"),
        }
        file.write_bytes(orjson.dumps(settings))
        command = [sys.executable, "-m", "medlarrail.platform.soak.engine"]
        engine = RunningProgram(
            name, "engine", command, ROOT, file, port, service, version
        )
        engine.announced_port, engine.control_links = announced, links
        engine.data_centre = data_centre
        self.start(engine)
        self.engines.append(engine)
        if self.link_nursery is not None:
            engine.link = FaultProxy(HOST, announced, port)
            self.link_nursery.start_soon(self._run_link, engine)
        return engine

    def add_control_links(self) -> list[FaultProxy]:
        """Start links from one endpoint to each state member.

        They outlive the endpoint, as what it sent may be on its way.
        """
        if self.link_nursery is None:
            return []
        links = [
            FaultProxy(HOST, self.find_engine_port(), state.port)
            for state in (*self.states, *self.later_states)
        ]
        for link in links:
            self.link_nursery.start_soon(link.run)
        return links

    async def _run_link(self, engine: RunningProgram) -> None:
        """Forward connections once the endpoint listens, so that none is refused."""
        while await call("GET", f"{engine.url}/healthz") is None:
            if engine.is_ending:
                return
            await trio.sleep(POLL_S)
        if not engine.is_ending:
            await engine.link.run()

    async def start_all(self) -> None:
        """Start all processes and return once the gateways accept requests."""
        self.build()
        for program in (*self.states, *self.gateways):
            self.start(program)
        for service, count in self.engine_counts.items():
            for _ in range(count):
                self.add_engine(service, "v1")
        with trio.fail_after(START_TIMEOUT_S + START_TIME_S * self.process_count):
            while not await self.change_isolation(frozenset()):
                await trio.sleep(POLL_S)
            for engine in self.engines:
                await self.wait_engine(engine)
            for gateway in self.gateways:
                await self.wait_ready(gateway)

    async def change_isolation(self, names: frozenset[str], routes: int = 0) -> bool:
        """Send a configuration with the present number, other isolated accounts and
        some further routes; return whether it was acknowledged."""
        document = build_configuration(self.config_version, routes, names)
        last = self.isolations[-1] if self.isolations else None
        if last is None or last.names != names:
            last = Isolation(self.config_version, names, time.monotonic())
            self.isolations.append(last)
        if not await call_any("PUT", self.control_urls, "/config", document):
            return False
        last.acknowledged_at = min(last.acknowledged_at, time.monotonic())
        return True

    async def name_weights(self) -> bool:
        """Name the next weight version; return whether it was acknowledged."""
        named = NamedWeights(self.weights_version + 1)
        body = {"model": MODEL, "version": named.version}
        if not await call_any("POST", self.control_urls, "/version-put", body):
            return False
        named.acknowledged_at = time.monotonic()
        self.named_weights.append(named)
        return True

    async def wait_ready(self, gateway: RunningProgram) -> None:
        """Return once a gateway accepts requests."""
        url = f"http://{HOST}:{self.ready_ports[gateway.name]}/readyz"
        while (head := await call("GET", url)) is None or head.status != 200:
            await trio.sleep(POLL_S)

    async def wait_engine(self, engine: RunningProgram) -> None:
        """Return once an endpoint answers at the address that it announces."""
        url = f"http://{HOST}:{engine.announced_port}/healthz"
        while await call("GET", url) is None:
            await trio.sleep(POLL_S)

    # Signals.

    def signal(self, program: RunningProgram, number: signal.Signals) -> None:
        """Send a signal to a process and print it."""
        self.note(f"{program.name} {number.name}")
        if program.process.poll() is not None and not program.is_ending:
            self.own_ends.append(program.name)
        program.is_ending |= number in (signal.SIGKILL, signal.SIGTERM)
        program.process.send_signal(number)

    def kill(self, program: RunningProgram) -> None:
        """Kill a process."""
        if program.role == "engine":
            program.ended_at = time.monotonic()
            self.engines.remove(program)
            self.ended_engines.append(program)
        self.signal(program, signal.SIGKILL)
        program.process.wait()
        self._close_link(program)

    @staticmethod
    def _close_link(program: RunningProgram) -> None:
        """Refuse connections from now on, as the address of an ended process does."""
        if program.link is not None:
            program.link.stop_listening()

    async def stop(self, program: RunningProgram) -> None:
        """Ask a process to end and wait until it has."""
        self.signal(program, signal.SIGTERM)
        if program.role == "engine":
            self.engines.remove(program)
            self.ended_engines.append(program)
        with trio.move_on_after(STOP_TIMEOUT_S):
            while program.process.poll() is None:
                await trio.sleep(POLL_S)
            program.ended_at = time.monotonic()
            self._close_link(program)
            return
        self.note(f"{program.name} did not end")
        program.ended_at = time.monotonic()
        program.process.kill()
        program.process.wait()
        self._close_link(program)

    def end_all(self) -> None:
        """End all processes, also suspended ones."""
        programs = (*self.states, *self.gateways, *self.engines, *self.ended_engines)
        for program in programs:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
                program.process.wait()

    def list_own_ends(self) -> list[str]:
        """Return the processes that ended by themselves."""
        programs = (*self.states, *self.gateways, *self.engines)
        ended = [one for one in programs if one.process.poll() is not None]
        return self.own_ends + [one.name for one in ended if not one.is_ending]
