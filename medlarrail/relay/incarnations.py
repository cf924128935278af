"""Finds out which incarnation of an endpoint is at the other end of a connection."""

from functools import partial
from math import isfinite

import eliot
import trio
from attrs import define

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import MedlarError, UnknownRoute
from medlarrail.core.metrics import get_metrics
from medlarrail.transport.client import FIRST_ATTEMPT_SHARE

ANNOUNCEMENT_TIMEOUT_S = 1.5
"""Maximum time for the next announcement of an endpoint, a little more than their
interval: callers of a stream leave after two seconds without an event."""
MAX_HOLD_S = 0.5
"""Longest time for which one request is held at the leading member."""
LOOKUP_TIMEOUT_S = 0.5
"""Time for an answer of the leading member, in addition to the time that it waits. Half
of it is for the first attempt."""


@define(eq=False)
class IncarnationLookup:
    """Asks the leading state member when endpoints announced themselves."""

    state: StateClient | None = None

    async def find(
        self,
        endpoint: str,
        opened_at: float,
        closed_at: float,
        wait_s: float = 0.0,
        address: str = "",
        request_id: str = "",
    ) -> "HeardIncarnation | None":  # noqa: F821
        """Return the incarnation that had a connection, or None if that is not known.

        The times and the address are those of ``find_incarnation``, on trio's clock;
        ``request_id`` is that of the request that asks, for the log.
        Waits up to ``wait_s`` seconds for an announcement after ``opened_at``. Raises
        ``UnknownRoute`` if the member is of a version that does not tell, or the
        ``MedlarError`` of a call that is not answered.
        """
        # Imported here because only streams that go on need them, and each class with
        # generated methods adds half a millisecond to a start.
        from medlarrail.policy.incarnations import (
            HeardIncarnation,
            find_incarnation,
            list_possible,
        )
        from medlarrail.protocol.endpoint_sightings import SightingsRequest

        if self.state is None:
            return None
        record = partial(self._record, request_id, endpoint, opened_at, closed_at)
        wait_until = trio.current_time() + wait_s
        deadline = wait_until + LOOKUP_TIMEOUT_S
        try:
            while True:
                sent_at = trio.current_time()
                hold_s = min(MAX_HOLD_S, max(0.0, wait_until - sent_at))
                answer = await self._ask(
                    SightingsRequest(endpoint, sent_at - opened_at, hold_s),
                    deadline - sent_at,
                )
                received_at = trio.current_time()
                was_held = received_at - sent_at >= hold_s > 0
                if not was_held or any(
                    sent_at - one.last_age_s >= opened_at for one in answer.sightings
                ):
                    break
        except UnknownRoute:
            record("unsupported")
            raise
        except MedlarError as error:
            record("unanswered", reason=str(error))
            raise
        # What was received after the question shows for how long it was held.
        held_s = max((-one.last_age_s for one in answer.sightings), default=0.0)
        asked_by = max(sent_at, received_at - max(0.0, held_s))
        heard = [
            HeardIncarnation(
                one.started_ms,
                one.software_version,
                first_at=min(received_at, asked_by - one.first_age_s),
                last_at=sent_at - one.last_age_s,
                address=one.address,
            )
            for one in answer.sightings
        ]
        found = find_incarnation(heard, opened_at, closed_at, address)
        reason = ""
        if found is None:
            possible = list_possible(heard, opened_at, closed_at, address)
            reason = "several heard" if possible else "none heard"
        record(
            "known" if found else "unknown",
            reason=reason,
            started_ms=found.started_ms if found else None,
            software_version=found.software_version if found else None,
            heard=[
                (
                    one.started_ms,
                    one.software_version,
                    round(one.first_at - opened_at, 3),
                    round(one.last_at - opened_at, 3),
                )
                for one in heard
            ],
        )
        return found

    async def _ask(
        self,
        request: "SightingsRequest",  # noqa: F821
        remaining_s: float,
    ) -> "SightingsAnswer":  # noqa: F821
        """Send a request that the leading member holds.

        One that is not answered in the first attempt is sent again as it is, and would
        then miss the announcements that were received meanwhile.
        """
        from medlarrail.protocol.endpoint_sightings import (
            SIGHTINGS_PATH,
            SightingsAnswer,
        )

        least_s = (request.wait_s + LOOKUP_TIMEOUT_S / 2) / FIRST_ATTEMPT_SHARE
        return await self.state.call_leader(
            SIGHTINGS_PATH, request, SightingsAnswer, max(least_s, remaining_s)
        )

    @staticmethod
    def _record(
        request_id: str,
        endpoint: str,
        opened_at: float,
        closed_at: float,
        outcome: str,
        **fields,
    ) -> None:
        """Log a lookup; times are in seconds since the connection was opened."""
        get_metrics().count("incarnation_lookups", outcome=outcome)
        open_for_s = closed_at - opened_at
        eliot.log_message(
            "endpoint:incarnation",
            request=request_id,
            endpoint=endpoint,
            outcome=outcome,
            connection_age_ms=round((trio.current_time() - opened_at) * 1000, 1),
            open_for_s=round(open_for_s, 3) if isfinite(open_for_s) else None,
            **fields,
        )
