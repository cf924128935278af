"""Makes every test run deterministic."""

import pytest

from medlarrail.core.metrics import get_metrics
from medlarrail.testing.determinism import make_deterministic


@pytest.fixture(autouse=True)
def deterministic_run():
    """Seed task scheduling and ids, and reset the metrics."""
    make_deterministic()
    get_metrics().reset()


def pytest_addoption(parser):
    """Add options for manual runs with more seeds than the default."""
    parser.addoption("--first-seed", type=int, default=1)
    parser.addoption(
        "--seeds", type=int, default=0, help="Number of seeds; 0 is the default number."
    )


DEFAULT_SEED_COUNTS = {"repair_seed": 8, "replacement_seed": 6}
"""Default number of seeds, by the name of the fixture that a random test uses."""


def pytest_generate_tests(metafunc):
    """Parametrize random tests with their seeds."""
    for name, default_count in DEFAULT_SEED_COUNTS.items():
        if name in metafunc.fixturenames:
            first = metafunc.config.getoption("first_seed")
            count = metafunc.config.getoption("seeds") or default_count
            metafunc.parametrize(name, range(first, first + count))
