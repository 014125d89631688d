"""What one flow has booked of the memory budget: what it buffers, or its reservation if that is more.

It buffers nothing itself, and knows neither source nor sink. Source: docs/design/bodies.md.

A flow begins with a reservation that was booked before it was opened. So a body that has begun never waits
for memory: whatever the budget says, it may buffer what is reserved. The reservation shrinks once the replay
buffer is released, and a request's flow leases a part of it to the body of its answer.
"""

from __future__ import annotations

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget

MIN_CREDIT_BYTES = 16 * 1024  # bytes of credit for a body that has begun, however short memory is


class FlowMemory:
    """The memory of one flow; see the head of the module."""

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
            budget: Where the memory is booked.
            statistics: Records the most that a flow buffered.
            ceiling_bytes: The most that this one should buffer.
            reserved_bytes: Booked already.
            leasable: Whether `MIN_CREDIT_BYTES` of these are for the body of the other direction.
        """
        self._budget = budget
        self._statistics = statistics
        self._ceiling_bytes = ceiling_bytes
        self._reserved_bytes = reserved_bytes
        self._accounted_bytes = reserved_bytes
        self._leasable_bytes = MIN_CREDIT_BYTES if leasable else 0

    @property
    def available_bytes(self) -> int:
        """Bytes that the flow may buffer: its reservation, or more where the budget has more."""
        return max(self._reserved_bytes, self._accounted_bytes + self._budget.free)

    def update(self, buffered_bytes: int) -> None:
        """Book what the flow buffers now, or its reservation if that is more."""
        statistics = self._statistics
        if buffered_bytes > statistics.peak_bytes:
            statistics.peak_bytes = buffered_bytes
        if buffered_bytes > self._ceiling_bytes:
            statistics.over += 1
        accounted_bytes = max(buffered_bytes, self._reserved_bytes)
        if accounted_bytes != self._accounted_bytes:
            accounted_before = self._accounted_bytes
            self._accounted_bytes = accounted_bytes
            self._budget.update_usage(accounted_before, accounted_bytes)

    def shrink_reservation(self) -> None:
        """Reserve only what a body needs that is not kept for another sink; booked with the next `update`."""
        self._reserved_bytes = min(self._reserved_bytes, MIN_CREDIT_BYTES + self._leasable_bytes)

    def lease(self) -> bool:
        """Hand `MIN_CREDIT_BYTES`, which stay booked, over to the body of the other direction.

        Returns:
            Whether they came out of the reservation, so that an `update` is due. They do only once: after
            that they are booked anew.
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
        """Book nothing any more: the flow is closed."""
        self._leasable_bytes = 0
        self._budget.update_usage(self._accounted_bytes, 0)
        self._accounted_bytes = 0
