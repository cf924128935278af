"""Routes that every daemon has: metrics and health."""

import time
from pathlib import Path

from attrs import define, frozen

from medlarrail.core.metrics import get_metrics
from medlarrail.transport.routes import Reply, Request, route

PROMETHEUS_TEXT = "text/plain; version=0.0.4"
KIBIBYTE = 1024


@frozen
class Health:
    """That the process answers, and what it has used so far."""

    name: str
    processor_s: float
    peak_memory_bytes: int


@define
class Monitoring:
    """Answers what monitoring asks."""

    name: str

    @route("GET", "/metrics")
    async def handle_metrics(self, request: Request) -> Reply:
        """Return counters and latencies as Prometheus text."""
        from medlarrail.core.prometheus import format_prometheus

        return Reply(
            body=format_prometheus(get_metrics()), content_type=PROMETHEUS_TEXT
        )

    @route("GET", "/health")
    async def handle_health(self, request: Request) -> Health:
        """Return that the process answers."""
        return Health(self.name, time.process_time(), read_peak_memory())


def read_peak_memory() -> int:
    """Return the most bytes that this process has had in memory.

    The kernel's own figure is read, because that of ``getrusage`` may be the
    parent's.
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0
