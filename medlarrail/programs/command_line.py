"""Command lines of the daemons."""

from pathlib import Path
from typing import Any, TypeVar

import typer

from medlarrail.core.errors import SettingsInvalid
from medlarrail.programs.daemon import ExitCode, run_daemon, start_log
from medlarrail.settings.loading import load_settings

T = TypeVar("T")


def load_or_exit(path: Path, settings_type: type[T]) -> T:
    """Return the settings, or print every error in them and exit."""
    try:
        return load_settings(path, settings_type)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except SettingsInvalid as error:
        for fault in error.faults:
            typer.echo(f"{path}: {fault}", err=True)
    raise typer.Exit(ExitCode.SETTINGS)


def build_program(
    name: str, summary: str, example: str, settings_type: type, run
) -> Any:
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
        loaded = load_or_exit(settings, settings_type)
        start_log(loaded.log_file)
        run_daemon(run, loaded, settings)

    @app.command("check-settings")
    def check(file: Path) -> None:
        """Check a settings file and report every error with its path.

        Example: check-settings settings.json
        """
        load_or_exit(file, settings_type)
        typer.echo(f"{file}: ok")

    return app
