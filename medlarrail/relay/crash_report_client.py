"""Reports crashed endpoints and completed requests to the leader.

Imported only when there is something to report, since each class with generated methods
adds half a millisecond to the start of an entry.
"""

from collections.abc import Iterable

from medlarrail.cluster.state_client import StateClient
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.crashes import (
    BREAKS_PATH,
    COMPLETIONS_PATH,
    CRASH_BATCH_PATH,
    CompletionReport,
    CrashReport,
    CrashReports,
)
from medlarrail.protocol.empty import EmptyMessage

CALL_TIMEOUT_S = 1.0


async def send_crashes(
    state: StateClient,
    entry: str,
    batch: Iterable["BrokenEndpoint"],  # noqa: F821
    now: float,
) -> bool:
    """Report endpoints that crashed; return whether the leader received it."""
    return await _send(state, CRASH_BATCH_PATH, _build_reports(entry, batch, now))


async def send_breaks(
    state: StateClient,
    entry: str,
    batch: Iterable["BrokenEndpoint"],  # noqa: F821
    now: float,
) -> bool:
    """Report endpoints that may have crashed; return whether it was received."""
    return await _send(state, BREAKS_PATH, _build_reports(entry, batch, now))


async def send_completions(
    state: StateClient, entry: str, service: str, keys: Iterable[str]
) -> bool:
    """Report suspected parts of requests that were answered completely."""
    report = CompletionReport(entry, service, tuple(sorted(keys)))
    return await _send(state, COMPLETIONS_PATH, report)


def _build_reports(
    entry: str,
    batch: Iterable["BrokenEndpoint"],  # noqa: F821
    now: float,
) -> CrashReports:
    return CrashReports(
        tuple(
            CrashReport(
                entry,
                broken.announced.name,
                broken.announced.started_ms,
                broken.announced.service,
                broken.model,
                round(now - broken.broken_at, 3),
                broken.list_reported_parts(),
            )
            for broken in batch
        )
    )


async def _send(
    state: StateClient, path: str, report: CrashReports | CompletionReport
) -> bool:
    """Send a report to the leader; return whether it was received."""
    try:
        await state.call_leader(path, report, EmptyMessage, CALL_TIMEOUT_S)
    except MedlarError as error:
        get_metrics().count("crash_report_failures", type=type(error).__name__)
        return False
    return True
