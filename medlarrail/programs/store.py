"""``medlar-store``: stores the contexts of prompts for reuse."""

from pathlib import Path

import trio

from medlarrail.context.context_store import ContextStore
from medlarrail.core.clock import get_boottime
from medlarrail.core.entities import Store
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.programs.command_line import build_program
from medlarrail.programs.daemon import SettingsReloader, wait_for_stop_signal
from medlarrail.programs.memory import build_answer_memory, build_memory_gate
from medlarrail.programs.monitoring import Monitoring
from medlarrail.protocol.endpoints import (
    ANNOUNCE_STORE_PATH,
    AnnounceAnswer,
    AnnounceStoreRequest,
)
from medlarrail.serving.access import Guard, KeyRing
from medlarrail.settings.common import Keys
from medlarrail.settings.store import StoreSettings
from medlarrail.state.blocks import BlockStore
from medlarrail.state.folder import DataFolder
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Routes
from medlarrail.transport.server import HttpServer

ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 3.0


def build_guard(keys: Keys) -> Guard:
    """Return the access rules of a store, by path."""
    cluster = KeyRing.from_keys(keys.cluster)
    operators = KeyRing(keys.operators_sha256).merge(cluster)
    return Guard({"/internal/": cluster, "/v1/": operators, "/metrics": operators})


async def announce(settings: StoreSettings, client: HttpClient) -> None:
    """Announce this store periodically; switch to the next entry after a failure."""
    listen = settings.listen
    store = Store(settings.name, listen.url, settings.data_centre)
    url_index = 0
    while True:
        url = settings.entry_urls[url_index % len(settings.entry_urls)]
        try:
            await client.call(
                url,
                ANNOUNCE_STORE_PATH,
                AnnounceStoreRequest(store),
                AnnounceAnswer,
                ANNOUNCE_TIMEOUT_S,
            )
            await trio.sleep(ANNOUNCE_INTERVAL_S)
        except MedlarError as error:
            get_metrics().count("announce_failures", type=type(error).__name__)
            url_index += 1
            await trio.sleep(ANNOUNCE_INTERVAL_S / 4)


async def run_store(settings: StoreSettings, reloader: SettingsReloader) -> None:
    """Run a store until SIGTERM, then complete the requests in progress."""
    gate = build_memory_gate(settings.memory_limit_mb)
    client = HttpClient(settings.keys.cluster, build_answer_memory(gate))
    blocks = BlockStore(
        DataFolder(Path(settings.data_folder)),
        settings.memory_bytes,
        settings.disk_bytes,
        get_boottime,
        settings.eviction,
    )
    blocks.open()
    listen = settings.listen
    async with trio.open_nursery() as nursery:
        store = ContextStore(settings.name, blocks, client, nursery)
        routes = Routes.collect(
            store, Monitoring(settings.name), guard=build_guard(settings.keys)
        )
        server = HttpServer(routes, settings.server, gate)
        await nursery.start(server.run, listen.host, listen.bind_port)
        nursery.start_soon(gate.run_upkeep)
        nursery.start_soon(announce, settings, client)
        await wait_for_stop_signal()
        await server.wait_idle()
        nursery.cancel_scope.cancel()


app = build_program(
    "medlar-store",
    "Keeps context for prompts that return.",
    "medlar-store --settings store-1.json",
    StoreSettings,
    run_store,
)


def main() -> None:
    """Entry point."""
    app()
