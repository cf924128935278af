"""Printing of results as tables or as JSON."""

from collections.abc import Iterable, Sequence
from typing import Any

import typer
from attrs import fields, frozen
from rich.console import Console
from rich.table import Table

from medlarrail.core.codec import encode

WIDTH = 200


@frozen
class Items:
    """Wrapper that encodes a list of results as a JSON object."""

    items: tuple


def print_json(value: Any) -> None:
    """Print an attrs object as one line of JSON."""
    typer.echo(encode(value).decode())


def print_items(items: Sequence[Any], as_json: bool, columns: Iterable[str]) -> None:
    """Print attrs objects as a table of ``columns``, or as JSON."""
    if as_json:
        print_json(Items(tuple(items)))
        return
    names = list(columns)
    table = Table(*[name.replace("_", " ") for name in names], box=None)
    for item in items:
        table.add_row(*[format_cell(getattr(item, name)) for name in names])
    Console(width=WIDTH, highlight=False).print(table)


def print_item(item: Any, as_json: bool) -> None:
    """Print one attrs object as a table of its fields, or as JSON."""
    if as_json:
        print_json(item)
        return
    table = Table("field", "value", box=None)
    for field in fields(type(item)):
        table.add_row(
            field.name.replace("_", " "), format_cell(getattr(item, field.name))
        )
    Console(width=WIDTH, highlight=False).print(table)


def format_cell(value: Any) -> str:
    """Format a value for a table cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, tuple):
        return ", ".join(format_cell(element) for element in value)
    return str(value)
