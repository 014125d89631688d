"""A buffer for bytes that arrive in pieces of any size.

A list of the pieces would cost an object for each of them, many times the bytes of a small one. No I/O;
limits are enforced by the buffer's owner.
"""

from __future__ import annotations

import sys


class ByteBuffer:
    """Joins pieces as they arrive, so that its memory depends on the number of bytes and not of pieces."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        """Create an empty buffer."""
        # A single piece is stored as it is: a short message mostly arrives in one, and is then not copied.
        self._data: bytes | bytearray = b""

    def __len__(self) -> int:
        """Number of bytes in the buffer."""
        return len(self._data)

    @property
    def memory_bytes(self) -> int:
        """Memory that the buffer occupies, in bytes; 0 if it is empty."""
        return sys.getsizeof(self._data) if self._data else 0

    def append(self, piece: bytes | bytearray | memoryview) -> None:
        """Add a piece at the end; a view is copied."""
        data = self._data
        if isinstance(data, bytearray):
            data += piece
        elif data:
            self._data = bytearray(data)
            self._data += piece
        else:
            self._data = bytes(piece)

    def get(self) -> bytes:
        """Return all bytes in the buffer."""
        return bytes(self._data)

    def take(self) -> bytes:
        """Return all bytes, and empty the buffer."""
        data = bytes(self._data)
        self._data = b""
        return data

    def clear(self) -> None:
        """Empty the buffer."""
        self._data = b""
