"""State member that serves the platform's control calls."""

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.platform.context_store_client import PlatformContextStoreClient
from medlarrail.platform.control import PlatformControl
from medlarrail.platform.orders import PlatformOrders
from medlarrail.programs.daemon import SettingsReloader
from medlarrail.programs.state import MemberExtensions, run_state
from medlarrail.settings.state import StateSettings
from medlarrail.transport.client import HttpClient

SETTINGS = StateSettings


def build_extensions(view_server: ClusterViewServer) -> MemberExtensions:
    """Return the control routes and the clients for engines and stores."""
    client = HttpClient()
    return MemberExtensions(
        (PlatformControl(view_server),),
        PlatformOrders(client),
        PlatformContextStoreClient(client),
    )


async def run(settings: StateSettings, reloader: SettingsReloader) -> None:
    """Run a state member until SIGTERM."""
    await run_state(settings, reloader, build_extensions)
