"""Chooses the entry that carries the requests of a partitioned one.

Handles the partition of one entry, of many, or of a whole data centre, whose requests
all turn to the remaining entries at the same moment. They are spread at random over
entries with few of them, first in the same data centre, where they cost no bytes
between data centres. One that refuses has the same trouble in all likelihood, and so do
its neighbours: the next attempt goes to another data centre.
"""

from collections.abc import Collection, Sequence
from random import Random

from attrs import frozen

SAMPLE_SIZE = 2
"""Entries compared for each request: one view of the load for all would send a wave to
the entry that looked idle."""


@frozen
class Peer:
    """Another entry; ``in_flight`` counts the requests of this entry that it carries.

    An entry that refused or did not answer a moment ago is not ``available``.
    """

    name: str
    address: str
    data_centre: str
    in_flight: int = 0
    available: bool = True


def choose_peer(
    peers: Sequence[Peer],
    data_centre: str,
    tried_data_centres: Collection[str],
    random: Random,
) -> Peer | None:
    """Return the entry to ask next, or None if none is available."""
    available = [peer for peer in peers if peer.available]
    if not available:
        return None
    local = [peer for peer in available if peer.data_centre == data_centre]
    untried = [peer for peer in available if peer.data_centre not in tried_data_centres]
    if local and data_centre not in tried_data_centres:
        available = local
    elif untried:
        available = untried
    sample = random.sample(available, min(SAMPLE_SIZE, len(available)))
    return min(sample, key=lambda peer: peer.in_flight)
