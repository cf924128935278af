"""Tests of the shipped settings files and of the validation of settings."""

from pathlib import Path

import pytest
from attrs import evolve

from medlarrail.settings.common import list_settings_faults
from medlarrail.settings.entry import EntrySettings
from medlarrail.settings.loading import load_settings
from medlarrail.settings.state import StateSettings
from medlarrail.settings.store import StoreSettings

SHIPPED = Path(__file__).parents[2] / "settings"
KINDS = {"state": StateSettings, "entry": EntrySettings, "store": StoreSettings}
FILES = sorted(
    path for path in SHIPPED.glob("*/*.json") if path.stem.split("-")[0] in KINDS
)


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
