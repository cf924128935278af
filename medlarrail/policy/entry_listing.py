"""Chooses the entries that a caller is told to connect to.

Handles more entries than an answer may name: naming the same ones to all callers leaves
the others without work. Each caller is named its own selection, so that every entry is
named to some, most of it in the caller's data centre. The remainder lies in other data
centres, so that the loss of one leaves the caller addresses that serve.
"""

from collections.abc import Sequence
from heapq import nlargest

from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.placement import get_weight

LOCAL_SHARE = 0.75
"""Largest share of a selection that lies in the caller's data centre."""


def choose_entries(
    entries: Sequence[RegisteredEntry], data_centre: str, caller: str, limit: int
) -> list[RegisteredEntry]:
    """Return at most ``limit`` entries for a caller, all of them if they are few.

    ``caller`` is anything that tells callers apart, such as an address. The selection
    is by rendezvous hashing: it changes by one entry where one joins or leaves, since
    callers close their connections to entries that are no longer named.
    """
    if len(entries) <= limit:
        return list(entries)
    local = [entry for entry in entries if entry.data_centre == data_centre]
    other = [entry for entry in entries if entry.data_centre != data_centre]
    local_count = max(int(limit * LOCAL_SHARE), limit - len(other))

    def get_rank(entry: RegisteredEntry) -> int:
        return get_weight(entry.name, caller)

    selected = nlargest(local_count, local, key=get_rank)
    return selected + nlargest(limit - len(selected), other, key=get_rank)
