"""What connections show of the processes that run at an address one after the other.

Endpoints start again at their address before anybody announces it. See
``policy/process_spans.py`` for what an answer shows.
"""

from math import inf

import trio
from attrs import define, field

from medlarrail.policy.process_spans import ProcessSpan, add_span, find_span
from medlarrail.relay.outbound_connection import OutboundConnection

RETENTION_S = 60.0
"""Time for which it is remembered when a process ran: longer than a stream takes."""


@define(eq=False)
class AddressProcesses:
    """When the processes at each address are known to have run."""

    _spans: dict[str, tuple[ProcessSpan, ...]] = field(factory=dict)
    _broken_at: dict[str, float] = field(factory=dict)
    """When a process last refused, closed or broke a connection, by address, unless
    the one that runs since then is known."""

    def record_answered(
        self, connection: OutboundConnection, started_ms: int = 0
    ) -> None:
        """Record that an answer to the current request has begun.

        ``started_ms`` is the Unix time of the process's start, if the answer tells it.
        """
        connection.answered_at = connection.sent_at
        address = connection.address
        span = ProcessSpan(connection.opened_at, connection.sent_at, started_ms)
        self._spans[address] = add_span(self._spans.get(address, ()), span)

    def record_broken(self, address: str) -> None:
        """Record that a process may have ended and the next one have its address."""
        self._broken_at[address] = trio.current_time()

    def record_known(self, connection: OutboundConnection) -> None:
        """Record that the process at the other end is the announced one."""
        if self._broken_at.get(connection.address, inf) < connection.opened_at:
            del self._broken_at[connection.address]

    def is_unknown(self, address: str) -> bool:
        """Return whether the process at an address may not be the announced one."""
        return address in self._broken_at

    def get_latest_start(self, address: str) -> int:
        """Return the start of the process that was last known to run at an address.

        0 if it has not told that. The one before may have told a later start, as the
        clock of its VM may have been set back.
        """
        spans = self._spans.get(address)
        return spans[-1].started_ms if spans else 0

    def find_span(self, connection: OutboundConnection) -> ProcessSpan:
        """Return when the process at the other end is known to have run.

        That is the moment of the opening for a connection without an answer.
        """
        if connection.answered_at is None:
            return ProcessSpan(connection.opened_at, connection.opened_at)
        span = ProcessSpan(connection.opened_at, connection.answered_at)
        return find_span(self._spans.get(connection.address, ()), span)

    def remove_expired(self, now: float) -> None:
        """Forget the processes that no stream can have begun at."""
        for address, broken_at in list(self._broken_at.items()):
            if broken_at < now - RETENTION_S:
                del self._broken_at[address]
        for address, spans in list(self._spans.items()):
            if spans[-1].until < now - RETENTION_S:
                del self._spans[address]
