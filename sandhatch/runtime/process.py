"""Set-up that every long-running form of the program needs: descriptor limit, signals, garbage collector.

It changes the process as a whole and belongs to no pool or listener. Source: getrlimit(2) and Python's `gc`.
"""

from __future__ import annotations

import asyncio
import gc
import resource
import signal

# Net allocations before a collection of the youngest generation, then its collections before one of the next
# generation, and so on. Well above Python's defaults: objects made after the start are short-lived and form
# few cycles.
GC_THRESHOLDS = (20_000, 20, 100)


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit of open descriptors to `wanted`, as far as the hard limit allows.

    Returns:
        How many descriptors may be open, at most `wanted`.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY and soft_limit < wanted:
        soft_limit = wanted if hard_limit == resource.RLIM_INFINITY else min(wanted, hard_limit)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
    return wanted if soft_limit == resource.RLIM_INFINITY else min(wanted, soft_limit)


def shutdown_event(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """An event that SIGTERM and SIGINT set from now on."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def freeze_garbage_collector() -> None:
    """Keep garbage collections short and rare; called once the program is assembled.

    What exists now lives as long as the process and is never looked at again by the collector.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
