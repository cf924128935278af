"""Makes runs deterministic by seeding trio's task scheduling and the random ids.

If ``PYTHONHASHSEED`` is set too, a run under a mock clock is reproducible.
"""

import random
import secrets

import trio._core._run as trio_run


def make_deterministic(seed: int = 0) -> None:
    """Seed the scheduling order of tasks and the generation of ids."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    ids = random.Random(seed)
    secrets.token_hex = lambda byte_count=16: ids.randbytes(byte_count).hex()
