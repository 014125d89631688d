"""Where a connection of HTTP/1.1 meets the flows: what the callers' and the servers' side have in common. Of
one flow it is the source, of the other the sink. It decides nothing.
"""

from __future__ import annotations

import asyncio

from sandhatch.http1.framing import chunk, last_chunk
from sandhatch.runtime.memory_budget import MemoryWaiter
from sandhatch.streaming.flow import Piece
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.socket_writer import SocketWriter


class BodyEndpoint:
    """To be inherited beside a protocol of the event loop."""

    _transport: asyncio.Transport | None
    ending: bool  # nothing more is read of it

    def __init__(self) -> None:
        self._socket_writer: SocketWriter | None = None  # while a body goes out by it
        self._chunked = False  # in chunks
        self._place: MemoryWaiter | None = None  # in the queue for memory
        self._reserved = 0  # booked for a body that is held until it may begin

    def _leave_queue(self) -> None:
        """Wait for memory no longer; what was booked is the caller's to book back."""
        if self._place is not None:
            place, self._place = self._place, None
            place.leave()
        self._reserved = 0

    # As a source.

    def pause(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._transport is not None and not self.ending and not self._transport.is_closing():
            self._transport.resume_reading()

    # As a sink.

    @property
    def unsent(self) -> int:
        return self._socket_writer.unsent if self._socket_writer is not None else 0

    def write(self, piece: Piece) -> None:
        if self._socket_writer is not None:
            self._socket_writer.write(chunk(piece) if self._chunked else (piece,))

    def finish(self, trailers: Headers) -> None:
        if self._socket_writer is not None and self._chunked:
            self._socket_writer.write((last_chunk(trailers),))
