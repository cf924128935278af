"""Asks the leader whether a request that may crash an endpoint may be sent."""

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.crashes import (
    SuspectTrialRequest,
    TrialAnswer,
    TrialRequest,
)

CALL_TIMEOUT_S = 1.0


async def ask_for_trial(
    state: StateClient, path: str, request: TrialRequest | SuspectTrialRequest
) -> bool:
    """Return whether the leader grants the trial; False if no leader answers."""
    try:
        answer = await state.call_leader(path, request, TrialAnswer, CALL_TIMEOUT_S)
    except MedlarError as error:
        get_metrics().count("trial_call_failures", type=type(error).__name__)
        return False
    return answer.granted
