"""``medlar``: command line for operators."""

from pathlib import Path

import typer

from medlarrail.programs import (
    operator_blocked,
    operator_contracts,
    operator_deployment,
    operator_members,
    operator_resources,
    operator_rollouts,
    operator_status,
)
from medlarrail.programs.operator_common import build_app

app = build_app(
    "Controls a medlarrail deployment.\n\n"
    "Example: medlar --settings operator.json contract list"
)
app.add_typer(operator_blocked.app, name="blocked")
app.add_typer(operator_contracts.app, name="contract")
app.add_typer(operator_resources.data_centre_app, name="data-centre")
app.add_typer(operator_deployment.app, name="deployment")
app.add_typer(operator_resources.endpoint_app, name="endpoint")
app.add_typer(operator_members.app, name="member")
app.add_typer(operator_resources.order_app, name="order")
app.add_typer(operator_rollouts.app, name="rollout")
app.command("status")(operator_status.show_status)
app.command("watch")(operator_status.watch)


@app.callback()
def set_settings_path(
    context: typer.Context,
    settings: Path = typer.Option(
        "operator.json", envvar="MEDLAR_SETTINGS", help="Settings file in JSON."
    ),
) -> None:
    """Set the path of the operator's settings."""
    context.obj = settings


def main() -> None:
    """Entry point."""
    app()
