"""``medlar-gateway``: reverse proxy for opaque requests."""

import os

import eliot
import trio
from attrs import define

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.context_store_client import ContextStoreClient
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.deployment import Deployment
from medlarrail.programs.auxiliary_servers import start_metrics
from medlarrail.programs.daemon import SettingsReloader, wait_for_stop_signal
from medlarrail.programs.memory import build_answer_memory, build_memory_gate
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.drain import drain_gateway
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.inbound import InboundServer
from medlarrail.relay.metadata import HeaderCodec
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.relay.startup_hold import StartupHold
from medlarrail.relay.workload_directory import WorkloadDirectory
from medlarrail.relay.workload_reporter import WorkloadReporter
from medlarrail.relay.workload_tracker import WorkloadTracker
from medlarrail.settings.gateway import GatewaySettings
from medlarrail.transport.client import HttpClient
from medlarrail.transport.datagrams import DatagramSocket


@define(slots=False)
class Gateway:
    """Components of one gateway; ``header_codec`` converts its request headers."""

    settings: GatewaySettings
    header_codec: HeaderCodec
    context_store_client: ContextStoreClient | None = None
    """Client for the contents of context stores, or None without stores."""

    def __attrs_post_init__(self):
        settings = self.settings
        self.gate = build_memory_gate(settings.memory_limit_mb)
        self.answer_memory = build_answer_memory(self.gate)
        peers = HttpClient(settings.keys.cluster, self.answer_memory)
        self.cluster_view = ClusterView()
        address = settings.listen.url.removeprefix("http://")
        self.view_client = ClusterViewClient(
            self.cluster_view,
            StateClient(peers, settings.state_urls),
            name=settings.name,
            address=address,
            data_centre=settings.data_centre,
            work_address=settings.work_address,
        )
        endpoint_stats = EndpointStats(
            self.cluster_view,
            settings.data_centre,
            settings.name,
            back_off_policy=settings.back_off,
        )
        self.relay = RequestRelay(
            self.cluster_view,
            self.header_codec,
            endpoint_stats,
            settings.retries,
            settings.isolation,
            secret=settings.keys.cluster.encode(),
            answer_memory=self.answer_memory,
        )
        if settings.software_rollouts is not None:
            self.relay.enable_rollouts(settings.software_rollouts)
        self.relay.connect_state(self.view_client.state)
        self.view_client.list_limited_services = endpoint_stats.room.list_limited
        self.relay.workload = WorkloadTracker(settings.name)
        if settings.work_address:
            work_socket = DatagramSocket(settings.work_address, settings.keys.cluster)
            self.relay.reporter = WorkloadReporter(
                self.cluster_view, self.relay.workload, work_socket
            )
            self.relay.workloads = WorkloadDirectory(
                self.relay.reporter, settings.work_address
            )
            self.relay.connect_stream_origins(settings.work_address)
        if self.context_store_client is not None:
            self.relay.context = ContextIndex(
                self.cluster_view, self.context_store_client, settings.name
            )
        if self.relay.context is not None and self.relay.reporter is not None:
            self.relay.connect_part_directory(settings.work_address)
        self.server = InboundServer(
            self.relay.answer,
            self.relay.answer_error,
            max_connections=settings.max_connections,
            gate=self.gate,
        )
        self.cluster_view.deployment_listeners.append(self._apply_deployment)

    def _apply_deployment(self, deployment: Deployment) -> None:
        self.server.limits = deployment.limits
        self.view_client.ready = not self.server.draining

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the state members that the new settings name."""
        self.view_client.set_seeds(settings.state_urls)

    def is_ready(self) -> bool:
        """Return whether callers may be directed to this gateway."""
        has_deployment = self.cluster_view.deployment is not None
        has_current_state = self.settings.isolation.allows(
            self.cluster_view.get_age_s()
        )
        return has_deployment and has_current_state and not self.server.draining

    async def run(self, nursery: trio.Nursery) -> None:
        """Serve until the stop signal, then drain."""
        listen = self.settings.listen
        self.relay.startup = StartupHold()
        await nursery.start(self.server.run, listen.host, listen.bind_port)
        if self.settings.metrics_address:
            await start_metrics(nursery, self.settings.metrics_address, self.gate)
        nursery.start_soon(self.gate.run_upkeep)
        if self.relay.reporter is not None:
            await nursery.start(self.relay.reporter.run)
        nursery.start_soon(self.view_client.run)
        nursery.start_soon(self.relay.maintain)
        nursery.start_soon(self.relay.pool.loop_watch.run)
        nursery.start_soon(self.relay.run_reporters)
        if self.relay.context is not None:
            nursery.start_soon(self.relay.context.run)
        await wait_for_stop_signal()
        eliot.log_message("gateway:draining", name=self.settings.name)
        self.view_client.ready = False
        self.server.draining = True
        nursery.start_soon(self.view_client.report_readiness)
        await drain_gateway(self.server, self.relay, self.settings.drain)


async def run_gateway(settings: GatewaySettings, reloader: SettingsReloader) -> None:
    """Run a gateway until SIGTERM, then drain it."""
    eliot.log_message("gateway:starting", name=settings.name, pid=os.getpid())
    async with trio.open_nursery() as nursery:
        gateway = Gateway(settings, DefaultHeaderCodec())
        reloader.listeners.append(gateway.reload)
        await gateway.run(nursery)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Entry point."""
    # Imported here because a daemon started in another way needs no command line.
    from medlarrail.programs.command_line import build_program

    build_program(
        "medlar-gateway",
        "Runs a gateway that relays opaque requests.",
        "medlar-gateway --settings gateway-1.json",
        GatewaySettings,
        run_gateway,
    )()
