"""Tests that each layer imports only those below it."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent
ALLOWED = {
    "core": set(),
    "transport": {"core"},
    "state": {"core"},
    "protocol": {"core", "state"},
    "coordination": {"core", "transport", "state", "protocol"},
    "programs": {"core", "transport", "state", "protocol", "coordination"},
}
APART = {"programs/standin.py"}
"""Modules that may import the stand-ins."""


def iterate_imports(path):
    """Yield the layers that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "medlarrail" and len(parts) > 1:
                yield parts[1]


@pytest.mark.parametrize("layer", sorted(ALLOWED))
def test_layer_imports_only_lower_ones(layer):
    for path in (PACKAGE / layer).glob("*.py"):
        name = f"{layer}/{path.name}"
        if path.name.endswith("_test.py") or name in APART:
            continue
        assert set(iterate_imports(path)) <= ALLOWED[layer] | {layer}, name


def test_programs_check_invariants_without_assert():
    for path in PACKAGE.rglob("*.py"):
        aside = "testing" in path.parts or path.name.endswith("_test.py")
        if not aside:
            nodes = ast.walk(ast.parse(path.read_text()))
            assert not any(isinstance(node, ast.Assert) for node in nodes), path
