"""Makes every test run take the same course: seeded tasks, ids and metrics."""

import random
import secrets

import pytest
import trio._core._run as trio_run

from medlarrail.core.metrics import get_metrics


@pytest.fixture(autouse=True)
def same_course(monkeypatch):
    """Seed trio's order of tasks and the random ids of the programs."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)
    ids = random.Random(0)
    monkeypatch.setattr(
        secrets, "token_hex", lambda count=16: ids.randbytes(count).hex()
    )
    get_metrics().reset()
