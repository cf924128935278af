"""Builders of test data."""

from collections.abc import Sequence

from attrs import evolve

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import Announcement, ModelWeights, RegisteredEntry
from medlarrail.core.deployment import (
    AccountRule,
    Deployment,
    RouteRule,
    ServiceRule,
    TrafficShare,
)
from medlarrail.core.entities import CallRule, Contract, Endpoint
from medlarrail.protocol.cluster_view import ClusterViewAnswer
from medlarrail.relay.endpoint_stats import EndpointStats

_ENDPOINT = Endpoint(
    name="engine-1",
    url="http://127.0.0.1:9001",
    kind="model",
    serves="seat-guide",
    data_centre="leith",
    incarnation="i1",
    weight_version="v1",
    block_bytes=64,
)

_CONTRACT = Contract(
    account="lea-college",
    calls=(CallRule("box-office/purchase", "once"),),
)


def build_endpoint(**changes) -> Endpoint:
    """Return an endpoint with ``changes`` applied to the default one."""
    return evolve(_ENDPOINT, **changes)


def build_contract(**changes) -> Contract:
    """Return a contract with ``changes`` applied to the default one."""
    return evolve(_CONTRACT, **changes)


_ANNOUNCEMENT = Announcement(
    name="engine-1",
    service="guide",
    address="127.0.0.1:9001",
    data_centre="leith",
    started_ms=1000,
    sequence=1,
    state="ready",
    slots=4,
    models=(ModelWeights("seat-guide", 1),),
)

_ROUTE = RouteRule(
    name="ask",
    host="tickets.example",
    prefix="/ask/",
    kind="repeat",
    timeout_ms=2000,
    shares=(TrafficShare("guide"),),
    max_attempts=2,
)

_DEPLOYMENT = Deployment(
    version=1,
    routes=(_ROUTE,),
    services=(ServiceRule("guide"),),
    accounts=(AccountRule("lea-college", ("key-1",)),),
)


def build_announcement(**changes) -> Announcement:
    """Return an announcement with ``changes`` applied to the default one."""
    return evolve(_ANNOUNCEMENT, **changes)


def build_route(**changes) -> RouteRule:
    """Return a route with ``changes`` applied to the default one."""
    return evolve(_ROUTE, **changes)


def build_deployment(**changes) -> Deployment:
    """Return a deployment document with ``changes`` applied to the default one."""
    return evolve(_DEPLOYMENT, **changes)


def build_cluster_view_answer(
    listed: Sequence[str] = (), settled: bool = True
) -> ClusterViewAnswer:
    """Return a leader's answer that lists entries by their names.

    A leader that is not ``settled`` may not have heard from all entries yet.
    """
    return ClusterViewAnswer(
        epoch="m1-1",
        settled=settled,
        whole=True,
        endpoints_revision=0,
        entries_revision=1,
        configuration_index=0,
        entries=tuple(RegisteredEntry(name, "", "leith") for name in listed),
        entry_count=max(1, len(listed)),
    )


def build_endpoint_stats(
    entry: str, listed: Sequence[str] = (), settled: bool = True
) -> EndpointStats:
    """Return the endpoint statistics of ``entry`` when a leader lists ``listed``."""
    cluster_view = ClusterView()
    cluster_view.apply(build_cluster_view_answer(listed, settled))
    return EndpointStats(cluster_view, "leith", entry)
