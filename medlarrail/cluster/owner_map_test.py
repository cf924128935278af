"""Tests that the cached owners agree with rendezvous hashing."""

from hypothesis import given, settings
from hypothesis import strategies as st

from medlarrail.cluster.owner_map import OwnerMap
from medlarrail.core.entities import EntrySession, SessionView
from medlarrail.core.placement import get_owner

ENDPOINTS = [f"engine-{number}" for number in range(20)]

session_sets = st.dictionaries(st.sampled_from("abcdefgh"), st.booleans(), max_size=8)


def build_view(epoch: int, entries: dict[str, bool]) -> SessionView:
    sessions = tuple(
        EntrySession(name, f"mem://{name}", "tay", epoch, leaving)
        for name, leaving in sorted(entries.items())
    )
    return SessionView(epoch, sessions)


class TestOwnerMap:
    @settings(derandomize=True, max_examples=200)
    @given(st.lists(session_sets, min_size=1, max_size=8))
    def test_owners_agree_with_rendezvous_hashing_after_any_changes(self, steps):
        owners = OwnerMap()
        for epoch, entries in enumerate(steps, start=1):
            view = build_view(epoch, entries)
            owners.update(view)
            for endpoint in ENDPOINTS:
                assert owners.get_owner(endpoint) == get_owner(view, endpoint)
