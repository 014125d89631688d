"""Ids of requests that are in flight in any pool, or have finished lately. It reads no clock.

A request's id is new with every request, so a duplicate that arrives just after the answer must not run
either, whichever pool it would go to.
"""

from __future__ import annotations

from collections import deque

RETENTION_DEADLINES = 2.0  # how long a finished request's id is remembered, in longest deadlines


def retention_ms(longest_deadline_ms: float) -> float:
    """How long ids are remembered where no request's deadline is longer than this."""
    return RETENTION_DEADLINES * longest_deadline_ms


class InFlightIds:
    """The ids of one process. `id in ids` says whether a request with it must be rejected.

    Attributes:
        open: Ids in flight.
        finished: Ids of finished requests, and when each finished, in Unix milliseconds.
        retention_ms: How long an id is remembered after its request has finished.
    """

    MAX_FINISHED = 4096  # ids of finished requests

    def __init__(self, retention_ms: float) -> None:
        """No ids yet."""
        self.open: set[bytes] = set()
        self.finished: dict[bytes, float] = {}
        # The same, oldest first: a dict that loses its first keys finds its first key ever more slowly.
        self._oldest_first: deque[tuple[float, bytes]] = deque()
        self.retention_ms = retention_ms

    def __contains__(self, trace: bytes) -> bool:
        """Whether a request with this id is in flight or has finished lately."""
        return trace in self.open or trace in self.finished

    def begin(self, trace: bytes) -> None:
        """A request with this id is in flight."""
        self.open.add(trace)

    def end(self, trace: bytes, now_ms: float) -> None:
        """The request has finished; ids that finished too long ago are forgotten."""
        self.open.discard(trace)
        self.finished[trace] = now_ms
        oldest_first = self._oldest_first
        oldest_first.append((now_ms, trace))
        while oldest_first and (
            len(oldest_first) > self.MAX_FINISHED or oldest_first[0][0] <= now_ms - self.retention_ms
        ):
            ended_ms, oldest = oldest_first.popleft()
            if self.finished.get(oldest) == ended_ms:  # else it has been in flight again since
                del self.finished[oldest]
