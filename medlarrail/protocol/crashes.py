"""Messages about crashed endpoints and the prompts that ran there."""

from attrs import frozen

CRASHES_PATH = "/internal/crashes"
CRASH_BATCH_PATH = "/internal/crashes/batch"
BREAKS_PATH = "/internal/crashes/breaks"
"""For ``CrashReports`` of endpoints that may have crashed: the entry reaches none of
their service, so it may be partitioned from them."""
COMPLETIONS_PATH = "/internal/crashes/completions"


@frozen
class CrashReport:
    """Reports that an endpoint crashed while prompts with ``parts`` ran there.

    ``started_ms`` identifies its incarnation. The crash was noticed ``age_s`` seconds
    before the report was sent. Parts and whole requests are given by their keys.
    """

    entry: str
    endpoint: str
    started_ms: int
    service: str
    model: str
    age_s: float
    parts: tuple[str, ...]


@frozen
class CrashReports:
    """The reports of all endpoints whose crash an entry has noticed lately."""

    reports: tuple[CrashReport, ...]


@frozen
class CompletionReport:
    """Reports that requests with these suspected parts were answered completely."""

    entry: str
    service: str
    parts: tuple[str, ...]
