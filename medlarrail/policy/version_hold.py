"""Decides which software versions wait for an order that may be on its way.

Handles endpoints that announce a new version a moment before the order of its rollout
reaches this entry: their announcement and the order take different paths, so that the
version would get its full part of the requests until the order arrives.
"""

from collections.abc import Collection, Sequence

from attrs import frozen

HOLD_S = 1.0
"""Time from the first sight of a version for which it is held back: an order reaches
all entries within the longest time for which changes are collected, one second."""


@frozen
class VersionSighting:
    """A software version of a service: when this entry first saw it, and the start of
    its oldest endpoint in Unix milliseconds."""

    version: str
    seen_at: float
    started_ms: int


def list_held_versions(
    sightings: Sequence[VersionSighting], named: Collection[str], now: float
) -> frozenset[str]:
    """Return the versions that get no requests yet.

    ``sightings`` are the versions that can take requests, and ``named`` those that the
    service's rollout names. The version that was seen first is never held back, of
    several that one answer listed that with the oldest endpoint.

    >>> old, new = VersionSighting("v1", 0.0, 5), VersionSighting("v2", 9.5, 9000)
    >>> list_held_versions([old, new], [], now=10.0)
    frozenset({'v2'})
    >>> list_held_versions([old, new], ["v2"], now=10.0)
    frozenset()
    """
    if len(sightings) < 2:
        return frozenset()
    first = min(sightings, key=lambda sighting: (sighting.seen_at, sighting.started_ms))
    return frozenset(
        sighting.version
        for sighting in sightings
        if sighting is not first
        and sighting.version not in named
        and now - sighting.seen_at < HOLD_S
    )
