"""Takes announcements, reports and cache events of endpoints.

Any entry takes them; the endpoint's owner keeps what they say. What another
entry owns is passed on once, and the answer names the owner for the next time.
"""

import trio
from attrs import define, evolve, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.session import Session
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import MedlarError, NotOwner
from medlarrail.core.metrics import get_metrics
from medlarrail.ownership.ownership import OwnerTable
from medlarrail.protocol.control import Nothing
from medlarrail.protocol.endpoints import (
    ANNOUNCE_PATH,
    ANNOUNCE_STORE_PATH,
    CACHE_KEYS_PATH,
    EVENTS_PATH,
    LEAVE_PATH,
    REPORT_PATH,
    AnnounceAnswer,
    AnnounceRequest,
    AnnounceStoreRequest,
    CacheEvents,
    CacheKeys,
    LeaveRequest,
    LoadReport,
    ReportAnswer,
)
from medlarrail.state.operations import (
    Envelope,
    RegisterEndpoint,
    RegisterStore,
    RemoveEndpoint,
    SetEndpointState,
)
from medlarrail.transport.client import Peers
from medlarrail.transport.routes import Request, route

FORWARDED_REPORT_PATH = "/internal/report"
FORWARDED_EVENTS_PATH = "/internal/cache-events"
FORWARD_TIMEOUT_S = 1.0
KEYS_TIMEOUT_S = 2.0
KEYS_PAUSE_S = 0.5
FORGET_AFTER_S = 600.0
"""Silence after which an endpoint is taken off the catalogue."""
FORGET_CHECK_S = 30.0


@define
class EndpointDesk:
    """Speaks with endpoints on behalf of this entry."""

    session: Session
    state: StateClient
    follower: Follower
    owners: OwnerTable
    peers: Peers
    nursery: trio.Nursery
    clock: Clock = get_boottime
    _fetching: set[str] = field(factory=set)

    @route("POST", ANNOUNCE_PATH, AnnounceRequest)
    async def handle_announce(self, request: Request) -> AnnounceAnswer:
        """Record an endpoint where what it says is new."""
        announced: Endpoint = request.message.endpoint
        if self._is_new(announced):
            operation = RegisterEndpoint(announced)
            outcome = await self.state.propose(Envelope(operation))
            with trio.move_on_after(FORWARD_TIMEOUT_S):
                await self.follower.wait_index(outcome.index)
        return AnnounceAnswer(
            self.owners.find_owner_url(announced.name), self._list_urls()
        )

    def _is_new(self, announced: Endpoint) -> bool:
        known = self.follower.catalogue.endpoints.get(announced.name)
        if known is None:
            return True
        return evolve(known, state="in") != evolve(announced, state="in")

    def _list_urls(self) -> tuple[str, ...]:
        view = self.follower.catalogue.view
        return tuple(one.url for one in view.list_owners())

    @route("POST", ANNOUNCE_STORE_PATH, AnnounceStoreRequest)
    async def handle_announce_store(self, request: Request) -> AnnounceAnswer:
        """Record a store where what it says is new."""
        store = request.message.store
        if self.follower.catalogue.stores.get(store.name) != store:
            await self.state.propose(Envelope(RegisterStore(store)))
        return AnnounceAnswer(self.session.url, self._list_urls())

    @route("POST", REPORT_PATH, LoadReport)
    async def handle_report(self, request: Request) -> ReportAnswer:
        """Take a load report, or pass it on to the owner."""
        report: LoadReport = request.message
        if self.owners.find_owned(report.endpoint) is not None:
            return self._take_report(report)
        return await self._forward(
            report.endpoint, FORWARDED_REPORT_PATH, report, ReportAnswer
        )

    @route("POST", FORWARDED_REPORT_PATH, LoadReport)
    async def handle_forwarded_report(self, request: Request) -> ReportAnswer:
        """Take a load report that another entry passed on."""
        return self._take_report(request.message)

    def _take_report(self, report: LoadReport) -> ReportAnswer:
        if self.owners.find_owned(report.endpoint) is None:
            raise NotOwner(endpoint=report.endpoint)
        self.owners.take_report(report)
        return ReportAnswer(self.session.url, self.clock(), self.session.epoch)

    async def _forward(self, endpoint: str, path: str, message, answer_type):
        url = self.owners.find_owner_url(endpoint)
        if url in ("", self.session.url):
            raise NotOwner(endpoint=endpoint)
        return await self.peers.call(url, path, message, answer_type, FORWARD_TIMEOUT_S)

    @route("POST", EVENTS_PATH, CacheEvents)
    async def handle_events(self, request: Request) -> Nothing:
        """Take cache events, or pass them on to the owner."""
        message: CacheEvents = request.message
        if self.owners.find_owned(message.endpoint) is not None:
            return self._take_events(message)
        return await self._forward(
            message.endpoint, FORWARDED_EVENTS_PATH, message, Nothing
        )

    @route("POST", FORWARDED_EVENTS_PATH, CacheEvents)
    async def handle_forwarded_events(self, request: Request) -> Nothing:
        """Take cache events that another entry passed on."""
        return self._take_events(request.message)

    def _take_events(self, message: CacheEvents) -> Nothing:
        owned = self.owners.find_owned(message.endpoint)
        if owned is None:
            raise NotOwner(endpoint=message.endpoint)
        if message.incarnation != owned.endpoint.incarnation:
            owned.picture.drop()
        elif not owned.picture.take_events(message):
            self.request_picture(message.endpoint)
        return Nothing()

    def request_picture(self, name: str) -> None:
        """Ask an endpoint for its whole cache picture, once at a time."""
        if name not in self._fetching:
            self._fetching.add(name)
            self.nursery.start_soon(self._fetch_picture, name)

    async def _fetch_picture(self, name: str) -> None:
        try:
            await trio.sleep(KEYS_PAUSE_S)
            owned = self.owners.find_owned(name)
            if owned is None:
                return
            get_metrics().count("cache_pictures_fetched")
            keys = await self.peers.call(
                owned.endpoint.url,
                CACHE_KEYS_PATH,
                Nothing(),
                CacheKeys,
                KEYS_TIMEOUT_S,
            )
            if keys.incarnation == owned.endpoint.incarnation:
                owned.picture.take_keys(keys)
        except MedlarError as error:
            get_metrics().count("cache_picture_failures", type=type(error).__name__)
        finally:
            self._fetching.discard(name)

    @route("POST", LEAVE_PATH, LeaveRequest)
    async def handle_leave(self, request: Request) -> Nothing:
        """Mark an endpoint as leaving, so that it gets no new work."""
        message: LeaveRequest = request.message
        known = self.follower.catalogue.endpoints.get(message.endpoint)
        if known is not None and known.incarnation == message.incarnation:
            operation = SetEndpointState(message.endpoint, "leaving")
            await self.state.propose(Envelope(operation))
        return Nothing()

    async def run(self) -> None:
        """Take endpoints that are silent for long off the catalogue."""
        while True:
            await trio.sleep(FORGET_CHECK_S)
            for owned in list(self.owners.owned.values()):
                silence_s = self.clock() - owned.limiter.reported_at
                if silence_s > FORGET_AFTER_S and self.session.is_valid():
                    await self._forget(owned.endpoint)

    async def _forget(self, endpoint: Endpoint) -> None:
        operation = RemoveEndpoint(endpoint.name, endpoint.incarnation)
        try:
            await self.state.propose(Envelope(operation))
        except MedlarError as error:
            get_metrics().count("forget_failures", type=type(error).__name__)
