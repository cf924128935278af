"""Tests of elections that members refuse each other."""

import random

import pytest
import trio

from medlarrail.core.timing import ELECTION_TIMEOUT_MAX_S, ELECTION_TIMEOUT_MIN_S
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.logs import collect_messages

NAMES = ("a", "b", "c")
VOTE_DELAY_S = 0.02
"""Mean delay of a message: a vote takes as long as beside heavy load."""


class LongestTimeouts(random.Random):
    """Random numbers with which the timeouts of all members are the same."""

    def uniform(self, low, high):
        """Return ``high``."""
        return high


@pytest.mark.parametrize("seed", range(6))
async def test_refused_candidates_wait_for_a_whole_timeout(
    tmp_path, nursery, autojump_clock, seed
):
    """A group of three had no leader for 3.7 s after the loss of one, and a gateway
    that had missed a departure did not hear of it in time."""
    cluster = Cluster(tmp_path, nursery, seed, build_random=LongestTimeouts)
    await cluster.bootstrap(*NAMES)
    cluster.network.delay_s = VOTE_DELAY_S
    leader = await cluster.wait_leader()
    await trio.sleep(2 * ELECTION_TIMEOUT_MAX_S)
    cluster.kill(leader.name)
    lost_at = trio.current_time()
    for member in cluster.get_members():
        member.election_timeout_since = lost_at
    with collect_messages("election:failed") as failures:
        await cluster.wait_leader()
    assert failures
    limit_s = ELECTION_TIMEOUT_MAX_S + ELECTION_TIMEOUT_MIN_S
    assert trio.current_time() - lost_at < limit_s
