"""Counters of a forwarder's attempts at one server.

All counters are monotonic except the number of attempts in flight. No I/O, no clock.
"""

from __future__ import annotations


class ServerTotals:
    """Counters of one server since its first attempt.

    Attributes:
        outstanding: Attempts in flight.
        ok: Attempts that succeeded.
        failed: Attempts that failed.
        rejected: Attempts proven never to have been executed.
        spent_ms: Sum of the response times of the successful attempts.
        sketch: Number of response times of successful attempts, by bucket; see `quantile_sketch`.
    """

    __slots__ = ("failed", "ok", "outstanding", "rejected", "sketch", "spent_ms")

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.outstanding = 0
        self.ok = 0
        self.failed = 0
        self.rejected = 0
        self.spent_ms = 0.0
        self.sketch: dict[int, int] = {}

    def copy(self) -> ServerTotals:
        """Copy of the current counters."""
        duplicate = ServerTotals()
        duplicate.outstanding = self.outstanding
        duplicate.ok = self.ok
        duplicate.failed = self.failed
        duplicate.rejected = self.rejected
        duplicate.spent_ms = self.spent_ms
        duplicate.sketch = dict(self.sketch)
        return duplicate
