"""Acquires permits from owners and reports the outcome of permitted requests.

Notices are sent in batches, one batch for each owner. Every batch lists the
permits that are held, so that an owner detects those whose notice was lost.
"""

import secrets

import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.session import Session
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.errors import MedlarError, NoEndpoint, PermitExpired
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import CLOCK_DRIFT_MARGIN_S
from medlarrail.ownership.ownership import OwnedEndpoints
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.permits import (
    ACQUIRE_PATH,
    NOTICES_PATH,
    AcquireAnswer,
    AcquireRequest,
    HoldingsAnswer,
    HoldingsRequest,
    NoticesRequest,
    PermitNotice,
    PermitRecord,
)
from medlarrail.transport.client import PeerClient

PERMIT_ID_BYTES = 8
NOTICE_BATCH_DELAY_S = 0.03
HELD_REPORT_INTERVAL_S = 1.0
NOTICE_TIMEOUT_S = 1.0
MAX_QUEUED_NOTICES = 2000
ROUND_TRIP_MARGIN_S = 0.15
"""Allowance for the round trip to the owner; the call is tried twice."""


@define
class HeldPermit:
    """A permit that this entry holds for one request."""

    permit: str
    endpoint: str
    account: str
    use_before: float
    hold_until: float
    answer: AcquireAnswer | None = None


@define
class PermitClient:
    """Acquires permits for the requests that this entry serves."""

    session: Session
    follower: Follower
    owners: OwnedEndpoints
    peers: PeerClient
    clock: Clock = get_boottime
    held: dict[str, HeldPermit] = field(factory=dict)
    _notices: dict[str, list[PermitNotice]] = field(factory=dict)
    _notice_queued: trio.Event = field(factory=trio.Event)

    def make_permit_id(self) -> str:
        """Return a new permit id."""
        return f"{self.session.name}-{secrets.token_hex(PERMIT_ID_BYTES)}"

    async def acquire(self, request: AcquireRequest) -> HeldPermit:
        """Return a permit for ``request``, or raise the owner's refusal.

        If the call fails in any way, the owner is notified that the permit will
        not be used.
        """
        sent_at = self.clock()
        owner = self.follower.owner_map.get_owner(request.endpoint)
        if owner is None:
            raise NoEndpoint(target=request.endpoint)
        held = HeldPermit(
            request.permit,
            request.endpoint,
            request.account,
            use_before=sent_at,
            hold_until=sent_at + request.hold_s,
        )
        self.held[request.permit] = held
        try:
            answer = await self._call_owner(owner, request)
        except BaseException:
            self.release(held, "unused")
            raise
        held.answer = answer
        latest_grant = min(self.clock(), sent_at + request.wait_s)
        held.use_before = latest_grant + answer.life_s - CLOCK_DRIFT_MARGIN_S
        return held

    async def _call_owner(self, owner, request: AcquireRequest) -> AcquireAnswer:
        if owner.entry == self.session.name:
            return await self.owners.acquire(request)
        return await self.peers.call(
            owner.url,
            ACQUIRE_PATH,
            request,
            AcquireAnswer,
            2 * (request.wait_s + ROUND_TRIP_MARGIN_S),
        )

    def check(self, held: HeldPermit) -> None:
        """Raise ``PermitExpired`` unless the permit is valid for a dispatch now."""
        if held.permit not in self.held or self.clock() >= held.use_before:
            raise PermitExpired(permit=held.permit)

    def record_started(self, held: HeldPermit, incarnation: str) -> None:
        """Notify the owner that the endpoint began to answer."""
        notice = PermitNotice(held.permit, held.endpoint, "started", incarnation)
        self._queue_notice(notice)

    def release(self, held: HeldPermit, outcome: str, incarnation: str = "") -> None:
        """Release a permit and report the outcome of its request."""
        if self.held.pop(held.permit, None) is None:
            return
        notice = PermitNotice(
            held.permit, held.endpoint, "ended", incarnation, outcome=outcome
        )
        self._queue_notice(notice)

    def _queue_notice(self, notice: PermitNotice) -> None:
        queue = self._notices.setdefault(notice.endpoint, [])
        queue.append(notice)
        if len(queue) > MAX_QUEUED_NOTICES:
            del queue[: len(queue) - MAX_QUEUED_NOTICES]
            get_metrics().count("notices_dropped")
        self._notice_queued.set()

    async def run(self) -> None:
        """Send notices to their owners until cancelled."""
        while True:
            with trio.move_on_after(HELD_REPORT_INTERVAL_S):
                await self._notice_queued.wait()
                await trio.sleep(NOTICE_BATCH_DELAY_S)
            self._notice_queued = trio.Event()
            async with trio.open_nursery() as nursery:
                for url, names in self._group_by_owner().items():
                    nursery.start_soon(self._send, url, names)

    def _group_by_owner(self) -> dict[str, list[str]]:
        """Return the endpoints with queued notices or held permits, by owner URL."""
        names = {name for name, queue in self._notices.items() if queue}
        names.update(held.endpoint for held in self.held.values())
        groups: dict[str, list[str]] = {}
        for name in sorted(names):
            owner = self.follower.owner_map.get_owner(name)
            if owner is not None:
                groups.setdefault(owner.url, []).append(name)
        return groups

    async def _send(self, url: str, names: list[str]) -> None:
        batches = {name: list(self._notices.get(name, ())) for name in names}
        message = NoticesRequest(
            entry=self.session.name,
            epoch=self.session.epoch,
            notices=tuple(notice for batch in batches.values() for notice in batch),
            held=tuple(
                held.permit for held in self.held.values() if held.endpoint in batches
            ),
        )
        if url == self.session.url:
            self.owners.apply_notices(message)
        elif not await self._deliver(url, message):
            return
        for name, batch in batches.items():
            queue = self._notices.get(name, [])
            del queue[: len(batch)]

    async def _deliver(self, url: str, message: NoticesRequest) -> bool:
        try:
            await self.peers.call(
                url, NOTICES_PATH, message, EmptyMessage, NOTICE_TIMEOUT_S
            )
        except MedlarError as error:
            get_metrics().count("notice_failures", type=type(error).__name__)
            return False
        return True

    async def list_holdings(self, message: HoldingsRequest) -> HoldingsAnswer:
        """Return the permits that this entry holds, for a new owner.

        Waits a short time for this entry to apply the view in the request.
        """
        with trio.move_on_after(NOTICE_TIMEOUT_S / 2):
            await self.follower.wait_index(message.view_epoch)
        now = self.clock()
        holdings = tuple(
            PermitRecord(
                held.permit, held.endpoint, held.account, held.hold_until - now
            )
            for held in self.held.values()
            if held.endpoint in message.endpoints
        )
        return HoldingsAnswer(self.follower.catalogue.view.epoch, holdings)
