"""Metrics and health routes of every daemon."""

import time
from pathlib import Path

from attrs import define, frozen

from medlarrail.core.metrics import get_metrics
from medlarrail.transport.routes import Reply, Request, route

PROMETHEUS_TEXT = "text/plain; version=0.0.4"
KIBIBYTE = 1024


@frozen
class Health:
    """Answer of the health check, with the process's resource usage."""

    name: str
    processor_s: float
    peak_memory_bytes: int


@define
class Monitoring:
    """Handlers for monitoring systems."""

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
        """Return the health of the process."""
        return Health(self.name, time.process_time(), read_peak_memory())


def read_peak_memory() -> int:
    """Return the peak resident memory of this process in bytes.

    It is read from /proc, because the value from ``getrusage`` may be inherited from
    the parent process.
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0
