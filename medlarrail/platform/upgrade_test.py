"""Tests of state members of the version before beside those of this version.

The version before is taken from the repository's history. Without a history, as in an
exported tree, these tests are skipped.
"""

import io
import os
import signal
import subprocess
import sys
import tarfile
from functools import partial
from itertools import count
from pathlib import Path

import orjson
import pytest
import trio

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.entities import Contract
from medlarrail.core.errors import MedlarError, RolloutsNotKnown, UnknownRoute
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.protocol.cluster_view import (
    ANNOUNCEMENTS_PATH,
    DEPARTURES_PATH,
    DepartureNotice,
)
from medlarrail.protocol.control import (
    CATALOGUE_PATH,
    CHANGE_PATH,
    ChangeAnswer,
    ChangeRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.software_rollouts import ROLLOUTS_PATH, RolloutOrder
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.operations import SetContract
from medlarrail.testing.builders import build_announcement
from medlarrail.testing.deployment import find_free_ports
from medlarrail.testing.scripted_endpoints import HOST
from medlarrail.transport.client import HttpClient

VERSION_BEFORE = "15d8db1353fe49b57431fc8bff994a4bcf2c2015"
"""Commit of the version that runs when an upgrade to this one begins."""
ROOT = Path(__file__).parents[2]
KEY = "a-key-for-this-test"
WAIT_TIMEOUT_S = 20.0
SETTLING_S = 2.0
"""Time between two replacements, in which changes go on."""
NAMES = ("core-1", "core-2", "core-3")


def extract_version_before(path: Path) -> Path:
    """Write the sources of the version before below ``path``, and return it."""
    command = ["git", "-C", str(ROOT), "archive", VERSION_BEFORE, "medlarrail"]
    archive = subprocess.run(command, capture_output=True)
    if archive.returncode:
        pytest.skip("the repository's history is not there")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(path, filter="data")
    return path


class MixedMembers:
    """State members, each with the sources of one version, and a client's load."""

    def __init__(self, path: Path):
        self.path = path
        self.ports = dict(zip(NAMES, find_free_ports(len(NAMES)), strict=True))
        self.urls = tuple(f"http://{HOST}:{port}" for port in self.ports.values())
        self.processes: dict[str, subprocess.Popen] = {}
        self.accepted: list[str] = []
        self.client = StateClient(HttpClient(KEY), self.urls)

    def start(self, name: str, sources: Path, first_start: bool = False) -> None:
        settings = {
            "name": name,
            "data_centre": "leith",
            "keys": {"cluster": KEY},
            "listen": {
                "host": HOST,
                "port": 0,
                "url": f"http://{HOST}:{self.ports[name]}",
            },
            "data_folder": str(self.path / name),
            "seeds": self.urls,
            "first_start": first_start,
        }
        if sources == ROOT:
            # Settings with unknown fields stop a member of the version before.
            settings["software_rollouts"] = {"exposure_slack": 40}
        file = self.path / f"{name}.json"
        file.write_bytes(orjson.dumps(settings))
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "medlarrail.platform", "state"],
            cwd=sources,
            env={
                **os.environ,
                "MEDLARRAIL_BOOT": str(file),
                "PYTHONPATH": str(sources),
            },
            stdout=(self.path / f"{name}.log").open("ab"),
        )

    async def replace(self, name: str, sources: Path, number: signal.Signals) -> None:
        """End one member and start it with other sources and its own disk."""
        process = self.processes[name]
        assert process.poll() is None
        process.send_signal(number)
        await trio.to_thread.run_sync(partial(process.wait, WAIT_TIMEOUT_S))
        self.start(name, sources)
        accepted = len(self.accepted)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while len(self.accepted) < accepted + 5:
                await trio.sleep(0.05)
        await trio.sleep(SETTLING_S)

    async def change_steadily(self) -> None:
        """Make changes, and let an endpoint come and go, until cancelled."""
        for number in count():
            account = f"account-{number}"
            change = ChangeRequest(SetContract(Contract(account)), account)
            announced = build_announcement(
                name=f"engine-{number}", address=f"{HOST}:{number + 1}"
            )
            departure = DepartureNotice(f"engine-{number}")
            for path, message, answer_type in (
                (CHANGE_PATH, change, ChangeAnswer),
                (ANNOUNCEMENTS_PATH, announced, EmptyMessage),
                (DEPARTURES_PATH, departure, EmptyMessage),
            ):
                await self.client.call_leader(
                    path, message, answer_type, WAIT_TIMEOUT_S
                )
            self.accepted.append(account)
            await trio.sleep(0.02)

    async def read_steadily(self) -> None:
        """Check that no read is older than what was accepted before it."""
        while True:
            await trio.sleep(0.1)
            accepted = set(self.accepted)
            try:
                image = await self.client.call_leader(
                    CATALOGUE_PATH, EmptyMessage(), CatalogueImage, WAIT_TIMEOUT_S
                )
            except MedlarError:
                continue
            assert accepted <= {contract.account for contract in image.contracts}

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
async def test_members_of_two_versions_lose_changes(number, tmp_path):
    """Each member is replaced by one of this version and back, so that members of both
    versions lead and follow each other and read each other's disks."""
    before = extract_version_before(tmp_path / "before")
    members = MixedMembers(tmp_path)
    try:
        for name in NAMES:
            members.start(name, before, first_start=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(members.change_steadily)
            nursery.start_soon(members.read_steadily)
            with trio.fail_after(WAIT_TIMEOUT_S):
                while len(members.accepted) < 5:
                    await trio.sleep(0.05)
            for sources in (ROOT, before):
                for name in NAMES:
                    await members.replace(name, sources, number)
            assert all(process.poll() is None for process in members.processes.values())
            nursery.cancel_scope.cancel()
    finally:
        members.stop()
    assert len(members.accepted) > 60


async def test_rollout_starts_beside_members_that_ignore_it(tmp_path):
    """Members of the version before are replaced one after the other. A rollout that
    they ignore would be lost with the others, and undecided while they lead."""
    before = extract_version_before(tmp_path / "before")
    members = MixedMembers(tmp_path)
    order = RolloutOrder("app", "v2", 600_000)

    async def call(path, message, answer_type):
        return await members.client.call_leader(
            path, message, answer_type, WAIT_TIMEOUT_S
        )

    try:
        for name in NAMES:
            members.start(name, before, first_start=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(members.change_steadily)
            with trio.fail_after(WAIT_TIMEOUT_S):
                while len(members.accepted) < 5:
                    await trio.sleep(0.05)
            await call(
                ANNOUNCEMENTS_PATH,
                build_announcement(name="e-1", service="app", software_version="v1"),
                EmptyMessage,
            )
            for name in NAMES:
                with pytest.raises((RolloutsNotKnown, UnknownRoute)):
                    await call(ROLLOUTS_PATH, order, SoftwareRollout)
                await members.replace(name, ROOT, signal.SIGTERM)
            started = await call(ROLLOUTS_PATH, order, SoftwareRollout)
            assert started.replaced == ("v1",)
            for name in NAMES:
                await members.replace(name, ROOT, signal.SIGKILL)
            assert await call(ROLLOUTS_PATH, order, SoftwareRollout) == started
            nursery.cancel_scope.cancel()
    finally:
        members.stop()
