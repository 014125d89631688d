"""Writes to a transport without copying what the system takes at once.

A piece of a body is a view of the buffer that it was read into. Only what the system does not take directly
is copied, into the transport's own queue, which the flow counts. Source: writev(2).
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence

from sandhatch.streaming.interfaces import Piece

READ_BYTES = 256 * 1024
# One read buffer for the whole process: each read is used up before the next, and the rest is copied.
SCRATCH = memoryview(bytearray(READ_BYTES))


class SocketWriter:
    """Writes to one transport, in order: pieces never overtake what the transport's own buffer holds."""

    __slots__ = ("_descriptor", "_transport")

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        """Write to a transport that is up."""
        self._transport = transport
        self._descriptor: int = transport.get_extra_info("socket").fileno()

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the system has not taken."""
        transport = self._transport
        return 0 if transport.is_closing() else transport.get_write_buffer_size()

    def write(self, pieces: Sequence[Piece]) -> None:
        """Write all pieces, in order; after the return none is looked at again."""
        transport = self._transport
        if transport.is_closing():
            return
        taken_bytes = 0
        if not transport.get_write_buffer_size():
            try:
                taken_bytes = os.writev(self._descriptor, pieces)
            except BlockingIOError:
                pass
            except OSError:
                return  # broken: the system reports it to the transport, and that to its protocol
        for piece in pieces:
            size = len(piece)
            if taken_bytes >= size:
                taken_bytes -= size
            else:
                transport.write(bytes(piece[taken_bytes:]))
                taken_bytes = 0
