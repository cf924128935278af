"""The endpoints that this entry owns, and the permits that it grants for them.

Ownership is derived from the view of sessions. A new owner asks every other
live entry for the permits that it holds; an entry that answers has applied the
new view and grants no more permits for those endpoints. Until all have
answered, or the leases that they may hold have expired, nothing is granted.
"""

from collections.abc import Iterator

import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.session import Session
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.entities import Endpoint, EntrySession
from medlarrail.core.errors import (
    EndpointOutOfService,
    EndpointSilent,
    MedlarError,
    NotOwner,
    OwnershipUnsettled,
    Refusal,
    SessionClosed,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import (
    CLOCK_DRIFT_MARGIN_S,
    MAX_QUEUE_WAIT_S,
    PERMIT_TTL_S,
    SESSION_LEASE_S,
)
from medlarrail.ownership.limiter import GrantedPermit, Limiter
from medlarrail.ownership.owned_endpoint import OwnedEndpoint, PendingAcquire
from medlarrail.protocol.permits import (
    HOLDINGS_PATH,
    AcquireAnswer,
    AcquireRequest,
    HoldingsAnswer,
    HoldingsRequest,
    NoticesRequest,
    PermitNotice,
    PermitRecord,
)
from medlarrail.transport.client import PeerClient

HOLDINGS_TIMEOUT_S = 1.0
HOLDINGS_RETRY_DELAY_S = 0.2
RECONCILE_AFTER_S = PERMIT_TTL_S + 2.0
"""Age above which a permit is dropped if its entry does not list it as held."""
MAINTENANCE_INTERVAL_S = 0.25
NO_STAMP = -1.0
"""Replaces a stamp that another session issued, on a clock of its own."""
MAX_QUEUE_LENGTH = 500
UNSETTLED_RETRY_S = 0.5


@define
class OwnedEndpoints:
    """The endpoints that the entry of ``session`` currently owns."""

    session: Session
    follower: Follower
    peers: PeerClient
    clock: Clock = get_boottime
    owned: dict[str, OwnedEndpoint] = field(factory=dict)
    view_epoch: int = 0
    _cancelled: dict[str, float] = field(factory=dict)
    """Permits released before they were granted, with the time of release."""
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.follower.on_change.append(self.update)
        self.session.epoch_listeners.append(self.update)

    # Ownership changes.

    def update(self) -> None:
        """Apply the current view, endpoints and service states."""
        catalogue = self.follower.catalogue
        self.follower.owner_map.update(catalogue.view)
        view_changed = catalogue.view.epoch != self.view_epoch
        self.view_epoch = catalogue.view.epoch
        assigned = {endpoint.name: endpoint for endpoint in self._iterate_assigned()}
        for name in [name for name in self.owned if name not in assigned]:
            self._drop_endpoint(name)
        for endpoint in assigned.values():
            self._add_or_update(endpoint)
        for owned in self.owned.values():
            if not catalogue.is_in_service(owned.endpoint):
                owned.refuse_pending(
                    lambda name=owned.endpoint.name: EndpointOutOfService(endpoint=name)
                )
        if view_changed:
            self._drop_closed_sessions()
        self._notify_changed()

    def _iterate_assigned(self) -> Iterator[Endpoint]:
        catalogue = self.follower.catalogue
        for endpoint in catalogue.endpoints.values():
            owner = self.follower.owner_map.get_owner(endpoint.name)
            if owner is not None and self._is_this_session(owner):
                yield endpoint

    def _is_this_session(self, session: EntrySession) -> bool:
        return (
            session.entry == self.session.name and session.epoch == self.session.epoch
        )

    def _drop_endpoint(self, name: str) -> None:
        owned = self.owned.pop(name)
        owned.refuse_pending(lambda: NotOwner(endpoint=name, retry_after_s=0.1))

    def _add_or_update(self, endpoint: Endpoint) -> None:
        owned = self.owned.get(endpoint.name)
        if owned is not None:
            owned.limiter.update(endpoint)
            return
        limiter = Limiter(endpoint, self.clock)
        limiter.reported_at = self.clock()
        owned = OwnedEndpoint(limiter, owned_since=self.clock())
        owned.unreported_entries = {
            session.entry
            for session in self.follower.catalogue.view.sessions
            if not self._is_this_session(session)
        }
        limiter.holders_known = not owned.unreported_entries
        self.owned[endpoint.name] = owned
        get_metrics().count("endpoints_taken_over")

    def _drop_closed_sessions(self) -> None:
        live_entries = {
            session.entry for session in self.follower.catalogue.view.sessions
        }
        for owned in self.owned.values():
            owned.unreported_entries &= live_entries
            owned.limiter.holders_known = not owned.unreported_entries
            holders = {permit.entry for permit in owned.limiter.permits.values()}
            for entry in holders - live_entries:
                owned.limiter.record_session_closed(entry)

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Complete take-overs and run the periodic maintenance of permits."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._collect_holdings)
            while True:
                await trio.sleep(MAINTENANCE_INTERVAL_S)
                self._maintain()

    async def _collect_holdings(self) -> None:
        """Ask live entries which permits of newly owned endpoints they hold."""
        while True:
            await trio.sleep(HOLDINGS_RETRY_DELAY_S / 4)
            entries = {
                name
                for owned in self.owned.values()
                for name in owned.unreported_entries
            }
            if not entries:
                await self._changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                for name in entries:
                    session = self.follower.owner_map.get_session(name)
                    if session is not None:
                        nursery.start_soon(self._request_holdings, session)

    async def _request_holdings(self, session: EntrySession) -> None:
        names = tuple(
            name
            for name, owned in self.owned.items()
            if session.entry in owned.unreported_entries
        )
        request = HoldingsRequest(self.session.name, self.view_epoch, names)
        try:
            answer = await self.peers.call(
                session.url,
                HOLDINGS_PATH,
                request,
                HoldingsAnswer,
                HOLDINGS_TIMEOUT_S,
            )
        except MedlarError as error:
            get_metrics().count("holdings_failures", type=type(error).__name__)
            await trio.sleep(HOLDINGS_RETRY_DELAY_S)
            return
        if answer.view_epoch < request.view_epoch:
            await trio.sleep(HOLDINGS_RETRY_DELAY_S)
            return
        self._record_holdings(session.entry, names, answer.holdings)

    def _record_holdings(
        self, entry: str, names, holdings: tuple[PermitRecord, ...]
    ) -> None:
        now = self.clock()
        for record in holdings:
            owned = self.owned.get(record.endpoint)
            if owned is not None:
                owned.limiter.permits[record.permit] = GrantedPermit(
                    record.permit,
                    entry,
                    record.account,
                    granted_at=float("-inf"),
                    hold_until=now + record.hold_s,
                )
        for name in names:
            owned = self.owned.get(name)
            if owned is not None:
                owned.unreported_entries.discard(entry)
                owned.limiter.holders_known = not owned.unreported_entries
                self._serve_queue(owned)

    def is_settled(self, owned: OwnedEndpoint) -> bool:
        """Return whether no earlier owner can still grant permits.

        Either every live entry has reported its permits, or every lease granted
        before the take-over has expired, with the permits granted under it, and
        the endpoint has since reported how many requests it runs.
        """
        if owned.limiter.holders_known:
            return True
        leases_end = owned.owned_since + SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S
        permits_end = leases_end + MAX_QUEUE_WAIT_S + PERMIT_TTL_S
        return owned.limiter.reported_stamp > permits_end

    def _maintain(self) -> None:
        for owned in self.owned.values():
            for permit in owned.limiter.list_expired():
                get_metrics().count("permits_lapsed")
                self._end_permit(owned, permit, "silent", "")
            self._serve_queue(owned)
        cutoff = self.clock() - RECONCILE_AFTER_S
        self._cancelled = {
            permit: released_at
            for permit, released_at in self._cancelled.items()
            if released_at > cutoff
        }

    # Permits.

    def _require_owned(self, name: str) -> OwnedEndpoint:
        self.session.require_lease()
        owned = self.owned.get(name)
        if owned is None:
            raise NotOwner(endpoint=name, retry_after_s=0.1)
        return owned

    async def acquire(self, request: AcquireRequest) -> AcquireAnswer:
        """Return a permit, waiting in the queue if necessary, or raise a refusal."""
        owned = self._require_owned(request.endpoint)
        self._check_session(request)
        pending = owned.pending.get(request.permit)
        if pending is None and request.permit not in owned.limiter.permits:
            pending = self._enqueue(owned, request)
        if pending is not None:
            await self._wait_for_grant(owned, pending)
            self.session.require_lease()
        return self._build_answer(owned, request)

    def _check_session(self, request: AcquireRequest) -> None:
        session = self.follower.owner_map.get_session(request.entry)
        if session is None or session.epoch != request.epoch:
            raise SessionClosed(entry=request.entry)

    def _enqueue(self, owned: OwnedEndpoint, request: AcquireRequest) -> PendingAcquire:
        self._check_admission(owned, request)
        pending = PendingAcquire(request)
        owned.pending[request.permit] = pending
        owned.queue.add(request.permit, request.account, request.weight)
        self._serve_queue(owned)
        return pending

    def _check_admission(self, owned: OwnedEndpoint, request: AcquireRequest) -> None:
        """Raise a refusal if the request cannot get a permit in time."""
        name = request.endpoint
        if not self.follower.catalogue.accepts_requests(owned.endpoint):
            raise EndpointOutOfService(endpoint=name)
        if owned.limiter.is_silent():
            raise EndpointSilent(endpoint=name)
        if not self.is_settled(owned) and request.wait_s < UNSETTLED_RETRY_S:
            raise OwnershipUnsettled(endpoint=name, retry_after_s=UNSETTLED_RETRY_S)
        if owned.limiter.has_capacity() and not owned.queue:
            return
        ahead = owned.queue.count_ahead(request.account)
        expected_s = owned.estimate_wait(ahead)
        if expected_s > request.wait_s or len(owned.queue) >= MAX_QUEUE_LENGTH:
            raise self._build_refusal(owned, expected_s)

    def _build_refusal(self, owned: OwnedEndpoint, expected_s: float) -> Refusal:
        if self.is_settled(owned):
            return owned.build_load_refusal(expected_s)
        return OwnershipUnsettled(
            endpoint=owned.endpoint.name, retry_after_s=UNSETTLED_RETRY_S
        )

    async def _wait_for_grant(
        self, owned: OwnedEndpoint, pending: PendingAcquire
    ) -> None:
        permit = pending.request.permit
        try:
            with trio.move_on_after(pending.request.wait_s):
                await pending.settled.wait()
            if not pending.settled.is_set():
                pending.error = self._build_refusal(owned, owned.estimate_wait(0))
                pending.settled.set()
        finally:
            owned.pending.pop(permit, None)
            owned.queue.remove(permit)
        if pending.error is not None:
            raise pending.error

    def _serve_queue(self, owned: OwnedEndpoint) -> None:
        """Grant permits while there is capacity, in fair-queue order."""
        if not self.session.is_valid() or not self.is_settled(owned):
            return
        if not self.follower.catalogue.accepts_requests(owned.endpoint):
            return
        while owned.queue and owned.limiter.has_capacity():
            ticket = owned.queue.pop()
            pending = owned.pending.get(ticket.name)
            if pending is None or pending.settled.is_set():
                continue
            if ticket.name in self._cancelled:
                pending.error = EndpointOutOfService(endpoint=owned.endpoint.name)
            else:
                self._grant(owned, pending.request)
            pending.settled.set()

    def _grant(self, owned: OwnedEndpoint, request: AcquireRequest) -> None:
        now = self.clock()
        permit = GrantedPermit(
            request.permit, request.entry, request.account, now, now + request.hold_s
        )
        owned.limiter.grant(permit)
        get_metrics().count("permits_granted")

    def _build_answer(
        self, owned: OwnedEndpoint, request: AcquireRequest
    ) -> AcquireAnswer:
        endpoint = owned.endpoint
        return AcquireAnswer(
            permit=request.permit,
            incarnation=endpoint.incarnation,
            weight_version=endpoint.weight_version,
            life_s=PERMIT_TTL_S,
            cached_blocks=owned.cached_keys.count_prefix(request.block_keys),
            running=len(owned.limiter.permits),
        )

    def apply_notices(self, message: NoticesRequest) -> None:
        """Apply notices of started and ended requests, then reconcile permits."""
        for notice in message.notices:
            self._apply_notice(notice)
        held = set(message.held)
        for owned in self.owned.values():
            self._reconcile(owned, message.entry, held)

    def _apply_notice(self, notice: PermitNotice) -> None:
        owned = self.owned.get(notice.endpoint)
        if owned is None:
            return
        if notice.kind == "started":
            owned.limiter.record_started(notice.permit, notice.incarnation)
            self._serve_queue(owned)
        else:
            self._end_permit(owned, notice.permit, notice.outcome, notice.incarnation)

    def _end_permit(
        self, owned: OwnedEndpoint, permit: str, outcome: str, incarnation: str
    ) -> None:
        if permit not in owned.limiter.permits:
            self._cancelled[permit] = self.clock()
        else:
            owned.release_times.append(self.clock())
        owned.limiter.record_ended(permit, outcome, incarnation)
        self._serve_queue(owned)

    def _reconcile(self, owned: OwnedEndpoint, entry: str, held: set[str]) -> None:
        """Drop permits that their entry no longer holds; their notice was lost."""
        cutoff = self.clock() - RECONCILE_AFTER_S
        for permit in list(owned.limiter.permits.values()):
            stale = permit.granted_at < cutoff and permit.permit not in held
            if permit.entry == entry and stale:
                get_metrics().count("permits_reconciled")
                self._end_permit(owned, permit.permit, "unused", "")

    # Reports.

    def find_owned(self, name: str) -> OwnedEndpoint | None:
        """Return the owner's state of the endpoint, or None if it is not owned."""
        return self.owned.get(name)

    def find_owner_url(self, name: str) -> str:
        """Return the URL of the endpoint's owner, or an empty string."""
        owner = self.follower.owner_map.get_owner(name)
        return owner.url if owner is not None else ""

    def apply_report(self, report) -> None:
        """Apply a load report if this entry owns the endpoint."""
        owned = self.owned.get(report.endpoint)
        if owned is None:
            return
        is_own_stamp = report.stamp_owner == self.session.epoch
        owned.limiter.record_report(
            report.incarnation,
            report.running,
            report.completed,
            report.stamp if is_own_stamp else NO_STAMP,
        )
        self._serve_queue(owned)
