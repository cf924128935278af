"""Chooses the endpoints that load a new weight version next.

Handles a rollout under load: only a few endpoints load at a time, so that the
others can serve requests. Endpoints that are up to date or leaving are skipped. Of many
endpoints more load at a time, since each requires as long however many there are, and
requests may begin on old weights for some seconds only.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Literal

from attrs import frozen

LOAD_TIMEOUT_S = 12.0
"""Time after which an unfinished load no longer counts against the concurrency
limit: the runs that it waits for end within the longest deadline, and the load
itself takes a second or two."""


@frozen
class RolloutView:
    """An endpoint's state in the rollout; times in seconds.

    ``loading_s`` is the time since it was ordered to load, or None.
    """

    name: str
    model: str
    version: int
    desired: int
    leaving: bool = False
    loading_s: float | None = None
    silent_s: float = 0.0


SILENCE_LIMIT_S = 3.0
"""Time without contact after which other endpoints are preferred for loading."""


MAX_LOADING_SHARE = 0.25
"""Share of many endpoints that load at the same time: a rollout takes four loads."""


def get_load_limit(endpoint_count: int, at_once: int) -> int:
    """Return the number of endpoints that may load at the same time.

    >>> get_load_limit(5, 3), get_load_limit(36, 3)
    (3, 9)
    """
    return max(at_once, int(endpoint_count * MAX_LOADING_SHARE))


def choose_endpoints_to_load(views: Sequence[RolloutView], at_once: int) -> list[str]:
    """Return the endpoints to order now, in order of preference.

    Example: with ``at_once`` 2 and one endpoint loading, one more is returned.
    """
    at_once = get_load_limit(sum(not view.leaving for view in views), at_once)
    outdated = [
        view for view in views if view.version < view.desired and not view.leaving
    ]
    loading = sum(
        view.loading_s is not None and view.loading_s < LOAD_TIMEOUT_S
        for view in outdated
    )
    pending = [
        view
        for view in outdated
        if view.loading_s is None or view.loading_s >= LOAD_TIMEOUT_S
    ]
    pending.sort(
        key=lambda view: (view.silent_s > SILENCE_LIMIT_S, view.version, view.name)
    )
    return [view.name for view in pending[: max(0, at_once - loading)]]


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

    Handles a rollout under load: while some endpoints load, those with old weights keep
    serving, since the few that have finished could not carry the whole load.
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
