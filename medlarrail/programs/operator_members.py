"""Commands for the members of the replicated log."""

import typer

from medlarrail.cluster.state_client import StateClient
from medlarrail.programs.operator_common import (
    CALL_TIMEOUT_S,
    REPLACE_TIMEOUT_S,
    AsJson,
    build_app,
    run,
)
from medlarrail.programs.output import print_items
from medlarrail.protocol.control import (
    BOOTSTRAP_PATH,
    REPLACE_PATH,
    BootstrapRequest,
    MembersAnswer,
    ReplaceRequest,
)

app = build_app("Members of the replicated log.")


@app.command("bootstrap")
def bootstrap(context: typer.Context, urls: list[str], as_json: bool = AsJson) -> None:
    """Form a new cluster of state members; needed only once.

    Example: medlar member bootstrap http://10.0.0.1:7000 http://10.0.0.2:7000
    """

    async def run_command(state: StateClient) -> MembersAnswer:
        return await state.peers.call(
            urls[0],
            BOOTSTRAP_PATH,
            BootstrapRequest(tuple(urls)),
            MembersAnswer,
            CALL_TIMEOUT_S,
        )

    print_members(run(context, run_command), as_json)


@app.command("replace")
def replace(
    context: typer.Context, name: str, url: str, as_json: bool = AsJson
) -> None:
    """Replace a lost member with a new one that is already started and empty.

    Example: medlar member replace state-2 http://10.0.0.2:7000
    """

    async def run_command(state: StateClient) -> MembersAnswer:
        request = ReplaceRequest(name, url)
        return await state.call_leader(
            REPLACE_PATH, request, MembersAnswer, REPLACE_TIMEOUT_S
        )

    print_members(run(context, run_command), as_json)


def print_members(answer: MembersAnswer, as_json: bool) -> None:
    """Print a list of members."""
    print_items(answer.members, as_json, ("name", "identity", "url", "voter"))
