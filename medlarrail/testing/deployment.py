"""Writes the settings files of a complete deployment on loopback into a folder."""

import secrets
import socket
from contextlib import ExitStack
from pathlib import Path

import typer
from attrs import define, field, frozen

from medlarrail.core.codec import decode, encode
from medlarrail.core.entities import Endpoint
from medlarrail.serving.access import get_digest
from medlarrail.serving.routing import RoutingPolicy
from medlarrail.settings.common import Keys, Listen
from medlarrail.settings.entry import EntrySettings
from medlarrail.settings.operator import OperatorSettings
from medlarrail.settings.state import StateSettings
from medlarrail.settings.store import StoreSettings
from medlarrail.standins.settings import Behaviour, StandinSettings

HOST = "127.0.0.1"
KEY_BYTES = 18
MODEL = "seat-guide"
SERVICE = "box-office"
INDEX_FILE = "deployment.json"


@frozen
class Layout:
    """Number, placement and parameters of the processes of each role."""

    data_centres: tuple[str, ...] = ("leith", "perth")
    states: int = 3
    entries: int = 2
    stores: int = 2
    store_memory_bytes: int = 1_000_000
    store_disk_bytes: int = 10_000_000
    engines: int = 2
    services: int = 1
    engine: Endpoint = field(
        factory=lambda: Endpoint(
            name="",
            url="",
            kind="model",
            serves=MODEL,
            data_centre="",
            incarnation="",
            weight_version="v1",
            cold_limit=2,
            warm_limit=8,
            warmup_requests=8,
            block_bytes=256,
            prefill_bytes_per_s=40_000.0,
        )
    )
    service: Endpoint = field(
        factory=lambda: Endpoint(
            name="",
            url="",
            kind="service",
            serves=SERVICE,
            data_centre="",
            incarnation="",
            cold_limit=4,
            warm_limit=16,
            warmup_requests=8,
        )
    )
    behaviour: Behaviour = field(factory=Behaviour)
    proxied: bool = False
    """Whether each process is reached through a ``FaultProxy`` of the test harness."""
    routing: RoutingPolicy = field(factory=RoutingPolicy)


@frozen
class Process:
    """A process of the deployment and the command that starts it."""

    name: str
    role: str
    url: str
    command: tuple[str, ...]
    settings_file: str
    port: int

    @property
    def public_port(self) -> int:
        """Port on which other processes reach this one."""
        return int(self.url.rsplit(":", 1)[1])


@frozen
class Deployment:
    """Processes and keys of a deployment, for test harnesses."""

    folder: str
    processes: tuple[Process, ...]
    cluster_key: str
    endpoint_key: str
    operator_key: str
    operator_file: str

    def list_urls(self, role: str) -> list[str]:
        """Return the URLs of the processes of a role."""
        return [process.url for process in self.processes if process.role == role]

    def find(self, name: str) -> Process:
        """Return the process of that name."""
        return next(process for process in self.processes if process.name == name)


