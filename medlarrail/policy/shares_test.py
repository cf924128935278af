"""Tests of the division of shared limits."""

import pytest

from medlarrail.policy.shares import get_share


class TestGetShare:
    @pytest.mark.parametrize("entry_count", [1, 7, 12, 82, 390])
    @pytest.mark.parametrize("limit", [0, 1, 12, 207, 540])
    def test_parts_add_up_to_the_limit(self, limit, entry_count):
        parts = [get_share(limit, entry_count, rank) for rank in range(entry_count)]
        assert sum(parts) == limit
        assert max(parts) - min(parts) <= 1
