"""Tests of the programs as the platform starts them."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
import trio

from medlarrail.testing.scripted_endpoints import HOST

WAIT_TIMEOUT_S = 20.0
MEMBER_URL = f"http://{HOST}:1"


@pytest.fixture
def process(tmp_path):
    """A state member that has just been started."""
    settings = {
        "name": "core-1",
        "data_centre": "leith",
        "keys": {"cluster": "a-key-for-this-test"},
        "listen": {"host": HOST, "port": 0, "url": MEMBER_URL},
        "data_folder": str(tmp_path / "data"),
        "seeds": [MEMBER_URL],
        "first_start": True,
    }
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(settings))
    started = subprocess.Popen(
        [sys.executable, "-m", "medlarrail.platform", "state"],
        env={**os.environ, "MEDLARRAIL_BOOT": str(path)},
        stdout=subprocess.PIPE,
    )
    yield started
    started.kill()
    started.wait()


def is_blocked(process_id: int, number: int) -> bool:
    """Return whether a signal is kept from the main thread of a process."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    (mask,) = (line.split()[1] for line in lines if line.startswith("SigBlk:"))
    return bool(int(mask, 16) >> (number - 1) & 1)


async def test_early_reload_signal_ends_a_starting_process(process):
    """It was handled only after the imports; until then it ended the process."""
    with trio.fail_after(WAIT_TIMEOUT_S):
        while not is_blocked(process.pid, signal.SIGHUP):
            await trio.sleep(0.005)
    process.send_signal(signal.SIGHUP)

    def find_reload() -> bool:
        return any(b'"settings:reloaded"' in line for line in process.stdout)

    with trio.fail_after(WAIT_TIMEOUT_S):
        assert await trio.to_thread.run_sync(find_reload, abandon_on_cancel=True)
    assert process.poll() is None
