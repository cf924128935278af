"""Rank of this entry among all entries, one for each endpoint."""

from bisect import bisect

from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.placement import get_weight

RING_KEY = "entry-rank"
"""Key that entries and endpoints are hashed with."""


@define
class EntryRank:
    """Ranks ``entry`` among the listed entries by consistent hashing.

    Entries and endpoints have positions on one ring. For an endpoint, the first entry
    after it has rank 0, the next one rank 1 and so on, so all entries compute the same
    order. When an entry joins or leaves, ranks change by one at most: entries with
    different lists still agree on most of them. ``entry`` counts itself even if it is
    not listed.
    """

    cluster_view: ClusterView
    entry: str
    _listed: tuple[RegisteredEntry, ...] | None = None
    _ring: list[tuple[int, str]] = field(factory=list)
    """Sorted positions of the entries with their names."""
    _own_index: int = 0
    _ranks: dict[str, int] = field(factory=dict)

    def get(self, endpoint: str) -> int:
        """Return the rank for ``endpoint``, counted from 0."""
        if self.cluster_view.entries is not self._listed:
            self._build_ring()
        rank = self._ranks.get(endpoint)
        if rank is None:
            rank = (self._own_index - self._get_start(endpoint)) % len(self._ring)
            self._ranks[endpoint] = rank
        return rank

    def list_first(self, endpoint: str, count: int) -> list[str]:
        """Return the names of the ``count`` entries of the lowest ranks."""
        if self.cluster_view.entries is not self._listed:
            self._build_ring()
        start = self._get_start(endpoint)
        ranked = self._ring[start:] + self._ring[:start]
        return [name for _, name in ranked[:count]]

    def _get_start(self, endpoint: str) -> int:
        return bisect(self._ring, (get_weight(endpoint, RING_KEY), ""))

    def _build_ring(self) -> None:
        self._listed = self.cluster_view.entries
        names = {self.entry, *(entry.name for entry in self._listed)}
        self._ring = sorted((get_weight(name, RING_KEY), name) for name in names)
        self._own_index = self._ring.index(
            (get_weight(self.entry, RING_KEY), self.entry)
        )
        self._ranks.clear()
