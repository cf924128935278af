"""Chooses the endpoints that load a new weight version next.

Handles a rollout under load: only a few endpoints load at a time, so that the
others can serve requests. Endpoints that are up to date or leaving are skipped. Of many
endpoints more load at a time, since each requires as long however many there are, and
requests may begin on old weights for some seconds only.
"""

from collections.abc import Sequence

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
