"""The balancer's memory while long bodies pass: samples over time, and what they say.

It reads the system's figure and the balancer's own account, and changes nothing. Source: proc(5) and the
`status` of the control socket.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from time import perf_counter
from typing import Any

from benchmarks.processes import resident_bytes
from sandhatch.control.client import Client

MIB = 1024 * 1024
SAMPLE_S = 0.5
WARM_UP_SHARE = 0.2  # of the run, left out
TAIL_SHARE = 0.1  # of the run, left out: fewer and fewer bodies are under way


@dataclass(frozen=True, slots=True)
class MemorySample:
    """Memory at one time."""

    time_s: float
    resident_mib: float
    accounted_mib: float  # by bodies, as the balancer's own account says


class MemoryWatch:
    """Samples over time.

    What bodies have booked is bounded by the memory budget and goes up and down with the peers; a leak would
    show in the rest of the resident memory.
    """

    def __init__(self) -> None:
        """Creates a watch without samples."""
        self.samples: list[MemorySample] = []

    async def run(self, pid: int, control: str) -> None:
        """Takes a sample every SAMPLE_S, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            status = await loop.run_in_executor(None, read_status, control)
            accounted_mib = status["memory"]["held_bytes"] / MIB
            resident_mib = resident_bytes(pid) / MIB
            self.samples.append(MemorySample(perf_counter(), resident_mib, accounted_mib))
            await asyncio.sleep(SAMPLE_S)

    def summary(self, begin_s: float, end_s: float) -> str:
        """The spread between warm-up and tail, and the slope of a least-squares line, in MiB a minute."""
        span_s = end_s - begin_s
        samples = [
            sample
            for sample in self.samples
            if begin_s + WARM_UP_SHARE * span_s <= sample.time_s <= end_s - TAIL_SHARE * span_s
        ]
        times_s = [sample.time_s for sample in samples]
        resident = [sample.resident_mib for sample in samples]
        accounted = [sample.accounted_mib for sample in samples]
        count = len(samples)
        thirds = [resident[count * part // 3 : count * (part + 1) // 3] for part in range(3)]
        peaks = ", ".join(f"{max(third, default=0.0):.1f}" for third in thirds)
        return (
            f"{_format_spread('resident', times_s, resident)};"
            f" {_format_spread('held by bodies', times_s, accounted)};"
            f" the most in each third {peaks} ({count} samples)"
        )


def _format_spread(name: str, times_s: Sequence[float], sizes_mib: Sequence[float]) -> str:
    slope = 0.0
    if len(sizes_mib) > 2:
        slope = statistics.linear_regression(times_s, sizes_mib).slope * 60.0
    least = min(sizes_mib, default=0.0)
    most = max(sizes_mib, default=0.0)
    return f"{name} {least:.1f} to {most:.1f} MiB, slope {slope:+.2f} a minute"


def read_status(control: str) -> dict[str, Any]:
    """The balancer's status, from its control socket."""
    with Client(control) as client:
        return client.call("status")
