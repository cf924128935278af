"""Chooses which weights a request may begin on after a new version was set.

Handles a rollout under load: while some endpoints load, those with old weights keep
serving, since the few that have finished could not carry the whole load. Requests may
begin on old weights for some seconds only.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Literal

VersionUse = Literal["use", "outdated", "avoid"]
"""Whether requests are started on an endpoint's weights always, only if the other
endpoints are clearly busier, or never."""
OLD_WEIGHTS_GRACE_S = 1.0
"""Time after a new version is set for which old weights are used like new ones:
requests that start by then are not yet counted as using old weights."""
OLD_WEIGHTS_LIMIT_S = 8.0
"""Time after a new version is set from which no request starts on old weights, if an
endpoint with new ones exists: below the allowed ten seconds."""


def get_required_version(ages: Mapping[int, float]) -> int:
    """Return the newest version that was set so long ago that older ones are avoided.

    ``ages`` are the times in seconds since each version was set.

    >>> get_required_version({2: 60.0, 3: 9.0, 4: 0.5})
    3
    """
    return max(
        (version for version, age_s in ages.items() if age_s > OLD_WEIGHTS_LIMIT_S),
        default=0,
    )


def get_replaced_s(version: int, ages: Mapping[int, float]) -> float:
    """Return the time since a version was replaced, 0 if it is the newest one.

    >>> get_replaced_s(2, {2: 60.0, 3: 9.0, 4: 0.5}), get_replaced_s(4, {4: 0.5})
    (9.0, 0.0)
    """
    return max((age_s for newer, age_s in ages.items() if newer > version), default=0.0)


def choose_versions(
    versions: Sequence[int], ages: Mapping[int, float], known: Iterable[int] = ()
) -> list[VersionUse]:
    """Return how requests may use each of the ``versions`` of endpoints.

    ``ages`` are the times in seconds since each version was set: an endpoint's weights
    are judged by how long ago the next version was. ``known`` are the versions of all
    endpoints that serve the model, whether or not they can take a request now: those
    with new weights may be busy.
    """
    required = get_required_version(ages)
    if not any(version >= required for version in (*versions, *known)):
        # Otherwise nobody would be served until an endpoint has loaded them.
        required = 0
    newest = max(versions, default=0)

    def choose_use(version: int) -> VersionUse:
        if version < required:
            return "avoid"
        is_recent = get_replaced_s(version, ages) < OLD_WEIGHTS_GRACE_S
        return "use" if is_recent or version == newest else "outdated"

    return [choose_use(version) for version in versions]
