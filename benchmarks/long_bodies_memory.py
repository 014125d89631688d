"""Samples of the balancer's memory while long bodies pass, and their summary.

Resident memory comes from proc(5), reserved memory from the `status` call of the control socket.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from time import perf_counter
from typing import Any

from sandhatch.control.client import Client
from sandhatch.runtime.process import resident_bytes

MIB = 1024 * 1024
SAMPLE_S = 0.5
WARM_UP_FRACTION = 0.2  # fraction of the run's duration at its start, left out of the summary
# Fraction of the run's duration at its end, left out of the summary because fewer bodies are open then.
TAIL_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class MemorySample:
    """Memory at one point in time."""

    time_s: float
    resident_mib: float
    accounted_mib: float  # memory reserved by bodies, from the balancer's own accounting


class MemorySampler:
    """Samples a process's memory periodically.

    Memory reserved by bodies is bounded by the memory budget and varies with the speed of the peers; a leak
    would show in the rest of the resident memory.
    """

    def __init__(self) -> None:
        """Creates a sampler without samples."""
        self.samples: list[MemorySample] = []

    async def run(self, pid: int, control: str) -> None:
        """Takes a sample every SAMPLE_S until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            status = await loop.run_in_executor(None, read_status, control)
            accounted_mib = status["memory"]["held_bytes"] / MIB
            resident_mib = resident_bytes(pid) / MIB
            self.samples.append(MemorySample(perf_counter(), resident_mib, accounted_mib))
            await asyncio.sleep(SAMPLE_S)

    def summary(self, begin_s: float, end_s: float) -> str:
        """Formats memory between warm-up and end of the run: range, least-squares slope (MiB/min), peaks."""
        span_s = end_s - begin_s
        samples = [
            sample
            for sample in self.samples
            if begin_s + WARM_UP_FRACTION * span_s <= sample.time_s <= end_s - TAIL_FRACTION * span_s
        ]
        times_s = [sample.time_s for sample in samples]
        resident_mib = [sample.resident_mib for sample in samples]
        accounted_mib = [sample.accounted_mib for sample in samples]
        count = len(samples)
        thirds = [resident_mib[count * part // 3 : count * (part + 1) // 3] for part in range(3)]
        peaks = ", ".join(f"{max(third, default=0.0):.1f}" for third in thirds)
        return (
            f"{_format_range('resident', times_s, resident_mib)};"
            f" {_format_range('reserved by bodies', times_s, accounted_mib)};"
            f" maximum of each third {peaks} ({count} samples)"
        )


def _format_range(name: str, times_s: Sequence[float], sizes_mib: Sequence[float]) -> str:
    slope = 0.0
    if len(sizes_mib) > 2:
        slope = statistics.linear_regression(times_s, sizes_mib).slope * 60.0
    minimum = min(sizes_mib, default=0.0)
    maximum = max(sizes_mib, default=0.0)
    return f"{name} {minimum:.1f} to {maximum:.1f} MiB, slope {slope:+.2f} a minute"


def read_status(control: str) -> dict[str, Any]:
    """Returns the balancer's status, read from its control socket."""
    with Client(control) as client:
        return client.call("status")
