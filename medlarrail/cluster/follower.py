"""An entry's copy of the configuration, kept up by following the log.

The copy never goes back: an answer from a member that lags is passed over, and
after a restart nothing is served before the session's lease has confirmed the
copy against the leader's revision.
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
from medlarrail.transport.client import Peers

FOLLOW_TIMEOUT_S = FOLLOW_WAIT_S + 1.0
RETRY_PAUSE_S = 0.2


@define
class Follower:
    """Follows the log through any one of the members at ``urls``."""

    peers: Peers
    urls: tuple[str, ...]
    catalogue: Catalogue = field(factory=Catalogue)
    owner_map: OwnerMap = field(factory=OwnerMap)
    on_change: list[Callable[[], None]] = field(factory=list)
    _next: int = 0
    _changed: trio.Event = field(factory=trio.Event)

    async def run(self) -> None:
        """Follow until cancelled, moving on from members that do not answer."""
        while True:
            url = self.urls[self._next % len(self.urls)]
            request = FollowRequest(self.catalogue.index, FOLLOW_WAIT_S)
            try:
                answer = await self.peers.call(
                    url, FOLLOW_PATH, request, FollowAnswer, FOLLOW_TIMEOUT_S
                )
            except MedlarError as error:
                get_metrics().count("follow_failures", type=type(error).__name__)
                self._next += 1
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self.apply(answer)

    def switch_member(self) -> None:
        """Follow another member from the next answer on."""
        self._next += 1

    def apply(self, answer: FollowAnswer) -> None:
        """Bring the copy up to the answer's index; older answers change nothing."""
        before = self.catalogue.index
        if answer.upto <= before:
            return
        if answer.image is not None:
            self.catalogue = Catalogue.from_image(answer.image)
        for entry in answer.entries:
            if entry.index > self.catalogue.index:
                self.catalogue.skip_to(entry.index - 1)
                self.catalogue.apply(entry.index, entry.envelope)
        self.catalogue.skip_to(answer.upto)
        require(self.catalogue.index >= before, "configuration-never-reverts")
        self.owner_map.update(self.catalogue.view)
        self._changed.set()
        self._changed = trio.Event()
        for notify in self.on_change:
            notify()

    async def wait_index(self, index: int) -> None:
        """Return once the copy has reached ``index``."""
        while self.catalogue.index < index:
            await self._changed.wait()
