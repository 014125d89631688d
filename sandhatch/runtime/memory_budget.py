"""The memory budget that all connections share, for buffered bodies, heads and responses.

The budget allocates no memory: it counts bytes, and queues reservations until bytes are free.
"""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MB = 1024 * 1024

# Part of a process's memory limit that buffers may use; the rest is for the program, its tables and system
# reserves.
MEMORY_LIMIT_FRACTION = 0.25
# Part of the memory beside the program that buffers may use; the rest is for connections and tables.
FREE_MEMORY_FRACTION = 0.5


def buffer_memory_mb(memory_mb: float, program_mb: float) -> float:
    """Returns the memory for buffers in MiB; not above 0 if the program alone exceeds the process's limit.

    Args:
        memory_mb: Memory limit of the process.
        program_mb: Memory that the program occupies without any request.
    """
    return min(MEMORY_LIMIT_FRACTION * memory_mb, FREE_MEMORY_FRACTION * (memory_mb - program_mb))


class MemoryBudget:
    """Limits the bytes that all connections together may buffer.

    Helps to keep the process below its memory limit. A limit for each connection alone would not, as there
    are hundreds of connections.

    Attributes:
        used_bytes: Bytes that are counted at present; may exceed `limit_bytes`, see `update_usage`.
        limit_bytes: Maximum number of bytes that may be reserved.
    """

    MIN_LIMIT_MB = 1.0  # some requests fit even if the program alone exceeds the process's limit

    def __init__(self, memory_mb: float) -> None:
        """Creates an empty budget; `memory_mb` is the memory limit of the process."""
        self.used_bytes = 0
        self._waiters: dict[MemoryWaiter, None] = {}  # ordered set: the longest waiting is granted first
        self._is_granting = False
        self.set_limit(memory_mb)

    def set_limit(self, memory_mb: float, program_mb: float = 0.0) -> None:
        """Changes the process's memory limit.

        Bytes that exceed a lowered limit stay counted; no reservation is granted until it fits the new limit.

        Args:
            memory_mb: Memory limit of the process.
            program_mb: Memory that the program occupies without any request.
        """
        min_mb = min(self.MIN_LIMIT_MB, MEMORY_LIMIT_FRACTION * memory_mb)
        self.limit_bytes = int(BYTES_PER_MB * max(min_mb, buffer_memory_mb(memory_mb, program_mb)))
        self._grant_waiters()

    @property
    def free_bytes(self) -> int:
        """Bytes that may still be reserved; 0 while other reservations wait."""
        return 0 if self._waiters else max(0, self.limit_bytes - self.used_bytes)

    def update_usage(self, old_bytes: int, new_bytes: int) -> bool:
        """Counts a change in the bytes that one holder, such as a body or a connection, buffers.

        The change is counted in any case, because the bytes are in memory already. Bytes that become free are
        granted to waiters.

        Args:
            old_bytes: Bytes that have been counted for the holder so far.
            new_bytes: Bytes that the holder buffers from now on.

        Returns:
            Whether the holder may buffer that much; False if its use has grown and the budget is exceeded.
        """
        self.used_bytes += new_bytes - old_bytes
        if new_bytes < old_bytes and self._waiters:
            self._grant_waiters()
        return new_bytes <= old_bytes or self.used_bytes <= self.limit_bytes

    def reserve(self, size: int, on_granted: Callable[[], None]) -> MemoryWaiter | None:
        """Reserves `size` bytes before they are buffered, at once or as soon as they are free.

        Args:
            size: Number of bytes.
            on_granted: Callback for a reservation that has to wait, called once the bytes are reserved.
                Waiters are served strictly in order: a small reservation does not overtake a large one.

        Returns:
            None if the bytes were free and are reserved now; `on_granted` is not called then. Otherwise a
            waiter that can be cancelled.
        """
        if not self._waiters and self.used_bytes + size <= self.limit_bytes:
            self.used_bytes += size
            return None
        waiter = MemoryWaiter(self, size, on_granted)
        self._waiters[waiter] = None
        return waiter

    def remove_waiter(self, waiter: MemoryWaiter) -> None:
        """Removes a waiter; has no effect if its bytes have been granted."""
        if self._waiters.pop(waiter, 0) is None:
            self._grant_waiters()

    def _grant_waiters(self) -> None:
        if self._is_granting:  # called from an `on_granted` callback; the loop below uses the freed bytes
            return
        self._is_granting = True
        try:
            while self._waiters:
                waiter = next(iter(self._waiters))
                if self.used_bytes + waiter.size > self.limit_bytes:
                    break
                del self._waiters[waiter]
                self.used_bytes += waiter.size
                waiter.on_granted()
        finally:
            self._is_granting = False


class MemoryWaiter:
    """A reservation of bytes that has not been granted yet.

    Attributes:
        size: Number of bytes.
        on_granted: Callback for when the bytes are reserved.
    """

    __slots__ = ("_memory_budget", "on_granted", "size")

    def __init__(self, memory_budget: MemoryBudget, size: int, on_granted: Callable[[], None]) -> None:
        """Creates a waiter; called by `MemoryBudget.reserve` alone."""
        self._memory_budget = memory_budget
        self.size = size
        self.on_granted = on_granted

    def cancel(self) -> None:
        """Cancels the reservation; has no effect if the bytes have been granted."""
        self._memory_budget.remove_waiter(self)
