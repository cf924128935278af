"""Tests of the registry of announced endpoints."""

import random

from medlarrail.cluster.departures import DEPARTED_RETENTION_S
from medlarrail.cluster.registry import SILENCE_LIMIT_S, EndpointRegistry
from medlarrail.testing.builders import build_announcement


def build_registry():
    now = [100.0]
    return EndpointRegistry(lambda: now[0]), now


class TestRegistry:
    def test_change_is_reported_once(self):
        registry, _ = build_registry()
        assert registry.record_announcement(build_announcement())
        seen = registry.revision
        assert not registry.record_announcement(build_announcement(sequence=2))
        assert not list(registry.iterate_changed(seen))
        assert registry.record_announcement(
            build_announcement(sequence=3, state="leaving")
        )
        (registered,) = registry.iterate_changed(seen)
        assert registered.announced.state == "leaving"

    def test_late_message_is_ignored(self):
        registry, _ = build_registry()
        registry.record_announcement(build_announcement(sequence=5, state="leaving"))
        assert not registry.record_announcement(
            build_announcement(sequence=4, state="ready")
        )
        assert registry.endpoints["engine-1"].announced.state == "leaving"

    def test_restart_resets_sequence(self):
        registry, _ = build_registry()
        registry.record_announcement(build_announcement(sequence=50))
        assert registry.record_announcement(
            build_announcement(started_ms=2000, sequence=1)
        )
        assert registry.endpoints["engine-1"].announced.sequence == 1

    def test_late_message_does_not_restore_departed_endpoint(self):
        registry, now = build_registry()
        registry.record_announcement(build_announcement(sequence=5))
        seen = registry.revision
        registry.remove("engine-1")
        assert not registry.record_announcement(build_announcement(sequence=6))
        assert list(registry.departures.iterate_names(seen)) == ["engine-1"]
        now[0] += DEPARTED_RETENTION_S / 2
        assert registry.record_announcement(
            build_announcement(started_ms=2000, sequence=1)
        )

    def test_departure_of_unknown_endpoint_is_recorded(self):
        registry, _ = build_registry()
        registry.remove("engine-1", now_ms=1500)
        assert not registry.record_announcement(
            build_announcement(started_ms=1000, sequence=9)
        )

    def test_new_endpoint_replaces_previous_at_its_address(self):
        registry, _ = build_registry()
        registry.record_announcement(build_announcement())
        replacement = build_announcement(
            name="engine-2", started_ms=3000, service="box"
        )
        assert registry.record_announcement(replacement)
        assert set(registry.endpoints) == {"engine-2"}
        assert not registry.record_announcement(build_announcement(sequence=7))
        assert set(registry.endpoints) == {"engine-2"}

    def test_endpoint_expires_after_silence_limit(self):
        registry, now = build_registry()
        registry.record_announcement(build_announcement())
        now[0] += SILENCE_LIMIT_S - 1
        assert not registry.expire()
        now[0] += 2
        assert registry.expire() == ["engine-1"]

    def test_cold_start_is_reported_with_remaining_time(self):
        registry, now = build_registry()
        registry.record_announcement(build_announcement())
        seen = registry.revision
        assert registry.record_announcement(
            build_announcement(sequence=2, cold_ms=3000)
        )
        now[0] += 1.0
        (registered,) = registry.iterate_changed(seen)
        assert registered.cold_ms == 2000
        assert not registry.record_announcement(
            build_announcement(sequence=3, cold_ms=1900)
        )

    def test_restart_ends_load(self):
        registry, _ = build_registry()
        registry.record_announcement(build_announcement())
        assert registry.set_loading("engine-1", True)
        registry.record_announcement(build_announcement(sequence=2, slots=9))
        assert registry.endpoints["engine-1"].loading
        registry.record_announcement(build_announcement(started_ms=2000))
        assert not registry.endpoints["engine-1"].loading


class CountedEndpoints(dict):
    """Endpoints by name; counts how often all of them are read."""

    def __init__(self, *args):
        super().__init__(*args)
        self.reads = 0

    def values(self):
        """See ``dict``."""
        self.reads += 1
        return super().values()

    def items(self):
        """See ``dict``."""
        self.reads += 1
        return super().items()


class TestAddresses:
    def test_each_heartbeat_reads_all_endpoints(self):
        """A leader with 3,000 endpoints spent half of the time of a heartbeat on it."""
        registry, _ = build_registry()
        registry.endpoints = CountedEndpoints()
        for sequence in (1, 2):
            for number in range(5):
                registry.record_announcement(
                    build_announcement(
                        name=f"engine-{number}",
                        address=f"10.0.0.{number}:8000",
                        sequence=sequence,
                    )
                )
        assert len(registry.endpoints) == 5
        assert registry.endpoints.reads == 0

    def test_address_has_two_endpoints(self):
        """Endpoints start, leave and move at random among a few addresses: the latest
        process to start at an address is the one that is listed there."""
        for seed in range(200):
            rng = random.Random(seed)
            registry, _ = build_registry()
            for sequence in range(60):
                if rng.random() < 0.15:
                    registry.remove(f"engine-{rng.randrange(6)}", now_ms=sequence)
                announced = build_announcement(
                    name=f"engine-{rng.randrange(6)}",
                    address=f"10.0.0.{rng.randrange(4)}:8000",
                    started_ms=rng.randrange(8) * 1000,
                    sequence=sequence,
                )
                others = [
                    record.announced.started_ms
                    for record in registry.endpoints.values()
                    if record.announced.address == announced.address
                    and record.announced.name != announced.name
                ]
                outdated = registry.is_outdated(announced)
                if others and max(others) >= announced.started_ms:
                    assert outdated
                registry.record_announcement(announced)
                listed = [
                    record.announced.address for record in registry.endpoints.values()
                ]
                assert len(listed) == len(set(listed))
                if not outdated:
                    kept = registry.endpoints[announced.name].announced
                    assert kept == announced
