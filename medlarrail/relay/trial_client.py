"""Asks the leader whether a request that may crash an endpoint may be sent.

Imported only when a trial is due, since each class with generated methods adds half a
millisecond to the start of an entry.
"""

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.request_trials import (
    REQUEST_TRIALS_PATH,
    TRIALS_PATH,
    SuspectTrialRequest,
    TrialAnswer,
    TrialRequest,
)

CALL_TIMEOUT_S = 1.0


async def ask_for_parts_trial(state: StateClient, entry: str, name: str) -> bool:
    """Return whether ``entry`` may send one request with the blocked parts ``name``."""
    return await _ask(state, TRIALS_PATH, TrialRequest(entry, name))


async def ask_for_request_trial(
    state: StateClient, entry: str, service: str, key: str
) -> bool:
    """Return whether ``entry`` may send a suspected request, given by its key."""
    request = SuspectTrialRequest(entry, service, key)
    return await _ask(state, REQUEST_TRIALS_PATH, request)


async def _ask(
    state: StateClient, path: str, request: TrialRequest | SuspectTrialRequest
) -> bool:
    """Return whether the leader grants the trial; False if no leader answers."""
    try:
        answer = await state.call_leader(path, request, TrialAnswer, CALL_TIMEOUT_S)
    except MedlarError as error:
        get_metrics().count("trial_call_failures", type=type(error).__name__)
        return False
    return answer.granted
