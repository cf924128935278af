"""Commands for prompt parts and requests that are blocked: endpoints crash on them."""

import typer

from medlarrail.programs.operator_common import (
    AsJson,
    CommandId,
    SeenRevision,
    build_app,
    change,
    fetch_catalogue,
    run,
)
from medlarrail.programs.output import print_items
from medlarrail.state.operations import UnblockParts

app = build_app("Parts of prompts that crash endpoints.")


@app.command("list")
def list_blocked(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show the blocked parts, with the crashes that they explained and their trials.

    Example: medlar blocked list
    """
    catalogue = run(context, fetch_catalogue)
    columns = ("name", "service", "model", "parts", "crashes", "trials")
    print_items(catalogue.blocked, as_json, columns)


@app.command("release")
def release(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Allow requests with blocked parts again; NAME is that of the list.

    Example: medlar blocked release guide+5c1e07a2
    """
    change(context, UnblockParts(name), command_id, seen_revision, as_json)
