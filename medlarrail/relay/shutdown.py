"""Requests during the graceful shutdown of a gateway: each gets a complete answer."""

from typing import Protocol

import trio
from attrs import define, field

from medlarrail.core.errors import Draining
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.shutdown import RunTimes, may_send


class Interruptible(Protocol):
    """A request in progress."""

    def interrupt(self) -> None:
        """End it with an error answer, unless its answer has begun."""


@define(eq=False)
class Shutdown:
    """When the requests of this gateway have to be answered, and those in progress."""

    run_times: RunTimes = field(factory=RunTimes)
    active: set[Interruptible] = field(factory=set)
    answers_due_at: float | None = None
    """On trio's clock; None while the gateway is not shutting down."""

    def begin(self, answers_due_at: float) -> None:
        """Refuse from now on what would not be answered by ``answers_due_at``."""
        self.answers_due_at = answers_due_at

    def require_time(self, route: str) -> None:
        """Raise ``Draining`` if a request to ``route`` would be answered too late."""
        if self.answers_due_at is None:
            return
        left_s = self.answers_due_at - trio.current_time()
        if not may_send(left_s, self.run_times.get_longest_s(route)):
            get_metrics().count("shutdown_refusals", route=route)
            raise Draining()

    def interrupt(self) -> None:
        """End the requests in progress whose answers have not begun."""
        for request in list(self.active):
            request.interrupt()
