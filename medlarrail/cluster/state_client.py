"""Calls the state members on behalf of an entry or an operator.

The client remembers who leads, follows the hints of the others and asks again
until its time is up. Everything it sends may be sent twice.
"""

from typing import TypeVar

import trio
from attrs import define, field

from medlarrail.core.errors import (
    CommitUnknown,
    MedlarError,
    NotBootstrapped,
    NotLeader,
    PeerError,
    StorageError,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.control import PROPOSE_PATH, ProposeAnswer, ProposeRequest
from medlarrail.state.operations import Envelope, Outcome
from medlarrail.transport.client import Peers

T = TypeVar("T")
RETRY_PAUSE_S = 0.1
CALL_TIMEOUT_S = 2.5
SHORTEST_CALL_S = 0.01
TRANSIENT = (PeerError, NotLeader, CommitUnknown, NotBootstrapped, StorageError)


@define
class StateClient:
    """Finds the leader among the state members at ``urls``."""

    peers: Peers
    urls: tuple[str, ...]
    leader_url: str = ""
    _next: int = field(default=0)

    def pick_url(self) -> str:
        """Return the leader's URL, or the next member to ask."""
        return self.leader_url or self.urls[self._next % len(self.urls)]

    def note_failure(self, error: MedlarError) -> None:
        """Learn from a failed call whom to ask next."""
        hint = error.leader_url if isinstance(error, NotLeader) else ""
        self.leader_url = hint
        if not hint:
            self._next += 1

    async def call_leader(
        self, path: str, message, answer_type: type[T], timeout_s: float
    ) -> T:
        """Return the leader's answer; raises the last error when time is up."""
        deadline = trio.current_time() + timeout_s
        while True:
            url = self.pick_url()
            rest_s = max(SHORTEST_CALL_S, deadline - trio.current_time())
            try:
                answer = await self.peers.call(
                    url, path, message, answer_type, min(CALL_TIMEOUT_S, rest_s)
                )
            except TRANSIENT as error:
                get_metrics().count("state_call_retries", type=type(error).__name__)
                self.note_failure(error)
                if trio.current_time() + RETRY_PAUSE_S >= deadline:
                    raise
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.leader_url = url
            return answer

    async def propose(self, envelope: Envelope, timeout_s: float = 4.0) -> Outcome:
        """Return the outcome of a committed envelope, or raise its error."""
        answer = await self.call_leader(
            PROPOSE_PATH, ProposeRequest(envelope), ProposeAnswer, timeout_s
        )
        return answer.outcome
