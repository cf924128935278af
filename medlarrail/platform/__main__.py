"""Starts medlarrail's programs on the platform.

Example: ``python3 -m medlarrail.platform gateway``.
"""

import os
import signal
import sys
from importlib import import_module
from pathlib import Path

from medlarrail.programs.startup import pause_garbage_collection

SETTINGS_VARIABLE = "MEDLARRAIL_BOOT"
"""Environment variable that contains the path of the settings file."""
PROGRAMS = ("gateway", "state")
"""Modules of this package that can be started; only the started one is imported."""


def main() -> int:
    """Run the program named by the first argument and return the exit code."""
    # The default action would end the process; ``SettingsReloader`` handles it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in PROGRAMS:
        print(f"usage: python3 -m medlarrail.platform {'|'.join(PROGRAMS)}")
        return 2
    return start(name, Path(os.environ[SETTINGS_VARIABLE]))


def start(name: str, settings_path: Path) -> int:
    """Run a program until it receives a stop signal and return the exit code."""
    with pause_garbage_collection():
        program = import_module(f"medlarrail.platform.{name}")
        from medlarrail.core.errors import SettingsInvalid
        from medlarrail.programs.daemon import ExitCode, run_daemon, start_log
        from medlarrail.settings.loading import load_settings

    try:
        settings = load_settings(settings_path, program.SETTINGS)
    except (OSError, SettingsInvalid) as error:
        print(f"{settings_path}: {error}", file=sys.stderr)
        return ExitCode.SETTINGS
    start_log(settings.log_file)
    run_daemon(program.run, settings, settings_path)
    return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
