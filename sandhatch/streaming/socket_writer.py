"""Writes to a transport without copying the bytes that the kernel accepts immediately.

A piece of a body is a view of the buffer into which it was read. Only bytes that the kernel does not accept
immediately are copied, into the transport's own buffer, which the flow counts. Source: writev(2).
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence

from sandhatch.streaming.interfaces import Piece

READ_BUFFER_BYTES = 256 * 1024
# Read buffer shared by all connections of the process. The data of each read is processed before the next
# read; data that is needed longer is copied.
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class SocketWriter:
    """Writes to one transport in order: new pieces never overtake bytes in the transport's own buffer."""

    __slots__ = ("_file_descriptor", "_transport")

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        """Create a writer for a connected transport."""
        self._transport = transport
        self._file_descriptor: int = transport.get_extra_info("socket").fileno()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written but not yet accepted by the kernel."""
        transport = self._transport
        return 0 if transport.is_closing() else transport.get_write_buffer_size()

    def write(self, pieces: Sequence[Piece]) -> None:
        """Write all pieces in order; they are not accessed after the call returns."""
        transport = self._transport
        if transport.is_closing():
            return
        written_bytes = 0
        if not transport.get_write_buffer_size():
            try:
                written_bytes = os.writev(self._file_descriptor, pieces)
            except BlockingIOError:
                pass
            except OSError:
                # The connection has failed: the event loop reports this to the transport and its protocol.
                return
        for piece in pieces:
            size = len(piece)
            if written_bytes >= size:
                written_bytes -= size
            else:
                transport.write(bytes(piece[written_bytes:]))
                written_bytes = 0
