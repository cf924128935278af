"""A request as the choice of an endpoint sees it."""

import trio
from attrs import frozen

from medlarrail.core.entities import Contract


@frozen
class Target:
    """A request as routing sees it."""

    contract: Contract
    kind: str
    serves: str
    affinity: str
    deadline: float
    """On trio's clock."""

    def get_rest(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - trio.current_time()
