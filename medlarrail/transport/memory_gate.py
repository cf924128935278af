"""Makes those wait who need memory that others hold, and gives up the worst holders."""

import gc
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import cache
from pathlib import Path
from typing import NoReturn

import eliot
import trio
from attrs import define, field

from medlarrail.core.errors import MemoryShort, OverComplexBody
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.held_memory import SMALL_BYTES, HeldMemory, Holding, Waiter

MEMORY_WAIT_S = 3.0
"""Maximum wait for memory; a refusal after that leaves the caller time to retry."""
CHECK_INTERVAL_S = 0.2
"""Pause between two looks for holders to be given up, while someone waits."""
MIN_LINE_INTERVAL_S = 1.0
"""Pause between two log lines of one kind; the next line has the number left out."""
UPKEEP_INTERVAL_S = 1.0
TRIM_INTERVAL_S = 5.0
TRIM_BYTES = 8_000_000
"""Growth of the process, or fall of what it holds for others, after which free memory
is returned to the system."""
USAGE_FILE = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MMAP_THRESHOLD_OPTION = -3
"""``M_MMAP_THRESHOLD`` of ``mallopt``."""
MMAP_THRESHOLD_BYTES = 131072
"""Size of the blocks that are returned to the system as soon as they are freed."""


@define(eq=False)
class DecisionLog:
    """Log lines and counters of decisions about memory, bounded in number."""

    _written_at: dict[str, float] = field(factory=dict)
    _left_out: dict[str, int] = field(factory=dict)

    def record(self, decision: str, listener: str, **values) -> None:
        """Count a decision, and write a line unless there was one just now."""
        get_metrics().count("memory_decisions", decision=decision, listener=listener)
        now = trio.current_time()
        if now - self._written_at.get(decision, float("-inf")) < MIN_LINE_INTERVAL_S:
            self._left_out[decision] = self._left_out.get(decision, 0) + 1
            return
        self._written_at[decision] = now
        eliot.log_message(
            "memory:decision",
            decision=decision,
            listener=listener,
            similar=self._left_out.pop(decision, 0),
            **values,
        )


@define(eq=False)
class MemoryGate:
    """The account of a process, with the means to wait and to end connections."""

    memory: HeldMemory = field(factory=HeldMemory)
    log: DecisionLog = field(factory=DecisionLog)
    _enders: dict[Holding, Callable[[], None]] = field(factory=dict)

    @contextmanager
    def open(self, listener: str, end: Callable[[], None]) -> Iterator[Holding]:
        """Open a holding; ``end`` is called if it is given up."""
        holding = self.memory.open(listener, trio.current_time())
        self._enders[holding] = end
        try:
            yield holding
        finally:
            del self._enders[holding]
            self.memory.close(holding)

    async def acquire(self, holding: Holding, count: int) -> None:
        """Wait until ``count`` more bytes may be held; raises ``MemoryShort``."""
        if not self.memory.can_ever_grant(count):
            self._refuse(holding, count, 0.0)
        now = trio.current_time()
        await self._wait(self.memory.request(holding, count, now))

    async def acquire_for_decoding(self, holding: Holding, count: int) -> None:
        """Wait until a body that was received may be decoded to ``count`` bytes.

        Raises ``OverComplexBody`` if it never may, and ``MemoryShort``.
        """
        limit_bytes = self.memory.get_decoding_limit(holding)
        if count > limit_bytes:
            self._record_refusal(holding, count, 0.0)
            raise OverComplexBody(needed_bytes=count, limit_bytes=limit_bytes)
        now = trio.current_time()
        await self._wait(self.memory.request(holding, count, now, is_decoding=True))

    async def _wait(self, waiter: Waiter) -> None:
        """Wait until memory is granted; raises ``MemoryShort``."""
        holding, count = waiter.holding, waiter.wanted_bytes
        if count > SMALL_BYTES:
            get_allocator()
        if waiter.is_granted:
            return
        get_metrics().count("memory_waits", listener=holding.listener)
        try:
            while not waiter.is_granted:
                waited_s = trio.current_time() - waiter.since
                if waited_s >= MEMORY_WAIT_S:
                    self._refuse(holding, count, waited_s)
                self.end_stalled()
                await trio.sleep(CHECK_INTERVAL_S)
        finally:
            self.memory.cancel(waiter)

    def _refuse(self, holding: Holding, count: int, waited_s: float) -> NoReturn:
        self._record_refusal(holding, count, waited_s)
        raise MemoryShort(wanted_bytes=count)

    def _record_refusal(self, holding: Holding, count: int, waited_s: float) -> None:
        self.log.record(
            "refused",
            holding.listener,
            wanted_bytes=count,
            waited_s=round(waited_s, 3),
            held_bytes=self.memory.held_bytes,
        )

    def end_stalled(self) -> None:
        """Give up the worst holders, if someone waits for what they hold."""
        now = trio.current_time()
        for holding in self.memory.choose_victims(now):
            self._end(holding, now)

    def end_idle(self, listener: str | None) -> bool:
        """Give up one connection for another one, if any is stalled.

        With a ``listener`` only those of it are taken.
        """
        now = trio.current_time()
        holding = self.memory.choose_idle(listener, now)
        if holding is not None:
            self._end(holding, now)
        return holding is not None

    def _end(self, holding: Holding, now: float) -> None:
        self.log.record(
            "ended",
            holding.listener,
            state=holding.state,
            bytes=holding.held_bytes,
            stalled_s=round(holding.get_stall_s(now), 3),
            held_bytes=self.memory.held_bytes,
        )
        self._enders[holding]()

    async def run_upkeep(self) -> None:
        """Publish what is held, and return memory after a crowd, until cancelled."""
        trimmed_bytes = read_resident_bytes()
        trimmed_at = trio.current_time()
        held_bytes = self.memory.held_bytes
        while True:
            await trio.sleep(UPKEEP_INTERVAL_S)
            resident_bytes = read_resident_bytes()
            get_metrics().set_gauge("held_bytes", self.memory.held_bytes)
            get_metrics().set_gauge("held_bytes_limit", self.memory.limit_bytes)
            get_metrics().set_gauge("resident_bytes", resident_bytes)
            is_due = trio.current_time() - trimmed_at >= TRIM_INTERVAL_S
            # The growth that a crowd caused may have been there at the last time.
            held_bytes = max(held_bytes, self.memory.held_bytes)
            has_grown = resident_bytes - trimmed_bytes > TRIM_BYTES
            if is_due and (
                has_grown or held_bytes > self.memory.held_bytes + TRIM_BYTES
            ):
                return_memory()
                held_bytes = self.memory.held_bytes
                trimmed_bytes = read_resident_bytes()
                trimmed_at = trio.current_time()


def read_resident_bytes() -> int:
    """Return the resident memory of this process, 0 if the system does not tell it."""
    try:
        return int(USAGE_FILE.read_text().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


@cache
def get_allocator():
    """Return the C library, after it was told to keep large blocks out of its heap.

    By default it does so only until the first large block is freed. A heap with holes
    between the blocks that are still used can't be returned to the system.
    """
    # Needed only for large requests, and its import costs some milliseconds.
    import ctypes

    library = ctypes.CDLL(None)
    if hasattr(library, "mallopt"):
        library.mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
    return library


def return_memory() -> None:
    """Return free memory to the system."""
    gc.collect()
    allocator = get_allocator()
    if hasattr(allocator, "malloc_trim"):
        allocator.malloc_trim(0)
