"""Builders of test data."""

from attrs import evolve

from medlarrail.core.entities import CallRule, Contract, Endpoint

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
    """Return an endpoint with ``changes`` made to a usual one."""
    return evolve(_ENDPOINT, **changes)


def build_contract(**changes) -> Contract:
    """Return a contract with ``changes`` made to a usual one."""
    return evolve(_CONTRACT, **changes)
