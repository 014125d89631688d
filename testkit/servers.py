"""A fake server whose behaviour is a function of the request, given by the test.

Reads each request completely before it responds; `streaming_server` has a server that does not. Source:
none; written for this project. `behaviours` has responses and common faults by name.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from sandhatch.downstream.client_transport import RESET_ON_CLOSE
from testkit.listening import ListeningFake
from testkit.platform import entry
from testkit.wire import ReceivedRequest, ok, read_head


class FakeConnection:
    """One connection of a fake server, the interface for behaviours."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wraps the connection's streams."""
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Writes bytes, and waits while the connection's buffer is full."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Closes the connection with a TCP reset, discarding unsent bytes."""
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    async def ended(self) -> None:
        """Waits until the balancer closes the connection."""
        with suppress(ConnectionError):
            await self.reader.read()


Behaviour = Callable[[ReceivedRequest, FakeConnection], Awaitable[None]]


async def serve_ok(request: ReceivedRequest, connection: FakeConnection) -> None:  # noqa: ARG001 - a `Behaviour`
    """Responds with status 200."""
    await connection.send(ok())


class FakeServer(ListeningFake):
    """A server that records the requests that it receives.

    Attributes:
        behave: Behaviour for each request; may be changed at any time.
        requests: All requests received.
        arrived: Queue of the requests received, for tests to wait on.
        open_connections: Connections that are open.
    """

    def __init__(self, behave: Behaviour = serve_ok) -> None:
        """Creates a server that does not listen yet."""
        super().__init__()
        self.behave = behave
        self.requests: list[ReceivedRequest] = []
        self.arrived: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.open_connections: list[FakeConnection] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one request after another."""
        connection = FakeConnection(reader, writer)
        self.open_connections.append(connection)
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head.headers.get("content-length", "0")))
                method, target, _ = head.start_line.split()
                request = ReceivedRequest(method, target, head.headers, body)
                self.requests.append(request)
                self.arrived.put_nowait(request)
                await self.behave(request, connection)
        finally:
            self.open_connections.remove(connection)

    def entry(self, name: str, **more: Any) -> dict[str, Any]:
        """Builds the server's entry in the responses of discovery; `more` replaces keys."""
        return entry(name, self.port, **more)
