"""How the caller of a request learns where its answer ends.

A caller is told no more than the endpoint's framing shows. Another entry gets a framing
in any case, since it can't check the end itself, and is told that it was checked.
"""

from collections.abc import Iterator

from medlarrail.relay.headers import END_CHECKED, get_header, iterate_end_to_end
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.metadata import Header
from medlarrail.relay.outbound_connection import AnswerHead
from medlarrail.transport.framing import Framing


def states_end(exchange: ServerExchange, head: AnswerHead) -> bool:
    """Return whether the framing of what is sent proves that it is complete."""
    return _is_forwarded(exchange) or _proves_end(head)


def iterate_headers(exchange: ServerExchange, head: AnswerHead) -> Iterator[Header]:
    """Yield the headers of the answer that is sent."""
    yield from iterate_end_to_end(head.headers)
    if _is_forwarded(exchange) and not _proves_end(head):
        yield END_CHECKED, b"1"


async def send_head(exchange: ServerExchange, head: AnswerHead) -> None:
    """Send the head of a stream, unless an earlier part of the stream had one."""
    if exchange.started:
        return
    framing = Framing.CHUNKED if states_end(exchange, head) else Framing.CLOSE
    headers = list(iterate_headers(exchange, head))
    await exchange.send_head(head.status, headers, framing)


def _proves_end(head: AnswerHead) -> bool:
    """Return whether the endpoint's own framing proves the end."""
    is_checked_only = get_header(head.headers, END_CHECKED) is not None
    return head.framing.proves_end and not is_checked_only


def _is_forwarded(exchange: ServerExchange) -> bool:
    return bool(exchange.request.forwarded_by)
