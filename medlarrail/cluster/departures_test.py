"""Tests of the departures that members tell entries of."""

from medlarrail.cluster.departures import DEPARTED_RETENTION_S, Departures
from medlarrail.testing.builders import build_announcement


def build_departures():
    now = [100.0]
    return Departures(lambda: now[0]), now


class TestDepartures:
    def test_entry_is_told_what_left_since_its_last_call(self):
        departures, _ = build_departures()
        departures.record("engine-1", 4)
        departures.record("engine-2", 5)
        assert list(departures.iterate_names(3)) == ["engine-1", "engine-2"]
        assert list(departures.iterate_names(4)) == ["engine-2"]
        assert not list(departures.iterate_names(5))

    def test_endpoint_that_came_back_is_not_told_as_departed(self):
        departures, _ = build_departures()
        departures.record("engine-1", 4)
        departures.remove("engine-1")
        departures.remove("engine-2")
        assert "engine-1" not in departures
        assert not list(departures.iterate_names(0))

    def test_only_messages_of_departed_incarnations_are_late(self):
        departures, _ = build_departures()
        departures.record("engine-1", 4, last_started_ms=2000)
        assert departures.is_late(build_announcement(started_ms=2000))
        assert not departures.is_late(build_announcement(started_ms=2001))
        assert not departures.is_late(
            build_announcement(name="engine-2", started_ms=2000)
        )

    def test_entry_that_missed_a_forgotten_departure_needs_all_endpoints(self):
        departures, now = build_departures()
        departures.record("engine-1", 4)
        now[0] += DEPARTED_RETENTION_S
        departures.remove_expired()
        assert departures.forgotten_revision == 0
        departures.record("engine-2", 7)
        now[0] += 1
        departures.remove_expired()
        assert departures.forgotten_revision == 4
        assert "engine-1" not in departures
        assert "engine-2" in departures

    def test_revisions_are_counted_anew_after_all_are_removed(self):
        departures, now = build_departures()
        departures.record("engine-1", 4)
        now[0] += DEPARTED_RETENTION_S + 1
        departures.remove_expired()
        departures.clear()
        assert departures.forgotten_revision == 0
