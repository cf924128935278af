"""Fixes the course of a run: the order of trio's tasks and random ids.

With ``PYTHONHASHSEED`` set too, a run under a mock clock is the same each time.
"""

import random
import secrets

import trio._core._run as trio_run


def fix_course(seed: int = 0) -> None:
    """Seed the order of tasks and the ids that the programs make."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    ids = random.Random(seed)
    secrets.token_hex = lambda count=16: ids.randbytes(count).hex()
