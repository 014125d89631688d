"""Ids of requests that are in flight in any pool or have finished recently. No clock is read here.

Every request has a new id, so a duplicate that arrives just after the response must not run either, whichever
pool it would go to.
"""

from __future__ import annotations

from collections import deque

RETENTION_DEADLINES = 2.0  # retention of a finished request's id, as a multiple of the longest deadline


def retention_ms(longest_deadline_ms: float) -> float:
    """Returns how long ids of finished requests are retained, given the longest deadline of any request."""
    return RETENTION_DEADLINES * longest_deadline_ms


class InFlightIds:
    """The request ids of one process. `id in ids` tells whether a request with that id must be rejected.

    Attributes:
        in_flight: Ids of requests in flight.
        finished: Ids of finished requests, with the time at which each finished in Unix milliseconds.
        retention_ms: How long an id is retained after its request has finished.
    """

    MAX_FINISHED = 4096  # maximum number of ids of finished requests that are retained

    def __init__(self, retention_ms: float) -> None:
        """Creates an empty set of ids."""
        self.in_flight: set[bytes] = set()
        self.finished: dict[bytes, float] = {}
        # Finish times and ids of `finished`, oldest first. A dict alone would be slow: finding its first key
        # takes ever longer as its first keys are deleted.
        self._finished_queue: deque[tuple[float, bytes]] = deque()
        self.retention_ms = retention_ms

    def __contains__(self, request_id: bytes) -> bool:
        """Whether a request with this id is in flight or has finished recently."""
        return request_id in self.in_flight or request_id in self.finished

    def begin(self, request_id: bytes) -> None:
        """Records that a request with this id is in flight."""
        self.in_flight.add(request_id)

    def end(self, request_id: bytes, now_ms: float) -> None:
        """Records that the request has finished, and removes ids whose retention time has passed."""
        self.in_flight.discard(request_id)
        self.finished[request_id] = now_ms
        finished_queue = self._finished_queue
        finished_queue.append((now_ms, request_id))
        while finished_queue and (
            len(finished_queue) > self.MAX_FINISHED or finished_queue[0][0] <= now_ms - self.retention_ms
        ):
            ended_ms, oldest_id = finished_queue.popleft()
            if self.finished.get(oldest_id) == ended_ms:  # otherwise the id was used again and finished later
                del self.finished[oldest_id]
