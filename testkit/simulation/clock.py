"""Simulated time: a queue of calls, each made when its time has come.

It never reads a clock and never waits. Source: the usual discrete event simulation, a heap of times.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

START_MS = 1_000_000.0  # where a run begins; not 0, which means "long ago" as a server's start


class _ScheduledCall(NamedTuple):
    """A call, ordered by the time at which it is due and then by its serial."""

    due_ms: float
    serial: int
    call: Callable[[], object]


class SimulatedClock:
    """The run's time. Calls that are due at the same time are made in the order in which they were added."""

    def __init__(self) -> None:
        """Creates a clock that stands at the run's start."""
        self.now_ms = START_MS
        self._queue: list[_ScheduledCall] = []
        self._serial = 0

    def after(self, delay_ms: float, call: Callable[[], object]) -> None:
        """Makes the call when `delay_ms` have passed."""
        self._add(self.now_ms + max(0.0, delay_ms), call)

    def at(self, offset_ms: float, call: Callable[[], object]) -> None:
        """Makes the call `offset_ms` after the run's start."""
        self._add(START_MS + offset_ms, call)

    def run(self, until_ms: float) -> None:
        """Makes all calls that are due up to `until_ms` after the run's start."""
        end_ms = START_MS + until_ms
        while self._queue and self._queue[0].due_ms <= end_ms:
            scheduled = heappop(self._queue)
            self.now_ms = scheduled.due_ms
            scheduled.call()
        self.now_ms = end_ms

    def _add(self, due_ms: float, call: Callable[[], object]) -> None:
        self._serial += 1
        heappush(self._queue, _ScheduledCall(due_ms, self._serial, call))
