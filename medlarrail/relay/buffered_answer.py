"""Answers that are sent to the caller once all of their body was received."""

from contextlib import aclosing

import trio
from attrs import frozen

from medlarrail.policy.answer_memory import HeldAnswer
from medlarrail.relay.answer_framing import iterate_headers, states_end
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.metadata import Header
from medlarrail.relay.outbound_connection import AnswerHead, OutboundConnection
from medlarrail.transport.framing import Framing
from medlarrail.transport.memory_gate import get_allocator


@frozen
class BufferedAnswer:
    """An endpoint's answer with all of its body, as it is sent to the caller."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    framing: Framing
    """``LENGTH``, or ``CLOSE`` if the endpoint did not prove the end of the body."""

    async def send(self, exchange: ServerExchange) -> None:
        """Send the answer to the caller."""
        await exchange.send_whole(
            self.status, list(self.headers), self.body, self.framing
        )


async def relay_buffered(
    attempt: "Attempt",  # noqa: F821
    connection: OutboundConnection,
    head: AnswerHead,
) -> None:
    """Buffer the answer to ``attempt``, and send it to the caller once it has ended.

    A length is stated only if the endpoint's framing proves that nothing is missing.
    Raises ``AnswerTooLong`` if all answers take too much memory and this one is the
    largest.
    """
    exchange = attempt.relayed.exchange
    memory = attempt.relayed.relay.answer_memory
    scope = trio.CancelScope()
    held = memory.open(scope.cancel)
    try:
        with scope:
            async with aclosing(connection.iterate_body()) as body:
                async for part in body:
                    attempt.record_first_byte()
                    attempt.body_bytes += len(part)
                    if held.data:
                        get_allocator()
                    memory.add(held, part, trio.current_time())
                    await trio.lowlevel.checkpoint_if_cancelled()
            answer = await _check_buffered(attempt, connection, head, held)
            held.reader = exchange.connection.holding
            await answer.send(exchange)
    finally:
        memory.close(held)
    if scope.cancelled_caught:
        attempt.raise_dropped(held)


async def _check_buffered(
    attempt: "Attempt",  # noqa: F821
    connection: OutboundConnection,
    head: AnswerHead,
    held: HeldAnswer,
) -> BufferedAnswer:
    """Return the answer to be sent; raises ``RunFailure`` for an unsound one."""
    await trio.lowlevel.checkpoint_if_cancelled()
    data = bytes(held.take_data())
    attempt.record_first_byte()
    if attempt.observation is not None:
        attempt.observation.record_whole()
    await attempt.require_end(connection, head)
    exchange = attempt.relayed.exchange
    headers = tuple(iterate_headers(exchange, head))
    framing = Framing.LENGTH if states_end(exchange, head) else Framing.CLOSE
    answer = BufferedAnswer(head.status, headers, data, framing)
    failure_status = attempt.get_failure_status()
    failed = failure_status is not None and head.status >= failure_status
    if failed or exchange.started:
        attempt.relayed.fallback_answer = answer
        raise attempt.build_failure(head)
    return answer
