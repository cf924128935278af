"""An entry's own session: the lease under which it may act.

The lease counts from the moment at which the renewal was sent, on a clock that
runs while the VM is suspended, and takes effect once the configuration has been
followed up to the revision that the renewal named. ``require`` is called again
after every wait that comes before a dispatch, a permit or an order.
"""

import secrets
from collections.abc import Callable

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.errors import MedlarError, SessionClosed, SessionExpired
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import (
    CLOCK_DRIFT_MARGIN_S,
    RENEW_INTERVAL_S,
    SESSION_LEASE_S,
)
from medlarrail.protocol.control import (
    CLOSE_PATH,
    OPEN_PATH,
    RENEW_PATH,
    CloseRequest,
    Nothing,
    OpenAnswer,
    OpenRequest,
    RenewAnswer,
    RenewRequest,
)
from medlarrail.state.operations import Envelope, LeaveSession

CALL_LIMIT_S = SESSION_LEASE_S
CLOSE_LIMIT_S = 2.0
COMMAND_ID_BYTES = 8


@define
class Session:
    """The session of the entry ``name`` at ``url``."""

    name: str
    url: str
    data_centre: str
    state: StateClient
    follower: Follower
    clock: Clock = get_boottime
    epoch: int = 0
    expires_at: float = float("-inf")
    on_epoch: list[Callable[[], None]] = field(factory=list)
    _was_valid: bool = False
    _ended: bool = False
    _renewed: trio.Event = field(factory=trio.Event)

    def set_epoch(self, epoch: int) -> None:
        """Take up a session, whose view may have been followed before."""
        self.epoch = epoch
        for notify in self.on_epoch:
            notify()

    def is_valid(self) -> bool:
        """Return whether the lease runs."""
        return not self._ended and self.clock() < self.expires_at

    def require(self) -> int:
        """Return the session's epoch; raises ``SessionExpired`` without a lease."""
        if not self.is_valid():
            raise SessionExpired(entry=self.name)
        return self.epoch

    async def wait_valid(self) -> None:
        """Return once the lease runs."""
        while not self.is_valid():
            await self._renewed.wait()

    async def run(self) -> None:
        """Open the session and keep renewing it."""
        while True:
            try:
                await self._renew()
            except SessionClosed:
                self.expires_at = float("-inf")
                self.set_epoch(0)
                get_metrics().count("sessions_lost")
            except MedlarError as error:
                get_metrics().count("renewal_failures", type=type(error).__name__)
            self._log_change()
            if self.epoch:
                await trio.sleep(RENEW_INTERVAL_S)
            else:
                await trio.sleep(RENEW_INTERVAL_S / 4)

    async def _renew(self) -> None:
        if not self.epoch:
            await self._open()
        sent_at = self.clock()
        request = RenewRequest(self.name, self.epoch, self.follower.catalogue.index)
        answer = await self.state.call_leader(
            RENEW_PATH, request, RenewAnswer, RENEW_INTERVAL_S
        )
        with trio.move_on_after(RENEW_INTERVAL_S):
            await self.follower.wait_index(answer.revision)
            self._extend(sent_at + answer.lease_s - CLOCK_DRIFT_MARGIN_S)
            return
        self.follower.switch_member()

    def _extend(self, expires_at: float) -> None:
        self.expires_at = max(self.expires_at, expires_at)
        self._renewed.set()
        self._renewed = trio.Event()

    async def _open(self) -> None:
        command_id = f"open-{self.name}-{secrets.token_hex(COMMAND_ID_BYTES)}"
        request = OpenRequest(self.name, self.url, self.data_centre, command_id)
        answer = await self.state.call_leader(
            OPEN_PATH, request, OpenAnswer, CALL_LIMIT_S
        )
        self.set_epoch(answer.epoch)

    def _log_change(self) -> None:
        valid = self.is_valid()
        if valid != self._was_valid:
            self._was_valid = valid
            eliot.log_message("session:valid" if valid else "session:expired")

    async def leave(self) -> None:
        """Leave the callers' lists and give ownership away; serving goes on."""
        if not self.epoch:
            return
        operation = LeaveSession(self.name, self.epoch)
        try:
            await self.state.propose(Envelope(operation), CLOSE_LIMIT_S)
        except MedlarError as error:
            get_metrics().count("leave_failures", type=type(error).__name__)

    async def close(self) -> None:
        """Give the session up, so that others need not wait out its lease."""
        self._ended = True
        if not self.epoch:
            return
        try:
            request = CloseRequest(self.name, self.epoch)
            await self.state.call_leader(CLOSE_PATH, request, Nothing, CLOSE_LIMIT_S)
        except MedlarError as error:
            get_metrics().count("close_failures", type=type(error).__name__)
