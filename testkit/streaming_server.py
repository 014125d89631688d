"""A fake server that calls a function after a request's head; the function reads the body at its own rate.

The server itself reads no part of a body. Source: none; written for this project. `bodies` has the framing.
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
    """A request whose head has been received and whose body has not been read yet."""

    method: str
    target: str
    headers: dict[str, str]
    connection: FakeConnection

    @property
    def trace(self) -> str:
        """Trace id of the request."""
        return self.headers["x-trace-id"]

    async def body(
        self, max_read_bytes: int = BLOCK_BYTES, pause: Pause | None = None, stop_at: int = UNLIMITED_BYTES
    ) -> Body:
        """Reads the body, as `read_body` does."""
        return await read_body(self.connection.reader, self.headers, max_read_bytes, pause, stop_at)


Serve = Callable[[StreamedRequest], Awaitable[None]]


class StreamingServer(ListeningFake):
    """A server that passes each request to a function once its head has been received.

    Attributes:
        serve: Function that serves a request; may be changed at any time.
        received_requests: All requests received.
        arrivals: Queue of the requests received, for tests to wait on.
        open: Number of open connections.
        max_open: Maximum number of connections open at the same time.
    """

    BACKLOG: ClassVar[int] = 1024

    def __init__(self, serve: Serve) -> None:
        """Creates a server that does not listen yet."""
        super().__init__()
        self.serve = serve
        self.received_requests: list[StreamedRequest] = []
        self.arrivals: asyncio.Queue[StreamedRequest] = asyncio.Queue()
        self.open = 0
        self.max_open = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request after another."""
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        connection = FakeConnection(reader, writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.start_line.split()
                request = StreamedRequest(method, target, head.headers, connection)
                self.received_requests.append(request)
                self.arrivals.put_nowait(request)
                await self.serve(request)
        finally:
            self.open -= 1


async def send_all(connection: FakeConnection, pieces: Iterator[memoryview], chunks: bool = False) -> None:
    """Sends all pieces, each as a chunk if `chunks` is set; the last chunk is left to the caller."""
    for piece in pieces:
        await connection.send(chunked(piece) if chunks else bytes(piece))
