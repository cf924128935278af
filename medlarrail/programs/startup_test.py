"""Tests of what a program imports before it can do anything."""

import json
import subprocess
import sys

import pytest

MAX_GENERATED_CLASSES = 200
"""Classes with generated methods, of half a millisecond each: a tenth of a second."""
UNUSED_BY_GATEWAYS = (
    "medlarrail.consensus",
    "medlarrail.protocol.control",
    "medlarrail.serving",
    "medlarrail.standins",
    "medlarrail.state",
    "medlarrail.testing",
    "hypercorn",
    "prometheus_client",
    "typer",
)
"""Modules that only state members, operators or development need."""
LIST_IMPORTS = """
import json, sys
import attr._make
generated = []
compile_methods = attr._make._ClassBuilder._eval_snippets
def record(builder):
    if builder._script_snippets:
        generated.append(builder._cls.__module__)
    return compile_methods(builder)
attr._make._ClassBuilder._eval_snippets = record
__import__(sys.argv[1])
print(json.dumps({"modules": sorted(sys.modules), "generated": generated}))
"""


@pytest.fixture(scope="module")
def gateway_imports() -> dict[str, list[str]]:
    command = [sys.executable, "-c", LIST_IMPORTS, "medlarrail.platform.gateway"]
    return json.loads(subprocess.run(command, check=True, capture_output=True).stdout)


class TestGatewayStart:
    @pytest.mark.parametrize("name", UNUSED_BY_GATEWAYS)
    def test_restarted_gateway_imports_what_it_does_not_use(
        self, name, gateway_imports
    ):
        """After a loss of power the gateways took a second until their first line."""
        imported = [
            module
            for module in gateway_imports["modules"]
            if module == name or module.startswith(f"{name}.")
        ]
        assert not imported

    def test_restarted_gateway_generates_methods_of_unused_classes(
        self, gateway_imports
    ):
        """Most of the time of imports went into generated methods."""
        own = [
            module
            for module in gateway_imports["generated"]
            if module.startswith("medlarrail.")
        ]
        assert len(own) < MAX_GENERATED_CLASSES
