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

TELL_INTERVAL_S = 5.0
"""Interval at which state members are told again of streams that last."""
RELEARNING_S = 3 * TELL_INTERVAL_S
"""Time after its start in which a state member is told of all streams that a caller may
take up: those that last are told again, and callers of the others have come back."""


def is_never_told(kept_for_s: float | None) -> bool:
    """Return whether a member that does not know a stream was never told of it.

    ``kept_for_s`` says for how long it has kept all origins that it was told, None if
    it does not tell. One that has started again lately may have forgotten the stream.

    >>> is_never_told(60.0), is_never_told(5.0), is_never_told(None)
    (True, False, True)
    """
    return kept_for_s is None or kept_for_s >= STREAM_RETENTION_S


def choose_stream_version(
    recorded: str | None, in_service: Collection[str], never_told: bool
) -> str | None:
    """Return the version at which a stream goes on, or None if it is not known.

    ``recorded`` is the version that is remembered for the stream, and ``in_service``
    has all versions that are listed. A stream of which members were ``never_told``
    began at an entry of the version before, which tells them unless only one version
    is listed. Without that evidence, a process that has not announced itself may have
    begun it.

    >>> choose_stream_version(None, ["v1"], True)
    'v1'
    >>> choose_stream_version(None, ["v1"], False) is None
    True
    >>> choose_stream_version(None, ["v1", "v2"], True) is None
    True
    """
    if recorded is not None:
        return recorded
    if len(in_service) == 1 and never_told:
        return next(iter(in_service))
    return None
