"""A fake server that is given each request at its head, and reads the body at its own pace.

It never reads a body that its function doesn't read. Source: the project's own; `bodies` has the framing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import ClassVar

from testkit.bodies import BLOCK_BYTES, UNLIMITED_BYTES, Body, Pause, chunked, read_body
from testkit.listening import ListeningFake
from testkit.servers import FakeConnection
from testkit.wire import read_head


@dataclass
class StreamedRequest:
    """A request whose head was received and whose body is still to be read."""

    method: str
    target: str
    headers: dict[str, str]
    connection: FakeConnection

    @property
    def trace(self) -> str:
        """Its trace id."""
        return self.headers["x-trace-id"]

    async def body(
        self, max_read_bytes: int = BLOCK_BYTES, pause: Pause | None = None, stop_at: int = UNLIMITED_BYTES
    ) -> Body:
        """Reads its body, as `read_body` does."""
        return await read_body(self.connection.reader, self.headers, max_read_bytes, pause, stop_at)


Serve = Callable[[StreamedRequest], Awaitable[None]]


class StreamingServer(ListeningFake):
    """A server that passes each request to `serve`, which may be changed at any time.

    It keeps the requests, all in `seen` and each once in the queue `arrived`, and counts its connections:
    `open` now, `most_open` at once.
    """

    BACKLOG: ClassVar[int] = 1024

    def __init__(self, serve: Serve) -> None:
        """Creates a server that does not listen yet."""
        super().__init__()
        self.serve = serve
        self.seen: list[StreamedRequest] = []
        self.arrived: asyncio.Queue[StreamedRequest] = asyncio.Queue()
        self.open = 0
        self.most_open = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request after another."""
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        connection = FakeConnection(reader, writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.start_line.split()
                request = StreamedRequest(method, target, head.headers, connection)
                self.seen.append(request)
                self.arrived.put_nowait(request)
                await self.serve(request)
        finally:
            self.open -= 1


async def send_all(connection: FakeConnection, pieces: Iterator[memoryview], chunks: bool = False) -> None:
    """Sends all pieces, each as a chunk if `chunks`; the last chunk is the caller's."""
    for piece in pieces:
        await connection.send(chunked(piece) if chunks else bytes(piece))
