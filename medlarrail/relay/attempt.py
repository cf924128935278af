"""A single attempt to send a request to one endpoint and relay its answer."""

from contextlib import aclosing, suppress
from typing import NoReturn, Protocol

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import (
    AnswerCrossed,
    AnswerTooLong,
    AnswerTruncated,
    EndpointBackingOff,
    EndpointFailed,
    EndpointLost,
    EndpointOutOfService,
    EndpointRefused,
    MedlarError,
    RunFailure,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import EndEvidence
from medlarrail.policy.answer_memory import HeldAnswer
from medlarrail.policy.stream_order import StreamOrder
from medlarrail.relay.answer_statements import record_statements
from medlarrail.relay.buffered_answer import BufferedAnswer, relay_buffered
from medlarrail.relay.end_check import EndCheck
from medlarrail.relay.endpoint_stats import ColdSend
from medlarrail.relay.events import OrderedEvents
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.incarnation_check import (
    check_beginning,
    check_incarnation,
    get_report_path,
    has_unknown_process,
    require_announced,
)
from medlarrail.relay.metadata import (
    AnswerMetadata,
    DispatchMetadata,
    Header,
    RequestMetadata,
)
from medlarrail.relay.outbound_connection import AnswerHead, OutboundConnection
from medlarrail.relay.prefill_speeds import build_first_event
from medlarrail.relay.stream_relay import StreamRelay
from medlarrail.relay.stream_version import StreamVersion
from medlarrail.relay.table import Admission
from medlarrail.relay.workload_tracker import TrackedPrompt
from medlarrail.transport.framing import Framing

MAX_REJECTION_WAIT_S = 0.05
"""Maximum time to receive the body of a rejection, so that the connection can be
reused."""
MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a failure of the endpoint."""


class AttemptRequest(Protocol):
    """The interface of a request that an attempt requires."""

    relay: "RequestRelay"  # noqa: F821
    exchange: ServerExchange
    metadata: RequestMetadata
    admission: Admission
    service: ServiceRule
    stream_order: StreamOrder
    stream_version: StreamVersion
    version_choice: "VersionChoice | None"  # noqa: F821
    """None in a deployment without software rollouts."""
    chooser: "EndpointChooser"  # noqa: F821
    may_be_running: bool
    fallback_answer: BufferedAnswer | None
    """An endpoint's error answer, sent to the caller if no other attempt is made."""

    def build_dispatch(self, endpoint: EndpointView) -> DispatchMetadata:
        """Return the metadata sent with the request to ``endpoint``."""

    def begin_work(
        self, endpoint: EndpointView, dispatch: DispatchMetadata
    ) -> TrackedPrompt | None:
        """Record the prompt as pending at ``endpoint``; None if it is not tracked."""


@define(eq=False)
class Attempt:
    """One attempt to run ``relayed`` at ``endpoint``.

    ``run`` raises ``EndpointUnreachable``, ``ConnectionsUsedUp``,
    ``EndpointBackingOff`` or ``EndpointOutOfService`` if nothing was sent,
    ``EndpointRefused`` if the endpoint states that it did not run the request, and a
    ``RunFailure`` if it may have run.
    """

    relayed: AttemptRequest
    endpoint: EndpointView
    status: int = 0
    first_byte_s: float = 0.0
    """Seconds from sending the request to the first byte of the body."""
    dispatch: DispatchMetadata | None = None
    """The metadata sent with the request, None before it is sent."""
    connection: OutboundConnection | None = None
    """The connection on which the request was sent, None before that."""
    framing: Framing | None = None
    """The framing of the answer, None before its head was received."""
    body_bytes: int = 0
    """Bytes of the body received so far."""
    is_dropped: bool = False
    """Whether the answer was given up for lack of memory."""
    partial_event: bool = False
    """Whether the bytes received of a stream end inside an event."""
    events: OrderedEvents | None = None
    """The events of a stream, None before the head of one was received."""
    end_evidence: EndEvidence | None = None
    """What shows that the answer is complete, None before its end."""
    cold_send: ColdSend | None = None
    """Set if the endpoint was cold when the request was sent."""
    observation: "AttemptObservation | None" = None  # noqa: F821
    """Set if the request was sent during a software rollout of its service."""
    _end_check_s: float = 0.0
    """Time that the check of the end of an unframed answer took."""
    _metadata: AnswerMetadata = field(factory=AnswerMetadata)
    _tracked_prompt: TrackedPrompt | None = None
    _started_at: float = 0.0

    @property
    def sent_after_s(self) -> float:
        """Time from the receipt of the request to the sending on the connection."""
        if self.connection is None:
            return 0.0
        return self._started_at - self.relayed.exchange.request.received_at

    @property
    def told_started_ms(self) -> int:
        """Unix time of the start that the process told in a report, 0 if in none."""
        if self.connection is None:
            return 0
        return self.relayed.relay.pool.processes.find_span(self.connection).started_ms

    @property
    def end_times_ms(self) -> dict[str, float]:
        """Times of an end without a length or chunks, in milliseconds.

        ``delay``, ``unread`` and ``silence`` are those of ``ArrivalTimes``, and
        ``check`` is the time until its result. Empty if no such end was received.
        """
        connection = self.connection
        if connection is None or not connection.arrivals.end_delay_s:
            return {}
        arrivals = connection.arrivals
        seconds = {
            "delay": arrivals.end_delay_s,
            "unread": arrivals.end_unread_s,
            "silence": arrivals.end_silence_s,
            "check": self._end_check_s,
        }
        return {name: round(value * 1000, 1) for name, value in seconds.items()}

    @property
    def connection_age_s(self) -> float:
        """Age of the connection when the request was sent on it."""
        return self._started_at - self.connection.opened_at if self.connection else 0.0

    @property
    def limit_per_s(self) -> float | None:
        """The limit that the endpoint named in this answer."""
        return self._metadata.limit_per_s

    @property
    def retry_after_s(self) -> float | None:
        """The time without requests that the endpoint asked for in this answer."""
        return self._metadata.retry_after_s

    def get_failure_status(self) -> int | None:
        """Return the lowest status after which another attempt may be made, if any."""
        return MIN_FAILURE_STATUS

    async def run(self) -> None:
        """Send the request and relay the answer to the caller.

        Reserves the endpoint before the first checkpoint, since other requests are
        checked against the same limits meanwhile.
        """
        announced = self.endpoint.announced
        relay = self.relayed.relay
        route = self.relayed.admission.route
        record = relay.endpoint_stats.get_record(announced.name)
        record.in_flight += 1
        record.unanswered += 1
        version_choice = self.relayed.version_choice
        if version_choice is not None:
            version_choice.traffic.begin_attempt(announced)
        connection = None
        # A reply about the incarnation must not be a late copy of another answer.
        goes_on = route.kind == "stream" and bool(self.relayed.last_event_id)
        has_report = get_report_path(self.relayed) != ""
        new_connection = not route.repeatable or (goes_on and has_report)
        limit = relay.get_connection_limit(self.relayed.service, announced.name)
        try:
            with record.send_rate.reserve():
                is_unknown = has_unknown_process(self.relayed, announced)
                connection = await relay.pool.acquire(
                    announced.address, new_connection or is_unknown, limit
                )
                if not connection.reused:
                    relay.forwarder.record_connected(announced.service)
                self._require_available()
                is_usable = True
                if goes_on:
                    is_usable = await check_incarnation(
                        self.relayed, announced, connection
                    )
                elif is_unknown:
                    is_usable = await check_beginning(
                        self.relayed, announced, connection
                    )
                if not is_usable:
                    relay.pool.discard(connection)
                    connection = None
                    # A stream that begins can use a connection that is open: the
                    # endpoint may take no further ones.
                    connection = await relay.pool.acquire(
                        announced.address, new_connection, limit
                    )
                    if goes_on:
                        # The next process may have got the address meanwhile.
                        await require_announced(self.relayed, announced, connection)
                self._require_available()
                await self.relayed.exchange.require_caller()
                self.cold_send = relay.endpoint_stats.record_sent(self.endpoint)
                if version_choice is not None:
                    self.observation = version_choice.record_sent(announced)
            self.relayed.may_be_running = True
            if route.kind == "once":
                self.relayed.exchange.detached = True
            await self._run_exchange(connection)
        finally:
            record.in_flight -= 1
            if version_choice is not None:
                version_choice.traffic.end_attempt(announced)
            if self._started_at and not self._metadata.not_run:
                seconds = trio.current_time() - self._started_at
                relay.endpoint_stats.room.record_end(announced, seconds)
                relay.shutdown.run_times.record(route.name, seconds)
                if not connection.answer_ended:
                    relay.endpoint_stats.room.record_abandoned(announced)
            relay.get_room_queue(announced.service).notify()
            if not self.status:
                record.unanswered -= 1
            if self._tracked_prompt is not None:
                relay.workload.end(self._tracked_prompt)
            if connection is not None:
                relay.pool.release(connection, self._metadata.keep_alive_s)

    def _require_available(self) -> None:
        """Raise if the endpoint said meanwhile that it wants no requests.

        The same if a rollout does not allow its software version any more.
        """
        announced = self.endpoint.announced
        stats = self.relayed.relay.endpoint_stats
        if stats.back_offs.is_active(announced, stats.clock()):
            raise EndpointBackingOff(endpoint=announced.name)
        if stats.leaving.has(announced):
            raise EndpointOutOfService(endpoint=announced.name)
        version_choice = self.relayed.version_choice
        if version_choice is not None and not version_choice.may_send(announced):
            raise EndpointOutOfService(endpoint=announced.name)

    async def _run_exchange(self, connection: OutboundConnection) -> None:
        request = self.relayed.exchange.request
        self.dispatch = self.relayed.build_dispatch(self.endpoint)
        headers = self.relayed.relay.header_codec.write_request(
            request.headers, self.dispatch
        )
        self._tracked_prompt = self.relayed.begin_work(self.endpoint, self.dispatch)
        self._started_at = trio.current_time()
        self.connection = connection
        record = self.relayed.relay.endpoint_stats.get_record(
            self.endpoint.announced.name
        )
        failed = True
        failure: MedlarError | None = None
        try:
            failure = await self._exchange(connection, headers)
            rejected = isinstance(failure, EndpointRefused)
            failed = failure is not None and not rejected
        finally:
            seconds = self.first_byte_s or trio.current_time() - self._started_at
            # An endpoint that asks for time has not failed, nor is it fast.
            if self.retry_after_s is None:
                record.record_answer(seconds, failed)
            if self.observation is not None:
                cancelled = failed and failure is None
                self.observation.record_end(self, failure, cancelled)
        if failure is not None:
            raise failure

    async def _exchange(
        self, connection: OutboundConnection, headers: list[Header]
    ) -> MedlarError | None:
        """Send the request and relay the answer; return what failed."""
        request = self.relayed.exchange.request
        failure: MedlarError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                connection.send, request.method, request.target, headers, request.body
            )
            self._start_standby(nursery)
            try:
                await self._relay_answer(connection)
            except MedlarError as error:
                failure = error
            nursery.cancel_scope.cancel()
        return failure

    def _start_standby(self, nursery: trio.Nursery) -> None:
        """Open a standby connection if the end of the answer may have to be proven."""
        relay = self.relayed.relay
        standbys = relay.standbys
        if standbys is None:
            return
        announced = self.endpoint.announced
        service = self.relayed.service
        in_flight = relay.endpoint_stats.get_record(announced.name).in_flight
        if standbys.is_needed(service, announced, in_flight):
            limit = relay.get_connection_limit(service, announced.name)
            nursery.start_soon(standbys.open, announced, limit)

    async def _relay_answer(self, connection: OutboundConnection) -> None:
        head = await connection.read_head()
        if not head.framing.proves_end:
            self.relayed.relay.record_unframed(self.relayed.service)
        self._read_metadata(head, connection.reused)
        if self._metadata.not_run or self._metadata.misdirected:
            await self._handle_rejection(connection, head)
        if not self._metadata.verified:
            raise AnswerTruncated(endpoint=self.endpoint.announced.name)
        await self._relay_body(connection, head)

    async def _relay_body(
        self, connection: OutboundConnection, head: AnswerHead
    ) -> None:
        is_stream = self.relayed.admission.route.kind == "stream"
        # What goes on after the first events can only be further events.
        max_status = 200 if self.relayed.exchange.started else 299
        if is_stream and head.status <= max_status:
            await StreamRelay(self, connection, head).run()
        else:
            await relay_buffered(self, connection, head)

    def _read_metadata(self, head: AnswerHead, reused: bool) -> None:
        """Read an answer's metadata; on a ``reused`` connection it may be another's."""
        relay = self.relayed.relay
        record = relay.endpoint_stats.get_record(self.endpoint.announced.name)
        record.unanswered -= 1
        self.status = head.status
        self.framing = head.framing
        metadata = relay.header_codec.read_answer(head.status, head.headers)
        self._require_own_answer(metadata, reused)
        if metadata.request_id or not reused:
            relay.pool.processes.record_answered(self.connection)
        if not metadata.request_id:
            self.connection.has_unnamed_answer = True
        self._metadata = metadata
        if self._metadata.load is not None:
            record.load = self._metadata.load
            record.load_at = relay.endpoint_stats.clock()
        relay.endpoint_stats.health.record_success(self.endpoint.announced.name)
        record_statements(relay, self.endpoint, metadata)

    def _require_own_answer(
        self, metadata: AnswerMetadata, reused: bool = False
    ) -> None:
        """Raise ``AnswerCrossed`` if the answer may be that to another request.

        A rejection may name no request; on a ``reused`` connection it can then be a
        copy of an earlier one.
        """
        expected = self.relayed.metadata.request_id
        is_rejection = metadata.not_run or metadata.misdirected
        if is_rejection and not reused and not metadata.request_id:
            return
        if expected and metadata.request_id != expected:
            raise AnswerCrossed(
                endpoint=self.endpoint.announced.name,
                expected=expected,
                received=metadata.request_id,
            )

    async def _handle_rejection(
        self, connection: OutboundConnection, head: AnswerHead
    ) -> None:
        """Raise ``EndpointRefused``; after a misdirected request, drop the endpoint.

        The head states that the request did not run, whatever becomes of the body.
        """
        name = self.endpoint.announced.name
        await self._skip_body(connection)
        if self._metadata.misdirected and self._metadata.endpoint != name:
            current = self.relayed.relay.cluster_view.endpoints.get(name)
            if current is self.endpoint:
                del self.relayed.relay.cluster_view.endpoints[name]
        raise EndpointRefused(endpoint=name, reason=f"status {head.status}")

    @staticmethod
    async def _skip_body(connection: OutboundConnection) -> None:
        """Receive the body of a rejection, so that the connection can be reused."""
        with trio.move_on_after(MAX_REJECTION_WAIT_S), suppress(RunFailure):
            async with aclosing(connection.iterate_body()) as parts:
                async for _ in parts:
                    pass

    def raise_dropped(self, held: HeldAnswer) -> NoReturn:
        """Raise the error of an answer that was given up for lack of memory.

        A caller that has got a part of it sees its connection close.
        """
        name = self.endpoint.announced.name
        is_unread = held.reader is not None
        self.is_dropped = True
        get_metrics().count("answers_dropped", is_unread=is_unread)
        eliot.log_message("answer:dropped", endpoint=name, is_unread=is_unread)
        if is_unread:
            self.relayed.exchange.abort()
            raise trio.ClosedResourceError("the caller did not read its answer")
        limit_bytes = self.relayed.relay.answer_memory.limit_bytes
        raise AnswerTooLong(endpoint=name, limit_bytes=limit_bytes)

    async def require_end(
        self, connection: OutboundConnection, head: AnswerHead
    ) -> None:
        """Raise ``EndpointLost`` unless an answer that has ended is complete."""
        self.end_evidence = EndEvidence.FRAMING
        if not head.framing.proves_end:
            began_at = trio.current_time()
            self.end_evidence = await self._check_end(connection)
            self._end_check_s = trio.current_time() - began_at
        if not self.end_evidence.is_sufficient:
            raise EndpointLost(
                endpoint=self.endpoint.announced.name, evidence=self.end_evidence
            )

    async def _check_end(self, connection: OutboundConnection) -> EndEvidence:
        """Return what shows that an unframed answer is complete, or is not."""
        check = EndCheck(
            self.relayed.relay,
            self.endpoint,
            self.relayed.service,
            connection,
            self.relayed.metadata.request_id,
        )
        return await check.run()

    def build_failure(self, head: AnswerHead) -> EndpointFailed:
        """Return the error of an answer that only another attempt can replace."""
        return EndpointFailed(
            endpoint=self.endpoint.announced.name, answered=head.status
        )

    def record_stream_begun(self) -> None:
        """Record which software version the events come from, before the first."""
        self.relayed.stream_version.record_begun(self)

    def record_first_byte(self) -> None:
        """Record when the body of the answer began, at the first call."""
        if not self.first_byte_s:
            self.first_byte_s = trio.current_time() - self._started_at
            get_metrics().observe("first_part", self.first_byte_s)
            if self._tracked_prompt is not None:
                self.relayed.relay.workload.record_prefilled(self._tracked_prompt)
                self._record_prefill_speed()

    def _record_prefill_speed(self) -> None:
        """Record how long the engine took to read a long prompt.

        An answer that is no stream begins after its end, a stream that goes on has
        further tokens to read, and a cold engine is not at its speed yet.
        """
        relayed = self.relayed
        if self.events is None or self.events.resumed_after or self.cold_send:
            return
        event = build_first_event(
            self.endpoint,
            relayed.metadata,
            self.dispatch,
            self._tracked_prompt.backlog,
            self.first_byte_s,
        )
        relayed.relay.speeds.record(relayed.service.name, event)
