"""Counts over all flows of a process, for the status and for measurements.

Every flow is counted: nothing is sampled, and no decision is based on a count. Source:
docs/operators/bodies.md, "What you see".
"""

from __future__ import annotations


class FlowStatistics:
    """Counters that every flow updates.

    Attributes:
        open: Flows that have not ended.
        most_open: The most that were open at a time.
        opened: Flows since the start.
        bytes: Bytes forwarded, in both directions.
        peak_bytes: The most bytes that one flow buffered.
        over: How often a flow buffered more than its ceiling.
    """

    __slots__ = ("bytes", "most_open", "open", "opened", "over", "peak_bytes")

    def __init__(self) -> None:
        """All counts are 0."""
        self.open = 0
        self.most_open = 0
        self.opened = 0
        self.bytes = 0
        self.peak_bytes = 0
        self.over = 0

    def count_opened(self) -> None:
        """Count a flow that is opened now."""
        self.open += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.open)

    def snapshot(self) -> dict[str, int]:
        """The counts by the keys that they have in the status ("bodies" on the operators' page)."""
        return {
            "bytes": self.bytes,
            "most_open": self.most_open,
            "open": self.open,
            "opened": self.opened,
            "over": self.over,
            "peak_bytes": self.peak_bytes,
        }
