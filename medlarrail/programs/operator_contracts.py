"""Commands for the contracts of client accounts."""

import secrets

import typer
from attrs import evolve

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.entities import CallRule, Contract
from medlarrail.core.errors import (
    NotFound,
)
from medlarrail.programs.operator_common import (
    KEY_BYTES,
    AsJson,
    CommandId,
    SeenRevision,
    build_app,
    change,
    fetch_catalogue,
    get_revision,
    print_change,
    run,
    send_change,
)
from medlarrail.programs.output import print_item, print_items
from medlarrail.protocol.control import (
    ChangeAnswer,
)
from medlarrail.serving.access import get_digest
from medlarrail.state.operations import (
    DeleteContract,
    SetContract,
)

app = build_app("Contracts of client accounts.")


@app.command("set")
def set_contract(
    context: typer.Context,
    account: str,
    share: float = typer.Option(None, help="Relative weight among accounts."),
    priority: int = typer.Option(None, min=0, max=3, help="Priority from 0 to 3."),
    max_running: int = typer.Option(
        None, min=1, help="Maximum concurrent requests per entry."
    ),
    model: list[str] = typer.Option(None, help="Allowed model; repeatable option."),
    once: list[str] = typer.Option(
        None, help="service/path that must not be repeated."
    ),
    repeat: list[str] = typer.Option(None, help="service/path that may be repeated."),
    retry_ratio: float = typer.Option(
        None, min=0, help="Retry budget earned per request."
    ),
    queue_wait_s: float = typer.Option(None, min=0, help="Maximum wait for a permit."),
    deadline_s: float = typer.Option(
        None, min=0.001, help="Default deadline of requests."
    ),
    new_key: bool = typer.Option(False, help="Create a bearer key and print it once."),
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Create a contract or change the given fields of one.

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

    async def run_command(state: StateClient) -> ChangeAnswer:
        catalogue = await fetch_catalogue(state)
        matches = [
            candidate
            for candidate in catalogue.contracts
            if candidate.account == account
        ]
        contract = evolve(matches[0] if matches else Contract(account), **given)
        expected_revision = seen_revision
        if expected_revision is None:
            expected_revision = get_revision(catalogue, f"contract/{account}")
        return await send_change(
            state, SetContract(contract), command_id, expected_revision
        )

    answer = run(context, run_command)
    if key:
        typer.echo(f"key: {key}", err=as_json)
    print_change(answer, as_json)


def build_rules(once, repeat) -> tuple[CallRule, ...] | None:
    """Return the call rules given by the options, or None without any."""
    if not once and not repeat:
        return None
    rules = [CallRule(pattern, "once") for pattern in once or ()]
    rules += [CallRule(pattern, "repeat") for pattern in repeat or ()]
    return tuple(rules)


@app.command("get")
def get_contract(context: typer.Context, account: str, as_json: bool = AsJson) -> None:
    """Show one contract.

    Example: medlar contract get lea-college
    """

    async def run_command(state: StateClient) -> Contract:
        catalogue = await fetch_catalogue(state)
        matches = [
            candidate
            for candidate in catalogue.contracts
            if candidate.account == account
        ]
        if not matches:
            raise NotFound(kind="contract", name=account)
        return matches[0]

    print_item(run(context, run_command), as_json)


@app.command("list")
def list_contracts(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show every contract.

    Example: medlar contract list
    """
    catalogue = run(context, fetch_catalogue)
    columns = ("account", "share", "priority", "max_running", "models", "deadline_s")
    print_items(catalogue.contracts, as_json, columns)


@app.command("delete")
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
