"""A transport written without copies where the system takes the bytes at once.

A piece of a body is a view of the buffer it was read into. What the system takes of it directly is never
copied; only the rest is, into the transport's own queue, which the flow counts.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence

from sandhatch.streaming.flow import Piece

# One for the whole process: what is read is used up before the next read, and the rest is copied.
READ_BYTES = 256 * 1024
SCRATCH = memoryview(bytearray(READ_BYTES))


class SocketWriter:
    """Writes to one transport. The transport's own buffer must be empty, or in order before it: pieces never
    overtake what it holds.
    """

    __slots__ = ("_descriptor", "_transport")

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self._transport = transport
        self._descriptor: int = transport.get_extra_info("socket").fileno()

    @property
    def unsent(self) -> int:
        transport = self._transport
        return 0 if transport.is_closing() else transport.get_write_buffer_size()

    def write(self, pieces: Sequence[Piece]) -> None:
        """All of the pieces, in order; after the return none is looked at again."""
        transport = self._transport
        if transport.is_closing():
            return
        taken = 0
        if not transport.get_write_buffer_size():
            try:
                taken = os.writev(self._descriptor, pieces)
            except BlockingIOError:
                pass
            except OSError:
                return  # broken: the transport is told so by the system, and tells its protocol
        for piece in pieces:
            size = len(piece)
            if taken >= size:
                taken -= size
            else:
                transport.write(bytes(piece[taken:]))
                taken = 0
