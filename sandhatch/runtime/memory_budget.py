"""The memory that all connections share: bodies, heads and answers are booked here while they are held."""

from __future__ import annotations

from collections.abc import Callable


class MemoryBudget:
    """Bytes that connections may hold together. Guards the process's memory limit, which bounds for each
    connection alone would not: there are hundreds of them.
    """

    SHARE = 0.25  # of the memory limit; the rest is the program, its tables, and what the system keeps aside

    def __init__(self, memory_mb: float) -> None:
        self.used = 0
        self._queue: dict[MemoryWaiter, None] = {}  # who waits, the first to come first
        self._serving = False
        self.set_limit(memory_mb)

    def set_limit(self, memory_mb: float) -> None:
        """What is held over a lower limit stays; no more is let in until it fits."""
        self.most = int(memory_mb * 1024 * 1024 * self.SHARE)
        self._serve()

    @property
    def free(self) -> int:
        """Bytes that may still be held; 0 while someone waits for some."""
        return 0 if self._queue else max(0, self.most - self.used)

    def book(self, before: int, now: int) -> bool:
        """One holder's change, booked in any case; whether it may hold that much more."""
        self.used += now - before
        if now < before and self._queue:
            self._serve()
        return now <= before or self.used <= self.most

    def reserve(self, size: int, granted: Callable[[], None]) -> MemoryWaiter | None:
        """Book so many bytes if they are free and nobody waits; None then, and `granted` is not called. Else
        a place in the queue: `granted` is called once they are booked, in the order of coming.
        """
        if not self._queue and self.used + size <= self.most:
            self.used += size
            return None
        place = MemoryWaiter(self, size, granted)
        self._queue[place] = None
        return place

    def leave(self, place: MemoryWaiter) -> None:
        """Wait no longer; nothing happens to one that has been served."""
        if self._queue.pop(place, 0) is None:
            self._serve()

    def _serve(self) -> None:
        if self._serving:
            return
        self._serving = True
        try:
            while self._queue:
                place = next(iter(self._queue))
                if self.used + place.size > self.most:
                    break
                del self._queue[place]
                self.used += place.size
                place.granted()
        finally:
            self._serving = False


class MemoryWaiter:
    """One who waits for room."""

    __slots__ = ("_memory_budget", "granted", "size")

    def __init__(self, memory_budget: MemoryBudget, size: int, granted: Callable[[], None]) -> None:
        self._memory_budget = memory_budget
        self.size = size
        self.granted = granted

    def leave(self) -> None:
        self._memory_budget.leave(self)
