"""Tests of what an entry takes for a partition."""

from random import Random

import pytest

from medlarrail.policy.reachability import (
    FAILURE_TTL_S,
    MIN_CONNECTIONS,
    OUTAGE_TTL_S,
    Reachability,
)


class TestReachability:
    def test_one_unreachable_endpoint_is_a_partition(self):
        reachability = Reachability()
        for now in range(5):
            reachability.record_failed("e1", 45, now * 0.1)
        reachability.record_failed("e2", 45, 0.6)
        assert not reachability.is_partitioned
        reachability.record_failed("e3", 45, 0.7)
        assert reachability.is_partitioned

    @pytest.mark.parametrize("count", [1, 2])
    def test_all_endpoints_of_a_small_service_count(self, count):
        reachability = Reachability()
        for number in range(count):
            assert not reachability.is_partitioned
            reachability.record_failed(f"e{number}", count, 1.0)
        assert reachability.is_partitioned

    def test_old_failures_count(self):
        reachability = Reachability()
        for number in range(6):
            reachability.record_failed(
                f"e{number}", 45, number * (FAILURE_TTL_S / 2 + 0.1)
            )
        assert not reachability.is_partitioned

    def test_a_single_connection_ends_a_partition(self):
        reachability = Reachability()
        for number in range(3):
            reachability.record_failed(f"e{number}", 45, 1.0)
        for _ in range(MIN_CONNECTIONS - 1):
            reachability.record_connected()
        assert reachability.is_partitioned
        reachability.record_failed("e1", 45, 1.1)
        for _ in range(MIN_CONNECTIONS):
            assert reachability.is_partitioned
            reachability.record_connected()
        assert not reachability.is_partitioned

    def test_a_lost_data_centre_is_a_partition(self):
        """A third of 45 endpoints is down, and attempts to connect are spread over all
        of them. The entry must not stay partitioned."""
        random = Random(3)
        reachability = Reachability()
        partitioned = 0
        for number in range(3000):
            name = f"e{random.randrange(45)}"
            if int(name[1:]) % 3 == 0:
                reachability.record_failed(name, 45, number * 0.02)
            else:
                reachability.record_connected()
            partitioned += reachability.is_partitioned
        assert partitioned < 0.1 * 3000

    def test_a_lossy_path_is_a_partition(self):
        """Every third of 25 attempts a second is lost, which is known after 0.25 s."""
        reachability = Reachability()
        outcomes = []
        ended_at = 59.9
        for number in range(1500):
            started_at = number * 0.04
            if number % 3 == 2:
                outcomes.append((started_at + 0.25, f"e{number % 5}"))
            else:
                outcomes.append((started_at + 0.002, ""))
        for now, failed in sorted(outcomes):
            if now > ended_at:
                break
            if failed:
                reachability.record_failed(failed, 3, now)
            else:
                reachability.record_connected()
            assert not reachability.is_partitioned


class TestOutage:
    def build(self) -> Reachability:
        """Return the state of an entry that reaches none of three endpoints."""
        reachability = Reachability()
        for name in ("e1", "e2", "e3"):
            reachability.record_failed(name, 3, 0.0)
        return reachability

    def test_another_entry_that_is_slow_for_a_moment_makes_an_outage(self):
        """The only other entry failed to connect for a moment beside load, and the
        endpoints, which ran, were reported as crashed."""
        reachability = self.build()
        for now in (0.1, 0.2, 0.4):
            reachability.record_outage(now)
            assert not reachability.is_outage(now)
        reachability.record_carried()
        reachability.record_outage(0.7)
        assert not reachability.is_outage(0.7)

    def test_an_outage_is_seen_by_all_entries_for_some_time(self):
        reachability = self.build()
        for now in (0.1, 0.4, 0.7):
            reachability.record_outage(now)
        assert reachability.is_outage(0.8)
        assert not reachability.is_outage(0.7 + 2 * OUTAGE_TTL_S)
        for _ in range(MIN_CONNECTIONS):
            reachability.record_connected()
        assert not reachability.is_outage(0.8)
