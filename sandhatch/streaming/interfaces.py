"""The contracts around a flow: what brings a body, what takes it, who is notified, and what all flows share.

Types only. Source: `sandhatch.streaming.flow`, whose head shows how they meet.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.streaming.headers import Headers

# A part of a body. A view is valid only during the call that hands it over.
Piece = bytes | memoryview


class MonotonicClock(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> float:
        """Milliseconds since any fixed moment."""


class FlowResources(Protocol):
    """What all flows of a process share; `SharedResources` has it."""

    @property
    def clock(self) -> MonotonicClock:
        """Measures the progress of both sides."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """Where the memory of flows is booked."""

    @property
    def flows(self) -> FlowStatistics:
        """Counts all flows."""


class Source(Protocol):
    """Brings a body."""

    def pause(self) -> None:
        """Bring no more until `resume`."""

    def resume(self) -> None:
        """Bring more again."""


class Sink(Protocol):
    """Takes a body."""

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the system has not taken."""

    def write(self, piece: Piece) -> None:
        """Take the complete piece; it is not looked at again after the return."""

    def finish(self, trailers: Headers) -> None:
        """Take the end: the body is complete."""


class FlowObserver(Protocol):
    """Is notified of a flow's progress; whoever runs the exchange."""

    def on_unrepeatable(self) -> None:
        """What was sent is no longer kept completely: no other sink can be given the body."""

    def on_sent(self) -> None:
        """The complete body, with its end, has left through the sink."""
