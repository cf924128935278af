"""Tests of the rank of an entry."""

from medlarrail.testing.builders import build_endpoint_stats

NAMES = [f"gateway-{number}" for number in range(20)]


def get_ranks(names, listed, endpoint="engine-1"):
    """Return the rank of each of ``names`` when ``listed`` are known."""
    return [build_endpoint_stats(name, listed).rank.get(endpoint) for name in names]


class TestEntryRank:
    def test_entries_with_the_same_list_have_different_ranks(self):
        assert sorted(get_ranks(NAMES, NAMES)) == list(range(len(NAMES)))

    def test_ranks_differ_between_endpoints(self):
        assert get_ranks(NAMES, NAMES) != get_ranks(NAMES, NAMES, "engine-2")

    def test_a_departed_entry_moves_others_by_one_at_most(self):
        before = get_ranks(NAMES[1:], NAMES)
        after = get_ranks(NAMES[1:], NAMES[1:])
        assert all(old - new in (0, 1) for old, new in zip(before, after, strict=True))

    def test_an_unlisted_entry_counts_itself(self):
        assert get_ranks(["gateway-new"], NAMES)[0] <= len(NAMES)

    def test_a_new_list_changes_the_rank(self):
        stats = build_endpoint_stats("gateway-1", NAMES)
        ranks = {stats.rank.get(f"engine-{number}") for number in range(50)}
        assert max(ranks) > 0
        stats.cluster_view.entries = ()
        assert {stats.rank.get(f"engine-{number}") for number in range(50)} == {0}
