"""Closed-loop load: persistent connections with one request at a time each, and the resulting request rate.

Requests are not retried: a response other than 200 ends the benchmark.
"""

from __future__ import annotations

import asyncio
import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from time import perf_counter

from benchmarks.relay import BODY


async def request_rate(port: int, connections: int, seconds: float) -> float:
    """Returns the responses per second, on `connections` concurrent connections."""
    until_s = perf_counter() + seconds
    counts = await asyncio.gather(*(_count_exchanges(port, number, until_s) for number in range(connections)))
    return sum(counts) / seconds


async def _count_exchanges(port: int, connection: int, until_s: float) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    while perf_counter() < until_s:
        trace = f"{connection:x}-{count:x}-{until_s}"
        writer.write(f"GET /api HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace}\r\nX-Qos: look\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(head.decode())
        await reader.readexactly(len(BODY))
        count += 1
    writer.close()
    return count


def alternate_order(names: Sequence[str], turn: int) -> list[str]:
    """Returns the names, reversed in every other turn, to cancel drift of the computer's speed."""
    return list(names) if turn % 2 else list(names)[::-1]


def median_ratio(values: Sequence[float], reference: Sequence[float]) -> float:
    """Returns the median, over all rounds, of the ratio of a round's value to the same round's reference."""
    return PairedRatio.of(values, reference).median


@dataclass(frozen=True, slots=True)
class PairedRatio:
    """Two targets compared by the ratio of their values in each round.

    Attributes:
        median: Median of the ratios.
        standard_error: Standard error of the ratios' mean; 0 with a single round.
    """

    median: float
    standard_error: float

    @classmethod
    def of(cls, values: Sequence[float], reference: Sequence[float]) -> PairedRatio:
        """Compares values with those of a reference in the same rounds."""
        ratios = [value / other for value, other in zip(values, reference, strict=True)]
        error = statistics.stdev(ratios) / math.sqrt(len(ratios)) if len(ratios) > 1 else 0.0
        return cls(statistics.median(ratios), error)

    def __str__(self) -> str:
        """Formats the median and the standard error, as in `0.987 +- 0.012`."""
        return f"{self.median:.3f} +- {self.standard_error:.3f}"


def format_rates(rates: Mapping[str, Sequence[float]]) -> str:
    """Formats the latest round's requests per second, by target name."""
    return "  ".join(f"{name} {values[-1]:.0f}/s" for name, values in rates.items())


def format_costs(costs_us: Mapping[str, Sequence[float]]) -> str:
    """Formats the median processor time per request, by target name."""
    return ", ".join(f"{name} {statistics.median(values):.0f}" for name, values in costs_us.items())
