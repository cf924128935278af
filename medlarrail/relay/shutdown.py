"""Requests during the graceful shutdown of a gateway: each gets a complete answer."""

from typing import Protocol

import trio
from attrs import define, field

from medlarrail.core.errors import Draining
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.shutdown import RunTimes, may_send, must_end
from medlarrail.relay.metadata import InboundRequest


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
    bounded_from: float = 0.0
    """On trio's clock; what is received from then on has to end by its deadline."""

    def begin(self, answers_due_at: float, bounded_from: float) -> None:
        """Refuse from now on what would not be answered by ``answers_due_at``.

        The deadlines of requests received after ``bounded_from`` may not be later.
        """
        self.answers_due_at = answers_due_at
        self.bounded_from = bounded_from

    def require_time(
        self, route: str, request: InboundRequest, deadline: float
    ) -> None:
        """Raise ``Draining`` if a request to ``route`` would be answered too late.

        ``deadline`` is on trio's clock. A request that another entry sent has to end
        by its deadline in any case: its caller knows nothing of this shutdown.
        """
        if self.answers_due_at is None:
            return
        now = trio.current_time()
        left_s = self.answers_due_at - now
        is_late = request.forwarded_by or request.received_at >= self.bounded_from
        if is_late:
            is_in_time = must_end(left_s, deadline - now)
        else:
            is_in_time = may_send(left_s, self.run_times.get_longest_s(route))
        if not is_in_time:
            cause = "unbounded" if is_late else "slow-route"
            get_metrics().count("shutdown_refusals", route=route, cause=cause)
            raise Draining()

    def interrupt(self) -> None:
        """End the requests in progress whose answers have not begun."""
        for request in list(self.active):
            request.interrupt()
