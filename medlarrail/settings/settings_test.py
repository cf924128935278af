"""Tests of the shipped settings files and of the validation of settings."""

import json
import re
from pathlib import Path

import pytest
from attrs import evolve

from medlarrail.core.codec import decode_settings
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.settings.common import list_settings_faults
from medlarrail.settings.entry import EntrySettings
from medlarrail.settings.gateway import GatewaySettings
from medlarrail.settings.loading import load_settings
from medlarrail.settings.state import StateSettings
from medlarrail.settings.store import StoreSettings

SHIPPED = Path(__file__).parents[2] / "settings"
KINDS = {"state": StateSettings, "entry": EntrySettings, "store": StoreSettings}
FILES = sorted(
    path for path in SHIPPED.glob("*/*.json") if path.stem.split("-")[0] in KINDS
)

TEMPLATES = Path(__file__).parents[2] / "deploy" / "templates"
ENTRY = {
    "node": "g1",
    "zone": "leith",
    "ip": "127.0.0.1",
    "listen": {"front": "f:1", "control": "c:1", "ready": "r:1", "directory": "d:1"},
    "internal-ports": {"0": 7000},
    "seeds": ["s:1", "s:2"],
    "data-dir": "/data",
    "bootstrap": True,
    "limits": {"memory-mb": 200},
}
BOUNDS = {"budget-window-s": 10, "budget-ratio": 0.2, "budget-slack": 54}
ROLLOUT_BOUNDS = {"exposure-share": 0.1, "exposure-slack": 50, "rollback-ms": 5000}


def find(name: str, entry):
    for part in name.split("."):
        entry = entry.get(part) if isinstance(entry, dict) else None
    return entry


def render(text: str, entry: dict) -> str:
    """Return a template with the sections and names that the shipped ones use."""

    def render_section(match: re.Match) -> str:
        sign, name, body = match.groups()
        value = find(name, entry)
        if sign == "^":
            return "" if value is not None else body
        if isinstance(value, list):
            items = (body.replace("{{.}}", item) for item in value)
            return ",".join(item.replace("{{,}}", "") for item in items)
        return body if value is not None else ""

    text = re.sub(r"{{([#^])([^}]+)}}(.*?){{/\2}}", render_section, text, flags=re.S)

    def render_name(match: re.Match) -> str:
        name, _, form = match.group(1).partition("|")
        value = find(name, entry)
        assert value is not None, name
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"{{([^}]+)}}", render_name, text)


class TestTemplates:
    @pytest.mark.parametrize("with_rollouts", [False, True])
    @pytest.mark.parametrize(
        ("name", "kind"), [("gateway", GatewaySettings), ("state", StateSettings)]
    )
    def test_limits_of_rollouts_are_not_those_of_the_deployment(
        self, name, kind, with_rollouts
    ):
        """A deployment without them has no rollouts."""
        rollout_bounds = ROLLOUT_BOUNDS if with_rollouts else {}
        entry = {**ENTRY, "bounds": {**BOUNDS, **rollout_bounds}}
        text = (TEMPLATES / f"{name}.json").read_text()
        settings = decode_settings(render(text, entry).encode(), kind)
        expected = SoftwareRolloutPolicy(0.1, 50, 5000) if with_rollouts else None
        assert settings.software_rollouts == expected
        assert not list_settings_faults(settings)


class TestShippedSettings:
    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.parent.name)
    def test_shipped_settings_are_valid(self, path):
        assert load_settings(path, KINDS[path.stem.split("-")[0]])

    def test_both_deployments_are_covered(self):
        assert {path.parent.name for path in FILES} == {"thistlegate", "derwent-valley"}


class TestFaults:
    def test_each_fault_is_reported_with_its_location(self):
        settings = load_settings(FILES[0], EntrySettings)
        bad = evolve(
            settings,
            name="",
            state_urls=(),
            listen=evolve(settings.listen, port=0, url="ftp://x"),
            keys=evolve(settings.keys, cluster="short"),
        )
        places = {fault.place for fault in list_settings_faults(bad)}
        assert places == {
            "$.name",
            "$.state_urls",
            "$.listen.port",
            "$.listen.url",
            "$.keys.cluster",
        }

    def test_limits_of_rollouts_are_out_of_range(self):
        settings = load_settings(
            next(path for path in FILES if path.stem.startswith("state")), StateSettings
        )
        bad = evolve(settings, software_rollouts=SoftwareRolloutPolicy(1.1, -1, 0))
        places = {fault.place for fault in list_settings_faults(bad)}
        assert places == {
            "$.software_rollouts.exposure_ratio",
            "$.software_rollouts.exposure_slack",
            "$.software_rollouts.rollback_ms",
        }
