"""Log, signal handling and settings of daemons."""

import resource
import signal
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path
from typing import Any

import eliot
import trio
from attrs import define, field

from medlarrail.core.errors import SettingsInvalid
from medlarrail.core.logs import open_standard_output
from medlarrail.core.sources import get_source_digest
from medlarrail.settings.loading import load_settings


class ExitCode(IntEnum):
    """Exit codes of all programs."""

    OK = 0
    DEFECT = 1
    USAGE = 2
    SETTINGS = 3
    REFUSED = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


def get_processor_s() -> float:
    """Return the processor time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def start_log(log_file: str) -> None:
    """Write the log as JSON lines to a file, or to standard output."""
    if not log_file:
        eliot.add_destinations(open_standard_output())
        return
    eliot.to_file(Path(log_file).open("a", buffering=1))  # noqa: SIM115


async def wait_for_stop_signal() -> None:
    """Return at the first SIGTERM or SIGINT.

    Further SIGTERMs are ignored: the default action would end the process while it
    completes its requests.
    """
    # Blocked, so that none is ignored before the receiver is open, which restores the
    # action set here when it is closed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
        async for _ in signals:
            return


@define
class SettingsReloader:
    """Reloads a daemon's settings file and passes new settings to listeners."""

    path: Path
    settings_type: type
    listeners: list[Callable[[Any], None]] = field(factory=list)

    async def watch(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Reload the settings at each SIGHUP.

        Invalid settings are logged and change nothing. A signal that arrived while
        the program was starting is handled first.
        """
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            task_status.started()
            async for _ in signals:
                self.reload()

    def reload(self) -> None:
        """Read the settings and pass them to every listener."""
        try:
            settings = load_settings(self.path, self.settings_type)
        except (OSError, SettingsInvalid) as error:
            eliot.log_message("settings:rejected", reason=str(error))
            return
        for apply_settings in self.listeners:
            apply_settings(settings)
        eliot.log_message("settings:reloaded", name=settings.name)


def run_daemon(
    run: Callable[[Any, SettingsReloader], Awaitable[None]], settings: Any, path: Path
) -> None:
    """Run a daemon that reloads its settings at SIGHUP."""
    reloader = SettingsReloader(path, type(settings))

    async def supervise(loaded: Any) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(reloader.watch)
            await run(loaded, reloader)
            nursery.cancel_scope.cancel()

    run_program(supervise, settings)


def run_program(run: Callable[[Any], Awaitable[None]], settings: Any) -> None:
    """Run a program until it returns, and log its start and stop."""
    eliot.log_message(
        "program:started",
        name=settings.name,
        processor_s=round(get_processor_s(), 3),
        sources=get_source_digest(),
    )
    trio.run(run, settings)
    eliot.log_message("program:stopped", name=settings.name)
