"""Rank of this entry among all entries, one for each endpoint."""

from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.placement import rank_nodes


@define
class EntryRank:
    """Ranks ``entry`` among the listed entries by rendezvous hashing.

    All entries compute the same order for an endpoint. When an entry joins or leaves,
    the order of the others stays, so entries with different lists still agree on most
    ranks. ``entry`` counts itself even if it is not listed.
    """

    cluster_view: ClusterView
    entry: str
    _ranked_entries: tuple[RegisteredEntry, ...] = ()
    _ranks: dict[str, int] = field(factory=dict)

    def get(self, endpoint: str) -> int:
        """Return the rank for ``endpoint``, counted from 0."""
        listed = self.cluster_view.entries
        if listed is not self._ranked_entries:
            self._ranked_entries = listed
            self._ranks.clear()
        rank = self._ranks.get(endpoint)
        if rank is None:
            names = {self.entry, *(entry.name for entry in listed)}
            rank = rank_nodes(names, endpoint).index(self.entry)
            self._ranks[endpoint] = rank
        return rank
