"""Interfaces of a flow: the source and the sink of a body, the observer, and resources shared by all flows.

Types only. Source: `sandhatch.streaming.flow`, whose docstring shows how they interact.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.streaming.headers import Headers

# A part of a body. A view is valid only during the call to which it is passed.
Piece = bytes | memoryview


class MonotonicClock(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> float:
        """Milliseconds since an arbitrary fixed point in time."""


class FlowResources(Protocol):
    """Resources shared by all flows of a process; implemented by `SharedResources`."""

    @property
    def clock(self) -> MonotonicClock:
        """Clock by which the progress of both sides is measured."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """Memory budget in which the memory of flows is counted."""

    @property
    def flow_statistics(self) -> FlowStatistics:
        """Statistics of all flows."""


class Source(Protocol):
    """Producer of a body, for example a connection that is read."""

    def pause(self) -> None:
        """Stop pushing until `resume` is called."""

    def resume(self) -> None:
        """Start pushing again."""


class Sink(Protocol):
    """Consumer of a body, for example a connection that is written to."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written but not yet accepted by the kernel."""

    def write(self, piece: Piece) -> None:
        """Accept the complete piece; the piece is not accessed after the call returns."""

    def finish(self, trailers: Headers) -> None:
        """Mark the end of the body and send the body's trailers."""


class FlowObserver(Protocol):
    """Observer of a flow's progress, implemented by the owner of the exchange."""

    def on_unrepeatable(self) -> None:
        """The replay buffer was released: the body can no longer be written to another sink."""

    def on_sent(self) -> None:
        """The sink has sent the complete body, including its end."""
