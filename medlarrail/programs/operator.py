"""``medlar``: the command line for operators."""

import secrets
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio
import typer
from attrs import evolve, frozen

from medlarrail.coordination.access import get_digest
from medlarrail.coordination.state_client import StateClient
from medlarrail.core.codec import decode_settings
from medlarrail.core.entities import CallRule, Contract, DesiredVersion
from medlarrail.core.errors import (
    CallerError,
    CommitUnknown,
    MedlarError,
    NotFound,
    PeerError,
    RevisionConflict,
    SettingsInvalid,
)
from medlarrail.programs.common import ExitCode
from medlarrail.programs.tables import print_item, print_items, print_json
from medlarrail.protocol.control import (
    BOOTSTRAP_PATH,
    CATALOGUE_PATH,
    CHANGE_PATH,
    REPLACE_PATH,
    STATE_STATUS_PATH,
    BootstrapRequest,
    ChangeAnswer,
    ChangeRequest,
    MembersAnswer,
    Nothing,
    ReplaceRequest,
    StateStatus,
)
from medlarrail.protocol.status import ENTRY_STATUS_PATH, EntryStatus
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.operations import (
    DeleteContract,
    Operation,
    SetContract,
    SetDataCentre,
    SetDesiredVersion,
    SetEndpointState,
)
from medlarrail.transport.client import HttpClient

CALL_LIMIT_S = 10.0
MEMBER_LIMIT_S = 90.0
STATUS_TIMEOUT_S = 2.0
KEY_BYTES = 24
COMMAND_ID_BYTES = 8
WATCH_INTERVAL_S = 1.0

AsJson = typer.Option(False, "--json", help="Print JSON.")
CommandId = typer.Option("", help="Id that makes a resend safe; random by default.")
SeenRevision = typer.Option(
    None, help="Revision of the object that you saw; the present one by default."
)


@frozen
class OperatorSettings:
    """Settings of ``medlar``: the state members and the operator's key."""

    state_urls: tuple[str, ...]
    key: str


def build_app(text: str) -> typer.Typer:
    """Return a group of commands."""
    return typer.Typer(
        help=text,
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )


app = build_app(
    "Controls a medlarrail deployment.\n\n"
    "Example: medlar --settings operator.json contract list"
)
contract_app = build_app("Contracts of client accounts.")
data_centre_app = build_app("Data centres in and out of service.")
endpoint_app = build_app("Endpoints in and out of service.")
member_app = build_app("Members of the replicated log.")
order_app = build_app("Orders to endpoints.")
app.add_typer(contract_app, name="contract")
app.add_typer(data_centre_app, name="data-centre")
app.add_typer(endpoint_app, name="endpoint")
app.add_typer(member_app, name="member")
app.add_typer(order_app, name="order")


@app.callback()
def set_up(
    context: typer.Context,
    settings: Path = typer.Option(
        "operator.json", envvar="MEDLAR_SETTINGS", help="Settings file in JSON."
    ),
) -> None:
    """Read the operator's settings."""
    context.obj = settings


def read_settings(path: Path) -> OperatorSettings:
    """Return the settings, or print every fault and exit."""
    try:
        return decode_settings(path.read_bytes(), OperatorSettings)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except SettingsInvalid as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


def run(context: typer.Context, work: Callable[[StateClient], Awaitable[Any]]) -> Any:
    """Run ``work`` against the state members; errors become exit codes."""
    settings = read_settings(context.obj)

    async def start() -> Any:
        client = HttpClient(settings.key)
        try:
            return await work(StateClient(client, settings.state_urls))
        finally:
            await client.aclose()

    try:
        return trio.run(start)
    except MedlarError as error:
        typer.echo(f"{type(error).__name__}: {error}", err=True)
        raise typer.Exit(get_exit_code(error)) from error


def get_exit_code(error: MedlarError) -> ExitCode:
    """Return the exit code that stands for ``error``."""
    if isinstance(error, CommitUnknown) or error.run == "unknown":
        return ExitCode.UNKNOWN
    if isinstance(error, CallerError | RevisionConflict):
        return ExitCode.REFUSED
    if isinstance(error, PeerError):
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED if error.status == 409 else ExitCode.UNAVAILABLE


async def fetch_catalogue(state: StateClient) -> CatalogueImage:
    """Return the configuration."""
    return await state.call_leader(
        CATALOGUE_PATH, Nothing(), CatalogueImage, CALL_LIMIT_S
    )


def get_revision(image: CatalogueImage, name: str) -> int:
    """Return the revision of an object; 0 where it was never changed."""
    return next((one.revision for one in image.revisions if one.name == name), 0)


async def send_change(
    state: StateClient,
    operation: Operation,
    command_id: str,
    seen_revision: int | None,
) -> ChangeAnswer:
    """Send a change that holds only for the revision that was seen."""
    if seen_revision is None:
        image = await fetch_catalogue(state)
        seen_revision = get_revision(image, operation.get_object())
    command_id = command_id or secrets.token_hex(COMMAND_ID_BYTES)
    request = ChangeRequest(operation, command_id, seen_revision)
    return await state.call_leader(CHANGE_PATH, request, ChangeAnswer, CALL_LIMIT_S)


