"""The properties of a request that determine the choice of an endpoint."""

import trio
from attrs import frozen

from medlarrail.core.entities import Contract


@frozen
class RoutingTarget:
    """What a request needs from an endpoint, and by when."""

    contract: Contract
    kind: str
    serves: str
    affinity: str
    deadline: float
    """On trio's clock."""

    def get_remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - trio.current_time()
