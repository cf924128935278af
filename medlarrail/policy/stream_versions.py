"""Decides at which software version a stream goes on that a caller takes up.

Handles a rollout of the endpoints' software during which entries end, all of them in
the worst case: their callers come back at other entries within a moment, for streams
that either version may have begun. A stream that goes on at the other version is worse
than one that does not go on, so nothing is guessed.
"""

from collections.abc import Collection

STREAM_RETENTION_S = 30.0
"""Time for which the origin of a stream is remembered, and for which a version counts
as in service after its last endpoint has left: longer than a caller waits."""
MAX_VIEW_AGE_S = 2.0
"""Age of the cluster state up to which it is taken to list every version."""


def choose_stream_version(
    recorded: str | None,
    in_service: Collection[str],
    keepers_replied: bool,
    view_age_s: float,
) -> str | None:
    """Return the version at which a stream goes on, or None if it is not known.

    ``recorded`` is the version that is remembered for the stream, and ``in_service``
    has all versions that may have begun it. If that is only one, it must be certain
    that no other has come: the members that remember streams have replied that they do
    not know this one, or the cluster state is recent.

    >>> choose_stream_version(None, ["v1"], True, 0.5)
    'v1'
    >>> choose_stream_version(None, ["v1", "v2"], True, 0.5) is None
    True
    """
    if recorded is not None:
        return recorded
    is_certain = keepers_replied or view_age_s <= MAX_VIEW_AGE_S
    if len(in_service) == 1 and is_certain:
        return next(iter(in_service))
    return None
