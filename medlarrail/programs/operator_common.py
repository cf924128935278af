"""Shared code of the operator commands: settings, calls, changes and exit codes."""

import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio
import typer

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.codec import decode_settings
from medlarrail.core.errors import (
    CallerError,
    CommitUnknown,
    MedlarError,
    PeerError,
    RevisionConflict,
    SettingsInvalid,
)
from medlarrail.programs.daemon import ExitCode
from medlarrail.programs.output import print_json
from medlarrail.protocol.control import (
    CATALOGUE_PATH,
    CHANGE_PATH,
    ChangeAnswer,
    ChangeRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.settings.operator import OperatorSettings
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.operations import (
    Operation,
)
from medlarrail.transport.client import HttpClient

CALL_TIMEOUT_S = 10.0
REPLACE_TIMEOUT_S = 90.0
STATUS_TIMEOUT_S = 2.0
KEY_BYTES = 24
COMMAND_ID_BYTES = 8
WATCH_INTERVAL_S = 1.0

AsJson = typer.Option(False, "--json", help="Print JSON.")
CommandId = typer.Option(
    "", help="Id that makes resending idempotent; random by default."
)
SeenRevision = typer.Option(
    None, help="Revision of the object that you saw; the current one by default."
)


def build_app(text: str) -> typer.Typer:
    """Return a group of commands."""
    return typer.Typer(
        help=text,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )


def read_settings(path: Path) -> OperatorSettings:
    """Return the settings, or print every error in them and exit."""
    try:
        return decode_settings(path.read_bytes(), OperatorSettings)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except SettingsInvalid as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


def run(
    context: typer.Context, command: Callable[[StateClient], Awaitable[Any]]
) -> Any:
    """Run ``command`` with a client of the state members; errors become exit codes."""
    settings = read_settings(context.obj)

    async def start() -> Any:
        client = HttpClient(settings.key)
        try:
            return await command(StateClient(client, settings.state_urls))
        finally:
            await client.aclose()

    try:
        return trio.run(start)
    except MedlarError as error:
        typer.echo(f"{type(error).__name__}: {error}", err=True)
        raise typer.Exit(get_exit_code(error)) from error


def get_exit_code(error: MedlarError) -> ExitCode:
    """Return the exit code for ``error``."""
    if isinstance(error, CommitUnknown) or error.run == "unknown":
        return ExitCode.UNKNOWN
    if isinstance(error, CallerError | RevisionConflict):
        return ExitCode.REFUSED
    if isinstance(error, PeerError):
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED if error.status == 409 else ExitCode.UNAVAILABLE


async def fetch_catalogue(state: StateClient) -> CatalogueImage:
    """Fetch the configuration from the leader."""
    return await state.call_leader(
        CATALOGUE_PATH, EmptyMessage(), CatalogueImage, CALL_TIMEOUT_S
    )


def get_revision(catalogue: CatalogueImage, name: str) -> int:
    """Return the revision of an object, or 0 if it was never changed."""
    return next(
        (record.revision for record in catalogue.revisions if record.name == name), 0
    )


async def send_change(
    state: StateClient,
    operation: Operation,
    command_id: str,
    seen_revision: int | None,
) -> ChangeAnswer:
    """Send a change that applies only if the object still has the seen revision."""
    if seen_revision is None:
        catalogue = await fetch_catalogue(state)
        seen_revision = get_revision(catalogue, operation.get_object_name())
    command_id = command_id or secrets.token_hex(COMMAND_ID_BYTES)
    request = ChangeRequest(operation, command_id, seen_revision)
    return await state.call_leader(CHANGE_PATH, request, ChangeAnswer, CALL_TIMEOUT_S)


def change(context, operation, command_id, seen_revision, as_json) -> None:
    """Send a change and print its outcome."""

    async def run_command(state: StateClient) -> ChangeAnswer:
        return await send_change(state, operation, command_id, seen_revision)

    print_change(run(context, run_command), as_json)


def print_change(answer: ChangeAnswer, as_json: bool) -> None:
    """Print an accepted change and the entries that have not confirmed it yet."""
    if as_json:
        print_json(answer)
        return
    missing = ", ".join(answer.unconfirmed)
    text = f"not confirmed yet by: {missing}" if missing else "in force everywhere"
    typer.echo(f"accepted at revision {answer.outcome.revision}; {text}")
