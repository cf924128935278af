"""Tests of the messages between the leading state member and all entries."""

import pytest

from medlarrail.policy.notification import (
    MAX_UPDATES_PER_S,
    get_entry_timeout_s,
    get_poll_timeout_s,
    get_poll_wait_s,
    get_report_interval_s,
    get_update_interval_s,
)

ENTRY_COUNTS = (1, 6, 66, 82, 200, 390)
MAX_NOTICE_S = 2.0
"""Time within which every entry has to know of an endpoint that leaves."""
CALL_S = 0.0025
"""Processor time of one call at a state member with 0.645 of a core."""


class TestManyEntries:
    @pytest.mark.parametrize("count", ENTRY_COUNTS)
    def test_an_endpoint_that_leaves_is_known_too_late(self, count):
        assert get_update_interval_s(count) < MAX_NOTICE_S

    @pytest.mark.parametrize("count", ENTRY_COUNTS)
    def test_a_poll_ends_before_the_leader_lets_go_of_it(self, count):
        wait_s = get_poll_wait_s(count)
        assert get_poll_timeout_s(wait_s) / 2 > wait_s + get_update_interval_s(1)

    @pytest.mark.parametrize("count", ENTRY_COUNTS)
    def test_an_entry_is_taken_for_gone_after_one_lost_poll(self, count):
        wait_s = get_poll_wait_s(count)
        next_arrival_s = wait_s + get_poll_timeout_s(wait_s) / 2
        assert get_entry_timeout_s(count) > next_arrival_s

    @pytest.mark.parametrize("count", ENTRY_COUNTS[:4])
    def test_updates_and_reports_take_all_of_the_leaders_time(self, count):
        """Changes without end, reports from every entry, and polls without news."""
        updates_per_s = count / get_update_interval_s(count)
        reports_per_s = count / get_report_interval_s(count)
        assert updates_per_s + reports_per_s <= 2 * MAX_UPDATES_PER_S + 1e-6
        assert (updates_per_s + reports_per_s) * CALL_S < 0.75
