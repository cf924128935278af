"""Tests of the choice of the entry that carries a partitioned one's requests."""

from collections import Counter
from random import Random

from attrs import evolve

from medlarrail.policy.peer_choice import Peer, choose_peer

ZONES = ("leith", "perth", "tay")


def build_peers(count: int) -> list[Peer]:
    return [Peer(f"e{n}", f"10.0.0.{n}:80", ZONES[n % 3]) for n in range(count)]


class TestChoice:
    def test_nobody_is_asked_again_at_once(self):
        peers = [evolve(peer, available=False) for peer in build_peers(6)]
        assert choose_peer(peers, "leith", (), Random(1)) is None

    def test_the_same_data_centre_is_asked_first(self):
        for seed in range(30):
            assert choose_peer(build_peers(9), "tay", (), Random(seed)).data_centre == (
                "tay"
            )

    def test_the_neighbours_of_a_refusing_entry_are_asked(self):
        for seed in range(30):
            second = choose_peer(build_peers(9), "tay", ["tay"], Random(seed))
            third = choose_peer(
                build_peers(9), "tay", ["tay", second.data_centre], Random(seed)
            )
            assert {"tay", second.data_centre, third.data_centre} == set(ZONES)

    def test_a_data_centre_of_its_own_is_no_obstacle(self):
        peers = [Peer("e1", "10.0.0.1:80", "perth")]
        assert choose_peer(peers, "leith", ("perth",), Random(1)) is peers[0]


class TestPartitionedDataCentre:
    def test_the_requests_of_a_data_centre_crowd_one_entry(self):
        """34 of 100 entries are partitioned, and each has ten requests in progress. The
        66 others get about five each; 16 in one would be three times the mean."""
        random = Random(7)
        carried = Counter()
        for _ in range(34):
            peers = build_peers(66)
            for _ in range(10):
                chosen = choose_peer(peers, "fife", (), random)
                carried[chosen.name] += 1
                peers = [
                    evolve(peer, in_flight=peer.in_flight + (peer.name == chosen.name))
                    for peer in peers
                ]
        assert len(carried) >= 60
        assert max(carried.values()) < 3 * 340 / 66
