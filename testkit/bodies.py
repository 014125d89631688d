"""Long bodies: made from a seed, read by hand, and compared by a checksum in place of their bytes.

It never keeps a body in memory, except where a test asks for its bytes. Source: RFC 9112 for the framing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

BLOCK_BYTES = 64 * 1024
PATTERN_BYTES = BLOCK_BYTES + 997  # not a multiple of what anyone reads at once
UNLIMITED_BYTES = 1 << 60


class SeededBody:
    """A body of any length, the same for the same seed; two seeds differ in every block."""

    def __init__(self, seed: int) -> None:
        """Draws the block that the body repeats."""
        self._block = Random(seed).randbytes(PATTERN_BYTES)

    def pieces(self, size: int, max_piece_bytes: int = 0) -> Iterator[memoryview]:
        """The first `size` bytes, in pieces of at most `max_piece_bytes`, or of any size if that is 0."""
        view = memoryview(self._block)
        piece_bytes = max_piece_bytes or len(view)
        offset = 0
        while size > 0:
            piece = view[offset : offset + min(size, piece_bytes)]
            yield piece
            size -= len(piece)
            offset = (offset + len(piece)) % len(view)

    def prefix(self, size: int) -> bytes:
        """The first `size` bytes in one piece."""
        return b"".join(self.pieces(size))

    def crc(self, size: int) -> int:
        """The checksum of the first `size` bytes."""
        crc = 0
        for piece in self.pieces(size):
            crc = crc32(piece, crc)
        return crc


@dataclass
class Body:
    """What was received of a body; `complete` says that it came to its end."""

    size: int = 0
    crc: int = 0
    complete: bool = False
    trailers: dict[str, str] = field(default_factory=dict)

    def add(self, piece: bytes) -> None:
        """Counts a piece."""
        self.size += len(piece)
        self.crc = crc32(piece, self.crc)


Pause = Callable[[Body], Awaitable[None]]  # awaited after each piece that was read


class BodyReader:
    """Reads one body, with a Content-Length or chunked, at the pace of a `pause`."""

    def __init__(
        self, reader: asyncio.StreamReader, max_read_bytes: int, pause: Pause | None, stop_at: int
    ) -> None:
        """Creates a reader; its arguments are those of `read_body`."""
        self.body = Body()
        self._reader = reader
        self._max_read_bytes = max_read_bytes
        self._pause = pause
        self._stop_at = stop_at

    async def read_chunked(self) -> None:
        """Reads chunks to the last one and its trailers."""
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
        """Reads a body of this length."""
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
    """Reads a body to its end, to `stop_at` bytes, or to where the connection breaks.

    Args:
        reader: of the connection, behind the message's head.
        headers: the message's, names in lower case.
        max_read_bytes: bytes that are read at once.
        pause: awaited after each piece.
        stop_at: bytes after which the rest is left unread.
    """
    body_reader = BodyReader(reader, max_read_bytes, pause, stop_at)
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        if headers.get("transfer-encoding") == "chunked":
            await body_reader.read_chunked()
        else:
            await body_reader.read_length(int(headers.get("content-length", "0")))
    return body_reader.body


def chunked(piece: bytes | memoryview) -> bytes:
    """A piece as one chunk; nothing for an empty piece, which would be the last chunk."""
    return b"%x\r\n%b\r\n" % (len(piece), bytes(piece)) if len(piece) else b""


def head(first: str, **headers: str) -> bytes:
    """A message's head: its start line and header fields, an underscore standing for a hyphen."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{lines}\r\n".encode()
