"""Reads settings files: decodes them, then validates their values."""

from pathlib import Path
from typing import TypeVar

from medlarrail.core.codec import decode_settings
from medlarrail.core.errors import SettingsInvalid
from medlarrail.settings.common import list_settings_faults

T = TypeVar("T")


def load_settings(path: Path, kind: type[T]) -> T:
    """Return the settings in a file; raises ``SettingsInvalid`` with all faults."""
    settings = decode_settings(path.read_bytes(), kind)
    faults = list_settings_faults(settings)
    if faults:
        raise SettingsInvalid(faults=tuple(faults))
    return settings
