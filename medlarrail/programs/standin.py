"""``medlar-standin``: simulated back ends and benchmarks for development."""

from pathlib import Path
from random import Random

import trio
import typer
from attrs import fields

from medlarrail.programs.command_line import load_or_exit
from medlarrail.programs.daemon import run_program, start_log, wait_for_stop_signal
from medlarrail.programs.output import print_items
from medlarrail.standins.capacity import UnitCost, iterate_unit_costs
from medlarrail.standins.context_bench import (
    ContextResult,
    run_context_bench,
    write_report,
)
from medlarrail.standins.engine import Engine
from medlarrail.standins.partition_bench import PartitionResult, run_partition_bench
from medlarrail.standins.placement_bench import (
    PlacementResult,
    run_placement_bench,
    write_chart,
)
from medlarrail.standins.routing_bench import BenchResult, run_bench
from medlarrail.standins.service import Service
from medlarrail.standins.settings import StandinSettings
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Routes
from medlarrail.transport.server import HttpServer

app = typer.Typer(
    help="Runs stand-ins for development.\n\n"
    "Example: medlar-standin engine --settings engine-1.json",
    add_completion=False,
    pretty_exceptions_enable=False,
)


async def run_engine(settings: StandinSettings) -> None:
    """Run a stand-in engine until SIGTERM."""
    client = HttpClient(settings.keys.endpoint)
    engine = Engine(settings, client, Random(settings.seed))
    await run_backend(engine, engine.run_events)


async def run_service(settings: StandinSettings) -> None:
    """Run a stand-in service until SIGTERM."""
    client = HttpClient(settings.keys.endpoint)
    await run_backend(Service(settings, client, Random(settings.seed)))


async def run_backend(backend, *tasks) -> None:
    """Serve a back end; at SIGTERM it deregisters and completes in-flight requests."""
    server = HttpServer(Routes.collect(backend))
    listen = backend.settings.listen
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run, listen.host, listen.port)
        for task in (backend.run, *tasks):
            nursery.start_soon(task)
        await wait_for_stop_signal()
        await backend.leave()
        await server.wait_idle()
        nursery.cancel_scope.cancel()


@app.command("engine")
def start_engine(settings: Path = typer.Option(..., help="Settings file.")) -> None:
    """Run a stand-in model engine.

    Example: medlar-standin engine --settings engine-1.json
    """
    loaded = load_or_exit(settings, StandinSettings)
    start_log(loaded.log_file)
    run_program(run_engine, loaded)


@app.command("service")
def start_service(settings: Path = typer.Option(..., help="Settings file.")) -> None:
    """Run a stand-in plain service.

    Example: medlar-standin service --settings service-1.json
    """
    loaded = load_or_exit(settings, StandinSettings)
    start_log(loaded.log_file)
    run_program(run_service, loaded)


@app.command("bench")
def start_bench(
    seed: int = typer.Option(1, help="Seed of the load."),
    duration: float = typer.Option(
        20.0, help="Duration of the load in virtual seconds."
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Compare local decisions with permits on the same load.

    Example: medlar-standin bench --seed 1
    """
    results = run_bench(seed, duration)
    print_items(results, as_json, [field.name for field in fields(BenchResult)])


@app.command("context")
def start_context_bench(
    seed: int = typer.Option(1, help="Seed of the trace."),
    report: Path = typer.Option(None, help="Folder for a table and a chart."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Compare ways to keep context on one trace of returning prompts.

    Example: medlar-standin context --seed 1 --report report
    """
    results = run_context_bench(seed)
    print_items(results, as_json, [field.name for field in fields(ContextResult)])
    if report is not None:
        write_report(results, report)


@app.command("cut")
def start_cut_bench(
    seed: int = typer.Option(1, help="Seed of the load."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Measure service during a network partition of a data centre and after it.

    Example: medlar-standin cut --seed 1
    """
    columns = [field.name for field in fields(PartitionResult)]
    print_items(run_partition_bench(seed), as_json, columns)


@app.command("placement")
def start_placement_bench(
    seed: int = typer.Option(1, help="Seed of the load."),
    chart: Path = typer.Option(None, help="File for a chart in SVG."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Compare ways to place long prompts at several sizes of a deployment.

    Example: medlar-standin placement --seed 1 --chart docs/placement.svg
    """
    results = list(run_placement_bench(seed))
    print_items(results, as_json, [field.name for field in fields(PlacementResult)])
    if chart is not None:
        write_chart(results, chart)


@app.command("capacity")
def start_capacity(
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Measure the slopes on which the capacity documentation is based.

    Example: medlar-standin capacity
    """
    columns = [field.name for field in fields(UnitCost)]
    print_items(list(iterate_unit_costs()), as_json, columns)


def main() -> None:
    """Entry point."""
    app()
