"""Counters over all flows (streamed bodies) of a process, for the status and for measurements.

Every flow is counted without sampling, and no decision depends on a counter. Source:
docs/operators/bodies.md, "What you see".
"""

from __future__ import annotations


class FlowStatistics:
    """Counters that every flow (streamed body) updates.

    Attributes:
        open: Flows that have not ended.
        max_open: Maximum number of flows open at the same time.
        opened: Flows opened since the start.
        bytes: Bytes forwarded, in both directions.
        peak_bytes: Maximum number of bytes that one flow has buffered.
        ceiling_exceeded_count: Number of times that a flow buffered more than its limit.
    """

    __slots__ = ("bytes", "ceiling_exceeded_count", "max_open", "open", "opened", "peak_bytes")

    def __init__(self) -> None:
        """Creates counters that are all 0."""
        self.open = 0
        self.max_open = 0
        self.opened = 0
        self.bytes = 0
        self.peak_bytes = 0
        self.ceiling_exceeded_count = 0

    def count_opened(self) -> None:
        """Counts a flow that has just been opened."""
        self.open += 1
        self.opened += 1
        self.max_open = max(self.max_open, self.open)

    def snapshot(self) -> dict[str, int]:
        """Returns the counters by their keys in the status ("bodies" on the operators' page)."""
        return {
            "bytes": self.bytes,
            "most_open": self.max_open,
            "open": self.open,
            "opened": self.opened,
            "over": self.ceiling_exceeded_count,
            "peak_bytes": self.peak_bytes,
        }
