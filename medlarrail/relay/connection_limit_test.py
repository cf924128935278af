"""Tests of the connections that all entries together open to one endpoint."""

import pytest

from medlarrail.core.deployment import ServiceRule
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.testing.builders import build_endpoint_stats


def build_relays(count: int) -> list[RequestRelay]:
    """Return the relays of ``count`` entries that know each other."""
    names = [f"gateway-{number}" for number in range(count)]
    all_stats = [build_endpoint_stats(name, names) for name in names]
    return [
        RequestRelay(stats.cluster_view, DefaultHeaderCodec(), stats)
        for stats in all_stats
    ]


class TestConnectionLimit:
    @pytest.mark.parametrize("entry_count", [1, 7, 12, 82, 390])
    @pytest.mark.parametrize("max_connections", [1, 96, 230, 600])
    def test_many_entries_exceed_the_connections_of_an_endpoint(
        self, max_connections, entry_count
    ):
        """Each entry could always open two connections."""
        service = ServiceRule("guide", max_connections=max_connections)
        limits = [
            relay.get_connection_limit(service, "engine-1")
            for relay in build_relays(entry_count)
        ]
        assert 0 < sum(limits) <= max_connections
