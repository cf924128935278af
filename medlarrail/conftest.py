"""Makes every test run take the same course."""

import pytest

from medlarrail.core.metrics import get_metrics
from medlarrail.testing.course import fix_course


@pytest.fixture(autouse=True)
def same_course():
    """Seed the order of tasks and ids, and forget the metrics."""
    fix_course()
    get_metrics().reset()
