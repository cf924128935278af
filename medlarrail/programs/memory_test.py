"""Tests of the memory that a process may use."""

import resource

import pytest

from medlarrail.policy.held_memory import MAX_BUDGET_BYTES, get_budget_bytes
from medlarrail.programs.memory import read_memory_bytes


class TestMemory:
    @pytest.mark.parametrize("kind", [resource.RLIMIT_AS, resource.RLIMIT_DATA])
    def test_limit_of_the_process_is_not_seen(self, monkeypatch, kind):
        """Without a setting, the memory of the whole machine counted."""
        limits = {kind: 150_000_000}

        def get_limit(which: int) -> tuple[int, int]:
            return limits.get(which, resource.RLIM_INFINITY), resource.RLIM_INFINITY

        monkeypatch.setattr(resource, "getrlimit", get_limit)
        assert read_memory_bytes(0) == 150_000_000
        assert read_memory_bytes(300) == 300_000_000
        limits.clear()
        assert read_memory_bytes(0) > 0

    def test_large_machine_is_filled_for_others(self):
        assert get_budget_bytes(1 << 40) == MAX_BUDGET_BYTES
