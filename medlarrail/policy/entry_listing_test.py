from collections import Counter

import pytest

from medlarrail.core.announcements import RegisteredEntry
from medlarrail.policy.entry_listing import choose_entries

LIMIT = 64
CENTRES = ("north", "east", "south", "west")


def build_entries(count: int) -> tuple[RegisteredEntry, ...]:
    return tuple(
        RegisteredEntry(f"entry-{n}", f"10.0.0.{n}:80", CENTRES[n % len(CENTRES)])
        for n in range(count)
    )


def choose(entries, data_centre: str, caller: str) -> list[str]:
    chosen = choose_entries(entries, data_centre, caller, LIMIT)
    return [entry.name for entry in chosen]


class TestChooseEntries:
    @pytest.mark.parametrize("count", [1, 27, 64])
    def test_few_entries_are_all_named_in_their_order(self, count):
        entries = build_entries(count)
        assert choose_entries(entries, "north", "10.9.0.1", LIMIT) == list(entries)

    @pytest.mark.parametrize("count", [65, 85, 300, 1000])
    def test_every_entry_is_named_to_some_callers(self, count):
        """Guards against entries beyond the limit that serve nobody."""
        entries = build_entries(count)
        named = Counter(
            name
            for caller in range(200)
            for name in choose(entries, CENTRES[caller % 4], f"10.9.0.{caller}")
        )
        assert len(named) == count
        assert max(named.values()) < 3 * sum(named.values()) / count

    @pytest.mark.parametrize("count", [85, 300, 1000])
    def test_a_lost_data_centre_leaves_a_quarter_of_the_addresses(self, count):
        entries = build_entries(count)
        by_name = {entry.name: entry for entry in entries}
        chosen = choose(entries, "north", "10.9.0.1")
        assert len(chosen) == len(set(chosen)) == LIMIT
        remote = [name for name in chosen if by_name[name].data_centre != "north"]
        assert len(remote) >= LIMIT / 4

    def test_an_entry_that_joins_or_leaves_changes_one_address(self):
        """Guards against new connections of all callers whenever an entry changes."""
        entries = build_entries(300)
        before = set(choose(entries, "north", "10.9.0.1"))
        for absent in range(300):
            remaining = entries[:absent] + entries[absent + 1 :]
            after = set(choose(remaining, "north", "10.9.0.1"))
            assert len(before - after) <= 1 and len(after - before) <= 1

    def test_all_entries_in_one_data_centre_are_named_up_to_the_limit(self):
        entries = tuple(RegisteredEntry(f"entry-{n}", "", "north") for n in range(100))
        assert len(choose(entries, "north", "10.9.0.1")) == LIMIT
        assert len(choose(entries, "elsewhere", "10.9.0.1")) == LIMIT
