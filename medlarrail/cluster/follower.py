"""An entry's replica of the configuration, updated by following the log.

The replica never reverts: an answer from a lagging member is ignored, and after a
restart no requests are served before the session's lease has confirmed the replica
against the leader's revision.
"""

from collections.abc import Callable

import trio
from attrs import define, field

from medlarrail.cluster.owner_map import OwnerMap
from medlarrail.core.errors import MedlarError
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import FOLLOW_WAIT_S
from medlarrail.protocol.control import FOLLOW_PATH, FollowAnswer, FollowRequest
from medlarrail.state.catalogue import Catalogue
from medlarrail.transport.client import PeerClient

FOLLOW_TIMEOUT_S = FOLLOW_WAIT_S + 1.0
RETRY_PAUSE_S = 0.2


@define
class Follower:
    """Follows the log through one of the members at ``urls`` at a time."""

    peers: PeerClient
    urls: tuple[str, ...]
    catalogue: Catalogue = field(factory=Catalogue)
    owner_map: OwnerMap = field(factory=OwnerMap)
    on_change: list[Callable[[], None]] = field(factory=list)
    _next_member: int = 0
    _changed: trio.Event = field(factory=trio.Event)

    async def run(self) -> None:
        """Follow until cancelled, switching to the next member after a failed call."""
        while True:
            url = self.urls[self._next_member % len(self.urls)]
            request = FollowRequest(self.catalogue.index, FOLLOW_WAIT_S)
            try:
                answer = await self.peers.call(
                    url, FOLLOW_PATH, request, FollowAnswer, FOLLOW_TIMEOUT_S
                )
            except MedlarError as error:
                get_metrics().count("follow_failures", type=type(error).__name__)
                self._next_member += 1
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.apply(answer)

    def switch_member(self) -> None:
        """Follow another member from the next call on."""
        self._next_member += 1

    def apply(self, answer: FollowAnswer) -> None:
        """Advance the replica to the answer's index; older answers are ignored."""
        previous_index = self.catalogue.index
        if answer.upto <= previous_index:
            return
        if answer.image is not None:
            self.catalogue = Catalogue.from_image(answer.image)
        for entry in answer.entries:
            if entry.index > self.catalogue.index:
                self.catalogue.advance_index(entry.index - 1)
                self.catalogue.apply(entry.index, entry.envelope)
        self.catalogue.advance_index(answer.upto)
        require(self.catalogue.index >= previous_index, "configuration-never-reverts")
        self.owner_map.update(self.catalogue.view)
        self._changed.set()
        self._changed = trio.Event()
        for notify in self.on_change:
            notify()

    async def wait_index(self, index: int) -> None:
        """Wait until the replica has reached ``index``."""
        while self.catalogue.index < index:
            await self._changed.wait()
