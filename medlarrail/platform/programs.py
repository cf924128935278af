"""The programs with the platform's interfaces in place of the usual ones."""

from pathlib import Path

import eliot
import trio

from medlarrail.cluster.picture_desk import PictureDesk
from medlarrail.programs.common import Reloads, load_or_exit, run_daemon, start_log
from medlarrail.settings.daemons import GatewaySettings, StateSettings

PROGRAMS = ("gateway", "state")


async def run_gateway(settings: GatewaySettings, reloads: Reloads) -> None:
    """Run a gateway with the platform's headers, readiness and directory."""
    from medlarrail.platform.context_feed import PlatformContextFeed
    from medlarrail.platform.dialect import PlatformDialect
    from medlarrail.platform.directory import PlatformDirectory
    from medlarrail.programs.asides import serve_aside
    from medlarrail.programs.gateway import Gateway
    from medlarrail.transport.client import HttpClient

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


async def run_state(settings: StateSettings, reloads: Reloads) -> None:
    """Run a state member that answers the platform's control calls."""
    from medlarrail.platform.control import PlatformControl
    from medlarrail.platform.orders import PlatformOrders
    from medlarrail.programs.state import Interfaces
    from medlarrail.programs.state import run_state as run_member
    from medlarrail.transport.client import HttpClient

    def build_interfaces(desk: PictureDesk) -> Interfaces:
        return Interfaces((PlatformControl(desk),), PlatformOrders(HttpClient()))

    await run_member(settings, reloads, build_interfaces)


def run_on_platform(name: str, settings_path: Path) -> int:
    """Run the program ``name`` until it is told to stop."""
    kind, run = {
        "gateway": (GatewaySettings, run_gateway),
        "state": (StateSettings, run_state),
    }[name]
    settings = load_or_exit(settings_path, kind)
    start_log(settings.log_file)
    eliot.log_message("settings:read", name=settings.name, program=name)
    run_daemon(run, settings, settings_path)
    return 0
