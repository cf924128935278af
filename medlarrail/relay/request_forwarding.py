"""Decides whether other entries run a request, and offers it to them."""

from collections.abc import Collection

import eliot
from attrs import define

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import (
    EndpointUnreachable,
    Overloaded,
    PeerRefused,
    RunFailure,
    ServiceUnreachable,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.peer_choice import Peer
from medlarrail.relay.forwarding import UNAVAILABLE_REASONS, ForwardedAttempt


@define(eq=False)
class RequestForwarding:
    """The offers of ``relayed`` to other entries."""

    relayed: "RelayedRequest"  # noqa: F821
    _forwardings: int = 0

    async def run_if_needed(self) -> bool:
        """Let another entry run a request that this one cannot send.

        Returns whether the caller was answered.
        """
        service = self.relayed.service.name
        is_forwarded = bool(self.relayed.exchange.request.forwarded_by)
        version_choice = self.relayed.version_choice
        if version_choice is not None and version_choice.bound_version is not None:
            # Another entry would draw anew, perhaps for another version.
            return False
        if self.relayed.relay.forwarder.is_partitioned(service):
            if is_forwarded:
                raise ServiceUnreachable(service=service)
            return await self._forward(())
        room = self.relayed.relay.endpoint_stats.room
        lacks_room = room.is_divided(service) and not room.get_part(service)
        if not lacks_room or is_forwarded:
            return False
        holders = room.list_holders(service)
        try:
            return bool(holders) and await self._forward(holders)
        except PeerRefused as error:
            if error.reason == Overloaded.__name__:
                room.record_used_up(service)
            raise

    async def run_if_unsent(self) -> bool:
        """Let another entry run a request that reached none of the endpoints.

        A path that loses packets fails some requests at all of them.
        """
        relayed = self.relayed
        is_unreached = isinstance(relayed.failure, EndpointUnreachable)
        is_forwarded = bool(relayed.exchange.request.forwarded_by)
        if not is_unreached or relayed.sends or is_forwarded:
            return False
        return await self._forward(())

    async def _forward(self, names: Collection[str]) -> bool:
        """Let another entry run the request; returns whether the caller was answered.

        Asks the entries ``names``, or all if there are none. Returns False if no other
        entry reaches the service either. Raises the refusal of an entry that does, or a
        ``RunFailure``.
        """
        if self._forwardings > self.relayed.runs:
            # Other entries have refused it, and it has not run since.
            return False
        self._forwardings += 1
        forwarder = self.relayed.relay.forwarder
        service = self.relayed.service.name
        is_unreachable_elsewhere = False
        for peer in forwarder.iterate_choices(names):
            attempt = ForwardedAttempt(self.relayed, self._build_peer_view(peer))
            try:
                with forwarder.count_in_flight(peer):
                    await attempt.run()
            except EndpointUnreachable as error:
                self._log(peer, attempt, str(error))
                self.relayed.failure = self.relayed.failure or error
            except PeerRefused as error:
                self._log(peer, attempt, str(error))
                self.relayed.failure = error
                if error.reason not in UNAVAILABLE_REASONS:
                    raise
                is_unreachable_elsewhere |= error.reason == ServiceUnreachable.__name__
            except RunFailure as error:
                self.relayed.record_run_failure(error)
                self._log(peer, attempt, str(error))
                self.relayed.check_retry()
            else:
                self._log(peer, attempt, "answered")
                forwarder.record_carried(service)
                return True
            forwarder.record_unavailable(peer)
            self.relayed.may_be_running = False
        if is_unreachable_elsewhere:
            forwarder.record_outage(service)
        get_metrics().count("forwardings_failed", service=service)
        return False

    def _build_peer_view(self, peer: Peer) -> EndpointView:
        """Return another entry as the endpoint of an attempt."""
        return EndpointView(
            Announcement(
                name=peer.name,
                service=self.relayed.service.name,
                address=peer.address,
                data_centre=peer.data_centre,
                started_ms=0,
                sequence=0,
                state="ready",
            )
        )

    def _log(self, peer: Peer, attempt: ForwardedAttempt, outcome: str) -> None:
        get_metrics().count("requests_forwarded", service=self.relayed.service.name)
        eliot.log_message(
            "request:forwarded",
            request=self.relayed.metadata.request_id,
            service=self.relayed.service.name,
            entry=peer.name,
            status=attempt.status,
            outcome=outcome,
            first_ms=round(attempt.first_byte_s * 1000, 1),
        )
