"""Tests of the hold of software versions whose order may be on its way."""

import pytest

from medlarrail.policy.version_hold import (
    HOLD_S,
    VersionSighting,
    list_held_versions,
)

OLD = VersionSighting("v1", seen_at=0.0, started_ms=1000)
NEW = VersionSighting("v2", seen_at=100.0, started_ms=2000)


class TestHeldVersions:
    @pytest.mark.parametrize(
        ("age_s", "held"), [(0.0, {"v2"}), (HOLD_S - 0.01, {"v2"}), (HOLD_S, set())]
    )
    def test_a_new_version_gets_requests_before_its_order(self, age_s, held):
        assert list_held_versions([OLD, NEW], (), NEW.seen_at + age_s) == held

    def test_the_only_version_is_held(self):
        """All endpoints of the one before have left: nothing else can serve."""
        assert list_held_versions([NEW], (), NEW.seen_at) == frozenset()

    def test_a_version_under_an_order_is_held(self):
        """Its part of the requests is limited by the rollout."""
        named = ("v2", "v1")
        assert list_held_versions([OLD, NEW], named, NEW.seen_at) == frozenset()

    def test_an_entry_that_starts_holds_the_version_that_serves(self):
        """It sees all versions at the same moment."""
        sightings = [
            VersionSighting("v2", seen_at=5.0, started_ms=2000),
            VersionSighting("v1", seen_at=5.0, started_ms=1000),
        ]
        assert list_held_versions(sightings, (), 5.0) == {"v2"}
