"""Adapter between an HTTP/1.1 connection and its body flows, shared by client and server connections.

A connection is the source of one flow and the sink of the other. No decisions are made here. Source:
`sandhatch.streaming.interfaces` for the contracts, RFC 9112 section 7.1 for chunks.
"""

from __future__ import annotations

import asyncio

from sandhatch.http1.serializer import encode_chunk, encode_last_chunk
from sandhatch.runtime.memory_budget import MemoryWaiter
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece
from sandhatch.streaming.socket_writer import SocketWriter


class BodyEndpoint:
    """Mixin for an asyncio protocol whose connection is the source and the sink of body flows.

    Attributes:
        is_ending: Whether reading from the connection has stopped for good.
    """

    _transport: asyncio.Transport | None
    is_ending: bool

    def __init__(self) -> None:
        """Create an endpoint that neither sends a body nor waits for memory."""
        # Writer of the body being sent, None if no body is being sent.
        self._socket_writer: SocketWriter | None = None
        self._chunked = False  # True if the body being sent uses the chunked transfer coding
        self._memory_waiter: MemoryWaiter | None = None  # entry in the queue for memory, None if not queued
        # Bytes of memory reserved for a body that is buffered until it may be streamed.
        self._reserved_bytes = 0

    def _cancel_memory_wait(self) -> None:
        """Stop waiting for memory and reset the reservation; the subclass returns its bytes to the budget."""
        if self._memory_waiter is not None:
            waiter = self._memory_waiter
            self._memory_waiter = None
            waiter.cancel()
        self._reserved_bytes = 0

    # ------------------------------------------------ Source

    def pause(self) -> None:
        """Stop reading from the socket until `resume` is called."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading, unless the connection is ending."""
        if self._transport is not None and not self.is_ending and not self._transport.is_closing():
            self._transport.resume_reading()

    # ------------------------------------------------ Sink

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written but not yet accepted by the kernel."""
        return self._socket_writer.unsent_bytes if self._socket_writer is not None else 0

    def write(self, piece: Piece) -> None:
        """Send a piece of the body with the framing that its head has announced."""
        if self._socket_writer is not None:
            self._socket_writer.write(encode_chunk(piece) if self._chunked else (piece,))

    def finish(self, trailers: Headers) -> None:
        """Send the last chunk and the trailers if the body is chunked; other framings have no end marker."""
        if self._socket_writer is not None and self._chunked:
            self._socket_writer.write((encode_last_chunk(trailers),))
