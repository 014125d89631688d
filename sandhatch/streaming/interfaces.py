"""The contracts around a flow: what brings a body, what takes it, and who is notified.

Types only. Source: `sandhatch.streaming.flow`, whose head shows how they meet.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.streaming.headers import Headers

# A part of a body. A view is valid only during the call that hands it over.
Piece = bytes | memoryview


class Ticks(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> float:
        """Milliseconds since any fixed moment."""


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


class Watcher(Protocol):
    """Is notified of a flow's progress; whoever runs the exchange."""

    def unrepeatable(self) -> None:
        """What was sent is no longer kept completely: no other sink can be given the body."""

    def passed_on(self) -> None:
        """The complete body, with its end, has left through the sink."""
