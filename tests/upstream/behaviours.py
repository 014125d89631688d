"""Faults that `testkit.behaviours` does not have, and servers that `FakeServer` does not cover."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from testkit.servers import FakeConnection
from testkit.wire import ReceivedRequest, ok, read_head


async def closes(_request: ReceivedRequest, talk: FakeConnection) -> None:
    """Close the connection in place of an answer."""
    talk.writer.close()


async def resets_inside_the_response(_request: ReceivedRequest, talk: FakeConnection) -> None:
    """Send a part of an answer, then reset the connection."""
    await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    talk.reset()


async def ends_the_response_by_closing(_request: ReceivedRequest, talk: FakeConnection) -> None:
    """Send an answer without a length, then close the connection."""
    await talk.send(b"HTTP/1.1 200 OK\r\n\r\nhow long is it")
    talk.writer.close()


def port_of(listener: socket.socket) -> int:
    return int(listener.getsockname()[1])


def listener_with_small_buffer() -> socket.socket:
    """Listen with so small a buffer that a longer request stays with the balancer in part."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    listener.setblocking(False)
    return listener


@contextmanager
def full_backlog() -> Iterator[int]:
    """The port of a listener whose backlog is full: further connections never come up."""
    with ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            filler = sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield port_of(listener)


class DeadAfterOneRequest:
    """A server whose connections serve one request and are dead then, which shows only at the next write.

    Attributes:
        complete_requests: the requests that arrived complete.
        connections: the connections that were opened.
    """

    def __init__(self) -> None:
        self.complete_requests = 0
        self.connections = 0

    async def start(self) -> DeadAfterOneRequest:
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
