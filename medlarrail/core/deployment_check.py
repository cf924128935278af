"""Semantic validation of a decoded deployment document."""

from collections import Counter
from collections.abc import Iterator

from medlarrail.core.cluster_records import ValidationFault
from medlarrail.core.deployment import Deployment, RouteRule
from medlarrail.core.errors import DeploymentInvalid


def check_deployment(deployment: Deployment) -> None:
    """Raise ``DeploymentInvalid`` with all faults, if there are any."""
    faults = tuple(iterate_deployment_faults(deployment))
    if faults:
        raise DeploymentInvalid(faults=faults)


def iterate_deployment_faults(deployment: Deployment) -> Iterator[ValidationFault]:
    """Yield each fault of a document with its location."""
    services = {service.name for service in deployment.services}
    for number, route in enumerate(deployment.routes):
        yield from _iterate_route_faults(route, f"$.routes[{number}]", services)
    matches = Counter((route.host, route.prefix) for route in deployment.routes)
    for (host, prefix), count in matches.items():
        if count > 1:
            yield ValidationFault("$.routes", f"{count} routes share {host}{prefix}")
    keys = Counter(key for account in deployment.accounts for key in set(account.keys))
    for number, account in enumerate(deployment.accounts):
        if any(keys[key] > 1 for key in account.keys):
            place = f"$.accounts[{number}].keys"
            yield ValidationFault(place, "another account has one of these keys")


def _iterate_route_faults(
    route: RouteRule, place: str, services: set[str]
) -> Iterator[ValidationFault]:
    for share in route.shares:
        if share.service not in services:
            yield ValidationFault(
                f"{place}.shares", f"unknown service {share.service!r}"
            )
        if share.weight < 0:
            yield ValidationFault(f"{place}.shares", "a weight is negative")
    if sum(share.weight for share in route.shares) <= 0:
        yield ValidationFault(f"{place}.shares", "the weights add up to 0")
    if route.timeout_ms <= 0:
        yield ValidationFault(f"{place}.timeout_ms", "is not above 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield ValidationFault(f"{place}.prefix", "does not begin and end with a slash")
