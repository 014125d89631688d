"""Server faults that `testkit.behaviours` lacks, and servers that `FakeServer` cannot model."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from testkit.servers import Behaviour, FakeConnection
from testkit.wire import ReceivedRequest, ok, read_head


async def closes_without_response(_request: ReceivedRequest, connection: FakeConnection) -> None:
    """Close the connection without a response."""
    connection.writer.close()


async def resets_mid_response(_request: ReceivedRequest, connection: FakeConnection) -> None:
    """Send part of a response, then reset the connection."""
    await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    connection.reset()


def responds_then_closes(data: bytes) -> Behaviour:
    """Send `data` in response to each request, then end the stream in order."""

    async def behave(_request: ReceivedRequest, connection: FakeConnection) -> None:
        await connection.send(data)
        connection.writer.close()

    return behave


RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nserved"
responds_without_length_then_closes = responds_then_closes(RESPONSE_WITHOUT_LENGTH)


async def resets_without_length(_request: ReceivedRequest, connection: FakeConnection) -> None:
    """Send a response without a length, then reset the connection."""
    await connection.send(RESPONSE_WITHOUT_LENGTH)
    connection.reset()


def listening_port(listener: socket.socket) -> int:
    return int(listener.getsockname()[1])


def listener_with_small_buffer() -> socket.socket:
    """Listen with a receive buffer so small that part of a long request stays unsent in the balancer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    listener.setblocking(False)
    return listener


@contextmanager
def full_backlog() -> Iterator[int]:
    """Yield the port of a listener whose backlog is full, so that further connections are not established."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listening_port(listener)


class AbortsAfterOneRequest:
    """A server that serves one request on each connection, and aborts the connection on the next byte.

    The balancer cannot detect this before it writes another request.

    Attributes:
        complete_requests: Number of requests that arrived completely.
        connections: Number of connections that were opened.
    """

    def __init__(self) -> None:
        self.complete_requests = 0
        self.connections = 0

    async def start(self) -> AbortsAfterOneRequest:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        head = await read_head(reader)
        assert head is not None
        await reader.readexactly(int(head[1].get("content-length", "0")))
        self.complete_requests += 1
        writer.write(ok())
        if await reader.read(1):
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
