"""Tests of the decision which connections a server keeps open."""

import random
from collections import Counter

from medlarrail.policy.connection_room import (
    RESERVED_CONNECTIONS,
    Admission,
    choose_admission,
)

LIMIT = 3400
CALLS_PER_S = 2000
CALL_S = 0.01
SECONDS = 10


class TestChooseAdmission:
    def test_full_server_refuses_short_calls(self):
        """All connections up to the limit are in use for the whole time, and two
        thousand calls a second arrive in addition."""
        for seed in range(10):
            rng = random.Random(seed)
            ends: list[float] = []
            chosen: Counter[Admission] = Counter()
            for number in range(CALLS_PER_S * SECONDS):
                now = number / CALLS_PER_S
                ends = [end for end in ends if end > now]
                admission = choose_admission(LIMIT + len(ends), LIMIT, has_memory=True)
                chosen[admission] += 1
                if admission is not Admission.REFUSED:
                    ends.append(now + rng.uniform(0.5, 2.0) * CALL_S)
            assert set(chosen) == {Admission.SINGLE}

    def test_connections_exceed_the_descriptors(self):
        full = LIMIT + RESERVED_CONNECTIONS
        assert choose_admission(full, LIMIT, has_memory=True) is Admission.REFUSED
        assert choose_admission(0, LIMIT, has_memory=False) is Admission.REFUSED
