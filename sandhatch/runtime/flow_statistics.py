"""Counts over all flows of a process, for status and measurements."""

from __future__ import annotations


class FlowStatistics:
    """The account of all flows of a process: nothing is sampled, each change is entered."""

    __slots__ = ("bytes", "most_open", "open", "opened", "over", "peak_bytes")

    def __init__(self) -> None:
        self.open = 0
        self.most_open = 0
        self.opened = 0
        self.bytes = 0  # passed on, in both directions
        self.peak_bytes = 0  # the most that one flow held
        self.over = 0  # times that a flow held more than its ceiling

    def told(self) -> dict[str, int]:
        """For status and measurements."""
        return {name: getattr(self, name) for name in self.__slots__}
