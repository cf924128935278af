"""``medlar-gateway``: an entry for opaque requests."""

import os

import eliot
import trio
from attrs import define

from medlarrail.cluster.context_feed import ContextFeed
from medlarrail.cluster.picture import Picture, PictureKeeper
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.deployment import Deployment
from medlarrail.programs.asides import start_metrics
from medlarrail.programs.daemon import SettingsReloader, wait_for_stop_signal
from medlarrail.relay.book import EndpointBook
from medlarrail.relay.calls import Dialect
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.dialect import StandardDialect
from medlarrail.relay.drain import drain_gateway
from medlarrail.relay.front import RelayFront
from medlarrail.relay.inbound import InboundServer
from medlarrail.relay.work_exchange import WorkExchange
from medlarrail.relay.work_tally import WorkTally
from medlarrail.settings.gateway import GatewaySettings
from medlarrail.transport.client import HttpClient
from medlarrail.transport.datagrams import DatagramPort


@define(slots=False)
class Gateway:
    """The parts of one gateway; ``dialect`` spells the facts of requests."""

    settings: GatewaySettings
    dialect: Dialect
    feed: ContextFeed | None = None
    """How stores are asked what they hold; none where there are no stores."""

    def __attrs_post_init__(self):
        settings = self.settings
        peers = HttpClient(settings.keys.cluster)
        self.picture = Picture()
        address = settings.listen.url.removeprefix("http://")
        self.keeper = PictureKeeper(
            self.picture,
            StateClient(peers, settings.state_urls),
            name=settings.name,
            address=address,
            data_centre=settings.data_centre,
            work_address=settings.work_address,
        )
        book = EndpointBook(self.picture, settings.data_centre)
        self.front = RelayFront(
            self.picture, self.dialect, book, settings.retries, settings.isolation
        )
        self.front.work = WorkTally(settings.name)
        if settings.work_address:
            port = DatagramPort(settings.work_address, settings.keys.cluster)
            self.front.exchange = WorkExchange(self.picture, self.front.work, port)
        if self.feed is not None:
            self.front.context = ContextIndex(self.picture, self.feed, settings.name)
        self.server = InboundServer(
            self.front.answer,
            self.front.answer_error,
            max_connections=settings.max_connections,
        )
        self.picture.on_deployment.append(self._take_deployment)

    def _take_deployment(self, deployment: Deployment) -> None:
        self.server.limits = deployment.limits
        self.keeper.ready = not self.server.draining

    def reload(self, settings: GatewaySettings) -> None:
        """Take up the members that new settings name."""
        self.keeper.set_seeds(settings.state_urls)

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        known = self.picture.deployment is not None
        usable = self.settings.isolation.allows(self.picture.get_age())
        return known and usable and not self.server.draining

    async def run(self, nursery: trio.Nursery) -> None:
        """Serve until the stop signal, then drain."""
        listen = self.settings.listen
        await nursery.start(self.server.run, listen.host, listen.bind_port)
        if self.settings.metrics_address:
            await start_metrics(nursery, self.settings.metrics_address)
        if self.front.exchange is not None:
            await nursery.start(self.front.exchange.run)
        nursery.start_soon(self.keeper.run)
        nursery.start_soon(self.front.maintain)
        if self.front.context is not None:
            nursery.start_soon(self.front.context.run)
        await wait_for_stop_signal()
        eliot.log_message("gateway:draining", name=self.settings.name)
        self.keeper.ready = False
        self.server.draining = True
        nursery.start_soon(self.keeper.tell)
        await drain_gateway(self.server, self.front, self.settings.drain)


async def run_gateway(settings: GatewaySettings, reloader: SettingsReloader) -> None:
    """Run a gateway until SIGTERM, then drain it."""
    eliot.log_message("gateway:starting", name=settings.name, pid=os.getpid())
    async with trio.open_nursery() as nursery:
        gateway = Gateway(settings, StandardDialect())
        reloader.listeners.append(gateway.reload)
        await gateway.run(nursery)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Entry point."""
    # Imported here because other ways to start a daemon need no command line.
    from medlarrail.programs.common import build_program

    build_program(
        "medlar-gateway",
        "Runs an entry for opaque requests.",
        "medlar-gateway --settings gateway-1.json",
        GatewaySettings,
        run_gateway,
    )()
