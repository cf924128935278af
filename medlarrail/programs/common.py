"""What the programs share: settings files, logs, signals and exit codes."""

import signal
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, TypeVar

import eliot
import trio
import typer
from attrs import define, field

from medlarrail.core.errors import SettingsInvalid
from medlarrail.core.logs import open_standard_output
from medlarrail.settings.loading import load_settings

T = TypeVar("T")


class ExitCode(IntEnum):
    """Exit codes of every program."""

    OK = 0
    DEFECT = 1
    USAGE = 2
    SETTINGS = 3
    REFUSED = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


def load_or_exit(path: Path, kind: type[T]) -> T:
    """Return the settings, or print every fault and exit."""
    try:
        return load_settings(path, kind)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except SettingsInvalid as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


def start_log(log_file: str) -> None:
    """Write the log as JSON lines to a file, or to standard output."""
    if not log_file:
        eliot.add_destinations(open_standard_output())
        return
    eliot.to_file(Path(log_file).open("a", buffering=1))  # noqa: SIM115


async def wait_for_stop_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


@define
class Reloads:
    """Where a daemon's settings come from, and who wants to hear of new ones."""

    path: Path
    kind: type
    listeners: list[Callable[[Any], None]] = field(factory=list)

    async def watch(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Read the settings again at each SIGHUP.

        Settings with faults change nothing; the log tells the faults.
        """
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            task_status.started()
            async for _ in signals:
                self.reload()

    def reload(self) -> None:
        """Read the settings and hand them to every listener."""
        try:
            settings = load_settings(self.path, self.kind)
        except (OSError, SettingsInvalid) as error:
            eliot.log_message("settings:rejected", reason=str(error))
            return
        for listen in self.listeners:
            listen(settings)
        eliot.log_message("settings:reloaded", name=settings.name)


def build_program(name: str, summary: str, example: str, kind: type, run) -> Any:
    """Return the command line of a daemon.

    ``NAME --settings FILE`` runs it; ``NAME check-settings FILE`` only checks.
    """
    app = typer.Typer(
        help=f"{summary}\n\nExample: {example}",
        invoke_without_command=True,
        add_completion=False,
        pretty_exceptions_enable=False,
    )

    @app.callback()
    def start(
        context: typer.Context,
        settings: Path = typer.Option(None, help="Settings file in JSON."),
    ) -> None:
        if context.invoked_subcommand is not None:
            return
        if settings is None:
            typer.echo(f"{name}: --settings FILE is missing", err=True)
            raise typer.Exit(ExitCode.USAGE)
        loaded = load_or_exit(settings, kind)
        start_log(loaded.log_file)
        run_daemon(run, loaded, settings)

    @app.command("check-settings")
    def check(file: Path) -> None:
        """Check a settings file and tell every fault with its place.

        Example: check-settings settings.json
        """
        load_or_exit(file, kind)
        typer.echo(f"{file}: ok")

    return app


def run_daemon(
    run: Callable[[Any, Reloads], Awaitable[None]], settings: Any, path: Path
) -> None:
    """Run a daemon that reads its settings again when it is told to."""
    reloads = Reloads(path, type(settings))

    async def supervise(loaded: Any) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(reloads.watch)
            await run(loaded, reloads)
            nursery.cancel_scope.cancel()

    run_program(supervise, settings)


def run_program(run: Callable[[Any], Awaitable[None]], settings: Any) -> None:
    """Run a daemon until it is told to stop."""
    eliot.log_message("program:started", name=settings.name)
    trio.run(run, settings)
    eliot.log_message("program:stopped", name=settings.name)
