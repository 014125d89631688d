"""Simulated time: a queue of scheduled calls, each made at its due time.

Never reads a real clock and never waits. Source: standard discrete event simulation with a heap of due times.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

START_MS = 1_000_000.0  # clock at the start of a run; not 0, as a server's start time 0 means "long ago"


class _ScheduledCall(NamedTuple):
    """A call, ordered by due time and then by serial number."""

    due_ms: float
    serial: int
    call: Callable[[], object]


class SimulatedClock:
    """The clock of a run. Calls that are due at the same time are made in the order of their addition."""

    def __init__(self) -> None:
        """Creates a clock at the start of a run."""
        self.now_ms = START_MS
        self._queue: list[_ScheduledCall] = []
        self._serial = 0

    def after(self, delay_ms: float, call: Callable[[], object]) -> None:
        """Schedules a call `delay_ms` from now."""
        self._add(self.now_ms + max(0.0, delay_ms), call)

    def at(self, offset_ms: float, call: Callable[[], object]) -> None:
        """Schedules a call `offset_ms` after the start of the run."""
        self._add(START_MS + offset_ms, call)

    def run(self, until_ms: float) -> None:
        """Makes all calls that are due up to `until_ms` after the start of the run."""
        end_ms = START_MS + until_ms
        while self._queue and self._queue[0].due_ms <= end_ms:
            scheduled = heappop(self._queue)
            self.now_ms = scheduled.due_ms
            scheduled.call()
        self.now_ms = end_ms

    def _add(self, due_ms: float, call: Callable[[], object]) -> None:
        self._serial += 1
        heappush(self._queue, _ScheduledCall(due_ms, self._serial, call))
