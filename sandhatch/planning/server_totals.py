"""Totals of the attempts at one server, as a forwarder counts them.

Plain counters that only grow, apart from the attempts in flight. No I/O, no clock.
"""

from __future__ import annotations


class ServerTotals:
    """Totals of one server, since its first attempt.

    Attributes:
        outstanding: Attempts in flight.
        ok: Attempts that succeeded.
        failed: Attempts that failed.
        rejected: Attempts proven never to have been executed.
        spent_ms: Sum of the response times of the successful ones.
        sketch: Counts of these response times, by bucket; see `quantile_sketch`.
    """

    __slots__ = ("failed", "ok", "outstanding", "rejected", "sketch", "spent_ms")

    def __init__(self) -> None:
        """Start at zero."""
        self.outstanding = 0
        self.ok = 0
        self.failed = 0
        self.rejected = 0
        self.spent_ms = 0.0
        self.sketch: dict[int, int] = {}

    def copy(self) -> ServerTotals:
        """The totals as they are now."""
        other = ServerTotals()
        other.outstanding = self.outstanding
        other.ok = self.ok
        other.failed = self.failed
        other.rejected = self.rejected
        other.spent_ms = self.spent_ms
        other.sketch = dict(self.sketch)
        return other