def find_free_ports(count: int, host: str = HOST) -> list[int]:
    """Return ports of ``host`` that were free at the time of the call."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


@define
class SettingsWriter:
    """Writes the files of one deployment."""

    folder: Path
    layout: Layout
    keys: Keys
    operator_key: str
    processes: list[Process] = field(factory=list)
    _ports: list[int] = field(factory=list)

    def make_listen(self) -> Listen:
        """Return an address on a free port."""
        if not self._ports:
            self._ports = find_free_ports(128)
        port = self._ports.pop()
        public_port = self._ports.pop() if self.layout.proxied else port
        return Listen(HOST, port, f"http://{HOST}:{public_port}")

    def pick_data_centre(self, number: int) -> str:
        """Return the data centre of the process with this number."""
        return self.layout.data_centres[number % len(self.layout.data_centres)]

    def add(self, role: str, command: tuple[str, ...], settings) -> None:
        """Write the settings file of one process and record the process."""
        path = self.folder / f"{settings.name}.json"
        path.write_bytes(encode(settings))
        full_command = (*command, "--settings", str(path))
        listen = settings.listen
        self.processes.append(
            Process(
                settings.name, role, listen.url, full_command, str(path), listen.port
            )
        )

    def write_states(self) -> tuple[str, ...]:
        """Write the settings of the state members; return their URLs."""
        urls = []
        for number in range(self.layout.states):
            name = f"state-{number + 1}"
            settings = StateSettings(
                name=name,
                data_centre=self.pick_data_centre(number),
                listen=self.make_listen(),
                keys=self.keys,
                data_folder=str(self.folder / f"{name}.data"),
                log_file=str(self.folder / f"{name}.log"),
            )
            self.add("state", ("medlar-state",), settings)
            urls.append(settings.listen.url)
        return tuple(urls)

    def write_entries(self, state_urls: tuple[str, ...]) -> tuple[str, ...]:
        """Write the settings of the entries; return their URLs."""
        urls = []
        for number in range(self.layout.entries):
            name = f"entry-{number + 1}"
            settings = EntrySettings(
                name=name,
                data_centre=self.pick_data_centre(number),
                listen=self.make_listen(),
                keys=self.keys,
                state_urls=state_urls,
                routing=self.layout.routing,
                log_file=str(self.folder / f"{name}.log"),
            )
            self.add("entry", ("medlar-entry",), settings)
            urls.append(settings.listen.url)
        return tuple(urls)

    def write_stores(self, entry_urls: tuple[str, ...]) -> None:
        """Write the settings of the stores."""
        for number in range(self.layout.stores):
            name = f"store-{number + 1}"
            settings = StoreSettings(
                name=name,
                data_centre=self.pick_data_centre(number),
                listen=self.make_listen(),
                keys=self.keys,
                entry_urls=entry_urls,
                data_folder=str(self.folder / f"{name}.data"),
                memory_bytes=self.layout.store_memory_bytes,
                disk_bytes=self.layout.store_disk_bytes,
                log_file=str(self.folder / f"{name}.log"),
            )
            self.add("store", ("medlar-store",), settings)

    def write_standins(
        self, role: str, count: int, endpoint: Endpoint, entry_urls: tuple[str, ...]
    ) -> None:
        """Write the settings of stand-in back ends."""
        for number in range(count):
            name = f"{role}-{number + 1}"
            settings = StandinSettings(
                name=name,
                data_centre=self.pick_data_centre(number),
                listen=self.make_listen(),
                keys=self.keys,
                entry_urls=entry_urls,
                endpoint=endpoint,
                behaviour=self.layout.behaviour,
                seed=number + 1,
                runs_file=str(self.folder / f"{name}.runs"),
                log_file=str(self.folder / f"{name}.log"),
            )
            self.add(role, ("medlar-standin", role), settings)


def write_deployment(folder: Path, layout: Layout) -> Deployment:
    """Write every settings file and the index of the deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    operator_key = secrets.token_urlsafe(KEY_BYTES)
    keys = Keys(
        cluster=secrets.token_urlsafe(KEY_BYTES),
        endpoint=secrets.token_urlsafe(KEY_BYTES),
        operators_sha256=(get_digest(operator_key),),
    )
    writer = SettingsWriter(folder, layout, keys, operator_key)
    state_urls = writer.write_states()
    entry_urls = writer.write_entries(state_urls)
    writer.write_stores(entry_urls)
    writer.write_standins("engine", layout.engines, layout.engine, entry_urls)
    writer.write_standins("service", layout.services, layout.service, entry_urls)
    operator_file = folder / "operator.json"
    operator_file.write_bytes(encode(OperatorSettings(state_urls, operator_key)))
    deployment = Deployment(
        str(folder),
        tuple(writer.processes),
        keys.cluster,
        keys.endpoint,
        operator_key,
        str(operator_file),
    )
    (folder / INDEX_FILE).write_bytes(encode(deployment))
    return deployment


def read_deployment(folder: Path) -> Deployment:
    """Read the index of the deployment in ``folder``."""
    return decode((folder / INDEX_FILE).read_bytes(), Deployment)


def main(folder: Path) -> None:
    """Write a deployment and print ``name command...`` for each process."""
    deployment = write_deployment(folder, Layout())
    for process in deployment.processes:
        typer.echo(" ".join((process.name, *process.command)))


if __name__ == "__main__":
    typer.run(main)
