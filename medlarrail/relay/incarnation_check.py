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
from medlarrail.relay.outbound_connection import OutboundConnection

MAX_AVOIDED = 2
"""Endpoints that one stream does not begin at, though it could be served there."""
BEGINNING_TIMEOUT_S = 0.4
"""Maximum time for a report before a stream begins: callers leave after two seconds
without an event, and ``MAX_AVOIDED`` reports may be waited for."""


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


def has_unknown_process(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
) -> bool:
    """Return whether a report has to tell which process a stream would begin at.

    That is so after a break, unless ``MAX_AVOIDED`` endpoints were tried. Raises
    ``EndpointOutOfService`` if it is known that the process started after the announced
    one, and another endpoint can be used.
    """
    route = relayed.admission.route
    pool = relayed.relay.pool
    if route.kind != "stream" or not route.resumable or relayed.last_event_id:
        return False
    if not announced.started_ms or not get_report_path(relayed):
        return False
    if len(relayed.tried) > MAX_AVOIDED:
        return False
    if pool.processes.get_latest_start(announced.address) > announced.started_ms:
        _avoid_unannounced(relayed, announced)
    return pool.processes.is_unknown(announced.address)


async def check_beginning(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
) -> bool:
    """Return whether a new ``connection`` can be used for a stream that begins.

    Raises ``EndpointOutOfService`` if the process at the other end is not the announced
    one, and another endpoint can be used: a stream whose process nobody has heard of
    could not go on after a further break.
    """
    path = get_report_path(relayed)
    status = await _read_status(
        relayed, announced, connection, path, BEGINNING_TIMEOUT_S
    )
    is_known = status is not None and status.reply.started_ms == announced.started_ms
    get_metrics().count("beginnings_checked", is_known=is_known)
    if is_known:
        relayed.relay.pool.processes.record_known(connection)
    else:
        _avoid_unannounced(relayed, announced)
    if status is None or status.keep_alive_s == 0 or not connection.is_reusable():
        return False
    connection.start_next_request()
    return True


def _avoid_unannounced(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
) -> None:
    """Raise ``EndpointOutOfService`` if there may be an announced process elsewhere."""
    if relayed.chooser.has_choice():
        _raise_unproven(announced)


async def _read_status(
    relayed: "AttemptRequest",  # noqa: F821
    announced: Announcement,
    connection: OutboundConnection,
    path: str,
    timeout_s: float = STATUS_TIMEOUT_S,
) -> EndpointStatus | None:
    """Return the report that is read on a new connection, None without a whole one."""
    status = None
    with trio.move_on_after(timeout_s), suppress(RunFailure):
        status = await read_status(
            relayed.relay.header_codec, connection, announced, path
        )
    if status is not None and status.reply.endpoint in ("", announced.name):
        relayed.relay.pool.processes.record_answered(
            connection, status.reply.started_ms
        )
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
    since = relayed.relay.pool.processes.find_span(connection).since
    with suppress(MedlarError):
        found = await relayed.relay.incarnations.find(
            announced.name,
            since,
            inf,
            ANNOUNCEMENT_TIMEOUT_S,
            connection.address,
            relayed.metadata.request_id,
        )
    version = relayed.stream_version.version
    is_allowed = found is not None and found.software_version == version
    if not is_allowed or not connection.is_quiet():
        _raise_unproven(announced)


def _raise_unproven(announced: Announcement) -> NoReturn:
    get_metrics().count("incarnations_unproven", service=announced.service)
    raise EndpointOutOfService(endpoint=announced.name)
