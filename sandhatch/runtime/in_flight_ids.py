"""Ids of requests that are in flight in any pool, or that may have run on a server recently.

Every request has a new id, so a duplicate that arrives just after the response must not run either, whichever
pool it would go to. No clock is read here.
"""

from __future__ import annotations

from sandhatch.runtime.retained_ids import RetainedIds

RETENTION_DEADLINES = 2.0  # retention of a finished request's id, as a multiple of the longest deadline


def retention_ms(longest_deadline_ms: float) -> float:
    """Return how long ids of finished requests are retained, given the longest deadline of any request."""
    return RETENTION_DEADLINES * longest_deadline_ms


class InFlightIds:
    """The request ids of one process. `id in ids` tells whether a request with that id must be rejected.

    Attributes:
        in_flight: Ids of requests in flight.
        retained: Ids of finished requests that may have run on a server.
    """

    def __init__(self, retention_ms: float, memory_mb: float) -> None:
        """Create an empty set of ids.

        Args:
            retention_ms: How long the id of a request is retained after the request has finished.
            memory_mb: Memory limit of the process.
        """
        self.in_flight: set[bytes] = set()
        self.retained = RetainedIds(retention_ms, memory_mb)

    def __contains__(self, request_id: bytes) -> bool:
        """Whether a request with this id is in flight or may have run recently."""
        return request_id in self.in_flight or request_id in self.retained

    def begin(self, request_id: bytes) -> None:
        """Record that a request with this id is in flight."""
        self.in_flight.add(request_id)

    def end(self, request_id: bytes, now_ms: float, may_have_run: bool) -> None:
        """Record that the request has finished.

        Only a request that may have run has to be protected from a duplicate. The id of another one is not
        retained, so that rejected requests, of which there may be very many, take no memory.

        Args:
            request_id: Id of the request.
            now_ms: Present time in Unix milliseconds.
            may_have_run: Whether the request may have run on a server.
        """
        self.in_flight.discard(request_id)
        if may_have_run:
            self.retained.add(request_id, now_ms)
