"""Graceful shutdown: accept while connections still arrive, respond to every received request, then end.

The shutdown ends as soon as accepting has ended and no request is pending. Source: the platform's pages
PROTOCOL and DEPLOY, for the times around SIGTERM and SIGKILL.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from sandhatch.downstream.listener import Listener
from sandhatch.runtime.clock import Clock

ACCEPT_MS = 550.0  # new connections continue to arrive for up to 400 ms after SIGTERM
RESPONSE_READ_MS = 100.0  # time for clients to read the last responses, after the longest request deadline
POLL_INTERVAL_S = 0.01
# The platform sends SIGKILL no earlier than min(longest deadline, MAX_COUNTED_DEADLINE_MS) + LATE_ARRIVAL_MS
# after SIGTERM. Requests that arrive later than LATE_ARRIVAL_MS must get their responses before SIGKILL too.
LATE_ARRIVAL_MS = 700.0
MAX_COUNTED_DEADLINE_MS = 3_000.0


class ShutdownDeadline:
    """Limits the time left of requests that arrive late in a shutdown, so that responses precede SIGKILL."""

    def __init__(self, clock: Clock) -> None:
        """Sets no limit on requests until `begin` is called."""
        self._clock = clock
        self._late_arrival_from_ms = math.inf  # Unix milliseconds; requests from then on are late
        self._respond_by_ms = math.inf  # Unix milliseconds; time by which late requests need responses

    def begin(self, longest_deadline_ms: float) -> None:
        """Starts the limit on late requests; called when SIGTERM is received.

        Args:
            longest_deadline_ms: Longest deadline of any request class.
        """
        self._late_arrival_from_ms = self._clock.now_ms() + LATE_ARRIVAL_MS
        counted_deadline_ms = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS)
        self._respond_by_ms = self._late_arrival_from_ms + counted_deadline_ms - RESPONSE_READ_MS

    def limit(self, time_left_ms: float) -> float:
        """Returns the time that a request arriving now may take, at most `time_left_ms`, which it states."""
        now_ms = self._clock.now_ms()
        if now_ms < self._late_arrival_from_ms:
            return time_left_ms
        return max(0.0, min(time_left_ms, self._respond_by_ms - now_ms))


async def drain(
    clock: Clock,
    listeners: Sequence[Listener],
    has_pending_requests: Callable[[], object],
    longest_deadline_ms: float,
) -> None:
    """Shuts down the listeners; returns once they accept no more and no request is pending.

    Returns at the latest when `ACCEPT_MS`, `RESPONSE_READ_MS` and the longest deadline together have passed.

    Args:
        clock: The process's clock.
        listeners: Listeners that accept connections for another `ACCEPT_MS`; every response from now on is
            the last of its connection.
        has_pending_requests: Tells whether any request still lacks its response.
        longest_deadline_ms: Longest time that any request may take.
    """
    drain_until_ms = clock.now_ms() + ACCEPT_MS + RESPONSE_READ_MS + longest_deadline_ms
    for listener in listeners:
        listener.closing = True
    await asyncio.sleep(ACCEPT_MS / 1000.0)
    for listener in listeners:
        listener.stop_accepting()
    while clock.now_ms() < drain_until_ms:
        for listener in listeners:
            # A connection that stays open has a pending request. A request that is still unread in the
            # kernel's receive buffer counts as received.
            listener.close_idle()
        if not has_pending_requests() and not any(listener.unfinished_count for listener in listeners):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
