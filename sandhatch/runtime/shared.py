"""What all pools of one process share: its clock, its log, its memory, and the ids of its requests."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from sandhatch.runtime.clock import Clock
from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.logger import Logger
from sandhatch.runtime.memory_budget import MemoryBudget


class InFlightIds:
    """Ids of requests that are open in any pool, or were until lately: an id is new with every request, so a
    copy that comes a moment after the answer must not run either, whichever pool it would go to.
    """

    MOST_PAST = 4096  # ids remembered

    def __init__(self, past_ms: float) -> None:
        self.open: set[bytes] = set()
        self.past: dict[bytes, float] = {}  # ids of requests that are over, and when they ended
        # The same, oldest first: the first key of a dict that loses its first keys is found ever more slowly.
        self._order: deque[tuple[float, bytes]] = deque()
        self.past_ms = past_ms

    def __contains__(self, trace: bytes) -> bool:
        return trace in self.open or trace in self.past

    def begin(self, trace: bytes) -> None:
        self.open.add(trace)

    def end(self, trace: bytes, now_ms: float) -> None:
        self.open.discard(trace)
        self.past[trace] = now_ms
        order = self._order
        order.append((now_ms, trace))
        while order and (len(order) > self.MOST_PAST or order[0][0] <= now_ms - self.past_ms):
            ended_ms, oldest = order.popleft()
            if self.past.get(oldest) == ended_ms:
                del self.past[oldest]


class Descriptors:
    """The descriptors that all pools' connections to servers may take together."""

    def __init__(self) -> None:
        self.most = 0
        self.holders: dict[Holder, None] = {}

    @property
    def used(self) -> int:
        return sum(holder.sockets for holder in self.holders)

    def make_room(self) -> bool:
        """Whether one more may be taken; idle connections of any pool are closed for it."""
        if self.used < self.most:
            return True
        return any(holder.close_oldest() for holder in self.holders)


class Holder(Protocol):
    """A pool's connections."""

    @property
    def sockets(self) -> int: ...

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; False if none is idle."""


class SharedResources:
    """Handed to every pool and listener of a process.

    `past_ms`: how long an id is known after its end. `spare`: descriptors for callers and servers together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        memory_mb: float,
        past_ms: float,
        spare: int,
    ) -> None:
        self.loop = loop
        self.name = name
        self.clients = 0  # connections of callers that are open, over all listeners
        self.clock = Clock(loop)
        self.logger = Logger(name)
        self.memory_budget = MemoryBudget(memory_mb)
        self.flows = FlowStatistics()
        self.in_flight_ids = InFlightIds(past_ms)
        self.descriptors = Descriptors()
        self.share_descriptors(spare)

    def share_descriptors(self, spare: int) -> None:
        """What callers and servers may hold of them; fewer than are held bind from the next connection on."""
        self.client_budget = spare * 9 // 20  # connections of callers, over all listeners
        self.descriptors.most = spare // 2
