"""Streams that are passed on to the caller event by event."""

from contextlib import aclosing

import trio
from attrs import define, field

from medlarrail.core.errors import (
    AnswerTooLong,
    EndUnproven,
    StreamBroken,
    StreamMixed,
    StreamOutOfOrder,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import EndEvidence
from medlarrail.policy.answer_memory import HeldAnswer
from medlarrail.policy.stream_order import OrderFault, describe_id
from medlarrail.relay.answer_framing import send_head, states_end
from medlarrail.relay.events import OrderedEvents
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.outbound_connection import (
    MAX_TURN_S,
    AnswerHead,
    OutboundConnection,
)
from medlarrail.transport.memory_gate import get_allocator

MAX_EVENT_BYTES = 1_000_000
"""Maximum size of one event of a stream."""
CHECKED_BYTES = 2048
"""Bytes of a stream that are checked at once, so that even the smallest events take
about ``MAX_TURN_S``."""
COUNTED_BYTES = 8192
"""Bytes of the events of a stream from which on they are part of the account."""


@define(eq=False)
class StreamRelay:
    """Passes the stream that answers ``attempt`` on to the caller."""

    attempt: "Attempt"  # noqa: F821
    connection: OutboundConnection
    head: AnswerHead
    exchange: ServerExchange = field(init=False)
    events: OrderedEvents = field(init=False)

    def __attrs_post_init__(self):
        relayed = self.attempt.relayed
        self.exchange = relayed.exchange
        self.events = self.attempt.events = OrderedEvents(
            relayed.stream_order,
            self.exchange.started,
            is_unframed=not self.head.framing.proves_end,
        )

    async def run(self) -> None:
        """Relay the stream, and count what is held of it.

        Raises ``AnswerTooLong`` if all answers take too much memory and this one has
        the largest incomplete event.
        """
        memory = self.attempt.relayed.relay.answer_memory
        scope = trio.CancelScope()
        held = memory.open(scope.cancel)
        try:
            with scope:
                await self._relay_events(held)
        finally:
            memory.close(held)
            if held.is_dropped:
                # A cancellation leaves frames in reference cycles, with the events.
                self.events.clear()
        if scope.cancelled_caught:
            self.attempt.raise_dropped(held)

    async def _relay_events(self, held: HeldAnswer) -> None:
        """Relay complete events as they arrive, as long as each goes on from the last.

        Raises ``StreamOutOfOrder`` at the first event that does not go on from what
        the caller has, ``StreamMixed`` at bytes that are no events, and
        ``EndpointFailed`` for a continuation of a stream that another endpoint began,
        if it has no events: that does not show that the stream was complete. A caller
        that takes a stream up may have had all of it.
        """
        attempt = self.attempt
        events = self.events
        continues = self.exchange.started
        try:
            async with aclosing(self.connection.iterate_body()) as body:
                async for part in body:
                    await self._relay_part(part, held)
            if events.has_partial_event:
                raise StreamBroken(endpoint=self._endpoint_name)
            if continues and not events.has_advanced:
                raise attempt.build_failure(self.head)
            await attempt.require_end(self.connection, self.head)
        except StreamBroken:
            resumable = attempt.relayed.admission.route.resumable
            get_metrics().count("streams_broken", resumable=str(resumable))
            raise
        finally:
            attempt.partial_event = events.has_partial_event
        held.data = events.take_rest()
        if held.data:
            await self._send_events(held)
        held.reader = self.exchange.connection.holding
        await send_head(self.exchange, self.head)
        if self.exchange.framing.proves_end and not states_end(
            self.exchange, self.head
        ):
            raise EndUnproven(endpoint=self._endpoint_name)
        await self.exchange.end()

    @property
    def _endpoint_name(self) -> str:
        return self.attempt.endpoint.announced.name

    async def _relay_part(self, part: bytes, held: HeldAnswer) -> None:
        """Relay the events that are complete with the next ``part`` of the body."""
        attempt = self.attempt
        events = self.events
        attempt.body_bytes += len(part)
        if attempt.observation is not None:
            attempt.observation.record_part(bool(attempt.first_byte_s))
        if events.buffered_bytes > MAX_EVENT_BYTES:
            raise AnswerTooLong(
                endpoint=self._endpoint_name, limit_bytes=MAX_EVENT_BYTES
            )
        held.data = await self._check_events(part)
        if held.data:
            await self._send_events(held)
        self._count_events(held, 0)
        if events.fault is not None:
            raise self._build_order_failure(events.fault)
        if events.has_foreign:
            attempt.end_evidence = EndEvidence.FOREIGN
            get_metrics().count("streams_mixed")
            raise StreamMixed(endpoint=self._endpoint_name)
        if attempt.observation is not None:
            attempt.observation.record_passed()

    async def _check_events(self, part: bytes) -> bytes:
        """Return the events to pass on; a long part is checked in several turns."""
        if len(part) <= CHECKED_BYTES:
            return self.events.pass_on(part)
        passed = bytearray()
        turn_began_at = trio.current_time()
        for begin in range(0, len(part), CHECKED_BYTES):
            passed += self.events.pass_on(part[begin : begin + CHECKED_BYTES])
            if trio.current_time() - turn_began_at > MAX_TURN_S:
                await trio.lowlevel.checkpoint()
                turn_began_at = trio.current_time()
        return bytes(passed)

    async def _send_events(self, held: HeldAnswer) -> None:
        """Send the events in ``held``, which has the only reference to them."""
        attempt = self.attempt
        if not attempt.first_byte_s:
            attempt.record_stream_begun()
        attempt.record_first_byte()
        # It stays set if the sending is cancelled, which may leave a part of an event.
        held.reader = self.exchange.connection.holding
        self._count_events(held, len(held.data))
        await send_head(self.exchange, self.head)
        await self.exchange.send_part(held.take_data())
        held.reader = None

    def _count_events(self, held: HeldAnswer, sent_bytes: int) -> None:
        """Count the incomplete event, and those that are being sent if they are long.

        Short ones are covered by what is counted for each connection.
        """
        size = self.events.buffered_bytes + sent_bytes
        size = size if size > COUNTED_BYTES else 0
        if size != held.held_bytes:
            get_allocator()
            memory = self.attempt.relayed.relay.answer_memory
            memory.resize(held, size, trio.current_time())

    def _build_order_failure(self, fault: OrderFault) -> StreamOutOfOrder:
        get_metrics().count("streams_out_of_order", reason=fault.reason)
        return StreamOutOfOrder(
            endpoint=self._endpoint_name,
            previous_id=describe_id(fault.previous_id),
            received_id=describe_id(fault.received_id),
            reason=str(fault.reason),
        )
