"""Builders for tests of how old the weights are that requests begin on."""

from types import SimpleNamespace

import trio

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import ModelWeights
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.header_codec import DefaultHeaderCodec
from medlarrail.relay.metadata import RequestMetadata
from medlarrail.relay.relayed_request import RelayedRequest
from medlarrail.relay.request_relay import RequestRelay
from medlarrail.relay.table import Admission, RouteTable
from medlarrail.testing.builders import build_deployment, build_route

MODEL = "seat-guide"
BUSY = 1000
"""Requests in flight at an endpoint that is only chosen if there is no other one."""


def build_weights(version: int) -> tuple[ModelWeights, ...]:
    """Return the weights that an endpoint with a version of ``MODEL`` announces."""
    return (ModelWeights(MODEL, version),)


def build_request(cluster_view: ClusterView) -> RelayedRequest:
    """Return a short request for ``MODEL`` at an entry with this view."""
    stats = EndpointStats(cluster_view, "leith", "entry-1", cluster_view.clock)
    relay = RequestRelay(cluster_view, DefaultHeaderCodec(), stats)
    relay.table = RouteTable(build_deployment())
    request = SimpleNamespace(received_at=trio.current_time(), forwarded_by="")
    exchange = SimpleNamespace(request=request, started=False)
    return RelayedRequest(
        relay,
        exchange,
        RequestMetadata(request_id="r1", model=MODEL),
        Admission(build_route(), None),
    )


def choose_version(cluster_view: ClusterView) -> int | None:
    """Return the weight version that a request begins on, None for no endpoint.

    Endpoints with the newest weights are busy, so that others are chosen if they may
    be used.
    """
    relayed = build_request(cluster_view)
    announced = [endpoint.announced for endpoint in cluster_view.endpoints.values()]
    newest = max((one.get_version(MODEL) for one in announced), default=0)
    for one in announced:
        if one.get_version(MODEL) == newest:
            relayed.relay.endpoint_stats.get_record(one.name).in_flight = BUSY
    endpoint = relayed.chooser.choose().endpoint
    return None if endpoint is None else endpoint.announced.get_version(MODEL)
