"""Graceful shutdown: accept while connections still arrive, answer what was received, then end.

It ends as soon as no request is unanswered. Source: the platform's pages PROTOCOL and DEPLOY, for the times
around SIGTERM and SIGKILL.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from sandhatch.downstream.listener import Listener
from sandhatch.runtime.clock import Clock

ACCEPT_MS = 550.0  # new connections go on arriving for up to 400 ms after SIGTERM
RESPONSE_READ_MS = 100.0  # after the longest deadline, for the last answers to be read
POLL_INTERVAL_S = 0.01
# SIGKILL follows SIGTERM no sooner than the longest deadline, at most MAX_COUNTED_DEADLINE_MS of it, and
# LATE_ARRIVAL_MS more. Requests that arrive after LATE_ARRIVAL_MS are not excused by it.
LATE_ARRIVAL_MS = 700.0
MAX_COUNTED_DEADLINE_MS = 3_000.0


class ShutdownDeadline:
    """Limits the time left of requests that arrive late in a shutdown, so that they are answered in time."""

    def __init__(self, clock: Clock) -> None:
        """No limit until `begin`."""
        self._clock = clock
        self._late_from_ms = math.inf  # Unix milliseconds
        self._responded_by_ms = math.inf  # Unix milliseconds

    def begin(self, longest_deadline_ms: float) -> None:
        """SIGTERM has been received.

        Args:
            longest_deadline_ms: The longest deadline of any request class.
        """
        self._late_from_ms = self._clock.now_ms() + LATE_ARRIVAL_MS
        counted_deadline_ms = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS)
        self._responded_by_ms = self._late_from_ms + counted_deadline_ms - RESPONSE_READ_MS

    def limit(self, time_left_ms: float) -> float:
        """The time that a request which arrives now may take, out of the time left that it states."""
        now_ms = self._clock.now_ms()
        if now_ms < self._late_from_ms:
            return time_left_ms
        return max(0.0, min(time_left_ms, self._responded_by_ms - now_ms))


async def drain(
    clock: Clock,
    listeners: Sequence[Listener],
    has_pending_requests: Callable[[], object],
    longest_deadline_ms: float,
) -> None:
    """Shut down the listeners; returns once everything is answered, or the longest deadline has passed.

    Args:
        clock: The process's clock.
        listeners: They accept for `ACCEPT_MS` more; every answer is the last of its connection.
        has_pending_requests: Whether requests are unanswered.
        longest_deadline_ms: The longest that any request may take.
    """
    give_up_at_ms = clock.now_ms() + ACCEPT_MS + RESPONSE_READ_MS + longest_deadline_ms
    for listener in listeners:
        listener.closing = True
    await asyncio.sleep(ACCEPT_MS / 1000.0)
    for listener in listeners:
        listener.stop_accepting()
    while clock.now_ms() < give_up_at_ms:
        for listener in listeners:
            # A connection that this leaves open has an unanswered request; one that is unread in the system's
            # buffers counts as received.
            listener.close_idle()
        if not has_pending_requests() and not any(listener.open_count for listener in listeners):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
