"""Decoding of the platform's endpoint registrations into announcements."""

from typing import Any

from medlarrail.core.announcements import Announcement, ModelWeights
from medlarrail.core.codec import is_out_of_range, parse_json
from medlarrail.core.errors import BadField
from medlarrail.relay.header_codec import parse_digits

STATES = {"ready": "ready", "draining": "leaving"}


def decode_announcement(name: str, data: bytes) -> Announcement:
    """Return the announcement of endpoint ``name``.

    Raises ``BadField`` for a missing field, a wrong type or an unknown value, since
    such a registration does not describe a usable endpoint.
    """
    payload = parse_json(data)
    if not isinstance(payload, dict):
        raise BadField(place="$", problem="is not an object")
    state = _read_field(payload, "state", str)
    if state not in STATES:
        raise BadField(place="$.state", problem="is unknown")
    address = _read_field(payload, "address", str)
    _check_address(address)
    return Announcement(
        name=name,
        service=_read_field(payload, "service", str),
        address=address,
        data_centre=_read_field(payload, "zone", str),
        # "born" is the Unix time in ms at which the endpoint started.
        started_ms=_read_field(payload, "born", int, 0),
        sequence=_read_field(payload, "sequence", int),
        state=STATES[state],
        cold_ms=int(_read_field(payload, "cold-remaining-ms", (int, float), 0)),
        slots=max(1, _read_field(payload, "slots", int, 1)),
        models=tuple(_iterate_models(payload.get("models"))),
        software_version=_read_field(payload, "version", str, ""),
    )


def _read_field(
    payload: dict, name: str, expected_type: type | tuple, default: Any = None
) -> Any:
    value = payload.get(name, default)
    if value is None or isinstance(value, bool) or not isinstance(value, expected_type):
        raise BadField(place=f"$.{name}", problem="is missing or has the wrong type")
    if is_out_of_range(value):
        raise BadField(place=f"$.{name}", problem="is out of range")
    return value


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    octets = host.split(".")
    is_ipv4 = len(octets) == 4 and all(
        (value := parse_digits(octet)) is not None and value < 256 for octet in octets
    )
    if not is_ipv4 or not 0 < (parse_digits(port) or 0) < 65536:
        raise BadField(place="$.address", problem="is not an IPv4 address with a port")


def _iterate_models(models: Any):
    if models is None:
        return
    if not isinstance(models, list):
        raise BadField(place="$.models", problem="is not a list")
    for model in models:
        if not isinstance(model, dict):
            raise BadField(
                place="$.models", problem="contains an item that is not an object"
            )
        yield ModelWeights(
            _read_field(model, "name", str), _read_field(model, "version", int)
        )
