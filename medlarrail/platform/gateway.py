"""The gateway with the platform's headers, readiness checks and address directory."""

import trio

from medlarrail.platform.context_store_client import PlatformContextStoreClient
from medlarrail.platform.directory import PlatformDirectory
from medlarrail.platform.header_codec import PlatformHeaderCodec
from medlarrail.programs.auxiliary_servers import serve_auxiliary
from medlarrail.programs.daemon import SettingsReloader
from medlarrail.programs.gateway import Gateway
from medlarrail.settings.gateway import GatewaySettings
from medlarrail.transport.client import HttpClient

SETTINGS = GatewaySettings


async def run(settings: GatewaySettings, reloader: SettingsReloader) -> None:
    """Run a gateway until SIGTERM, then drain it."""
    store_client = PlatformContextStoreClient(HttpClient())
    gateway = Gateway(settings, PlatformHeaderCodec(), store_client)
    store_client.client.memory = gateway.answer_memory
    reloader.listeners.append(gateway.reload)
    directory = PlatformDirectory(gateway)
    async with trio.open_nursery() as nursery:
        await serve_auxiliary(
            nursery,
            settings.health_address,
            directory.answer_ready,
            gateway.gate,
            "readiness",
        )
        if settings.directory_address:
            await serve_auxiliary(
                nursery,
                settings.directory_address,
                directory.answer_resolve,
                gateway.gate,
                "directory",
            )
        await gateway.run(nursery)
        nursery.cancel_scope.cancel()
