"""Tests of the validation of deployment documents."""

import pytest

from medlarrail.core.deployment import AccountRule, TrafficShare
from medlarrail.core.deployment_check import iterate_deployment_faults
from medlarrail.testing.builders import build_deployment, build_route

INVALID = {
    "unknown service": build_deployment(
        routes=(build_route(shares=(TrafficShare("nobody"),)),)
    ),
    "no weight": build_deployment(
        routes=(build_route(shares=(TrafficShare("guide", 0.0),)),)
    ),
    "negative weight": build_deployment(
        routes=(
            build_route(shares=(TrafficShare("guide", -1), TrafficShare("guide", 2))),
        )
    ),
    "no time": build_deployment(routes=(build_route(timeout_ms=0),)),
    "same place": build_deployment(
        routes=(build_route(name="a"), build_route(name="b"))
    ),
    "bad prefix": build_deployment(routes=(build_route(prefix="/ask"),)),
    "shared key": build_deployment(
        accounts=(AccountRule("a", ("k",)), AccountRule("b", ("k",)))
    ),
}


class TestDeploymentFaults:
    def test_a_valid_document_has_no_faults(self):
        assert not list(iterate_deployment_faults(build_deployment()))

    @pytest.mark.parametrize("name", INVALID)
    def test_each_fault_is_reported_with_its_location(self, name):
        faults = list(iterate_deployment_faults(INVALID[name]))
        assert faults and all(fault.place.startswith("$.") for fault in faults)

    def test_a_duplicate_key_of_one_account_is_valid(self):
        document = build_deployment(accounts=(AccountRule("a", ("k", "k")),))
        assert not list(iterate_deployment_faults(document))
