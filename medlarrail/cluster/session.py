"""An entry's session: the lease that allows it to act.

The lease runs from the time at which the renewal was sent, on a clock that continues
while the VM is suspended. It takes effect once the follower has reached the revision
returned by the renewal. ``require_lease`` is called again after every wait that
precedes a dispatch, a permit or an order.
"""

import secrets
from collections.abc import Callable

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.log_client import LogClient
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
    OpenAnswer,
    OpenRequest,
    RenewAnswer,
    RenewRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.state.operations import Envelope, LeaveSession

OPEN_TIMEOUT_S = SESSION_LEASE_S
CLOSE_TIMEOUT_S = 2.0
COMMAND_ID_BYTES = 8


@define
class Session:
    """The session of the entry ``name`` at ``url``."""

    name: str
    url: str
    data_centre: str
    state: LogClient
    follower: Follower
    clock: Clock = get_boottime
    epoch: int = 0
    expires_at: float = float("-inf")
    epoch_listeners: list[Callable[[], None]] = field(factory=list)
    _was_valid: bool = False
    _ended: bool = False
    _renewed: trio.Event = field(factory=trio.Event)

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch and notify listeners, as the follower may have its view."""
        self.epoch = epoch
        for notify in self.epoch_listeners:
            notify()

    def is_valid(self) -> bool:
        """Return whether the lease is valid."""
        return not self._ended and self.clock() < self.expires_at

    def require_lease(self) -> int:
        """Return the session's epoch; raises ``SessionExpired`` without a lease."""
        if not self.is_valid():
            raise SessionExpired(entry=self.name)
        return self.epoch

    async def wait_valid(self) -> None:
        """Wait until the lease is valid."""
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
            self._extend_lease(sent_at + answer.lease_s - CLOCK_DRIFT_MARGIN_S)
            return
        self.follower.switch_member()

    def _extend_lease(self, expires_at: float) -> None:
        self.expires_at = max(self.expires_at, expires_at)
        self._renewed.set()
        self._renewed = trio.Event()

    async def _open(self) -> None:
        command_id = f"open-{self.name}-{secrets.token_hex(COMMAND_ID_BYTES)}"
        request = OpenRequest(self.name, self.url, self.data_centre, command_id)
        answer = await self.state.call_leader(
            OPEN_PATH, request, OpenAnswer, OPEN_TIMEOUT_S
        )
        self.set_epoch(answer.epoch)

    def _log_change(self) -> None:
        valid = self.is_valid()
        if valid != self._was_valid:
            self._was_valid = valid
            eliot.log_message("session:valid" if valid else "session:expired")

    async def leave(self) -> None:
        """Withdraw from callers' entry lists, release ownership and keep serving."""
        if not self.epoch:
            return
        operation = LeaveSession(self.name, self.epoch)
        try:
            await self.state.propose(Envelope(operation), CLOSE_TIMEOUT_S)
        except MedlarError as error:
            get_metrics().count("leave_failures", type=type(error).__name__)

    async def close(self) -> None:
        """Close the session, so that others need not wait for its lease to expire."""
        self._ended = True
        if not self.epoch:
            return
        try:
            request = CloseRequest(self.name, self.epoch)
            await self.state.call_leader(
                CLOSE_PATH, request, EmptyMessage, CLOSE_TIMEOUT_S
            )
        except MedlarError as error:
            get_metrics().count("close_failures", type=type(error).__name__)
