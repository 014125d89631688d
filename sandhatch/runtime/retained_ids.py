"""Ids of finished requests, each retained for a limited time in little memory. No clock is read here.

The ids are stored as 64-bit hashes in generations: the newest generation is a set, older ones are sorted
arrays of eight bytes an id. A generation is forgotten as a whole, once its newest id has been retained for
long enough. An id is never forgotten earlier: the caller accepts no further requests while the store is full.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

from sandhatch.runtime.memory_budget import BYTES_PER_MB, buffer_memory_mb

HASH_TYPE = "q"  # type code of a signed 64-bit integer, the result of `hash`


@dataclass(slots=True, frozen=True)
class Generation:
    """Ids that were added within the same span of time.

    Attributes:
        newest_ms: Time in Unix milliseconds at which the newest id was added.
        hashes: Sorted hashes of the ids.
    """

    newest_ms: float
    hashes: array[int]


class RetainedIds:
    """A set of ids that forgets each id at least `retention_ms` after it was added, and soon after that.

    Two different ids have the same hash with a probability of 2**-64; then one is taken for the other.

    Attributes:
        retention_ms: Minimum time in milliseconds for which an id is retained; the maximum is longer by the
            span of a generation.
        max_count: Maximum number of ids.
    """

    GENERATIONS = 4  # a generation spans this part of the retention time, and holds this part of all ids
    BUFFER_MEMORY_FRACTION = 0.5  # memory that the ids may occupy, as a part of that for buffers
    BYTES_PER_ID = 40  # mean over the newest generation, a set, and the older ones
    MIN_COUNT = 1024

    def __init__(self, retention_ms: float, memory_mb: float) -> None:
        """Create an empty set; `memory_mb` is the memory limit of the process."""
        self.retention_ms = retention_ms
        self._newest: set[int] = set()  # hashes of the ids of the newest generation
        self._newest_began_ms = -math.inf
        self._newest_ms = -math.inf  # time at which the last id was added
        self._older: deque[Generation] = deque()
        self._older_count = 0
        self.set_memory_limit(memory_mb)

    def set_memory_limit(self, memory_mb: float, program_mb: float = 0.0) -> None:
        """Change the process's memory limit; ids beyond a lowered limit stay until their time is over.

        Args:
            memory_mb: Memory limit of the process.
            program_mb: Memory that the program occupies without any request.
        """
        limit_mb = self.BUFFER_MEMORY_FRACTION * buffer_memory_mb(memory_mb, program_mb)
        self.max_count = max(self.MIN_COUNT, int(limit_mb * BYTES_PER_MB / self.BYTES_PER_ID))

    def __len__(self) -> int:
        """Return the number of ids."""
        return self._older_count + len(self._newest)

    def __contains__(self, request_id: bytes) -> bool:
        """Whether this id is retained."""
        id_hash = hash(request_id)
        if id_hash in self._newest:
            return True
        for generation in self._older:
            hashes = generation.hashes
            index = bisect_left(hashes, id_hash)
            if index < len(hashes) and hashes[index] == id_hash:
                return True
        return False

    def add(self, request_id: bytes, now_ms: float) -> None:
        """Add an id, and forget those whose time is over; `now_ms` is in Unix milliseconds."""
        self._forget_old(now_ms)
        if not self._newest:
            self._newest_began_ms = now_ms
        self._newest.add(hash(request_id))
        self._newest_ms = now_ms

    def is_full(self, now_ms: float) -> bool:
        """Return whether no further id may be added; `now_ms` is in Unix milliseconds."""
        if len(self) < self.max_count:
            return False
        self._forget_old(now_ms)
        return len(self) >= self.max_count

    def _forget_old(self, now_ms: float) -> None:
        """Forget the generations whose time is over, and begin a new one if the newest is complete."""
        is_over = now_ms - self._newest_began_ms >= self.retention_ms / self.GENERATIONS
        if self._newest and (is_over or len(self._newest) >= self.max_count // self.GENERATIONS):
            self._older.append(Generation(self._newest_ms, array(HASH_TYPE, sorted(self._newest))))
            self._older_count += len(self._newest)
            self._newest = set()
        while self._older and self._older[0].newest_ms <= now_ms - self.retention_ms:
            self._older_count -= len(self._older.popleft().hashes)