def change(context, make_operation, command_id, seen_revision, as_json) -> None:
    """Send a change and print what came of it."""

    async def work(state: StateClient) -> ChangeAnswer:
        return await send_change(state, make_operation, command_id, seen_revision)

    print_change(run(context, work), as_json)


def print_change(answer: ChangeAnswer, as_json: bool) -> None:
    """Print an accepted change and the entries that have not confirmed it."""
    if as_json:
        print_json(answer)
        return
    missing = ", ".join(answer.unconfirmed)
    text = f"not confirmed yet by: {missing}" if missing else "in force everywhere"
    typer.echo(f"accepted at revision {answer.outcome.revision}; {text}")


@contract_app.command("set")
def set_contract(
    context: typer.Context,
    account: str,
    share: float = typer.Option(None, help="Weight among accounts."),
    priority: int = typer.Option(None, min=0, max=3, help="0 to 3."),
    max_running: int = typer.Option(None, min=1, help="Requests at once per entry."),
    model: list[str] = typer.Option(None, help="Allowed model; repeatable option."),
    once: list[str] = typer.Option(None, help="service/path that never repeats."),
    repeat: list[str] = typer.Option(None, help="service/path that may repeat."),
    retry_ratio: float = typer.Option(None, min=0, help="Retries earned per request."),
    queue_wait_s: float = typer.Option(None, min=0, help="Longest wait for a permit."),
    deadline_s: float = typer.Option(None, min=0.001, help="Deadline if none is sent."),
    new_key: bool = typer.Option(False, help="Make a bearer key and print it once."),
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Create a contract or change what is given.

    Example: medlar contract set lea-college --share 2 --once box-office/purchase
    --new-key
    """
    key = secrets.token_urlsafe(KEY_BYTES) if new_key else ""
    changes = {
        "share": share,
        "priority": priority,
        "max_running": max_running,
        "models": tuple(model) if model else None,
        "calls": build_rules(once, repeat),
        "retry_ratio": retry_ratio,
        "queue_wait_s": queue_wait_s,
        "deadline_s": deadline_s,
        "keys_sha256": (get_digest(key),) if key else None,
    }
    given = {name: value for name, value in changes.items() if value is not None}

    async def work(state: StateClient) -> ChangeAnswer:
        image = await fetch_catalogue(state)
        found = [one for one in image.contracts if one.account == account]
        contract = evolve(found[0] if found else Contract(account), **given)
        seen = seen_revision
        if seen is None:
            seen = get_revision(image, f"contract/{account}")
        return await send_change(state, SetContract(contract), command_id, seen)

    answer = run(context, work)
    if key:
        typer.echo(f"key: {key}", err=as_json)
    print_change(answer, as_json)


def build_rules(once, repeat) -> tuple[CallRule, ...] | None:
    """Return the rules of the options, or None where there are none."""
    if not once and not repeat:
        return None
    rules = [CallRule(pattern, "once") for pattern in once or ()]
    rules += [CallRule(pattern, "repeat") for pattern in repeat or ()]
    return tuple(rules)


@contract_app.command("get")
def get_contract(context: typer.Context, account: str, as_json: bool = AsJson) -> None:
    """Show one contract.

    Example: medlar contract get lea-college
    """

    async def work(state: StateClient) -> Contract:
        image = await fetch_catalogue(state)
        found = [one for one in image.contracts if one.account == account]
        if not found:
            raise NotFound(kind="contract", name=account)
        return found[0]

    print_item(run(context, work), as_json)


@contract_app.command("list")
def list_contracts(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show every contract.

    Example: medlar contract list
    """
    image = run(context, fetch_catalogue)
    columns = ("account", "share", "priority", "max_running", "models", "deadline_s")
    print_items(image.contracts, as_json, columns)


@contract_app.command("delete")
def delete_contract(
    context: typer.Context,
    account: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Delete a contract; its keys stop working.

    Example: medlar contract delete lea-college
    """
    change(context, DeleteContract(account), command_id, seen_revision, as_json)


@data_centre_app.command("in")
def take_data_centre_in(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Take a data centre into service.

    Example: medlar data-centre in perth
    """
    change(context, SetDataCentre(name, True), command_id, seen_revision, as_json)


@data_centre_app.command("out")
def take_data_centre_out(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Take a data centre out of service; what runs there may end.

    Example: medlar data-centre out perth
    """
    change(context, SetDataCentre(name, False), command_id, seen_revision, as_json)


@data_centre_app.command("list")
def list_data_centres(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show the data centres that were ever taken in or out.

    Example: medlar data-centre list
    """
    image = run(context, fetch_catalogue)
    print_items(image.data_centres, as_json, ("name", "in_service"))


@endpoint_app.command("in")
def take_endpoint_in(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Take an endpoint into service.

    Example: medlar endpoint in engine-1
    """
    change(context, SetEndpointState(name, "in"), command_id, seen_revision, as_json)


@endpoint_app.command("out")
def take_endpoint_out(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Take an endpoint out of service; what runs there may end.

    Example: medlar endpoint out engine-1
    """
    change(context, SetEndpointState(name, "out"), command_id, seen_revision, as_json)


@endpoint_app.command("list")
def list_endpoints(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show every endpoint that announced itself.

    Example: medlar endpoint list
    """
    image = run(context, fetch_catalogue)
    columns = (
        "name",
        "kind",
        "serves",
        "data_centre",
        "state",
        "weight_version",
        "cold_limit",
        "warm_limit",
        "checks_fencing",
        "url",
    )
    print_items(image.endpoints, as_json, columns)


@order_app.command("load-weights")
def order_weights(
    context: typer.Context,
    model: str,
    weight_version: str,
    max_loads: int = typer.Option(2, min=1, help="Loads at once."),
    floor: int = typer.Option(1, min=0, help="Replicas that keep serving."),
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Bring every endpoint of a model to a weight version.

    Example: medlar order load-weights seat-guide v2 --max-loads 3
    """
    desired = DesiredVersion(model, weight_version, max_loads, floor)
    change(context, SetDesiredVersion(desired), command_id, seen_revision, as_json)


@order_app.command("list")
def list_orders(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show the ordered versions.

    Example: medlar order list
    """
    image = run(context, fetch_catalogue)
    columns = ("model", "weight_version", "max_loads", "floor")
    print_items(image.desired, as_json, columns)


@member_app.command("bootstrap")
def bootstrap(context: typer.Context, urls: list[str], as_json: bool = AsJson) -> None:
    """Form a new cluster of state members; done once.

    Example: medlar member bootstrap http://10.0.0.1:7000 http://10.0.0.2:7000
    """

    async def work(state: StateClient) -> MembersAnswer:
        return await state.peers.call(
            urls[0],
            BOOTSTRAP_PATH,
            BootstrapRequest(tuple(urls)),
            MembersAnswer,
            CALL_LIMIT_S,
        )

    print_members(run(context, work), as_json)


@member_app.command("replace")
def replace(
    context: typer.Context, name: str, url: str, as_json: bool = AsJson
) -> None:
    """Put a new member, already started and empty, in the place of a lost one.

    Example: medlar member replace state-2 http://10.0.0.2:7000
    """

    async def work(state: StateClient) -> MembersAnswer:
        request = ReplaceRequest(name, url)
        return await state.call_leader(
            REPLACE_PATH, request, MembersAnswer, MEMBER_LIMIT_S
        )

    print_members(run(context, work), as_json)


def print_members(answer: MembersAnswer, as_json: bool) -> None:
    """Print a list of members."""
    print_items(answer.members, as_json, ("name", "identity", "url", "voter"))


async def fetch_status(state: StateClient) -> list[StateStatus]:
    """Return the status of every member that answers."""
    found: list[StateStatus] = []
    for url in state.urls:
        try:
            status = await state.peers.call(
                url, STATE_STATUS_PATH, Nothing(), StateStatus, STATUS_TIMEOUT_S
            )
        except PeerError:
            continue
        found.append(status)
    return found


@frozen
class Status:
    """The state members and the entries that answer."""

    members: tuple[StateStatus, ...]
    entries: tuple[EntryStatus, ...]


async def fetch_all(state: StateClient) -> Status:
    """Return the status of the members, and of the entries that they know."""
    members = await fetch_status(state)
    sessions = {one.entry: one.url for member in members for one in member.sessions}
    entries = []
    for name in sorted(sessions):
        with suppress(PeerError):
            entries.append(
                await state.peers.call(
                    sessions[name],
                    ENTRY_STATUS_PATH,
                    Nothing(),
                    EntryStatus,
                    STATUS_TIMEOUT_S,
                )
            )
    return Status(tuple(members), tuple(entries))


@app.command("status")
def show_status(
    context: typer.Context,
    counters: bool = typer.Option(False, help="Show every counter of the entries."),
    as_json: bool = AsJson,
) -> None:
    """Show the state members, the entries and the endpoints.

    Example: medlar status --counters
    """
    print_status(run(context, fetch_all), counters, as_json)


def print_status(status: Status, counters: bool, as_json: bool) -> None:
    """Print members, entries and endpoints, and the counters if asked for."""
    if as_json:
        print_json(status)
        return
    print_items(status.members, False, MEMBER_COLUMNS)
    print_items(status.entries, False, ENTRY_COLUMNS)
    owned = [one for entry in status.entries for one in entry.owned]
    print_items(owned, False, OWNED_COLUMNS)
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


@app.command("watch")
def watch(
    context: typer.Context,
    count: int = typer.Option(0, min=0, help="Stop after this many; 0 is never."),
    as_json: bool = AsJson,
) -> None:
    """Show the status again and again.

    Example: medlar watch --count 10
    """

    async def work(state: StateClient) -> None:
        shown = 0
        while count == 0 or shown < count:
            print_status(await fetch_all(state), False, as_json)
            shown += 1
            await trio.sleep(WATCH_INTERVAL_S)

    run(context, work)


def main() -> None:
    """Entry point."""
    app()
