"""Tests that each layer imports only those below it."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent
LAYERS = (
    "core",
    "state",
    "transport",
    "protocol",
    "consensus",
    "cluster",
    "policy",
    "ownership",
    "context",
    "serving",
    "relay",
    "settings",
    "standins",
    "testing",
    "programs",
)
"""The layers from the bottom up; each imports only those before it."""
PEERS = {"standins": {"testing"}}
"""Layers that may also import what stands beside them."""
ALLOWED = {
    name: {*LAYERS[:place], *PEERS.get(name, ())} for place, name in enumerate(LAYERS)
} | {"protocol": {"core", "state"}, "state": {"core"}}
ASIDE = {"standins", "testing"}
"""Layers that only development uses."""
STANDIN_PROGRAMS = {"programs/standin.py"}
"""Programs that may import them."""


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
        if path.name.endswith("_test.py"):
            continue
        allowed = ALLOWED[layer] | {layer}
        if layer == "programs" and name not in STANDIN_PROGRAMS:
            allowed -= ASIDE
        assert set(iterate_imports(path)) <= allowed, name


def test_programs_check_invariants_without_assert():
    for path in PACKAGE.rglob("*.py"):
        aside = "testing" in path.parts or path.name.endswith("_test.py")
        if not aside:
            nodes = ast.walk(ast.parse(path.read_text()))
            assert not any(isinstance(node, ast.Assert) for node in nodes), path
