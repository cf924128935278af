"""Commands for the deployment document, the configuration of the gateways."""

from pathlib import Path

import typer

from medlarrail.core.codec import decode_settings
from medlarrail.core.deployment import Deployment
from medlarrail.core.deployment_check import check_deployment
from medlarrail.core.errors import DeploymentInvalid, NotFound, SettingsInvalid
from medlarrail.programs.daemon import ExitCode
from medlarrail.programs.operator_common import (
    AsJson,
    CommandId,
    build_app,
    change,
    fetch_catalogue,
    run,
)
from medlarrail.programs.output import print_json
from medlarrail.state.operations import ReplaceDeployment

ANY_REVISION = -1
"""No revision check: the document's own version decides whether it is newer."""

app = build_app("The document of routes, services, accounts and limits.")


def read_document(path: Path) -> Deployment:
    """Return the document in a file, or print every error in it and exit."""
    try:
        document = decode_settings(path.read_bytes(), Deployment)
        check_deployment(document)
        return document
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except (SettingsInvalid, DeploymentInvalid) as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


@app.command("replace")
def replace(
    context: typer.Context,
    file: Path,
    command_id: str = CommandId,
    as_json: bool = AsJson,
) -> None:
    """Replace the document; one that is not newer is accepted without effect.

    Example: medlar deployment replace deployment.json
    """
    operation = ReplaceDeployment(read_document(file))
    change(context, operation, command_id, ANY_REVISION, as_json)


@app.command("check")
def check(file: Path) -> None:
    """Check a document and report every error with its path.

    Example: medlar deployment check deployment.json
    """
    document = read_document(file)
    typer.echo(f"{file}: ok, version {document.version}")


@app.command("show")
def show(context: typer.Context) -> None:
    """Show the document in force as JSON.

    Example: medlar deployment show
    """
    catalogue = run(context, fetch_catalogue)
    if catalogue.deployment is None:
        typer.echo(str(NotFound(kind="document", name="deployment")), err=True)
        raise typer.Exit(ExitCode.REFUSED)
    print_json(catalogue.deployment)
