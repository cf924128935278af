"""Client of the state members, for entries and operators.

The client caches the leader's URL, follows redirects from other members and retries
until its deadline. Every message may be sent twice.
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
from medlarrail.transport.client import PeerClient

T = TypeVar("T")
RETRY_PAUSE_S = 0.1
CALL_TIMEOUT_S = 2.5
MIN_CALL_TIMEOUT_S = 0.01
TRANSIENT_ERRORS = (PeerError, NotLeader, CommitUnknown, NotBootstrapped, StorageError)


@define
class StateClient:
    """Finds the leader among the state members at ``urls``."""

    peers: PeerClient
    urls: tuple[str, ...]
    leader_url: str = ""
    _next_member: int = field(default=0)

    def pick_url(self) -> str:
        """Return the URL of the leader, or of the next member to try."""
        return self.leader_url or self.urls[self._next_member % len(self.urls)]

    def record_failure(self, error: MedlarError) -> None:
        """Choose the next member to try after a failed call."""
        leader_url = error.leader_url if isinstance(error, NotLeader) else ""
        self.leader_url = leader_url
        if not leader_url:
            self._next_member += 1

    async def call_leader(
        self, path: str, message, answer_type: type[T], timeout_s: float
    ) -> T:
        """Return the leader's answer; raises the last error at the deadline."""
        deadline = trio.current_time() + timeout_s
        redirected = False
        while True:
            url = self.pick_url()
            remaining_s = max(MIN_CALL_TIMEOUT_S, deadline - trio.current_time())
            try:
                answer = await self.peers.call(
                    url, path, message, answer_type, min(CALL_TIMEOUT_S, remaining_s)
                )
            except TRANSIENT_ERRORS as error:
                get_metrics().count("state_call_retries", type=type(error).__name__)
                self.record_failure(error)
                if trio.current_time() + RETRY_PAUSE_S >= deadline:
                    raise
                # A member that names the leader saves the pause, but only once in a
                # row: two may name each other.
                redirected = bool(self.leader_url) and not redirected
                if not redirected:
                    await trio.sleep(RETRY_PAUSE_S)
                continue
            self.leader_url = url
            return answer
