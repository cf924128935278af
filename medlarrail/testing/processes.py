"""Runs the processes of a deployment for tests, and calls them."""

import contextlib
import os
import secrets
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import trio
from attrs import define, field

from medlarrail.cluster.log_client import LogClient
from medlarrail.consensus.bootstrap import bootstrap_cluster
from medlarrail.core.entities import CallRule, Contract
from medlarrail.core.errors import MedlarError
from medlarrail.protocol.control import (
    CHANGE_PATH,
    STATE_STATUS_PATH,
    ChangeAnswer,
    ChangeRequest,
    StateStatus,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.status import ENTRY_STATUS_PATH, EntryStatus
from medlarrail.serving.access import get_digest
from medlarrail.standins.backend import BackendStats
from medlarrail.state.operations import Operation, SetContract
from medlarrail.testing.deployment import (
    SERVICE,
    Deployment,
    Layout,
    write_deployment,
)
from medlarrail.transport.client import HttpClient

START_TIMEOUT_S = 30.0
POLL_S = 0.05
CALL_TIMEOUT_S = 3.0
STOP_TIMEOUT_S = 20.0


@define
class Processes:
    """The running processes of a deployment, by name."""

    deployment: Deployment
    client: HttpClient = field(init=False)
    operator: HttpClient = field(init=False)
    running: dict[str, subprocess.Popen] = field(factory=dict)
    stopping: set[str] = field(factory=set)

    def __attrs_post_init__(self):
        self.client = HttpClient(self.deployment.cluster_key)
        self.operator = HttpClient(self.deployment.operator_key)

    def start(self, name: str) -> None:
        """Start one process."""
        process = self.deployment.find(name)
        program, *arguments = process.command
        path = Path(sys.executable).parent / program
        with open(Path(self.deployment.folder) / f"{name}.err", "ab") as errors:
            self.running[name] = subprocess.Popen(
                [str(path), *arguments], stdout=errors, stderr=errors
            )

    def start_all(self) -> None:
        """Start every process."""
        for process in self.deployment.processes:
            self.start(process.name)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str) -> int:
        """Ask a process to shut down gracefully; return its exit code.

        After a cancelled call the process remains in ``running``, so that
        ``wait_stopped`` can wait for its end.
        """
        self.running[name].send_signal(signal.SIGTERM)
        self.stopping.add(name)
        return await self.wait_stopped(name)

    async def wait_stopped(self, name: str) -> int:
        """Return the exit code of a process that was asked to shut down."""
        process = self.running[name]
        with trio.fail_after(STOP_TIMEOUT_S):
            while process.poll() is None:
                await trio.sleep(POLL_S)
        del self.running[name]
        self.stopping.discard(name)
        return process.returncode

    def kill_all(self) -> None:
        """Kill all running processes, also suspended ones."""
        for name in list(self.running):
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.running[name].pid, signal.SIGCONT)
            self.kill(name)

    def make_state_client(self) -> LogClient:
        """Return a client of the state members with the operator's key."""
        return LogClient(self.operator, tuple(self.deployment.list_urls("state")))

    async def bootstrap(self) -> None:
        """Bootstrap the cluster once every state member answers."""
        urls = tuple(self.deployment.list_urls("state"))
        for url in urls:
            await self.wait_answer(url)
        await bootstrap_cluster(self.client, urls)

    async def wait_answer(self, url: str) -> None:
        """Return once the process at ``url`` answers."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(MedlarError):
                    answer = await self.client.fetch("GET", f"{url}/health")
                    if answer.status == 200:
                        return
                await trio.sleep(POLL_S)

    async def change(self, operation: Operation) -> ChangeAnswer:
        """Send a change to the leader as an operator."""
        request = ChangeRequest(operation, secrets.token_hex(8))
        return await self.make_state_client().call_leader(
            CHANGE_PATH, request, ChangeAnswer, START_TIMEOUT_S
        )

    async def add_contract(self, account: str, **changes) -> str:
        """Set a contract and return a bearer key for it."""
        key = f"{account}-{secrets.token_hex(8)}"
        contract = Contract(
            account,
            keys_sha256=(get_digest(key),),
            calls=(CallRule(f"{SERVICE}/purchase", "once"),),
            **changes,
        )
        await self.change(SetContract(contract))
        return key

    async def fetch_entry(self, url: str) -> EntryStatus:
        """Return an entry's status."""
        return await self.client.call(
            url, ENTRY_STATUS_PATH, EmptyMessage(), EntryStatus, CALL_TIMEOUT_S
        )

    async def fetch_state(self, url: str) -> StateStatus:
        """Return a state member's status."""
        return await self.client.call(
            url, STATE_STATUS_PATH, EmptyMessage(), StateStatus, CALL_TIMEOUT_S
        )

    async def fetch_backend(self, url: str) -> BackendStats:
        """Return the statistics of a stand-in."""
        return await self.client.call(
            url, "/standin/stats", EmptyMessage(), BackendStats, CALL_TIMEOUT_S
        )

    async def wait_ready(self) -> None:
        """Return once every entry holds a lease and every endpoint is owned."""
        backends = [
            process
            for process in self.deployment.processes
            if process.role in ENDPOINT_ROLES
        ]
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(MedlarError):
                    if await self._count_ready_endpoints() == len(backends):
                        return
                await trio.sleep(POLL_S)

    def _may_be_running(self, name: str) -> bool:
        """Return whether a process may be running, including one started elsewhere."""
        return not self.running or name in self.running

    async def _count_ready_endpoints(self) -> int:
        count = 0
        for process in self.deployment.processes:
            if process.role == "entry" and self._may_be_running(process.name):
                status = await self.fetch_entry(process.url)
                if not status.lease_valid:
                    return -1
                count += sum(endpoint.holders_known for endpoint in status.owned)
        return count


ENDPOINT_ROLES = ("engine", "service")


@contextlib.contextmanager
def run_deployment(folder: Path, layout: Layout) -> Iterator[Processes]:
    """Run a deployment, wait until it is ready, and kill it on exit."""

    async def start_cluster() -> None:
        await processes.bootstrap()
        await processes.wait_ready()

    processes = Processes(write_deployment(folder, layout))
    processes.start_all()
    try:
        trio.run(start_cluster)
        yield processes
    finally:
        processes.kill_all()
