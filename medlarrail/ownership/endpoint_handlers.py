"""Handles announcements, load reports and cache events from endpoints.

Any entry accepts them, but only the endpoint's owner stores the reports and
cache events. Other entries forward them to the owner, at most once; the answer
to a report names the owner, so that the endpoint can send the next one there.
"""

import trio
from attrs import define, evolve, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.log_client import LogClient
from medlarrail.cluster.session import Session
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import MedlarError, NotOwner
from medlarrail.core.metrics import get_metrics
from medlarrail.ownership.ownership import OwnedEndpoints
from medlarrail.protocol.empty import EmptyMessage
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
from medlarrail.transport.client import PeerClient
from medlarrail.transport.routes import Request, route

FORWARDED_REPORT_PATH = "/internal/report"
FORWARDED_EVENTS_PATH = "/internal/cache-events"
FORWARD_TIMEOUT_S = 1.0
CACHE_KEYS_TIMEOUT_S = 2.0
CACHE_KEYS_DELAY_S = 0.5
REMOVE_AFTER_SILENCE_S = 600.0
"""Time without a load report after which an endpoint leaves the catalogue."""
REMOVE_CHECK_INTERVAL_S = 30.0


@define
class EndpointHandlers:
    """Handles the requests that endpoints send to this entry."""

    session: Session
    state: LogClient
    follower: Follower
    owners: OwnedEndpoints
    peers: PeerClient
    nursery: trio.Nursery
    clock: Clock = get_boottime
    _running_fetches: set[str] = field(factory=set)

    @route("POST", ANNOUNCE_PATH, AnnounceRequest)
    async def handle_announce(self, request: Request) -> AnnounceAnswer:
        """Register an endpoint if its announcement differs from the catalogue."""
        announced: Endpoint = request.message.endpoint
        if self._differs_from_catalogue(announced):
            operation = RegisterEndpoint(announced)
            outcome = await self.state.propose(Envelope(operation))
            with trio.move_on_after(FORWARD_TIMEOUT_S):
                await self.follower.wait_index(outcome.index)
        return AnnounceAnswer(
            self.owners.find_owner_url(announced.name), self._list_entry_urls()
        )

    def _differs_from_catalogue(self, announced: Endpoint) -> bool:
        registered = self.follower.catalogue.endpoints.get(announced.name)
        if registered is None:
            return True
        return evolve(registered, state="in") != evolve(announced, state="in")

    def _list_entry_urls(self) -> tuple[str, ...]:
        view = self.follower.catalogue.view
        return tuple(session.url for session in view.list_owners())

    @route("POST", ANNOUNCE_STORE_PATH, AnnounceStoreRequest)
    async def handle_announce_store(self, request: Request) -> AnnounceAnswer:
        """Register a store if its announcement differs from the catalogue."""
        store = request.message.store
        if self.follower.catalogue.stores.get(store.name) != store:
            await self.state.propose(Envelope(RegisterStore(store)))
        return AnnounceAnswer(self.session.url, self._list_entry_urls())

    @route("POST", REPORT_PATH, LoadReport)
    async def handle_report(self, request: Request) -> ReportAnswer:
        """Process a load report, or forward it to the owner."""
        report: LoadReport = request.message
        if self.owners.find_owned(report.endpoint) is not None:
            return self._apply_report(report)
        return await self._forward(
            report.endpoint, FORWARDED_REPORT_PATH, report, ReportAnswer
        )

    @route("POST", FORWARDED_REPORT_PATH, LoadReport)
    async def handle_forwarded_report(self, request: Request) -> ReportAnswer:
        """Process a load report that another entry forwarded."""
        return self._apply_report(request.message)

    def _apply_report(self, report: LoadReport) -> ReportAnswer:
        if self.owners.find_owned(report.endpoint) is None:
            raise NotOwner(endpoint=report.endpoint)
        self.owners.apply_report(report)
        return ReportAnswer(self.session.url, self.clock(), self.session.epoch)

    async def _forward(self, endpoint: str, path: str, message, answer_type):
        url = self.owners.find_owner_url(endpoint)
        if url in ("", self.session.url):
            raise NotOwner(endpoint=endpoint)
        return await self.peers.call(url, path, message, answer_type, FORWARD_TIMEOUT_S)

    @route("POST", EVENTS_PATH, CacheEvents)
    async def handle_events(self, request: Request) -> EmptyMessage:
        """Process cache events, or forward them to the owner."""
        message: CacheEvents = request.message
        if self.owners.find_owned(message.endpoint) is not None:
            return self._apply_events(message)
        return await self._forward(
            message.endpoint, FORWARDED_EVENTS_PATH, message, EmptyMessage
        )

    @route("POST", FORWARDED_EVENTS_PATH, CacheEvents)
    async def handle_forwarded_events(self, request: Request) -> EmptyMessage:
        """Process cache events that another entry forwarded."""
        return self._apply_events(request.message)

    def _apply_events(self, message: CacheEvents) -> EmptyMessage:
        owned = self.owners.find_owned(message.endpoint)
        if owned is None:
            raise NotOwner(endpoint=message.endpoint)
        if message.incarnation != owned.endpoint.incarnation:
            owned.cached_keys.invalidate()
        elif not owned.cached_keys.apply_events(message):
            self.request_cache_keys(message.endpoint)
        return EmptyMessage()

    def request_cache_keys(self, name: str) -> None:
        """Fetch an endpoint's whole set of cache keys, unless a fetch is running."""
        if name not in self._running_fetches:
            self._running_fetches.add(name)
            self.nursery.start_soon(self._fetch_cache_keys, name)

    async def _fetch_cache_keys(self, name: str) -> None:
        try:
            await trio.sleep(CACHE_KEYS_DELAY_S)
            owned = self.owners.find_owned(name)
            if owned is None:
                return
            get_metrics().count("cache_pictures_fetched")
            keys = await self.peers.call(
                owned.endpoint.url,
                CACHE_KEYS_PATH,
                EmptyMessage(),
                CacheKeys,
                CACHE_KEYS_TIMEOUT_S,
            )
            if keys.incarnation == owned.endpoint.incarnation:
                owned.cached_keys.replace_keys(keys)
        except MedlarError as error:
            get_metrics().count("cache_picture_failures", type=type(error).__name__)
        finally:
            self._running_fetches.discard(name)

    @route("POST", LEAVE_PATH, LeaveRequest)
    async def handle_leave(self, request: Request) -> EmptyMessage:
        """Mark an endpoint as leaving, so that it gets no new requests."""
        message: LeaveRequest = request.message
        registered = self.follower.catalogue.endpoints.get(message.endpoint)
        if registered is not None and registered.incarnation == message.incarnation:
            operation = SetEndpointState(message.endpoint, "leaving")
            await self.state.propose(Envelope(operation))
        return EmptyMessage()

    async def run(self) -> None:
        """Remove from the catalogue the endpoints that have stopped reporting."""
        while True:
            await trio.sleep(REMOVE_CHECK_INTERVAL_S)
            for owned in list(self.owners.owned.values()):
                silence_s = self.clock() - owned.limiter.reported_at
                if silence_s > REMOVE_AFTER_SILENCE_S and self.session.is_valid():
                    await self._remove(owned.endpoint)

    async def _remove(self, endpoint: Endpoint) -> None:
        operation = RemoveEndpoint(endpoint.name, endpoint.incarnation)
        try:
            await self.state.propose(Envelope(operation))
        except MedlarError as error:
            get_metrics().count("forget_failures", type=type(error).__name__)
