"""Commands that show the status of a deployment."""

from contextlib import suppress

import trio
import typer
from attrs import frozen

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import (
    PeerError,
)
from medlarrail.programs.operator_common import (
    STATUS_TIMEOUT_S,
    WATCH_INTERVAL_S,
    AsJson,
    run,
)
from medlarrail.programs.output import print_items, print_json
from medlarrail.protocol.control import (
    STATE_STATUS_PATH,
    StateStatus,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.status import ENTRY_STATUS_PATH, EntryStatus


async def fetch_member_statuses(state: StateClient) -> list[StateStatus]:
    """Return the status of every state member that answers."""
    statuses: list[StateStatus] = []
    for url in state.urls:
        try:
            status = await state.peers.call(
                url, STATE_STATUS_PATH, EmptyMessage(), StateStatus, STATUS_TIMEOUT_S
            )
        except PeerError:
            continue
        statuses.append(status)
    return statuses


@frozen
class Status:
    """Status of the state members and entries that answered."""

    members: tuple[StateStatus, ...]
    entries: tuple[EntryStatus, ...]


async def fetch_deployment_status(state: StateClient) -> Status:
    """Return the status of the members and of the entries with a session."""
    members = await fetch_member_statuses(state)
    entry_urls = {
        session.entry: session.url for member in members for session in member.sessions
    }
    entries = []
    for name in sorted(entry_urls):
        with suppress(PeerError):
            entries.append(
                await state.peers.call(
                    entry_urls[name],
                    ENTRY_STATUS_PATH,
                    EmptyMessage(),
                    EntryStatus,
                    STATUS_TIMEOUT_S,
                )
            )
    return Status(tuple(members), tuple(entries))


def show_status(
    context: typer.Context,
    counters: bool = typer.Option(False, help="Show every counter of the entries."),
    as_json: bool = AsJson,
) -> None:
    """Show the state members, the entries and the endpoints.

    Example: medlar status --counters
    """
    print_status(run(context, fetch_deployment_status), counters, as_json)


def print_status(status: Status, counters: bool, as_json: bool) -> None:
    """Print members, entries and endpoints, and on request the counters."""
    if as_json:
        print_json(status)
        return
    print_items(status.members, False, MEMBER_COLUMNS)
    print_items(status.entries, False, ENTRY_COLUMNS)
    owned_endpoints = [endpoint for entry in status.entries for endpoint in entry.owned]
    print_items(owned_endpoints, False, OWNED_COLUMNS)
    for entry in status.entries if counters else ():
        typer.echo(f"counters of {entry.name}:")
        print_items(entry.counters, False, ("name", "labels", "value"))


MEMBER_COLUMNS = (
    "name",
    "identity",
    "term",
    "leader",
    "has_lease",
    "commit_index",
    "snapshot_index",
    "storage_error",
)
ENTRY_COLUMNS = (
    "name",
    "data_centre",
    "lease_valid",
    "applied_index",
    "held_permits",
    "first_token_p50_s",
    "first_token_p95_s",
)
OWNED_COLUMNS = (
    "endpoint",
    "limit",
    "in_use",
    "queued",
    "completed",
    "cold",
    "holders_known",
    "reported_ago_s",
)


def watch(
    context: typer.Context,
    count: int = typer.Option(0, min=0, help="Number of updates; 0 is unlimited."),
    as_json: bool = AsJson,
) -> None:
    """Show the status repeatedly.

    Example: medlar watch --count 10
    """

    async def run_command(state: StateClient) -> None:
        iterations = 0
        while count == 0 or iterations < count:
            print_status(await fetch_deployment_status(state), False, as_json)
            iterations += 1
            await trio.sleep(WATCH_INTERVAL_S)

    run(context, run_command)
