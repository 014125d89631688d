"""The memory budget that all connections share: buffered bodies, heads and answers are counted here.

It allocates nothing and does no I/O: it counts bytes and queues those who wait for some.
"""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MB = 1024 * 1024


class MemoryBudget:
    """Bytes that connections may buffer together.

    Guards the process's memory limit, which a bound for each connection alone would not: there are hundreds
    of them.

    Attributes:
        used_bytes: Bytes that are counted now; may exceed `limit_bytes`, see `update_usage`.
        limit_bytes: Bytes that may be reserved.
    """

    SHARE = 0.25  # of the memory limit; the rest is for the program, its tables, and the system's reserves

    def __init__(self, memory_mb: float) -> None:
        """An empty budget; `memory_mb` is the memory limit of the process."""
        self.used_bytes = 0
        self._waiters: dict[MemoryWaiter, None] = {}  # in the order of their requests
        self._granting = False
        self.set_limit(memory_mb)

    def set_limit(self, memory_mb: float) -> None:
        """Change the process's memory limit.

        Bytes counted over a lower limit stay; nothing more is granted until it fits.
        """
        self.limit_bytes = int(memory_mb * BYTES_PER_MB * self.SHARE)
        self._grant_waiters()

    @property
    def free(self) -> int:
        """Bytes that may still be used; 0 while there are waiters."""
        return 0 if self._waiters else max(0, self.limit_bytes - self.used_bytes)

    def update_usage(self, before: int, now: int) -> bool:
        """Count a change in the bytes that one holder buffers.

        The change is counted in any case, because the bytes are in memory already. Bytes that become free are
        granted to waiters.

        Args:
            before: The holder's bytes that are counted so far.
            now: Its bytes from now on.

        Returns:
            Whether the holder may keep that much; False if it has grown and the budget is exceeded.
        """
        self.used_bytes += now - before
        if now < before and self._waiters:
            self._grant_waiters()
        return now <= before or self.used_bytes <= self.limit_bytes

    def reserve(self, size: int, granted: Callable[[], None]) -> MemoryWaiter | None:
        """Count `size` bytes before they are buffered, now or as soon as they are free.

        Args:
            size: Bytes.
            granted: Called once they are counted, if they are not at once. Waiters are granted strictly in
                the order of their requests: a small one does not overtake a large one.

        Returns:
            None if the bytes were free and are counted now; `granted` is not called then. Otherwise a waiter,
            which can leave.
        """
        if not self._waiters and self.used_bytes + size <= self.limit_bytes:
            self.used_bytes += size
            return None
        waiter = MemoryWaiter(self, size, granted)
        self._waiters[waiter] = None
        return waiter

    def remove_waiter(self, waiter: MemoryWaiter) -> None:
        """Stop waiting; nothing happens if the waiter's bytes have been granted."""
        if self._waiters.pop(waiter, 0) is None:
            self._grant_waiters()

    def _grant_waiters(self) -> None:
        if self._granting:  # a `granted` call that frees bytes: the loop below goes on with them
            return
        self._granting = True
        try:
            while self._waiters:
                waiter = next(iter(self._waiters))
                if self.used_bytes + waiter.size > self.limit_bytes:
                    break
                del self._waiters[waiter]
                self.used_bytes += waiter.size
                waiter.granted()
        finally:
            self._granting = False


class MemoryWaiter:
    """A request for bytes that has not been granted.

    Attributes:
        size: Bytes.
        granted: Called once they are counted.
    """

    __slots__ = ("_memory_budget", "granted", "size")

    def __init__(self, memory_budget: MemoryBudget, size: int, granted: Callable[[], None]) -> None:
        """Made by `MemoryBudget.reserve` alone."""
        self._memory_budget = memory_budget
        self.size = size
        self.granted = granted

    def cancel(self) -> None:
        """Stop waiting; nothing happens if the bytes have been granted."""
        self._memory_budget.remove_waiter(self)
