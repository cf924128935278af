"""``medlar-entry``: serves callers and owns a share of the endpoints."""

import eliot
import trio
from attrs import define

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.log_client import LogClient
from medlarrail.cluster.session import Session
from medlarrail.core.metrics import Sample, get_metrics
from medlarrail.core.timing import ENTRY_LIST_TTL_S, MAX_PROPAGATION_DELAY_S
from medlarrail.ownership.endpoint_handlers import EndpointHandlers
from medlarrail.ownership.ownership import OwnedEndpoint, OwnedEndpoints
from medlarrail.ownership.path_health import PathHealth, RetryBudgets
from medlarrail.ownership.permit_client import PermitClient
from medlarrail.ownership.permit_handlers import PermitHandlers
from medlarrail.ownership.rollout import Rollout
from medlarrail.programs.command_line import build_program
from medlarrail.programs.daemon import SettingsReloader, wait_for_stop_signal
from medlarrail.programs.memory import build_answer_memory, build_memory_gate
from medlarrail.programs.monitoring import Monitoring
from medlarrail.protocol.status import (
    ENTRY_STATUS_PATH,
    CounterStatus,
    EntryStatus,
    OwnedStatus,
)
from medlarrail.serving.access import AccountDirectory, Guard, KeyRing
from medlarrail.serving.caller_api import CallerApi
from medlarrail.serving.context_restorer import StoreContextRestorer
from medlarrail.serving.engine_client import EngineClient
from medlarrail.serving.ledger import Ledger
from medlarrail.serving.routing import Router
from medlarrail.serving.service_calls import ServiceCalls
from medlarrail.settings.common import Keys
from medlarrail.settings.entry import EntrySettings
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Request, Routes, route
from medlarrail.transport.server import HttpServer

DRAIN_POLL_S = 0.05
ENDPOINT_PATHS = ("/v1/announce", "/v1/report", "/v1/cache-events", "/v1/leave")
"""Prefixes of the paths that endpoints use."""


def format_labels(sample: Sample) -> str:
    """Format the labels of a counter as ``name=value`` pairs."""
    return ",".join(f"{name}={value}" for name, value in sample.labels)


def describe_owned(owned: OwnedEndpoint, now: float) -> OwnedStatus:
    """Return the status of an owned endpoint."""
    limiter = owned.limiter
    return OwnedStatus(
        endpoint=owned.endpoint.name,
        limit=limiter.get_limit(),
        in_use=limiter.count_in_use(),
        unproven=limiter.count_unconfirmed(),
        queued=len(owned.queue),
        completed=limiter.completed,
        cold=limiter.is_cold(),
        holders_known=limiter.holders_known,
        reported_ago_s=now - limiter.reported_at,
        cached_blocks=len(owned.cached_keys.keys),
    )


