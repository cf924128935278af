"""Decoding of the platform's configuration document into a ``Deployment``."""

from typing import Any

from medlarrail.core.cluster_records import ValidationFault
from medlarrail.core.codec import is_out_of_range, parse_json
from medlarrail.core.deployment import (
    AccountRule,
    Deployment,
    EngineSpec,
    RequestLimits,
    RouteRule,
    ServiceRule,
    StoreSpec,
    TrafficShare,
)
from medlarrail.core.errors import BadJson, DeploymentInvalid

MIN_CALLER_TIMEOUT_MS = 2000
"""Pause in a stream after which callers abandon it, unless the route's latency
targets allow a longer one."""
ROUTE_KINDS = {"safe": "repeat", "unsafe": "once", "streaming": "stream"}


class _ObjectReader:
    """Reads typed fields of a JSON object; errors state the path of the field."""

    def __init__(self, fields: Any, place: str):
        self.place = place
        if not isinstance(fields, dict):
            raise _build_error(place, "is not an object")
        self.fields = fields

    def get(self, name: str, expected_type: type | tuple, default: Any = None) -> Any:
        """Return a field, which is required unless ``default`` is given."""
        value = self.fields.get(name)
        if value is None:
            if default is None:
                raise _build_error(f"{self.place}.{name}", "is missing")
            return default
        is_bool = isinstance(value, bool)
        if not isinstance(value, expected_type) or (
            is_bool and expected_type is not bool
        ):
            raise _build_error(f"{self.place}.{name}", "has the wrong type")
        if is_out_of_range(value):
            raise _build_error(f"{self.place}.{name}", "is out of range")
        return value

    def list_objects(
        self, name: str, default: list | None = None
    ) -> list["_ObjectReader"]:
        """Return a reader for each object of a list."""
        values = self.get(name, list, default)
        return [
            _ObjectReader(value, f"{self.place}.{name}[{index}]")
            for index, value in enumerate(values)
        ]

    def list_strings(self, name: str) -> tuple[str, ...]:
        """Return the strings of a list; a missing list is empty."""
        values = self.get(name, list, [])
        if not all(isinstance(value, str) for value in values):
            raise _build_error(
                f"{self.place}.{name}", "contains an item that is not a string"
            )
        return tuple(values)


NUMBER_TYPES = (int, float)


def _build_error(place: str, problem: str) -> DeploymentInvalid:
    return DeploymentInvalid(faults=(ValidationFault(place, problem),))


def decode_deployment(data: bytes) -> Deployment:
    """Return the deployment in ``data``; raises ``DeploymentInvalid``."""
    try:
        payload = parse_json(data)
    except BadJson as error:
        raise _build_error("$", error.problem) from error
    document = _ObjectReader(payload, "$")
    return Deployment(
        version=document.get("version", int),
        routes=tuple(_read_route(route) for route in document.list_objects("routes")),
        services=tuple(
            _read_service(service) for service in document.list_objects("services")
        ),
        accounts=tuple(
            _read_account(account) for account in document.list_objects("tenants", [])
        ),
        limits=_read_limits(document),
        lists_accounts=document.fields.get("tenants") is not None,
        source=data.decode(),
    )


def _read_route(route: _ObjectReader) -> RouteRule:
    kind = route.get("kind", str)
    if kind not in ROUTE_KINDS:
        raise _build_error(f"{route.place}.kind", "is unknown")
    target_ms = int(route.get("target-latency-ms", NUMBER_TYPES, 0))
    gap_ms = int(route.get("target-gap-ms", NUMBER_TYPES, 0))
    return RouteRule(
        name=route.get("name", str, ""),
        host=route.get("host", str),
        prefix=route.get("path-prefix", str),
        kind=ROUTE_KINDS[kind],
        timeout_ms=int(route.get("timeout-ms", NUMBER_TYPES)),
        shares=_read_shares(route),
        target_ms=target_ms,
        gap_ms=gap_ms,
        # Callers abandon a stream after a pause of the longest of these times, also
        # before the first event.
        patience_ms=max(MIN_CALLER_TIMEOUT_MS, 4 * target_ms, 8 * gap_ms),
        priority=route.get("priority", int, 0),
        max_attempts=route.get("max-attempts", int, 1),
        public=route.get("public", bool, False),
        cached=route.get("sticky", bool, False),
        resumable=route.get("resumable", bool, False),
    )


def _read_shares(route: _ObjectReader) -> tuple[TrafficShare, ...]:
    """Return the services of a route: a single one, or several with weights."""
    split = route.list_objects("traffic-split", [])
    if split:
        return tuple(
            TrafficShare(
                share.get("service", str), float(share.get("weight", NUMBER_TYPES))
            )
            for share in split
        )
    return (TrafficShare(route.get("service", str)),)


def _read_service(service: _ObjectReader) -> ServiceRule:
    return ServiceRule(
        name=service.get("name", str),
        health_path=service.get("health-path", str, ""),
        max_connections=service.get("max-connections", int, 0),
        cold_s=float(service.get("cold-start-s", NUMBER_TYPES, 0)),
        cold_per_s=float(service.get("cold-per-s", NUMBER_TYPES, 0)),
        engine=_read_engine(service),
        store=_read_store(service),
    )


def _read_engine(service: _ObjectReader) -> EngineSpec | None:
    if service.fields.get("engine") is None:
        return None
    engine = _ObjectReader(service.fields["engine"], f"{service.place}.engine")
    return EngineSpec(
        slots=engine.get("slots", int, 1),
        memory_tokens=engine.get("kv-capacity-tokens", int, 0),
        token_bytes=int(engine.get("kv-token-bytes", NUMBER_TYPES, 0)),
        link_mbps=float(engine.get("link-mbps", NUMBER_TYPES, 0)),
        event_calls=engine.get("max-in-flight", int, 1),
        models=tuple(
            model.get("name", str) for model in engine.list_objects("models", [])
        ),
    )


def _read_store(service: _ObjectReader) -> StoreSpec | None:
    address = service.get("kv-store-addr", str, "")
    if not address:
        return None
    return StoreSpec(
        address=address,
        data_centre=service.get("zone", str, ""),
        capacity_tokens=service.get("kv-capacity-tokens", int, 0),
        link_mbps=float(service.get("link-mbps", NUMBER_TYPES, 0)),
        event_calls=service.get("max-in-flight", int, 1),
        managed=service.get("managed", bool, False),
        first_ms=float(service.get("first_ms", NUMBER_TYPES, 0)),
    )


def _read_account(account: _ObjectReader) -> AccountRule:
    priority = account.fields.get("priority")
    if priority is not None:
        priority = account.get("priority", int)
    return AccountRule(
        name=account.get("name", str),
        keys=account.list_strings("api-keys"),
        priority=priority,
        isolated=account.get("isolated", bool, False),
    )


def _read_limits(document: _ObjectReader) -> RequestLimits:
    defaults = RequestLimits()
    if document.fields.get("limits") is None:
        return defaults
    limits = _ObjectReader(document.fields["limits"], "$.limits")
    return RequestLimits(
        header_bytes=limits.get("max-header-bytes", int, defaults.header_bytes),
        body_bytes=limits.get("max-body-bytes", int, defaults.body_bytes),
        header_timeout_ms=int(
            limits.get("header-timeout-ms", NUMBER_TYPES, defaults.header_timeout_ms)
        ),
        idle_timeout_ms=int(
            limits.get("idle-timeout-ms", NUMBER_TYPES, defaults.idle_timeout_ms)
        ),
    )
