"""Rendezvous hashing: assigns keys to nodes without a shared table.

When a node joins or leaves, only the keys that it gains or loses move.
"""

import hashlib
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarrail.core.entities import EntrySession, SessionView

MAX_RANKINGS = 32
"""Rankings that are remembered: the same nodes are ranked for each request."""


def get_weight(node: str, key: str) -> int:
    """Return the rendezvous weight of ``node`` for ``key``."""
    digest = hashlib.blake2b(f"{node}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(nodes: Iterable[str], key: str) -> list[str]:
    """Return ``nodes`` in descending order of their weight for ``key``."""
    return list(_rank(tuple(nodes), key))


@lru_cache(maxsize=MAX_RANKINGS)
def _rank(nodes: tuple[str, ...], key: str) -> tuple[str, ...]:
    ranked = sorted(nodes, key=lambda node: (get_weight(node, key), node), reverse=True)
    return tuple(ranked)


def get_owner(view: "SessionView", endpoint: str) -> "EntrySession | None":
    """Return the session that owns ``endpoint`` under ``view``."""
    owners = view.list_owners()
    if not owners:
        return None
    return max(
        owners, key=lambda owner: (get_weight(owner.entry, endpoint), owner.entry)
    )


def iterate_owned(
    view: "SessionView", entry: str, endpoints: Iterable[str]
) -> Iterator[str]:
    """Yield those of ``endpoints`` that ``entry`` owns under ``view``."""
    for name in endpoints:
        owner = get_owner(view, name)
        if owner is not None and owner.entry == entry:
            yield name
