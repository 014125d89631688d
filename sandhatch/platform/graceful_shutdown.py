"""The end of a process: accept while connections still come, serve what was taken, and end as soon as
nothing is owed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from sandhatch.downstream.listener import Listener
from sandhatch.runtime.clock import Clock

ACCEPT_MS = 550.0  # new connections go on coming for up to 400 ms after SIGTERM
LAST_MS = 100.0  # past the longest deadline, for the last answers to be read
STEP_S = 0.01
# SIGKILL comes no sooner than the longest deadline, counted as LONGEST_MS where it is longer, and LATE_MS
# more after SIGTERM; it is excused for requests that came before LATE_MS. Source: the protocol's figures.
LATE_MS = 700.0
LONGEST_MS = 3_000.0


class LastCall:
    """How long a request may take that comes while the process ends."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late_ms = self._last_ms = math.inf

    def begin(self, longest_ms: float) -> None:
        """SIGTERM has come."""
        self._late_ms = self._clock.now_ms() + LATE_MS
        self._last_ms = self._late_ms + min(longest_ms, LONGEST_MS) - LAST_MS

    def left(self, left_ms: float) -> float:
        """Of the time that a request comes with: one that comes late is answered before SIGKILL may come."""
        now = self._clock.now_ms()
        return left_ms if now < self._late_ms else max(0.0, min(left_ms, self._last_ms - now))


async def drain(
    clock: Clock, listeners: Sequence[Listener], unanswered: Callable[[], object], longest_ms: float
) -> None:
    """`unanswered`: whether requests still wait for their end; `longest_ms`: the longest deadline of any."""
    last = clock.now_ms() + ACCEPT_MS + LAST_MS + longest_ms
    for listener in listeners:
        listener.closing = True
    await asyncio.sleep(ACCEPT_MS / 1000.0)
    for listener in listeners:
        listener.stop_accepting()
    while clock.now_ms() < last:
        for listener in listeners:
            # What it leaves open is owed something: a request that the system holds unread counts as taken.
            listener.end_idle()
        if not unanswered() and not any(listener.taking for listener in listeners):
            break
        await asyncio.sleep(STEP_S)
