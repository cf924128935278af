"""The gateway with the platform's headers, readiness checks and directory."""

import trio

from medlarrail.platform.context_feed import PlatformContextFeed
from medlarrail.platform.dialect import PlatformDialect
from medlarrail.platform.directory import PlatformDirectory
from medlarrail.programs.asides import serve_aside
from medlarrail.programs.daemon import Reloads
from medlarrail.programs.gateway import Gateway
from medlarrail.settings.gateway import GatewaySettings
from medlarrail.transport.client import HttpClient

SETTINGS = GatewaySettings


async def run(settings: GatewaySettings, reloads: Reloads) -> None:
    """Run a gateway until SIGTERM, then drain it."""
    feed = PlatformContextFeed(HttpClient())
    gateway = Gateway(settings, PlatformDialect(), feed)
    reloads.listeners.append(gateway.reload)
    directory = PlatformDirectory(gateway)
    async with trio.open_nursery() as nursery:
        await serve_aside(nursery, settings.health_address, directory.answer_ready)
        if settings.directory_address:
            await serve_aside(
                nursery, settings.directory_address, directory.answer_resolve
            )
        await gateway.run(nursery)
        nursery.cancel_scope.cancel()
