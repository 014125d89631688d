"""A fake server that is given each request at its head, and reads the body at its own pace.

It never reads a body that its function doesn't read. Source: the project's own; `bodies` has the framing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import ClassVar

from testkit.bodies import BLOCK, UNLIMITED_BYTES, Body, Pause, chunked, read_body
from testkit.listening import ListeningFake
from testkit.servers import Talk
from testkit.wire import read_head


@dataclass
class Upload:
    """A request whose head was received and whose body is still to be read."""

    method: str
    target: str
    headers: dict[str, str]
    talk: Talk

    @property
    def trace(self) -> str:
        """Its trace id."""
        return self.headers["x-trace-id"]

    async def body(
        self, most: int = BLOCK, pause: Pause | None = None, stop_at: int = UNLIMITED_BYTES
    ) -> Body:
        """Reads its body, as `read_body` does."""
        return await read_body(self.talk.reader, self.headers, most, pause, stop_at)


Serve = Callable[[Upload], Awaitable[None]]


class BodyServer(ListeningFake):
    """A server that passes each request to `serve`, which may be changed at any time.

    It keeps the requests, all in `seen` and each once in the queue `arrived`, and counts its connections:
    `open` now, `most_open` at once.
    """

    BACKLOG: ClassVar[int] = 1024

    def __init__(self, serve: Serve) -> None:
        """Creates a server that does not listen yet."""
        super().__init__()
        self.serve = serve
        self.seen: list[Upload] = []
        self.arrived: asyncio.Queue[Upload] = asyncio.Queue()
        self.open = 0
        self.most_open = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request after another."""
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        talk = Talk(reader, writer)
        try:
            while (request_head := await read_head(reader)) is not None:
                start_line, headers = request_head
                method, target, _ = start_line.split()
                upload = Upload(method, target, headers, talk)
                self.seen.append(upload)
                self.arrived.put_nowait(upload)
                await self.serve(upload)
        finally:
            self.open -= 1


async def send_all(talk: Talk, pieces: Iterator[memoryview], chunks: bool = False) -> None:
    """Sends all pieces, each as a chunk if `chunks`; the last chunk is the caller's."""
    for piece in pieces:
        await talk.send(chunked(piece) if chunks else bytes(piece))
