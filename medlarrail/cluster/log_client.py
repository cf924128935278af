"""Client of the state members that also proposes changes of the log.

It is apart from ``StateClient`` because gateways propose none and start sooner without
the types of the log.
"""

from attrs import define

from medlarrail.cluster.state_client import StateClient
from medlarrail.protocol.control import PROPOSE_PATH, ProposeAnswer, ProposeRequest
from medlarrail.state.operations import Envelope, Outcome


@define
class LogClient(StateClient):
    """Calls the leader and proposes envelopes to it."""

    async def propose(self, envelope: Envelope, timeout_s: float = 4.0) -> Outcome:
        """Return the outcome of a committed envelope, or raise its error."""
        answer = await self.call_leader(
            PROPOSE_PATH, ProposeRequest(envelope), ProposeAnswer, timeout_s
        )
        return answer.outcome
