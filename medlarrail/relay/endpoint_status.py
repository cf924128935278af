"""Asks an endpoint for its status, to learn which incarnation it is."""

from attrs import frozen

from medlarrail.core.announcements import Announcement
from medlarrail.policy.answer_end import EndpointReply
from medlarrail.relay.metadata import DispatchMetadata, Header, HeaderCodec
from medlarrail.relay.outbound_connection import OutboundConnection

STATUS_TIMEOUT_S = 1.0
"""Maximum time for a reply before a request is sent: another endpoint is used then."""
STATUS_DEADLINE_MS = 2000
"""Deadline that the endpoint is told."""
MAX_STATUS_BYTES = 65536
"""Maximum size of a reply that is searched for the endpoint's start."""


@frozen
class EndpointStatus:
    """A reply, and the time for which its connection may be idle."""

    reply: EndpointReply
    keep_alive_s: float | None


async def read_status(
    codec: HeaderCodec,
    connection: OutboundConnection,
    announced: Announcement,
    path: str,
) -> EndpointStatus:
    """Request the status at ``path``; raises ``RunFailure`` without a whole reply.

    The request names the endpoint that it is meant for. The caller limits the time.
    """
    host: Header = (b"Host", announced.address.encode())
    dispatch = DispatchMetadata(announced, STATUS_DEADLINE_MS)
    headers = codec.write_request((host,), dispatch)
    await connection.send(b"GET", path.encode(), headers, b"")
    connection.has_unnamed_answer = True
    head = await connection.read_head()
    body = await _read_body(connection)
    metadata = codec.read_answer(head.status, head.headers)
    reply = EndpointReply(
        metadata.misdirected,
        metadata.endpoint,
        codec.read_started_ms(body),
        metadata.request_id,
    )
    return EndpointStatus(reply, metadata.keep_alive_s)


async def _read_body(connection: OutboundConnection) -> bytes:
    """Return the body of a reply, or nothing if it is too long."""
    body = bytearray()
    async for part in connection.iterate_body():
        body += part
        if len(body) > MAX_STATUS_BYTES:
            return b""
    return bytes(body)