@define(slots=False)
class EntryProgram:
    """Components of one entry."""

    settings: EntrySettings
    nursery: trio.Nursery

    def __attrs_post_init__(self):
        settings = self.settings
        self.gate = build_memory_gate(settings.memory_limit_mb)
        self.answers = build_answer_memory(self.gate)
        peers = HttpClient(settings.keys.cluster, self.answers)
        state = LogClient(peers, settings.state_urls)
        self.follower = Follower(peers, settings.state_urls)
        self.session = Session(
            settings.name,
            settings.listen.url,
            settings.data_centre,
            state,
            self.follower,
        )
        self.owners = OwnedEndpoints(self.session, self.follower, peers)
        self.permits = PermitClient(self.session, self.follower, self.owners, peers)
        self.ledger = Ledger(self.session, state, self.nursery)
        self.endpoint_handlers = EndpointHandlers(
            self.session, state, self.follower, self.owners, peers, self.nursery
        )
        self.rollout = Rollout(self.session, state, self.follower, self.owners, peers)
        self.caller_api = self._build_caller_api(peers)

    def _build_caller_api(self, peers: HttpClient) -> CallerApi:
        settings = self.settings
        router = Router(self.session, self.follower, self.permits, PathHealth())
        budgets = RetryBudgets()
        silence_s = settings.routing.first_token_silence_s
        restorer = StoreContextRestorer(
            self.follower, peers, settings.weights, self.nursery, PathHealth()
        )
        return CallerApi(
            AccountDirectory(self.follower),
            router,
            EngineClient(peers),
            ServiceCalls(router, peers, self.ledger, budgets, silence_s),
            budgets,
            settings.routing,
            settings.callers,
            restorer if settings.routing.use_stores else None,
        )

    def build_server(self) -> HttpServer:
        """Return the server with every route of the entry."""
        routes = Routes.collect(
            self,
            self.caller_api,
            self.endpoint_handlers,
            PermitHandlers(self.owners, self.permits),
            Monitoring(self.settings.name),
            guard=build_guard(self.settings.keys),
        )
        return HttpServer(routes, self.settings.server, self.gate, self.answers)

    @route("POST", ENTRY_STATUS_PATH)
    async def handle_status(self, request: Request) -> EntryStatus:
        """Return the status of this entry."""
        now = self.owners.clock()
        metrics = get_metrics()
        owned = tuple(
            describe_owned(endpoint, now) for endpoint in self.owners.owned.values()
        )
        return EntryStatus(
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            epoch=self.session.epoch,
            lease_valid=self.session.is_valid(),
            applied_index=self.follower.catalogue.index,
            held_permits=len(self.permits.held),
            first_token_p50_s=metrics.get_percentile("first_token", 50),
            first_token_p95_s=metrics.get_percentile("first_token", 95),
            counters=tuple(
                CounterStatus(sample.name, format_labels(sample), sample.value)
                for sample in metrics.iterate_samples()
            ),
            owned=owned,
        )

    def start(self) -> None:
        """Start the tasks of the entry."""
        for run in (
            self.follower.run,
            self.session.run,
            self.owners.run,
            self.permits.run,
            self.endpoint_handlers.run,
            self.rollout.run,
            self.gate.run_upkeep,
        ):
            self.nursery.start_soon(run)

    async def drain(self, server: HttpServer) -> None:
        """Leave the list of entries, complete all requests, then stop.

        Callers may still use a cached list, so new requests are accepted until the
        last of those lists has expired.
        """
        eliot.log_message("entry:draining", name=self.settings.name)
        await self.session.leave()
        await trio.sleep(MAX_PROPAGATION_DELAY_S + ENTRY_LIST_TTL_S)
        self.caller_api.draining = True
        with trio.move_on_after(self.settings.server.drain_limit_s):
            while self.permits.held:
                await trio.sleep(DRAIN_POLL_S)
            await server.wait_idle()
        await self.session.close()


def build_guard(keys: Keys) -> Guard:
    """Return the access rules of an entry, by path."""
    cluster = KeyRing.from_keys(keys.cluster)
    endpoints = KeyRing.from_keys(keys.endpoint).merge(cluster)
    operators = KeyRing(keys.operators_sha256).merge(cluster)
    return Guard(
        {
            "/internal/": cluster,
            **dict.fromkeys(ENDPOINT_PATHS, endpoints),
            ENTRY_STATUS_PATH: operators,
            "/metrics": operators,
        },
        ENDPOINT_PATHS,
    )


async def run_entry(settings: EntrySettings, reloader: SettingsReloader) -> None:
    """Run an entry until SIGTERM, then drain it."""
    async with trio.open_nursery() as nursery:
        program = EntryProgram(settings, nursery)
        server = program.build_server()
        listen = settings.listen
        await nursery.start(server.run, listen.host, listen.bind_port)
        program.start()
        await wait_for_stop_signal()
        await program.drain(server)
        nursery.cancel_scope.cancel()


app = build_program(
    "medlar-entry",
    "Runs an entry, which serves callers and owns a share of the endpoints.",
    "medlar-entry --settings entry-1.json",
    EntrySettings,
    run_entry,
)


def main() -> None:
    """Entry point."""
    app()
