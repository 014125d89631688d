"""Long bodies: generated from a seed, parsed without the program's code, and compared by checksum.

Never buffers a complete body in memory, except where a test requests its bytes. Source: RFC 9112 for the
framing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

BLOCK_BYTES = 64 * 1024
PATTERN_BYTES = BLOCK_BYTES + 997  # not a multiple of the size of any socket read
UNLIMITED_BYTES = 1 << 60


class SeededBody:
    """A body of any length, determined by its seed; bodies of two seeds differ in every block."""

    def __init__(self, seed: int) -> None:
        """Generates the block that the body repeats."""
        self._block = Random(seed).randbytes(PATTERN_BYTES)

    def pieces(self, size: int, max_piece_bytes: int = 0) -> Iterator[memoryview]:
        """Yields the first `size` bytes in pieces of at most `max_piece_bytes`; 0 for no maximum."""
        view = memoryview(self._block)
        piece_bytes = max_piece_bytes or len(view)
        offset = 0
        while size > 0:
            piece = view[offset : offset + min(size, piece_bytes)]
            yield piece
            size -= len(piece)
            offset = (offset + len(piece)) % len(view)

    def prefix(self, size: int) -> bytes:
        """Returns the first `size` bytes in one piece."""
        return b"".join(self.pieces(size))

    def crc(self, size: int) -> int:
        """Returns the CRC-32 checksum of the first `size` bytes."""
        crc = 0
        for piece in self.pieces(size):
            crc = crc32(piece, crc)
        return crc


@dataclass
class Body:
    """The received part of a body; `complete` tells whether its end was received."""

    size: int = 0
    crc: int = 0
    complete: bool = False
    trailers: dict[str, str] = field(default_factory=dict)

    def add(self, piece: bytes) -> None:
        """Adds a piece to the size and the checksum."""
        self.size += len(piece)
        self.crc = crc32(piece, self.crc)


Pause = Callable[[Body], Awaitable[None]]  # function awaited after each piece of a body is read


class BodyReader:
    """Reads one body, with a Content-Length or chunked, awaiting `pause` after each piece."""

    def __init__(
        self, reader: asyncio.StreamReader, max_read_bytes: int, pause: Pause | None, stop_at: int
    ) -> None:
        """Creates a reader; the arguments are those of `read_body`."""
        self.body = Body()
        self._reader = reader
        self._max_read_bytes = max_read_bytes
        self._pause = pause
        self._stop_at = stop_at

    async def read_chunked(self) -> None:
        """Reads all chunks, including the last one and its trailers."""
        while self.body.size < self._stop_at:
            size_line = await self._reader.readuntil(b"\r\n")
            size = int(size_line.split(b";")[0], 16)
            if size == 0:
                await self._read_trailers()
                self.body.complete = True
                return
            await self._read_piecewise(size)
            if self.body.size < self._stop_at:
                await self._reader.readexactly(2)

    async def read_length(self, length: int) -> None:
        """Reads a body with this Content-Length."""
        await self._read_piecewise(length)
        self.body.complete = self.body.size == length

    async def _read_piecewise(self, size: int) -> None:
        while size > 0 and self.body.size < self._stop_at:
            piece = await self._reader.read(min(size, self._max_read_bytes, self._stop_at - self.body.size))
            if not piece:
                raise asyncio.IncompleteReadError(b"", size)
            self.body.add(piece)
            size -= len(piece)
            if self._pause is not None:
                await self._pause(self.body)

    async def _read_trailers(self) -> None:
        while (line := await self._reader.readuntil(b"\r\n")) != b"\r\n":
            name, _, value = line.decode("latin-1").partition(":")
            self.body.trailers[name.lower()] = value.strip()


async def read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    max_read_bytes: int = BLOCK_BYTES,
    pause: Pause | None = None,
    stop_at: int = UNLIMITED_BYTES,
) -> Body:
    """Reads a body to its end, up to `stop_at` bytes, or until the connection breaks.

    Args:
        reader: Stream of the connection, positioned after the head of the message.
        headers: Header fields of the message, names in lower case.
        max_read_bytes: Maximum number of bytes per read.
        pause: Function that is awaited after each piece.
        stop_at: Number of bytes after which the rest is left unread.
    """
    body_reader = BodyReader(reader, max_read_bytes, pause, stop_at)
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        if headers.get("transfer-encoding") == "chunked":
            await body_reader.read_chunked()
        else:
            await body_reader.read_length(int(headers.get("content-length", "0")))
    return body_reader.body


def chunked(piece: bytes | memoryview) -> bytes:
    """Encodes a piece as one chunk; empty for an empty piece, which would otherwise be the last chunk."""
    return b"%x\r\n%b\r\n" % (len(piece), bytes(piece)) if len(piece) else b""


def head(first: str, **headers: str) -> bytes:
    """Encodes a message's head: start line and header fields, with underscores in names as hyphens."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{lines}\r\n".encode()
