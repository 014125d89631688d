"""Counters over all flows of a process, for the status and for measurements.

Every flow is counted without sampling, and no decision depends on a counter. Source:
docs/operators/bodies.md, "What you see".
"""

from __future__ import annotations


class FlowStatistics:
    """Counters that every flow updates.

    Attributes:
        open: Flows that have not ended.
        most_open: Maximum number of flows open at the same time.
        opened: Flows opened since the start.
        bytes: Bytes forwarded, in both directions.
        peak_bytes: Maximum number of bytes that one flow has buffered.
        over: Number of times that a flow buffered more than its ceiling.
    """

    __slots__ = ("bytes", "most_open", "open", "opened", "over", "peak_bytes")

    def __init__(self) -> None:
        """Creates counters that are all 0."""
        self.open = 0
        self.most_open = 0
        self.opened = 0
        self.bytes = 0
        self.peak_bytes = 0
        self.over = 0

    def count_opened(self) -> None:
        """Counts a flow that has just been opened."""
        self.open += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.open)

    def snapshot(self) -> dict[str, int]:
        """Returns the counters by their keys in the status ("bodies" on the operators' page)."""
        return {
            "bytes": self.bytes,
            "most_open": self.most_open,
            "open": self.open,
            "opened": self.opened,
            "over": self.over,
            "peak_bytes": self.peak_bytes,
        }
