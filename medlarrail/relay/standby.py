"""Opens a second connection to an endpoint while an answer runs there.

An answer without a length or chunks ends with its connection, as it does when the
process ends. Only one process has an address at a time, so a call on a connection that
was open before the request, and is answered after the end, shows that the process still
runs. Neither a link that holds bytes back nor the next process at the address can
answer it.

Endpoints whose report tells the start of their process need no such connection. Others
have one for each request in progress, if their service lately sent such an answer and
their connection limit leaves room.
"""

from contextlib import suppress

import trio
from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import EndpointUnreachable
from medlarrail.relay.metadata import HeaderCodec
from medlarrail.relay.outbound import OutboundPool

RETENTION_S = 60.0
"""Time for which a service is expected to send more answers that end with their
connections."""


@define(eq=False)
class StandbyConnections:
    """Standby connections in ``pool`` for the services that need them."""

    pool: OutboundPool
    codec: HeaderCodec
    _unframed_at: dict[str, float] = field(factory=dict)
    """When the latest answer began that ends with its connection, by service."""

    def record_unframed(self, service: ServiceRule) -> None:
        """Record that an answer has begun that ends with its connection."""
        self._unframed_at[service.name] = trio.current_time()

    def is_needed(
        self, service: ServiceRule, announced: Announcement, in_flight: int
    ) -> bool:
        """Return whether there are fewer than the requests ``in_flight`` may need."""
        unframed_at = self._unframed_at.get(service.name)
        if unframed_at is None or service.engine is not None:
            return False
        if trio.current_time() - unframed_at > RETENTION_S:
            del self._unframed_at[service.name]
            return False
        if not self.codec.get_status_path(service):
            return False
        return self.pool.count_standbys(announced.address) < in_flight

    async def open(self, announced: Announcement, limit: int) -> None:
        """Open a standby connection if fewer than ``limit`` connections are open."""
        with suppress(EndpointUnreachable):
            await self.pool.open_standby(announced.address, limit)
