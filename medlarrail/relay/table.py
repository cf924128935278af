"""Looks up the route and account of a request in a deployment document."""

import hashlib

from attrs import define, field, frozen

from medlarrail.core.deployment import (
    AccountRule,
    Deployment,
    RouteRule,
    ServiceRule,
)
from medlarrail.core.errors import UnknownRoute, WrongKey
from medlarrail.core.placement import get_weight
from medlarrail.core.scopes import ContextOwners

HASH_RANGE = 1 << 64


@frozen
class Admission:
    """The route of an admitted request, and the account that it is served for.

    ``account`` is None on public routes.
    """

    route: RouteRule
    account: AccountRule | None

    @property
    def priority(self) -> int:
        """Return the priority, 0 being highest; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("latin1", "replace")).digest()


@define
class RouteTable:
    """Routes by host and accounts by the digest of their keys.

    Looking up digests takes as long for a nearly correct key as for any other.
    """

    deployment: Deployment
    services: dict[str, ServiceRule] = field(init=False)
    owners: ContextOwners = field(init=False)
    _routes: dict[str, list[RouteRule]] = field(init=False)
    _accounts: dict[bytes, AccountRule] = field(init=False, repr=False)

    def __attrs_post_init__(self):
        self.services = {service.name: service for service in self.deployment.services}
        self.owners = ContextOwners(self.deployment.accounts)
        self._routes = {}
        for route in self.deployment.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._accounts = {
            _digest(key): account
            for account in self.deployment.accounts
            for key in account.keys
        }

    def find_route(self, host: str, path: str) -> RouteRule:
        """Return the route with the longest prefix; raises ``UnknownRoute``."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise UnknownRoute(path=path)

    def admit(self, host: str, path: str, key: str) -> Admission:
        """Return the route and account of a request.

        Raises ``UnknownRoute`` and ``WrongKey``. If the document has no list of
        accounts, no key is required.
        """
        route = self.find_route(host, path)
        if route.public or not self.deployment.requires_key:
            return Admission(route, None)
        account = self._accounts.get(_digest(key)) if key else None
        if account is None:
            raise WrongKey()
        return Admission(route, account)


def choose_service(route: RouteRule, request_id: str) -> str:
    """Return the service for a request, distributed by the weights of the route."""
    total = sum(share.weight for share in route.shares)
    point = get_weight(route.name, request_id) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return next(share.service for share in reversed(route.shares) if share.weight > 0)
