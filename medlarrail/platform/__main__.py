"""Starts medlarrail's programs on the platform.

Example: ``python3 -m medlarrail.platform gateway``.
"""

import os
import sys
from pathlib import Path

SETTINGS_VARIABLE = "MEDLARRAIL_BOOT"
"""Environment variable with the path of the settings file."""


def main() -> int:
    """Run the program that the first argument names."""
    from medlarrail.platform.programs import PROGRAMS, run_on_platform

    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in PROGRAMS:
        print(f"usage: python3 -m medlarrail.platform {'|'.join(PROGRAMS)}")
        return 2
    return run_on_platform(name, Path(os.environ[SETTINGS_VARIABLE]))


if __name__ == "__main__":
    sys.exit(main())
