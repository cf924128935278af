"""Tests of rendezvous hashing."""

from medlarrail.core.entities import EntrySession, SessionView
from medlarrail.core.placement import get_owner, iterate_owned, rank_nodes

ENDPOINTS = [f"engine-{number}" for number in range(200)]


def build_view(*entries: str) -> SessionView:
    sessions = tuple(EntrySession(name, "", "tay", 1) for name in entries)
    return SessionView(epoch=1, sessions=sessions)


class TestPlacement:
    def test_only_the_endpoints_of_a_lost_entry_move(self):
        before = build_view("a", "b", "c")
        after = build_view("a", "b")
        for name in ENDPOINTS:
            owner = get_owner(before, name)
            if owner.entry != "c":
                assert get_owner(after, name).entry == owner.entry

    def test_every_endpoint_has_exactly_one_owner(self):
        view = build_view("a", "b", "c")
        owned = [list(iterate_owned(view, name, ENDPOINTS)) for name in "abc"]
        assert sorted(name for names in owned for name in names) == sorted(ENDPOINTS)
        assert all(len(names) > 30 for names in owned)

    def test_an_empty_view_has_no_owner(self):
        assert get_owner(SessionView(), "engine-1") is None

    def test_ranking_does_not_depend_on_the_order_of_nodes(self):
        assert rank_nodes("abc", "k") == rank_nodes("cba", "k")
