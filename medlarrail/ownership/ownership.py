"""The endpoints that this entry owns, and the permits that it gives for them.

Ownership follows from the view of sessions. Taking over, an owner asks every
other live entry for the permits that it holds; an entry that answers acts under
the new view from then on and grants nothing more for those endpoints. Until all
have answered, or the leases that they may hold have ended, nothing is granted.
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
    LONGEST_QUEUE_WAIT_S,
    PERMIT_LIFE_S,
    SESSION_LEASE_S,
)
from medlarrail.ownership.limiter import GrantedPermit, Limiter
from medlarrail.ownership.owned_endpoint import OwnedEndpoint, Waiting
from medlarrail.protocol.permits import (
    HOLDINGS_PATH,
    AcquireAnswer,
    AcquireRequest,
    Holding,
    HoldingsAnswer,
    HoldingsRequest,
    Notice,
    NoticesRequest,
)
from medlarrail.transport.client import Peers

HOLDINGS_TIMEOUT_S = 1.0
HOLDINGS_PAUSE_S = 0.2
RECONCILE_AFTER_S = PERMIT_LIFE_S + 2.0
"""Age after which a permit that its entry does not list is dropped."""
MAINTENANCE_INTERVAL_S = 0.25
NO_STAMP = -1.0
LONGEST_QUEUE = 500
UNSETTLED_RETRY_S = 0.5


@define
class OwnerTable:
    """The endpoints that the entry of ``session`` owns now."""

    session: Session
    follower: Follower
    peers: Peers
    clock: Clock = get_boottime
    owned: dict[str, OwnedEndpoint] = field(factory=dict)
    view_epoch: int = 0
    _cancelled: dict[str, float] = field(factory=dict)
    """Permits given back before they were granted, and when."""
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.follower.on_change.append(self.update)
        self.session.on_epoch.append(self.update)

    # Following the view.

    def update(self) -> None:
        """Take up the present view, endpoints and states."""
        catalogue = self.follower.catalogue
        self.follower.owner_map.update(catalogue.view)
        view_changed = catalogue.view.epoch != self.view_epoch
        self.view_epoch = catalogue.view.epoch
        mine = {one.name: one for one in self._iterate_mine()}
        for name in [name for name in self.owned if name not in mine]:
            self._drop(name)
        for endpoint in mine.values():
            self._take_up(endpoint)
        for owned in self.owned.values():
            if not catalogue.is_in_service(owned.endpoint):
                owned.fail_all(
                    lambda name=owned.endpoint.name: EndpointOutOfService(endpoint=name)
                )
        if view_changed:
            self._forget_closed_sessions()
        self._wake()

    def _iterate_mine(self) -> Iterator[Endpoint]:
        catalogue = self.follower.catalogue
        for endpoint in catalogue.endpoints.values():
            owner = self.follower.owner_map.get_owner(endpoint.name)
            if owner is not None and self._is_me(owner):
                yield endpoint

    def _is_me(self, owner: EntrySession) -> bool:
        return owner.entry == self.session.name and owner.epoch == self.session.epoch

    def _drop(self, name: str) -> None:
        owned = self.owned.pop(name)
        owned.fail_all(lambda: NotOwner(endpoint=name, retry_after_s=0.1))

    def _take_up(self, endpoint: Endpoint) -> None:
        owned = self.owned.get(endpoint.name)
        if owned is not None:
            owned.limiter.update(endpoint)
            return
        limiter = Limiter(endpoint, self.clock)
        limiter.reported_at = self.clock()
        owned = OwnedEndpoint(limiter, owned_since=self.clock())
        owned.awaited = {
            one.entry
            for one in self.follower.catalogue.view.sessions
            if not self._is_me(one)
        }
        limiter.holders_known = not owned.awaited
        self.owned[endpoint.name] = owned
        get_metrics().count("endpoints_taken_over")

    def _forget_closed_sessions(self) -> None:
        live = {one.entry for one in self.follower.catalogue.view.sessions}
        for owned in self.owned.values():
            owned.awaited &= live
            owned.limiter.holders_known = not owned.awaited
            holders = {one.entry for one in owned.limiter.permits.values()}
            for entry in holders - live:
                owned.limiter.note_closed(entry)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Settle take-overs and keep the permits in order."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            while True:
                await trio.sleep(MAINTENANCE_INTERVAL_S)
                self._maintain()

    async def _settle(self) -> None:
        """Ask the live entries what they hold of newly owned endpoints."""
        while True:
            await trio.sleep(HOLDINGS_PAUSE_S / 4)
            targets = {name for owned in self.owned.values() for name in owned.awaited}
            if not targets:
                await self._changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                for name in targets:
                    session = self.follower.owner_map.get_session(name)
                    if session is not None:
                        nursery.start_soon(self._ask_holdings, session)

    async def _ask_holdings(self, session: EntrySession) -> None:
        names = tuple(
            name for name, one in self.owned.items() if session.entry in one.awaited
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
            await trio.sleep(HOLDINGS_PAUSE_S)
            return
        if answer.view_epoch < request.view_epoch:
            await trio.sleep(HOLDINGS_PAUSE_S)
            return
        self._take_holdings(session.entry, names, answer.holdings)

    def _take_holdings(self, entry: str, names, holdings: tuple[Holding, ...]) -> None:
        now = self.clock()
        for holding in holdings:
            owned = self.owned.get(holding.endpoint)
            if owned is not None:
                owned.limiter.permits[holding.permit] = GrantedPermit(
                    holding.permit,
                    entry,
                    holding.account,
                    granted_at=float("-inf"),
                    hold_until=now + holding.hold_s,
                )
        for name in names:
            owned = self.owned.get(name)
            if owned is not None:
                owned.awaited.discard(entry)
                owned.limiter.holders_known = not owned.awaited
                self._serve_queue(owned)

    def may_grant(self, owned: OwnedEndpoint) -> bool:
        """Return whether no earlier owner can still give permits.

        Either every live entry has ceded, or every lease that was granted
        before this view has ended and what runs was counted by the endpoint.
        """
        if owned.limiter.holders_known:
            return True
        leases_end = owned.owned_since + SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S
        last_use = leases_end + LONGEST_QUEUE_WAIT_S + PERMIT_LIFE_S
        return owned.limiter.reported_stamp > last_use

    def _maintain(self) -> None:
        for owned in self.owned.values():
            for permit in owned.limiter.list_lapsed():
                get_metrics().count("permits_lapsed")
                self._end(owned, permit, "silent", "")
            self._serve_queue(owned)
        horizon = self.clock() - RECONCILE_AFTER_S
        self._cancelled = {
            permit: at for permit, at in self._cancelled.items() if at > horizon
        }

    # Permits.

    def _require_owned(self, name: str) -> OwnedEndpoint:
        self.session.require()
        owned = self.owned.get(name)
        if owned is None:
            raise NotOwner(endpoint=name, retry_after_s=0.1)
        return owned

    async def acquire(self, request: AcquireRequest) -> AcquireAnswer:
        """Return a permit, after a wait if need be, or refuse at once."""
        owned = self._require_owned(request.endpoint)
        self._check_holder(request)
        waiting = owned.waiting.get(request.permit)
        if waiting is None and request.permit not in owned.limiter.permits:
            waiting = self._enqueue(owned, request)
        if waiting is not None:
            await self._wait_granted(owned, waiting)
            self.session.require()
        return self._build_answer(owned, request)

    def _check_holder(self, request: AcquireRequest) -> None:
        holder = self.follower.owner_map.get_session(request.entry)
        if holder is None or holder.epoch != request.epoch:
            raise SessionClosed(entry=request.entry)

    def _enqueue(self, owned: OwnedEndpoint, request: AcquireRequest) -> Waiting:
        self._check_open(owned, request)
        waiting = Waiting(request)
        owned.waiting[request.permit] = waiting
        owned.queue.add(request.permit, request.account, request.weight)
        self._serve_queue(owned)
        return waiting

    def _check_open(self, owned: OwnedEndpoint, request: AcquireRequest) -> None:
        """Refuse what cannot be served in time, with the reason."""
        name = request.endpoint
        if not self.follower.catalogue.takes_new_work(owned.endpoint):
            raise EndpointOutOfService(endpoint=name)
        if owned.limiter.is_silent():
            raise EndpointSilent(endpoint=name)
        if not self.may_grant(owned) and request.wait_s < UNSETTLED_RETRY_S:
            raise OwnershipUnsettled(endpoint=name, retry_after_s=UNSETTLED_RETRY_S)
        if owned.limiter.has_room() and not owned.queue:
            return
        ahead = owned.queue.count_ahead(request.account)
        expected_s = owned.estimate_wait(ahead)
        if expected_s > request.wait_s or len(owned.queue) >= LONGEST_QUEUE:
            raise self._build_refusal(owned, expected_s)

    def _build_refusal(self, owned: OwnedEndpoint, expected_s: float) -> Refusal:
        if self.may_grant(owned):
            return owned.build_load_refusal(expected_s)
        return OwnershipUnsettled(
            endpoint=owned.endpoint.name, retry_after_s=UNSETTLED_RETRY_S
        )

    async def _wait_granted(self, owned: OwnedEndpoint, waiting: Waiting) -> None:
        permit = waiting.request.permit
        try:
            with trio.move_on_after(waiting.request.wait_s):
                await waiting.settled.wait()
            if not waiting.settled.is_set():
                waiting.error = self._build_refusal(owned, owned.estimate_wait(0))
                waiting.settled.set()
        finally:
            owned.waiting.pop(permit, None)
            owned.queue.remove(permit)
        if waiting.error is not None:
            raise waiting.error

    def _serve_queue(self, owned: OwnedEndpoint) -> None:
        """Give permits while there is room, in the order of the fair queue."""
        if not self.session.is_valid() or not self.may_grant(owned):
            return
        if not self.follower.catalogue.takes_new_work(owned.endpoint):
            return
        while owned.queue and owned.limiter.has_room():
            ticket = owned.queue.pop()
            waiting = owned.waiting.get(ticket.name)
            if waiting is None or waiting.settled.is_set():
                continue
            if ticket.name in self._cancelled:
                waiting.error = EndpointOutOfService(endpoint=owned.endpoint.name)
            else:
                self._grant(owned, waiting.request)
            waiting.settled.set()

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
            life_s=PERMIT_LIFE_S,
            cached_blocks=owned.picture.count_prefix(request.block_keys),
            running=len(owned.limiter.permits),
        )

    def take_notices(self, message: NoticesRequest) -> None:
        """Take notices of started and ended requests, then reconcile."""
        for notice in message.notices:
            self._take_notice(notice)
        held = set(message.held)
        for owned in self.owned.values():
            self._reconcile(owned, message.entry, held)

    def _take_notice(self, notice: Notice) -> None:
        owned = self.owned.get(notice.endpoint)
        if owned is None:
            return
        if notice.kind == "started":
            owned.limiter.note_started(notice.permit, notice.incarnation)
            self._serve_queue(owned)
        else:
            self._end(owned, notice.permit, notice.outcome, notice.incarnation)

    def _end(
        self, owned: OwnedEndpoint, permit: str, outcome: str, incarnation: str
    ) -> None:
        if permit not in owned.limiter.permits:
            self._cancelled[permit] = self.clock()
        else:
            owned.releases.append(self.clock())
        owned.limiter.note_ended(permit, outcome, incarnation)
        self._serve_queue(owned)

    def _reconcile(self, owned: OwnedEndpoint, entry: str, held: set[str]) -> None:
        """Drop permits that their entry does not hold; their notice was lost."""
        horizon = self.clock() - RECONCILE_AFTER_S
        for permit in list(owned.limiter.permits.values()):
            stale = permit.granted_at < horizon and permit.permit not in held
            if permit.entry == entry and stale:
                get_metrics().count("permits_reconciled")
                self._end(owned, permit.permit, "unused", "")

    # Reports.

    def find_owned(self, name: str) -> OwnedEndpoint | None:
        """Return the endpoint's state here, or None if another entry owns it."""
        return self.owned.get(name)

    def find_owner_url(self, name: str) -> str:
        """Return the URL of the endpoint's owner, or an empty string."""
        owner = self.follower.owner_map.get_owner(name)
        return owner.url if owner is not None else ""

    def take_report(self, report) -> None:
        """Take a load report of an endpoint that this entry owns."""
        owned = self.owned.get(report.endpoint)
        if owned is None:
            return
        mine = report.stamp_owner == self.session.epoch
        owned.limiter.note_report(
            report.incarnation,
            report.running,
            report.completed,
            report.stamp if mine else NO_STAMP,
        )
        self._serve_queue(owned)
