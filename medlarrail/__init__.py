"""Serving layer for language-model prompts that return after long gaps."""

__version__ = "0.1.0"

from medlarrail.core import clock  # noqa: F401  records the start time of the process
