"""Long bodies: made from a seed, read by hand, with a checksum instead of the bytes; servers and callers that
bring them and take them at a pace of their own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from testkit.servers import Talk
from testkit.wire import read_head

BLOCK = 64 * 1024


class Pattern:
    """A body of any length, the same for the same seed; two seeds differ in every block."""

    def __init__(self, seed: int) -> None:
        self._block = Random(seed).randbytes(BLOCK + 997)  # not a multiple of what anyone reads at once

    def pieces(self, size: int, most: int = 0) -> Iterator[memoryview]:
        """The body in pieces of `most` bytes, or as is."""
        view = memoryview(self._block)
        most = most or len(view)
        at = 0
        while size > 0:
            piece = view[at : at + min(size, most)]
            yield piece
            size -= len(piece)
            at = (at + len(piece)) % len(view)

    def whole(self, size: int) -> bytes:
        return b"".join(self.pieces(size))

    def crc(self, size: int) -> int:
        crc = 0
        for piece in self.pieces(size):
            crc = crc32(piece, crc)
        return crc


@dataclass
class Body:
    """What came of one."""

    size: int = 0
    crc: int = 0
    whole: bool = False
    trailers: dict[str, str] = field(default_factory=dict)

    def add(self, piece: bytes) -> None:
        self.size += len(piece)
        self.crc = crc32(piece, self.crc)


async def read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
    most: int = BLOCK,
    pause: Callable[[Body], Awaitable[None]] | None = None,
    stop_at: int = 1 << 60,
) -> Body:
    """To its end, or to `stop_at` bytes, or to where it was cut off. `pause` is awaited after each piece."""
    body = Body()

    async def take(size: int) -> None:
        while size > 0 and body.size < stop_at:
            piece = await reader.read(min(size, most, stop_at - body.size))
            if not piece:
                raise asyncio.IncompleteReadError(b"", size)
            body.add(piece)
            size -= len(piece)
            if pause is not None:
                await pause(body)

    with suppress(asyncio.IncompleteReadError, ConnectionError):
        if headers.get("transfer-encoding") == "chunked":
            while body.size < stop_at:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
                        name, _, value = line.decode("latin-1").partition(":")
                        body.trailers[name.lower()] = value.strip()
                    body.whole = True
                    break
                await take(size)
                if body.size < stop_at:
                    await reader.readexactly(2)
        else:
            length = int(headers.get("content-length", "0"))
            await take(length)
            body.whole = body.size == length
    return body


def chunked(piece: bytes | memoryview) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), bytes(piece)) if len(piece) else b""


def head(first: str, **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{lines}\r\n".encode()


@dataclass
class Upload:
    """A request as a server sees it begin: its body is still to be read."""

    method: str
    target: str
    headers: dict[str, str]
    talk: Talk

    @property
    def trace(self) -> str:
        return self.headers["x-trace-id"]

    async def body(
        self,
        most: int = BLOCK,
        pause: Callable[[Body], Awaitable[None]] | None = None,
        stop_at: int = 1 << 60,
    ) -> Body:
        return await read_body(self.talk.reader, self.headers, most, pause, stop_at)


Serve = Callable[[Upload], Awaitable[None]]


class BodyServer:
    """A server that is handed each request at its head."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.seen: list[Upload] = []
        self.arrived: asyncio.Queue[Upload] = asyncio.Queue()
        self.open = 0
        self.most_open = 0
        self.connections = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> BodyServer:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0, limit=BLOCK, backlog=1024)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        talk = Talk(reader, writer)
        try:
            while (came := await read_head(reader)) is not None:
                method, target, _ = came[0].split()
                upload = Upload(method, target, came[1], talk)
                self.seen.append(upload)
                self.arrived.put_nowait(upload)
                await self.serve(upload)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            self._tasks.discard(task)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def send_all(talk: Talk, pieces: Iterator[memoryview], chunks: bool = False) -> None:
    for piece in pieces:
        await talk.send(chunked(piece) if chunks else bytes(piece))
