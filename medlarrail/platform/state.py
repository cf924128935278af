"""A state member that answers the platform's control calls."""

from medlarrail.cluster.picture_desk import PictureDesk
from medlarrail.platform.context_feed import PlatformContextFeed
from medlarrail.platform.control import PlatformControl
from medlarrail.platform.orders import PlatformOrders
from medlarrail.programs.daemon import Reloads
from medlarrail.programs.state import Interfaces, run_state
from medlarrail.settings.state import StateSettings
from medlarrail.transport.client import HttpClient

SETTINGS = StateSettings


def build_interfaces(desk: PictureDesk) -> Interfaces:
    """Return the control calls, and the ways to engines and stores."""
    client = HttpClient()
    return Interfaces(
        (PlatformControl(desk),), PlatformOrders(client), PlatformContextFeed(client)
    )


async def run(settings: StateSettings, reloads: Reloads) -> None:
    """Run a state member until SIGTERM."""
    await run_state(settings, reloads, build_interfaces)
