"""The wait of a request for room at endpoints whose room is divided among entries."""

from attrs import define

from medlarrail.core.errors import Overloaded
from medlarrail.policy.admission_room import decide_wait, get_wait_s

POLL_INTERVAL_S = 0.04
"""Time after which waiting requests look again: nobody tells them that an endpoint has
been left alone for long enough."""


@define(eq=False)
class RoomWait:
    """The wait of ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821

    async def run(self) -> None:
        """Wait for this entry's part of the room, if the endpoints' room is divided.

        Raises ``Overloaded`` if the request would be served too late.
        """
        service = self.relayed.service.name
        room = self.relayed.relay.endpoint_stats.room
        if not room.is_divided(service):
            return
        queue = self.relayed.relay.get_room_queue(service)
        hold_s = room.get_hold_s(service)
        part = room.get_part(service)
        priority = self.relayed.admission.priority
        with queue.join(priority, self.relayed.deadline) as waiter:
            ahead = queue.count_ahead(waiter)
            left_s = self.relayed.get_remaining_s()
            refused = not part or decide_wait(ahead, part, hold_s, left_s) == "refuse"
            while room.is_divided(service):
                reasons = self._list_untried_reasons()
                if "no room" not in reasons and "" not in reasons:
                    return
                ahead = queue.count_ahead(waiter)
                if not ahead and "" in reasons:
                    return
                if refused or self.relayed.get_remaining_s() < hold_s:
                    raise Overloaded(
                        endpoint=service, retry_after_s=get_wait_s(ahead, part, hold_s)
                    )
                await queue.wait_changed(POLL_INTERVAL_S)

    def _list_untried_reasons(self) -> set[str]:
        """Return why untried endpoints cannot take the request; empty if one can."""
        stats = self.relayed.relay.endpoint_stats
        version_choice = self.relayed.version_choice
        return {
            stats.get_unavailable_reason(endpoint, self.relayed.service)
            for endpoint in self.relayed.relay.cluster_view.endpoints.values()
            if endpoint.announced.service == self.relayed.service.name
            and endpoint.announced.name not in self.relayed.tried
            and (
                version_choice is None
                or version_choice.may_wait_for(endpoint.announced)
            )
        }
