"""Memory that a process may use, and the account of what it holds for others."""

import resource
from collections.abc import Iterator
from pathlib import Path

import eliot

from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.policy.held_memory import MEGABYTE, HeldMemory, get_budget_bytes
from medlarrail.transport.memory_gate import MemoryGate

CONTROL_GROUPS = Path("/sys/fs/cgroup")
OWN_GROUP_FILE = Path("/proc/self/cgroup")
MEMORY_FILE = Path("/proc/meminfo")


def read_memory_bytes(limit_mb: int) -> int:
    """Return the memory of this process: the setting, or what the system allows."""
    if limit_mb > 0:
        return limit_mb * MEGABYTE
    limits = [*_iterate_group_limits(), *_iterate_process_limits()]
    return min([*limits, _read_total_bytes()])


def _iterate_process_limits() -> Iterator[int]:
    """Yield the limits of the address space and of the data of this process."""
    for kind in (resource.RLIMIT_AS, resource.RLIMIT_DATA):
        limit, _ = resource.getrlimit(kind)
        if limit != resource.RLIM_INFINITY:
            yield limit


def _iterate_group_limits() -> Iterator[int]:
    """Yield the limits of the control groups of this process that have one."""
    try:
        lines = OWN_GROUP_FILE.read_text().splitlines()
    except OSError:
        return
    for path in {line.split(":", 2)[2].strip("/") for line in lines} | {""}:
        for name in ("memory.max", "memory/memory.limit_in_bytes"):
            try:
                text = (CONTROL_GROUPS / path / name).read_text().strip()
            except OSError:
                continue
            if text.isdigit():
                yield int(text)


def _read_total_bytes() -> int:
    fields = MEMORY_FILE.read_text().partition("MemTotal:")[2].split()
    return int(fields[0]) * 1024


def build_memory_gate(limit_mb: int) -> MemoryGate:
    """Return the account for a process with this setting, and log its limit."""
    memory_bytes = read_memory_bytes(limit_mb)
    memory = HeldMemory(get_budget_bytes(memory_bytes))
    eliot.log_message(
        "memory:limit", memory_bytes=memory_bytes, held_limit_bytes=memory.limit_bytes
    )
    return MemoryGate(memory)


def build_answer_memory(gate: MemoryGate) -> AnswerMemory:
    """Return the account of received answers, which is a part of that of ``gate``."""
    return AnswerMemory.build(gate.memory)
