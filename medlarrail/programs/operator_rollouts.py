"""Commands for software rollouts."""

import typer

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.programs.operator_common import (
    CALL_TIMEOUT_S,
    AsJson,
    build_app,
    run,
)
from medlarrail.programs.output import print_items, print_json
from medlarrail.protocol.software_rollouts import (
    ROLL_BACK_PATH,
    ROLLOUTS_PATH,
    SHOW_PATH,
    RolloutOrder,
    RolloutQuery,
)

COLUMNS = ("service", "target", "replaced", "state", "stage", "reason")

app = build_app("Rollouts of software versions.")


@app.command("start")
def start(
    context: typer.Context,
    service: str,
    target: str,
    duration_s: float = typer.Option(
        ..., min=0.001, help="Seconds after which there has to be a verdict."
    ),
    as_json: bool = AsJson,
) -> None:
    """Move a service to the software version TARGET, or back if it is bad.

    Example: medlar rollout start guide v2 --duration-s 60
    """
    order = RolloutOrder(service, target, int(duration_s * 1000))
    _call(context, ROLLOUTS_PATH, order, as_json)


@app.command("show")
def show(context: typer.Context, service: str, as_json: bool = AsJson) -> None:
    """Show the latest rollout of a service, with the evidence of its latest step.

    Example: medlar rollout show guide
    """
    _call(context, SHOW_PATH, RolloutQuery(service), as_json)


@app.command("roll-back")
def roll_back(context: typer.Context, service: str, as_json: bool = AsJson) -> None:
    """Roll back the running rollout of a service.

    Example: medlar rollout roll-back guide
    """
    _call(context, ROLL_BACK_PATH, RolloutQuery(service), as_json)


def _call(context: typer.Context, path: str, message, as_json: bool) -> None:
    """Call the leader and print the rollout that it returns."""

    async def run_command(state: StateClient) -> SoftwareRollout:
        return await state.call_leader(path, message, SoftwareRollout, CALL_TIMEOUT_S)

    rollout = run(context, run_command)
    if as_json:
        print_json(rollout)
    else:
        print_items((rollout,), False, COLUMNS)
