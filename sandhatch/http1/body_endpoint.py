"""Where a connection of HTTP/1.1 meets the flows: what client and server connections have in common.

A connection is the source of one flow and the sink of the other. This decides nothing. Source:
`sandhatch.streaming.interfaces` for the contracts, RFC 9112 section 7.1 for chunks.
"""

from __future__ import annotations

import asyncio

from sandhatch.http1.serializer import chunk, last_chunk
from sandhatch.runtime.memory_budget import MemoryWaiter
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece
from sandhatch.streaming.socket_writer import SocketWriter


class BodyEndpoint:
    """To be inherited beside a protocol of the event loop."""

    _transport: asyncio.Transport | None
    ending: bool  # nothing more is read from it

    def __init__(self) -> None:
        """Make an endpoint that neither sends a body nor waits for memory."""
        self._socket_writer: SocketWriter | None = None  # while a body is sent
        self._chunked = False  # whether that is in chunks
        self._memory_waiter: MemoryWaiter | None = None  # in the queue for memory
        self._reserved_bytes = 0  # bytes booked for a body that is buffered until it may begin

    def _cancel_memory_wait(self) -> None:
        """Stop waiting for memory, and forget the reservation; the subclass books it back."""
        if self._memory_waiter is not None:
            waiter = self._memory_waiter
            self._memory_waiter = None
            waiter.cancel()
        self._reserved_bytes = 0

    # ------------------------------------------------ as a source

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on, unless the connection is ending."""
        if self._transport is not None and not self.ending and not self._transport.is_closing():
            self._transport.resume_reading()

    # ------------------------------------------------ as a sink

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the system has not taken."""
        return self._socket_writer.unsent if self._socket_writer is not None else 0

    def write(self, piece: Piece) -> None:
        """Send a piece of the body, framed as its head has announced."""
        if self._socket_writer is not None:
            self._socket_writer.write(chunk(piece) if self._chunked else (piece,))

    def finish(self, trailers: Headers) -> None:
        """Send the end of the body, where its framing has one."""
        if self._socket_writer is not None and self._chunked:
            self._socket_writer.write((last_chunk(trailers),))
