"""``medlar-state``: a member of the replicated log."""

from collections.abc import Callable
from pathlib import Path

import eliot
import trio
from attrs import frozen

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.context_store_client import ContextStoreClient
from medlarrail.cluster.crash_watch import CrashWatch
from medlarrail.cluster.session_manager import SessionManager
from medlarrail.cluster.state_handlers import StateHandlers
from medlarrail.cluster.store_cleaner import StoreCleaner
from medlarrail.cluster.stream_origin_keeper import StreamOriginKeeper
from medlarrail.cluster.weight_rollout import WeightOrderSender, WeightRollout
from medlarrail.consensus.membership import MembershipManager
from medlarrail.consensus.replication import LogMember
from medlarrail.core.clock import PROCESS_STARTED_AT
from medlarrail.core.errors import StorageDamaged
from medlarrail.programs.auxiliary_servers import start_metrics
from medlarrail.programs.daemon import SettingsReloader, wait_for_stop_signal
from medlarrail.programs.memory import build_answer_memory, build_memory_gate
from medlarrail.programs.monitoring import Monitoring
from medlarrail.protocol.cluster_view import ANNOUNCEMENTS_PATH, DEPARTURES_PATH
from medlarrail.serving.access import Guard, KeyRing
from medlarrail.serving.ledger import LedgerReader
from medlarrail.settings.common import Keys
from medlarrail.settings.state import StateSettings
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import Journal, open_journal
from medlarrail.transport.client import HttpClient
from medlarrail.transport.datagrams import DatagramSocket
from medlarrail.transport.routes import Routes
from medlarrail.transport.server import HttpServer


def open_or_quarantine_journal(folder: DataFolder) -> Journal:
    """Open the journal; if it is damaged, move its files aside and start empty.

    The member then has a new identity and waits until an operator replaces the old
    member with it.
    """
    try:
        return open_journal(folder)
    except StorageDamaged as error:
        quarantine_path = folder.quarantine("damaged")
        eliot.log_message(
            "storage:damaged", error=str(error), kept=str(quarantine_path)
        )
        return open_journal(folder)


async def start_origin_keeper(nursery: trio.Nursery, settings: StateSettings) -> None:
    """Keep the origins of streams, if the port is free for datagrams, too."""
    listen = settings.listen
    datagram_socket = DatagramSocket(
        f"{listen.host}:{listen.bind_port}", settings.keys.cluster
    )
    try:
        await nursery.start(StreamOriginKeeper(datagram_socket).run)
    except OSError as error:
        eliot.log_message("streams:no-keeper", address=listen.url, reason=str(error))


def log_journal(journal: Journal) -> None:
    """Log what a member starts with, so that the logs tell who had which entries."""
    eliot.log_message(
        "storage:opened",
        identity=journal.meta.identity,
        cluster=journal.meta.cluster,
        term=journal.meta.term,
        last_index=journal.last_index,
        last_term=journal.last_term,
        snapshot_index=journal.snapshot.index if journal.snapshot else 0,
        voters=[member.name for member in journal.get_members() if member.voter],
    )


def build_guard(keys: Keys) -> Guard:
    """Return the access rules of a state member, by path."""
    cluster = KeyRing.from_keys(keys.cluster)
    operators = KeyRing(keys.operators_sha256).merge(cluster)
    endpoints = KeyRing.from_keys(keys.endpoint).merge(cluster)
    return Guard(
        {
            "/internal/": cluster,
            "/v1/": operators,
            ANNOUNCEMENTS_PATH: endpoints,
            DEPARTURES_PATH: endpoints,
            "/metrics": operators,
        },
        endpoint_paths=(ANNOUNCEMENTS_PATH, DEPARTURES_PATH),
    )


@frozen
class MemberExtensions:
    """Deployment-specific routes of a member, and clients for endpoints and stores."""

    routes: tuple = ()
    """Objects whose routes the member serves in addition to its own."""
    weight_orders: WeightOrderSender | None = None
    context_store_client: ContextStoreClient | None = None


ExtensionBuilder = Callable[[ClusterViewServer], MemberExtensions]


def build_no_extensions(view_server: ClusterViewServer) -> MemberExtensions:
    """Return no extensions."""
    return MemberExtensions()


async def run_state(
    settings: StateSettings,
    reloader: SettingsReloader,
    build_extensions: ExtensionBuilder = build_no_extensions,
) -> None:
    """Run a state member until SIGTERM."""
    folder = DataFolder(Path(settings.data_folder), settings.quota_bytes)
    gate = build_memory_gate(settings.memory_limit_mb)
    peers = HttpClient(settings.keys.cluster, build_answer_memory(gate))
    journal = open_or_quarantine_journal(folder)
    log_journal(journal)
    log_member = LogMember(
        settings.name,
        settings.listen.url,
        journal,
        peers,
        started_at=PROCESS_STARTED_AT,
    )
    view_server = ClusterViewServer(
        log_member, rollout_policy=settings.software_rollouts
    )
    crash_watch = CrashWatch(view_server)
    extensions = build_extensions(view_server)
    session_manager = SessionManager(log_member)
    membership = MembershipManager(log_member, settings.seeds, settings.first_start)
    reloader.listeners.append(membership.reload_seeds)
    routes = Routes.collect(
        log_member,
        session_manager,
        view_server,
        view_server.software_rollouts,
        crash_watch,
        membership,
        StateHandlers(log_member, session_manager),
        LedgerReader(log_member),
        Monitoring(settings.name),
        *extensions.routes,
        guard=build_guard(settings.keys),
    )
    server = HttpServer(routes, settings.server, gate)
    listen = settings.listen
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run, listen.host, listen.bind_port)
        await start_origin_keeper(nursery, settings)
        await nursery.start(log_member.run)
        nursery.start_soon(session_manager.run)
        nursery.start_soon(view_server.run)
        nursery.start_soon(crash_watch.run)
        if extensions.weight_orders is not None:
            rollout = WeightRollout(
                view_server, extensions.weight_orders, settings.rollout
            )
            nursery.start_soon(rollout.run)
        if extensions.context_store_client is not None:
            nursery.start_soon(
                StoreCleaner(view_server, extensions.context_store_client).run
            )
        if settings.metrics_address:
            await start_metrics(nursery, settings.metrics_address, gate)
        nursery.start_soon(gate.run_upkeep)
        if settings.seeds:
            nursery.start_soon(membership.run)
        await wait_for_stop_signal()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Entry point."""
    # Imported here because a daemon started in another way needs no command line.
    from medlarrail.programs.command_line import build_program

    build_program(
        "medlar-state",
        "Runs a member of the replicated log.",
        "medlar-state --settings state-1.json",
        StateSettings,
        run_state,
    )()
