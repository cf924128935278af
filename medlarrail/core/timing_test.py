"""Tests of the derived time bounds."""

from medlarrail.core import timing

TARGET_PROPAGATION_DELAY_S = 12.0
FEW_SECONDS = 5.0


class TestBounds:
    def test_propagation_delay_meets_the_target(self):
        assert timing.MAX_PROPAGATION_DELAY_S <= TARGET_PROPAGATION_DELAY_S

    def test_out_of_service_bound_is_a_few_seconds(self):
        assert timing.OUT_OF_SERVICE_BOUND_S <= FEW_SECONDS
        assert timing.ENTRY_OUT_BOUND_S <= FEW_SECONDS + timing.ENTRY_LIST_TTL_S

    def test_lease_survives_two_lost_renewals(self):
        assert timing.SESSION_LEASE_S > 3 * timing.RENEW_INTERVAL_S

    def test_leader_lease_ends_before_a_rival_can_be_elected(self):
        assert timing.HEARTBEAT_INTERVAL_S * 3 < timing.ELECTION_TIMEOUT_MIN_S
