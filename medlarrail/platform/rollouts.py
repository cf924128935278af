"""Decodes the platform's orders of software rollouts, and encodes their state."""

import orjson

from medlarrail.core.codec import is_out_of_range, parse_json
from medlarrail.core.errors import BadField
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.protocol.software_rollouts import RolloutOrder


def decode_rollout_order(body: bytes) -> RolloutOrder:
    """Return an order; raises ``BadJson`` or ``BadField``."""
    payload = parse_json(body)
    if not isinstance(payload, dict):
        raise BadField(place="$", problem="is not an object")
    for name in ("service", "target"):
        if not isinstance(payload.get(name), str) or not payload[name]:
            raise BadField(place=f"$.{name}", problem="is not a non-empty string")
    duration_s = payload.get("duration-s")
    if type(duration_s) not in (int, float) or is_out_of_range(duration_s):
        raise BadField(place="$.duration-s", problem="is not a number")
    return RolloutOrder(payload["service"], payload["target"], int(duration_s * 1000))


def encode_rollout(rollout: SoftwareRollout) -> bytes:
    """Return the state of a rollout."""
    return orjson.dumps({"state": rollout.state, "target": rollout.target})
