"""What every long-running form of the program asks of its process: descriptors, signals, collector pauses."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal


def grant_descriptors(wanted: int) -> int:
    """Raise the soft limit towards `wanted` as far as the hard one lets it; how many may be held now."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


def stop_event(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Set by SIGTERM and by SIGINT."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def settle_collector() -> None:
    """Guards against collection pauses: what lives from here on is short-lived and holds few cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
