"""Decides whether a request crashes the endpoints that run it.

Handles a request that comes again and again, at any entry, and crashes whatever runs
it. The requests that ran beside it on a crashed endpoint are suspects, too, and
popular ones are there at most crashes. A complete answer clears a request at once. One
that was there at several crashes is sent only as a trial, one at a time for each
service, and its trial decides: it is cleared, or blocked if it crashes an endpoint.
"""

from collections.abc import Iterable

from medlarrail.policy.crashing_parts import count_separate

MIN_TRIAL_CRASHES = 2
"""Separate crashes from which on a request is sent only as a trial."""
RETRY_DELAYS_S = (60.0,)
"""Pauses before a blocked request is tried again, to correct a wrong decision."""
NEVER_S = 1e9


def needs_trial(crash_times: Iterable[float]) -> bool:
    """Return whether a request that was there at these crashes is sent as a trial.

    >>> needs_trial([1.0, 1.01]), needs_trial([1.0, 2.0])
    (False, True)
    """
    return count_separate(crash_times) >= MIN_TRIAL_CRASHES


def get_request_trial_delay_s(trials: int) -> float:
    """Return the pause before a blocked request's next trial after ``trials``."""
    return RETRY_DELAYS_S[trials] if trials < len(RETRY_DELAYS_S) else NEVER_S
