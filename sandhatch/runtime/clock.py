"""The process's clock and timers: one clock for all components, so that their times are comparable.

The clock is monotonic and reads nothing but the system's clocks.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import ceil

MIN_COMPACT_SIZE = 1024  # number of timers up to which the heap is not searched for cancelled timers


class Timer:
    """A function call scheduled for a time.

    Attributes:
        due_ms: Time at which the call is due, in Unix milliseconds.
        call: Function to call; None once it has been called or the timer has been cancelled.
    """

    __slots__ = ("call", "due_ms")

    def __init__(self, due_ms: float, call: Callable[[], None]) -> None:
        """Creates a timer that has not fired."""
        self.due_ms = due_ms
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancels the call; has no effect once the timer has fired."""
        self.call = None


class Clock:
    """Time in Unix milliseconds, read once from the system and advanced by the monotonic clock.

    A step of the system's time does not affect it. Timers fire at or after their due time, never before, in
    the order of their due times.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Reads the system's time; the timers' functions are called on `loop`."""
        self._loop = loop
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0
        self._heap: list[tuple[float, int, Timer]] = []  # due time, serial number that breaks ties, timer
        self._serial = 0
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_ms = 0.0
        self._compact_at = MIN_COMPACT_SIZE

    def now_ms(self) -> float:
        """Returns the current time in Unix milliseconds."""
        return self._offset_ms + time.monotonic() * 1000.0

    def call_after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Schedules one call, `delay_ms` from now."""
        timer = Timer(self.now_ms() + delay_ms, call)
        self._serial += 1
        heappush(self._heap, (timer.due_ms, self._serial, timer))
        if len(self._heap) > self._compact_at:
            self._compact()
        self._schedule_wakeup()
        return timer

    def _compact(self) -> None:
        """Removes cancelled timers, which would otherwise accumulate in the heap."""
        self._heap = [entry for entry in self._heap if entry[2].call is not None]
        heapify(self._heap)
        self._compact_at = max(MIN_COMPACT_SIZE, 2 * len(self._heap))

    def _schedule_wakeup(self) -> None:
        if not self._heap:
            return
        due_ms = self._heap[0][0]
        if self._wakeup is not None:
            if self._wakeup_ms <= due_ms:
                return
            self._wakeup.cancel()
        self._wakeup_ms = due_ms
        # The delay is rounded up to whole milliseconds, because the event loop's timers have a resolution of
        # 1 ms.
        delay_s = max(0, ceil(due_ms - self.now_ms())) / 1000.0
        self._wakeup = self._loop.call_later(delay_s, self._fire_due)

    def _fire_due(self) -> None:
        self._wakeup = None
        try:
            while self._heap and self._heap[0][0] <= self.now_ms():
                timer = heappop(self._heap)[2]
                call = timer.call
                timer.call = None
                if call is not None:
                    call()
        finally:
            self._schedule_wakeup()
