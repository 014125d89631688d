"""Memory accounting of one flow: the buffered bytes or the reservation, whichever is larger.

No data is buffered here, and source and sink are unknown here. Source: docs/design/bodies.md.

A flow starts with a reservation that was made before the flow was opened. A body that has begun therefore
never waits for memory: it may buffer up to its reservation even if the budget is exhausted. The reservation
shrinks when the replay buffer is released, and the flow of a request leases a part of it to the flow of the
response.
"""

from __future__ import annotations

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget

MIN_CREDIT_BYTES = 16 * 1024  # a body that has begun may always buffer this much, even if no memory is free


class FlowMemory:
    """Memory accounting of one flow; see the module docstring."""

    __slots__ = (
        "_accounted_bytes",
        "_budget",
        "_ceiling_bytes",
        "_leasable_bytes",
        "_reserved_bytes",
        "_statistics",
    )

    def __init__(
        self,
        budget: MemoryBudget,
        statistics: FlowStatistics,
        ceiling_bytes: int,
        reserved_bytes: int,
        leasable: bool,
    ) -> None:
        """Take over a reservation.

        Args:
            budget: Memory budget in which the bytes of the flow are counted.
            statistics: Flow statistics, which record peak usage and exceeded ceilings.
            ceiling_bytes: Maximum number of bytes that this flow should buffer.
            reserved_bytes: Bytes that are already reserved in the budget.
            leasable: Whether `MIN_CREDIT_BYTES` of the reservation may be leased to the flow of the response.
        """
        self._budget = budget
        self._statistics = statistics
        self._ceiling_bytes = ceiling_bytes
        self._reserved_bytes = reserved_bytes
        self._accounted_bytes = reserved_bytes
        self._leasable_bytes = MIN_CREDIT_BYTES if leasable else 0

    @property
    def available_bytes(self) -> int:
        """Bytes that the flow may buffer: its reservation, or more if the budget has free memory."""
        return max(self._reserved_bytes, self._accounted_bytes + self._budget.free_bytes)

    def update(self, buffered_bytes: int) -> None:
        """Account for the bytes that the flow buffers now, or for its reservation if that is larger."""
        statistics = self._statistics
        if buffered_bytes > statistics.peak_bytes:
            statistics.peak_bytes = buffered_bytes
        if buffered_bytes > self._ceiling_bytes:
            statistics.ceiling_exceeded_count += 1
        accounted_bytes = max(buffered_bytes, self._reserved_bytes)
        if accounted_bytes != self._accounted_bytes:
            accounted_before = self._accounted_bytes
            self._accounted_bytes = accounted_bytes
            self._budget.update_usage(accounted_before, accounted_bytes)

    def shrink_reservation(self) -> None:
        """Reduce the reservation to what a body without a replay buffer needs.

        The budget is adjusted by the next `update`.
        """
        self._reserved_bytes = min(self._reserved_bytes, MIN_CREDIT_BYTES + self._leasable_bytes)

    def lease(self) -> bool:
        """Lease `MIN_CREDIT_BYTES` to the flow of the response; the bytes remain counted in the budget.

        Returns:
            Whether the bytes were taken from the reservation, so that an `update` is due. This is the case
            for the first lease only; the bytes of a later lease are added to the budget.
        """
        leased_bytes = self._leasable_bytes
        if not leased_bytes:
            self._budget.update_usage(0, MIN_CREDIT_BYTES)
            return False
        self._leasable_bytes = 0
        self._reserved_bytes = max(0, self._reserved_bytes - leased_bytes)
        self._accounted_bytes -= leased_bytes
        return True

    def release(self) -> None:
        """Return all bytes to the budget because the flow is closed."""
        self._leasable_bytes = 0
        self._budget.update_usage(self._accounted_bytes, 0)
        self._accounted_bytes = 0
