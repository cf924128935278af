"""Checks the process at an endpoint before a stream goes on there.

The endpoint's next incarnation has its name and address, and may have other software.
Until its announcement arrives, a gateway takes it for the one before.
"""

from contextlib import suppress
from math import inf
from typing import NoReturn

import trio

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import EndpointOutOfService, MedlarError, RunFailure
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.endpoint_status import (
    STATUS_TIMEOUT_S,
    EndpointStatus,
    read_status,
)
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S
from medlarrail.relay.outbound import OutboundConnection


def get_report_path(relayed: "AttemptRequest") -> str:  # noqa: F821
    """Return the path at which endpoints tell their start, empty if at none."""
    if relayed.service.engine is None:
        return ""
    return relayed.relay.header_codec.get_status_path(relayed.service)


async def check_incarnation(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
) -> bool:
    """Return whether ``connection`` can be used for a stream that goes on.

    Raises ``EndpointOutOfService`` unless the report of the endpoint tells that it is
    the announced one. An endpoint whose report tells no start, or that has none, must
    announce itself.
    """
    path = get_report_path(relayed)
    if not path:
        await require_announced(relayed, announced, connection)
        return True
    status = await _read_status(relayed, announced, connection, path)
    if status is None or status.reply.is_other_than(
        announced.name, announced.started_ms
    ):
        _raise_unproven(announced)
    if not connection.is_reusable() or status.keep_alive_s == 0:
        return False
    # A late copy of the status may arrive where the next answer is expected.
    connection.start_next_request()
    if not (status.reply.started_ms and announced.started_ms):
        await require_announced(relayed, announced, connection)
    return True


async def check_beginning(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
) -> bool:
    """Return whether ``connection`` can be used for a stream that begins.

    After a break, the report of the endpoint tells whether the announced process runs.
    Raises ``EndpointOutOfService`` if it does not, and another endpoint can be used: a
    stream whose process nobody has heard of could not go on after a further break.
    """
    path = get_report_path(relayed)
    pool = relayed.relay.pool
    if not path or not announced.started_ms:
        return True
    if not pool.may_be_next_process(connection):
        return True
    status = await _read_status(relayed, announced, connection, path)
    is_known = status is not None and status.reply.started_ms == announced.started_ms
    get_metrics().count("beginnings_checked", is_known=is_known)
    if is_known:
        pool.record_known(connection)
    elif relayed.chooser.has_choice():
        _raise_unproven(announced)
    if status is None or status.keep_alive_s == 0 or not connection.is_reusable():
        return False
    connection.start_next_request()
    return True


async def _read_status(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
    path: str,
) -> EndpointStatus | None:
    """Return the report that is read on a new connection, None without a whole one."""
    status = None
    with trio.move_on_after(STATUS_TIMEOUT_S), suppress(RunFailure):
        status = await read_status(
            relayed.relay.header_codec, connection, announced, path
        )
    if status is not None and status.reply.endpoint in ("", announced.name):
        relayed.relay.pool.record_answered(connection, status.reply.started_ms)
    return status


async def require_announced(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
) -> None:
    """Wait until the process at the other end of ``connection`` announces itself.

    Raises ``EndpointOutOfService`` if it does not, or has other software than the
    stream.
    """
    found = None
    since = relayed.relay.pool.find_span(connection).since
    with suppress(MedlarError):
        found = await relayed.relay.incarnations.find(
            announced.name, since, inf, ANNOUNCEMENT_TIMEOUT_S
        )
    version = relayed.stream_version.version
    is_allowed = found is not None and found.software_version == version
    if not is_allowed or not connection.is_quiet():
        _raise_unproven(announced)


def _raise_unproven(announced: Announcement) -> NoReturn:
    get_metrics().count("incarnations_unproven", service=announced.service)
    raise EndpointOutOfService(endpoint=announced.name)
