"""Chooses the endpoint for a request among the available candidates.

Handles ordinary load waves and bursts: every entry decides independently, from
its own in-flight requests, the load that endpoints report in their answers, and the
time that these answers take. A prompt goes to the endpoint that its shared part was
sent to before, unless that endpoint is clearly busier than the others; all entries
use the same rendezvous hash.
"""

from collections.abc import Sequence
from statistics import fmean, harmonic_mean

from attrs import frozen

from medlarrail.core.placement import get_weight

OVERLOAD_FACTOR = 1.25
"""Cost relative to the mean up to which an endpoint still gets its own contexts."""
OVERLOAD_SLACK = 1.0
"""Requests above the mean that never count as overload."""
FAILING_PENALTY = 30.0
"""Penalty for a failure rate of 1, in equivalent in-flight requests."""
OUTDATED_PENALTY = 2.0
"""Penalty for old weights, in equivalent in-flight requests: short prompts are
batched, so a few more of them cost little time."""
REMOTE_PENALTY = 0.3
"""Penalty for an endpoint in another data centre, in equivalent in-flight requests:
ties go to the local endpoint."""


@frozen
class Candidate:
    """This entry's view of an endpoint that may serve the request.

    ``in_flight`` counts this entry's own requests, ``reported`` is the load that
    the endpoint reported recently, if any, ``failure_rate`` lies between 0 and 1,
    and ``relative_latency`` is its average answer time divided by the lowest one.
    """

    name: str
    in_flight: int = 0
    reported: float | None = None
    slots: int = 1
    failure_rate: float = 0.0
    relative_latency: float = 1.0
    local: bool = True
    suspected: bool = False
    outdated: bool = False
    """Whether it serves older weights than other endpoints."""


def get_load(candidate: Candidate, entry_count: int) -> float:
    """Return the estimated number of requests at an endpoint.

    Requests of other entries are known only from reports, which lag. Without a
    recent report, this entry's own requests are extrapolated to all entries.
    """
    if candidate.reported is None:
        return candidate.in_flight * max(1, entry_count)
    return max(float(candidate.in_flight), candidate.reported)


def get_cost(candidate: Candidate, entry_count: int) -> float:
    """Return the cost of one more request at the endpoint, as load per slot."""
    load = (get_load(candidate, entry_count) + 1) / max(1, candidate.slots)
    cost = load * candidate.relative_latency
    cost += FAILING_PENALTY * candidate.failure_rate / max(1, candidate.slots)
    if candidate.outdated:
        cost += OUTDATED_PENALTY / max(1, candidate.slots)
    if not candidate.local:
        cost += REMOTE_PENALTY / max(1, candidate.slots)
    return cost


def choose_least_loaded(
    candidates: Sequence[Candidate], entry_count: int, tie_breaker: str = ""
) -> Candidate | None:
    """Return the endpoint with the lowest cost; ``tie_breaker`` is hashed for ties.

    Example: for a plain service, whose requests have no context.
    """
    return min(
        candidates,
        key=lambda candidate: (
            candidate.suspected,
            round(get_cost(candidate, entry_count), 2),
            -get_weight(candidate.name, tie_breaker),
        ),
        default=None,
    )


def choose_by_context(
    candidates: Sequence[Candidate], entry_count: int, context: str
) -> Candidate | None:
    """Return the preferred endpoint for ``context``, or a less loaded one.

    Handles endpoints of one to three times speed under a burst: slow ones raised the
    mean cost, so that they kept their contexts although fast ones had room. The limit
    is therefore the cost of the mean load at an endpoint of harmonic mean latency,
    which follows the fast ones.
    """
    available = [
        candidate for candidate in candidates if not candidate.suspected
    ] or list(candidates)
    if not available:
        return None
    costs = {
        candidate.name: get_cost(candidate, entry_count) for candidate in available
    }
    latencies = [candidate.relative_latency for candidate in available]
    loads = [costs[c.name] / c.relative_latency for c in available]
    mean = fmean(loads) * harmonic_mean(latencies)
    slack = OVERLOAD_SLACK / max(1, min(candidate.slots for candidate in available))
    limit = mean * OVERLOAD_FACTOR + slack
    ranked = sorted(
        available, key=lambda candidate: -get_weight(candidate.name, context)
    )
    for candidate in ranked:
        if costs[candidate.name] <= limit:
            return candidate
    return min(available, key=lambda candidate: costs[candidate.name])
