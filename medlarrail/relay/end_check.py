"""Calls an endpoint after an answer that ended with its connection.

A call on a connection from before the request proves the process. Without one, a new
connection is used, and the next process at the address may answer on it.

An endpoint may answer first and read the rest of the request after that, so the sending
goes on before the call.

The events of a stream are sent to the caller meanwhile; only the end of the answer
waits for the result.
"""

from contextlib import suppress
from typing import TYPE_CHECKING

import trio
from attrs import define

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import (
    ConnectionsUsedUp,
    EndpointUnreachable,
    MedlarError,
    RunFailure,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import (
    MAX_END_DELAY_S,
    EndEvidence,
    judge_exchange,
    judge_process,
    judge_reply,
)
from medlarrail.relay.endpoint_status import EndpointStatus, read_status
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S
from medlarrail.relay.outbound import CONNECT_TIMEOUT_S
from medlarrail.relay.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from medlarrail.relay.request_relay import RequestRelay

END_TIMEOUT_S = 1.8
"""Maximum time until the endpoint has replied. Sound endpoints fall silent for a second
or so, and callers of a stream leave after two without an event or its end."""
STANDBY_TIMEOUT_S = 0.4
"""Maximum time for a reply on a connection from before the request, so that other
evidence can still be found in ``END_TIMEOUT_S``."""
RETRY_INTERVAL_S = 0.02
"""Pause after a connection that was closed: an endpoint closes what exceeds its limit,
and a process that ends closes its listener and all connections within that time."""

RECEIPT_INTERVAL_S = 0.005
"""Pause between two checks whether the request was received: nothing reports the
acknowledgement. Only answers that end before their request was read wait for it."""


@define(eq=False)
class EndCheck:
    """The check of the answer of ``endpoint`` on the connection ``answered``."""

    relay: "RequestRelay"
    endpoint: EndpointView
    service: ServiceRule
    answered: OutboundConnection
    request_id: str = ""
    _ended_at: float = 0.0
    _is_reached: bool = False
    """Whether the endpoint has accepted a connection since the end."""
    _standby_keep_alive_s: float | None = 0.0
    """Time for which the standby connection may be idle after the check."""

    async def run(self) -> EndEvidence:
        """Return whether the endpoint outlived its answer."""
        self._ended_at = trio.current_time()
        standby = None
        if self._may_call():
            standby = self.relay.pool.take_standby(self.answered)
        try:
            evidence = await self._find_evidence(standby)
        finally:
            if standby is not None:
                self.relay.pool.release(standby, self._standby_keep_alive_s)
        # A reset may have followed the end meanwhile.
        evidence = self._judge_exchange() or evidence
        get_metrics().observe("end_check", trio.current_time() - self._ended_at)
        get_metrics().count(
            "end_checks", service=self.service.name, evidence=evidence.value
        )
        return evidence

    async def _find_evidence(self, standby: OutboundConnection | None) -> EndEvidence:
        """Return the first evidence found, in the order of how soon each decides."""
        evidence = EndEvidence.SILENT
        with trio.move_on_after(END_TIMEOUT_S):
            await self._wait_until_received()
            if self._judge_exchange() is None:
                evidence = await self._call_on_standby(standby)
            if evidence is EndEvidence.SILENT and self._judge_exchange() is None:
                evidence = await self._call_until_answered()
            if evidence is EndEvidence.LATE and await self._is_announced():
                evidence = EndEvidence.ANNOUNCED
        is_undecided = evidence in (EndEvidence.SILENT, EndEvidence.LATE)
        if is_undecided and not self._is_next_listed() and self._has_same_process():
            # A request for the status may wait for a slot, as any other one.
            evidence = EndEvidence.CONNECTED
        return evidence

    async def _wait_until_received(self) -> None:
        """Wait until the endpoint has received the request or the connection breaks."""
        while self._judge_exchange() is EndEvidence.UNSENT:
            await trio.sleep(RECEIPT_INTERVAL_S)

    def _judge_exchange(self) -> EndEvidence | None:
        return judge_exchange(
            self.answered.check_broken(), self.answered.is_request_received()
        )

    async def _is_announced(self) -> bool:
        """Return whether one incarnation ran from before the request to the end."""
        if self._is_next_listed():
            return False
        incarnations = self.relay.incarnations
        try:
            found = await incarnations.find(
                self.endpoint.announced.name,
                self._ended_at,
                self.answered.sent_at,
                ANNOUNCEMENT_TIMEOUT_S,
                request_id=self.request_id,
            )
        except MedlarError:
            return False
        return found is not None

    def _is_next_listed(self) -> bool:
        """Return whether a later incarnation of the endpoint is listed."""
        listed = self.relay.cluster_view.endpoints.get(self.endpoint.announced.name)
        started_ms = self._find_started_ms()
        return listed is not None and listed.announced.started_ms > started_ms > 0

    def _has_same_process(self) -> bool | None:
        """Return what the other connections to the endpoint show, None if nothing.

        The end of one may have been held back by the same link as that of the answer,
        and is then sent again after at most the same time.
        """
        has_same = self.relay.pool.has_same_process(self.answered)
        delay_s = self.answered.arrivals.end_delay_s
        if not has_same or delay_s <= MAX_END_DELAY_S:
            return has_same
        is_settled = trio.current_time() - self._ended_at >= delay_s
        return True if is_settled and self._is_reached else None

    async def _call_on_standby(self, standby: OutboundConnection | None) -> EndEvidence:
        """Return what a reply on a connection from before the request shows.

        That is nothing without one, or if it is closed: an endpoint may do so at any
        time.
        """
        if standby is not None:
            announced = self.endpoint.announced
            started_ms = self._find_started_ms()
            with trio.move_on_after(STANDBY_TIMEOUT_S), suppress(RunFailure):
                status = await self._read_status(standby)
                # One that names a request is a late copy of its answer.
                if not status.reply.request_id:
                    self._standby_keep_alive_s = status.keep_alive_s
                    return judge_reply(
                        status.reply, announced.name, started_ms, True, 0.0
                    )
        return EndEvidence.SILENT

    async def _call_until_answered(self) -> EndEvidence:
        announced = self.endpoint.announced
        limit = self.relay.get_connection_limit(self.service, announced.name)
        while True:
            began_at = trio.current_time()
            try:
                # A connection in use again may deliver a late copy of another answer.
                # Those that ended are still counted.
                ended = self.relay.pool.count_ended(announced.address)
                connection = await self.relay.pool.acquire(
                    announced.address, new_connection=True, limit=limit + ended
                )
            except EndpointUnreachable:
                if trio.current_time() - began_at < CONNECT_TIMEOUT_S:
                    return EndEvidence.GONE
            except ConnectionsUsedUp:
                pass
            else:
                self._is_reached = True
                evidence = await self._use(connection)
                if evidence is not None:
                    return evidence
            await trio.sleep(RETRY_INTERVAL_S)

    async def _use(self, connection: OutboundConnection) -> EndEvidence | None:
        """Return what a connection shows, or None if it was closed without a reply."""
        keep_alive_s: float | None = 0.0
        try:
            if not self._may_call():
                return await self._watch(connection)
            announced = self.endpoint.announced
            started_ms = self._find_started_ms()
            status = await self._read_status(connection)
            keep_alive_s = status.keep_alive_s
            return judge_reply(
                status.reply,
                announced.name,
                started_ms,
                self._has_same_process(),
                self.answered.arrivals.end_delay_s,
            )
        except RunFailure:
            return None
        finally:
            self.relay.pool.release(connection, keep_alive_s)

    async def _read_status(self, connection: OutboundConnection) -> EndpointStatus:
        """Call the endpoint; raises ``RunFailure`` without a whole reply."""
        codec = self.relay.header_codec
        path = codec.get_status_path(self.service)
        return await read_status(codec, connection, self.endpoint.announced, path)

    def _find_started_ms(self) -> int:
        """Return the start of the process that answered, 0 if it is not known.

        Nobody may have heard of that process, which a report has told.
        """
        told_ms = self.relay.pool.processes.find_span(self.answered).started_ms
        return told_ms or self.endpoint.announced.started_ms

    async def _watch(self, connection: OutboundConnection) -> EndEvidence | None:
        """Return what an unused connection shows, None if the endpoint closed it."""
        await trio.sleep(RETRY_INTERVAL_S)
        if not connection.is_quiet():
            return None
        return judge_process(
            EndEvidence.CONNECTED,
            self._has_same_process(),
            self.answered.arrivals.end_delay_s,
        )

    def _may_call(self) -> bool:
        """Return whether a request for the status may be sent to the endpoint.

        One that asked for a time without requests, or that is limited because it has
        just started, only gets a connection.
        """
        if not self.relay.header_codec.get_status_path(self.service):
            return False
        stats = self.relay.endpoint_stats
        now = stats.clock()
        is_cold = self.endpoint.cold_until > now and self.service.engine is None
        return not is_cold and not stats.back_offs.is_active(
            self.endpoint.announced, now
        )
