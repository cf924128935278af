"""Division of a limit on all entries together into whole parts, one for each entry.

Handles many entries that use the same endpoint at once, for example when it has just
announced itself. The parts add up to the limit at any number of entries: where the
limit is below their number, some entries get none. A smallest part for every entry
would add up to the number of entries instead.
"""


def get_share(limit: int, entry_count: int, rank: int) -> int:
    """Return the part of ``limit`` for the entry of ``rank``, counted from 0.

    Entries rank differently for each endpoint, so that each of them gets a part for
    some endpoints.

    >>> [get_share(5, 3, rank) for rank in range(3)]
    [2, 2, 1]
    >>> [get_share(2, 4, rank) for rank in range(4)]
    [1, 1, 0, 0]
    """
    base, remainder = divmod(limit, max(1, entry_count))
    return base + (1 if rank < remainder else 0)
