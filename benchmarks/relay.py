"""The bare relay that the balancer is compared with, and a server that costs next to nothing.

Neither parses HTTP. Source: the project's own.
"""

from __future__ import annotations

import asyncio
import signal

BODY = b"x" * 200
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + BODY


class EchoServer(asyncio.Protocol):
    """Responds to each request, which ends with an empty line, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        """Responds to the requests that are complete."""
        *requests, self._rest = (self._rest + data).split(b"\r\n\r\n")
        if requests:
            self.transport.write(RESPONSE * len(requests))  # type: ignore[attr-defined]


class RelaySide(asyncio.Protocol):
    """One of a relay's two connections: writes what it reads to the other, unread."""

    def __init__(self, peer: RelaySide | None = None, port: int = 0) -> None:
        """Creates a side.

        Args:
            peer: the other side; None on the client's, which connects to the server itself.
            port: of the server, on the client's side.
        """
        self.peer = peer
        self._port = port
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []  # received before the server's side was connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connects to the server, or writes what the client's side has received meanwhile."""
        self.transport = transport  # type: ignore[assignment]
        if self.peer is None:
            self.peer = RelaySide(self)
            loop = asyncio.get_running_loop()
            peer = self.peer
            self._connecting = loop.create_task(loop.create_connection(lambda: peer, "127.0.0.1", self._port))
        else:
            for data in self.peer.early:
                transport.write(data)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Stops reading on the other side."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads on the other side again."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Writes to the other side."""
        assert self.peer is not None
        if self.peer.transport is None:
            self.early.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's name
        """Closes the other side."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def serve_until_terminated(port: int, relay_to: int = 0) -> None:
    """Listens at a port of the loopback until SIGTERM: a relay to `relay_to`, or the server if that is 0."""
    loop = asyncio.get_running_loop()
    factory = (lambda: RelaySide(port=relay_to)) if relay_to else EchoServer
    server = await loop.create_server(factory, "127.0.0.1", port)
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    server.close()
