"""Commands for data centres, endpoints and orders."""

import typer
from attrs import frozen

from medlarrail.core.cluster_records import DesiredVersion
from medlarrail.core.entities import EndpointOrder
from medlarrail.programs.operator_common import (
    AsJson,
    CommandId,
    SeenRevision,
    build_app,
    change,
    fetch_catalogue,
    run,
)
from medlarrail.programs.output import print_items, print_json
from medlarrail.state.operations import (
    SetDataCentre,
    SetDesiredVersion,
    SetEndpointState,
    SetOrder,
)


@frozen
class Orders:
    """All orders, as one JSON object."""

    versions: tuple[DesiredVersion, ...]
    endpoints: tuple[EndpointOrder, ...]


data_centre_app = build_app("Data centres in and out of service.")
endpoint_app = build_app("Endpoints in and out of service.")
order_app = build_app("Orders to endpoints.")


@data_centre_app.command("in")
def take_data_centre_in(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Put a data centre into service.

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
    """Take a data centre out of service; its in-flight requests may complete.

    Example: medlar data-centre out perth
    """
    change(context, SetDataCentre(name, False), command_id, seen_revision, as_json)


@data_centre_app.command("list")
def list_data_centres(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show the data centres that were ever put into or taken out of service.

    Example: medlar data-centre list
    """
    catalogue = run(context, fetch_catalogue)
    print_items(catalogue.data_centres, as_json, ("name", "in_service"))


@endpoint_app.command("in")
def take_endpoint_in(
    context: typer.Context,
    name: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Put an endpoint into service.

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
    """Take an endpoint out of service; its in-flight requests may complete.

    Example: medlar endpoint out engine-1
    """
    change(context, SetEndpointState(name, "out"), command_id, seen_revision, as_json)


@endpoint_app.command("list")
def list_endpoints(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show every registered endpoint.

    Example: medlar endpoint list
    """
    catalogue = run(context, fetch_catalogue)
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
    print_items(catalogue.endpoints, as_json, columns)


@order_app.command("load-weights")
def order_weights(
    context: typer.Context,
    model: str,
    weight_version: str,
    max_loads: int = typer.Option(2, min=1, help="Maximum number of concurrent loads."),
    floor: int = typer.Option(1, min=0, help="Minimum number of serving replicas."),
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Load a weight version on every endpoint of a model.

    Example: medlar order load-weights seat-guide v2 --max-loads 3
    """
    desired = DesiredVersion(model, weight_version, max_loads, floor)
    change(context, SetDesiredVersion(desired), command_id, seen_revision, as_json)


@order_app.command("load-adapter")
def order_adapter(
    context: typer.Context,
    endpoint: str,
    adapter: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Load an adapter on one endpoint.

    Example: medlar order load-adapter engine-1 award-2026
    """
    order = SetOrder(EndpointOrder(endpoint, "load-adapter", adapter))
    change(context, order, command_id, seen_revision, as_json)


@order_app.command("set-role")
def order_role(
    context: typer.Context,
    endpoint: str,
    role: str,
    command_id: str = CommandId,
    seen_revision: int = SeenRevision,
    as_json: bool = AsJson,
) -> None:
    """Change the role of one endpoint.

    Example: medlar order set-role engine-1 prefill
    """
    order = SetOrder(EndpointOrder(endpoint, "set-role", role))
    change(context, order, command_id, seen_revision, as_json)


@order_app.command("list")
def list_orders(context: typer.Context, as_json: bool = AsJson) -> None:
    """Show the ordered versions, adapters and roles.

    Example: medlar order list
    """
    catalogue = run(context, fetch_catalogue)
    if as_json:
        print_json(Orders(catalogue.desired, catalogue.orders))
        return
    columns = ("model", "weight_version", "max_loads", "floor")
    print_items(catalogue.desired, False, columns)
    print_items(catalogue.orders, False, ("endpoint", "kind", "value", "done"))
