"""Tests of the registry of announced endpoints."""

from medlarrail.cluster.registry import (
    DEPARTED_KEPT_S,
    SILENCE_LIMIT_S,
    EndpointRegistry,
)
from medlarrail.testing.builders import build_announcement


def build_registry():
    now = [100.0]
    return EndpointRegistry(lambda: now[0]), now


class TestRegistry:
    def test_a_change_is_told_once(self):
        registry, _ = build_registry()
        assert registry.note(build_announcement())
        seen = registry.revision
        assert not registry.note(build_announcement(sequence=2))
        assert not list(registry.iterate_notices(seen))
        assert registry.note(build_announcement(sequence=3, state="leaving"))
        (notice,) = registry.iterate_notices(seen)
        assert notice.announced.state == "leaving"

    def test_a_late_message_changes_nothing(self):
        registry, _ = build_registry()
        registry.note(build_announcement(sequence=5, state="leaving"))
        assert not registry.note(build_announcement(sequence=4, state="ready"))
        assert registry.known["engine-1"].announced.state == "leaving"

    def test_a_restart_under_the_same_name_counts_anew(self):
        registry, _ = build_registry()
        registry.note(build_announcement(sequence=50))
        assert registry.note(build_announcement(started_ms=2000, sequence=1))
        assert registry.known["engine-1"].announced.sequence == 1

    def test_a_late_message_brings_nothing_back_that_left(self):
        registry, now = build_registry()
        registry.note(build_announcement(sequence=5))
        seen = registry.revision
        registry.depart("engine-1")
        assert not registry.note(build_announcement(sequence=6))
        assert list(registry.iterate_departed(seen)) == ["engine-1"]
        now[0] += DEPARTED_KEPT_S / 2
        assert registry.note(build_announcement(started_ms=2000, sequence=1))

    def test_a_departure_of_one_not_known_here_holds_too(self):
        registry, _ = build_registry()
        registry.depart("engine-1", now_ms=1500)
        assert not registry.note(build_announcement(started_ms=1000, sequence=9))

    def test_a_new_endpoint_takes_the_place_of_the_old_at_its_address(self):
        registry, _ = build_registry()
        registry.note(build_announcement())
        fresh = build_announcement(name="engine-2", started_ms=3000, service="box")
        assert registry.note(fresh)
        assert set(registry.known) == {"engine-2"}
        assert not registry.note(build_announcement(sequence=7))
        assert set(registry.known) == {"engine-2"}

    def test_silence_is_borne_for_a_while(self):
        registry, now = build_registry()
        registry.note(build_announcement())
        now[0] += SILENCE_LIMIT_S - 1
        assert not registry.expire()
        now[0] += 2
        assert registry.expire() == ["engine-1"]

    def test_a_cold_start_is_told_with_the_time_left(self):
        registry, now = build_registry()
        registry.note(build_announcement())
        seen = registry.revision
        assert registry.note(build_announcement(sequence=2, cold_ms=3000))
        now[0] += 1.0
        (notice,) = registry.iterate_notices(seen)
        assert notice.cold_ms == 2000
        assert not registry.note(build_announcement(sequence=3, cold_ms=1900))

    def test_a_load_ends_with_the_incarnation(self):
        registry, _ = build_registry()
        registry.note(build_announcement())
        assert registry.set_loading("engine-1", True)
        registry.note(build_announcement(sequence=2, slots=9))
        assert registry.known["engine-1"].loading
        registry.note(build_announcement(started_ms=2000))
        assert not registry.known["engine-1"].loading
