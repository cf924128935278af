"""Base class of stand-in engines and services: capacity, cold start and reports."""

import secrets
from contextlib import contextmanager
from random import Random

import trio
from attrs import define, evolve, field, frozen

from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import FencedOff, MedlarError, Overloaded
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoints import (
    ANNOUNCE_PATH,
    ENDPOINT_STATE_PATH,
    LEAVE_PATH,
    ORDER_PATH,
    REPORT_PATH,
    AnnounceAnswer,
    AnnounceRequest,
    EndpointReport,
    LeaveRequest,
    LoadReport,
    Order,
    ReportAnswer,
)
from medlarrail.standins.settings import StandinSettings
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Request, route

ANNOUNCE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
INCARNATION_BYTES = 6


@frozen
class RunCount:
    """Number of runs of one request or idempotency key."""

    key: str
    runs: int


@frozen
class BackendStats:
    """Counters of a stand-in; tests and the soak compare them with callers' results."""

    name: str
    incarnation: str
    running: int
    completed: int
    overruns: int
    restarts: int
    refused: int
    old_orders_taken: int
    orders_refused: int
    bad_blocks: int
    most_running: int
    weight_version: str
    runs: tuple[RunCount, ...]


@define
class Backend:
    """A simulated back end that announces itself, starts cold and may crash."""

    settings: StandinSettings
    client: HttpClient
    random: Random
    incarnation: str = field(factory=lambda: secrets.token_hex(INCARNATION_BYTES))
    weight_version: str = ""
    running: int = 0
    completed: int = 0
    overruns: int = 0
    restarts: int = 0
    refused: int = 0
    old_orders_taken: int = 0
    orders_refused: int = 0
    bad_blocks: int = 0
    most_running: int = 0
    fencing: int = 0
    loading: str = ""
    adapter: str = ""
    role: str = ""
    down: bool = False
    leaving: bool = False
    runs: dict[str, int] = field(factory=dict)
    _crash_scopes: set[trio.CancelScope] = field(factory=set)
    _owner_url: str = ""
    _stamp: float = -1.0
    _stamp_owner: int = 0
    _next_entry: int = 0
    _nursery: trio.Nursery | None = None

    def __attrs_post_init__(self):
        self.weight_version = self.settings.endpoint.weight_version

    def describe(self) -> Endpoint:
        """Return the announced description of this back end."""
        return evolve(
            self.settings.endpoint,
            name=self.settings.name,
            url=self.settings.listen.url,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            weight_version=self.weight_version,
            adapter=self.adapter,
        )

    def get_capacity(self) -> int:
        """Return the number of concurrent requests that this back end can run now."""
        endpoint = self.settings.endpoint
        warmup = max(1, endpoint.warmup_requests)
        warmup_gain = (endpoint.warm_limit - endpoint.cold_limit) * min(
            1.0, self.completed / warmup
        )
        return endpoint.cold_limit + int(warmup_gain)

    @contextmanager
    def run_request(self, key: str):
        """Count a running request; a request above capacity can crash the back end."""
        if self.down:
            raise Overloaded(endpoint=self.settings.name)
        if self.running >= self.get_capacity():
            self.overruns += 1
            if self.settings.behaviour.falls_over:
                self.crash()
            self.refused += 1
            raise Overloaded(endpoint=self.settings.name)
        incarnation = self.incarnation
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[key] = self.runs.get(key, 0) + 1
        try:
            yield
        finally:
            if self.incarnation == incarnation:
                self.running -= 1
        if self.incarnation == incarnation:
            self.completed += 1

    def crash(self) -> None:
        """Crash: abort every running request and restart cold."""
        self.restarts += 1
        self.down = True
        for scope in list(self._crash_scopes):
            scope.cancel()
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.running = 0
        self.completed = 0
        self.clear_cache()
        self._nursery.start_soon(self._restart_after_downtime)

    def clear_cache(self) -> None:
        """Clear the state that a restart loses; overridden by engines."""

    async def _restart_after_downtime(self) -> None:
        await trio.sleep(self.settings.behaviour.down_s)
        self.down = False

    @contextmanager
    def cancel_on_crash(self):
        """Cancel the enclosed work when this back end crashes.

        Must not enclose a ``yield`` in a generator.
        """
        scope = trio.CancelScope()
        self._crash_scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._crash_scopes.discard(scope)

    async def run(self) -> None:
        """Announce this back end and report its load until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._announce)
            await self._report()

    def pick_entry(self) -> str:
        """Return the URL of the entry to call."""
        urls = self.settings.entry_urls
        return urls[self._next_entry % len(urls)]

    async def _announce(self) -> None:
        while True:
            if not self.down and not self.leaving:
                await self._announce_once()
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_once(self) -> None:
        try:
            answer = await self.client.call(
                self.pick_entry(),
                ANNOUNCE_PATH,
                AnnounceRequest(self.describe()),
                AnnounceAnswer,
                CALL_TIMEOUT_S * 3,
            )
            self._owner_url = answer.owner_url
        except MedlarError:
            self._next_entry += 1

    async def _report(self) -> None:
        while True:
            await trio.sleep(self.settings.behaviour.report_interval_s)
            if not self.down:
                report = self._build_report()
                await trio.sleep(self.settings.behaviour.report_lag_s)
                await self._send_report(report)

    def _build_report(self) -> LoadReport:
        return LoadReport(
            endpoint=self.settings.name,
            incarnation=self.incarnation,
            running=self.running,
            queued=0,
            completed=self.completed,
            weight_version=self.weight_version,
            age_s=self.settings.behaviour.report_lag_s,
            stamp=self._stamp,
            stamp_owner=self._stamp_owner,
        )

    async def _send_report(self, report: LoadReport) -> None:
        url = self._owner_url or self.pick_entry()
        try:
            answer = await self.client.call(
                url, REPORT_PATH, report, ReportAnswer, CALL_TIMEOUT_S
            )
        except MedlarError:
            self._owner_url = ""
            self._next_entry += 1
            return
        self._owner_url = answer.owner_url
        self._stamp = answer.stamp
        self._stamp_owner = answer.stamp_owner

    async def leave(self) -> None:
        """Announce that this back end is about to leave."""
        self.leaving = True
        try:
            await self.client.call(
                self.pick_entry(),
                LEAVE_PATH,
                LeaveRequest(self.settings.name, self.incarnation),
                EmptyMessage,
                CALL_TIMEOUT_S * 3,
            )
        except MedlarError:
            self._next_entry += 1

    @route("POST", ORDER_PATH, Order)
    async def handle_order(self, request: Request) -> EndpointReport:
        """Execute an order; with ``checks_fencing``, refuse outdated fencing tokens."""
        order: Order = request.message
        if order.fencing < self.fencing:
            if self.settings.endpoint.checks_fencing:
                self.orders_refused += 1
                raise FencedOff(seen=self.fencing)
            self.old_orders_taken += 1
        self.fencing = max(self.fencing, order.fencing)
        if order.kind == "load-weights" and order.value != self.weight_version:
            if not self.loading:
                self._nursery.start_soon(self._load_weights, order.value)
            self.loading = order.value
        elif order.kind == "load-adapter":
            self.adapter = order.value
        elif order.kind == "set-role":
            self.role = order.value
        return self._describe_state()

    async def _load_weights(self, version: str) -> None:
        await trio.sleep(self.settings.behaviour.load_s)
        self.weight_version = version
        self.loading = ""

    def _describe_state(self) -> EndpointReport:
        return EndpointReport(
            self.incarnation,
            self.weight_version,
            self.loading,
            self.role,
            self.adapter,
        )

    @route("POST", ENDPOINT_STATE_PATH)
    async def handle_state(self, request: Request) -> EndpointReport:
        """Return the current state."""
        return self._describe_state()

    @route("POST", "/standin/fall-over")
    async def handle_crash(self, request: Request) -> EmptyMessage:
        """Crash at the request of a test."""
        self.crash()
        return EmptyMessage()

    @route("POST", "/standin/stats")
    async def handle_stats(self, request: Request) -> BackendStats:
        """Return the counters of this stand-in."""
        return BackendStats(
            name=self.settings.name,
            incarnation=self.incarnation,
            running=self.running,
            completed=self.completed,
            overruns=self.overruns,
            restarts=self.restarts,
            refused=self.refused,
            old_orders_taken=self.old_orders_taken,
            orders_refused=self.orders_refused,
            bad_blocks=self.bad_blocks,
            most_running=self.most_running,
            weight_version=self.weight_version,
            runs=tuple(RunCount(*item) for item in sorted(self.runs.items())),
        )
