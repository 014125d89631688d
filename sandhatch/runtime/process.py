"""Process set-up for every long-running form of the program: descriptor limit, signals, garbage collector.

Affects the process as a whole, not one pool or listener. Source: getrlimit(2) and Python's `gc`.
"""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
from pathlib import Path

from sandhatch.runtime.memory_budget import BYTES_PER_MB

# Net allocations before a collection of the youngest generation, its collections before one of the second
# generation, and those of the second before one of the oldest. These thresholds are well above Python's
# defaults, because objects created after the start are short-lived and form few cycles.
GC_THRESHOLDS = (20_000, 20, 100)


def raise_descriptor_limit(wanted: int) -> int:
    """Raises the soft limit of open descriptors to `wanted`, as far as the hard limit allows.

    Returns:
        Number of descriptors that may be open, at most `wanted`.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY and soft_limit < wanted:
        soft_limit = wanted if hard_limit == resource.RLIM_INFINITY else min(wanted, hard_limit)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
    return wanted if soft_limit == resource.RLIM_INFINITY else min(wanted, soft_limit)


def resident_bytes(process_id: int | str = "self") -> int:
    """Returns a process's resident memory in bytes, see proc(5).

    Raises:
        OSError: The system doesn't tell, or there is no such process.
    """
    fields = Path(f"/proc/{process_id}/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * resource.getpagesize()


def resident_mb() -> float:
    """Returns the memory that this process occupies, in MiB; 0 where the system doesn't tell."""
    try:
        return resident_bytes() / BYTES_PER_MB
    except (OSError, IndexError, ValueError):
        return 0.0


def shutdown_event(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set from now on."""
    shutdown = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown.set)
    return shutdown


def freeze_garbage_collector() -> None:
    """Makes garbage collections short and rare; called once the program is assembled.

    Objects that exist now live as long as the process, so the collector ignores them from now on.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
