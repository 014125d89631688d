"""Bare TCP relay that the balancer is compared with, and a server with minimal processing cost.

Neither parses HTTP beyond finding the empty line that ends a request.
"""

from __future__ import annotations

import asyncio
import signal

BODY = b"x" * 200
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + BODY


class FixedResponseServer(asyncio.Protocol):
    """Responds at once to each request; a request ends with an empty line."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        """Responds to each complete request."""
        *requests, self._rest = (self._rest + data).split(b"\r\n\r\n")
        if requests:
            self.transport.write(RESPONSE * len(requests))  # type: ignore[attr-defined]


class RelaySide(asyncio.Protocol):
    """One of a relay's two connections; forwards received bytes to the other without parsing them."""

    def __init__(self, peer: RelaySide | None = None, port: int = 0) -> None:
        """Creates one side of the relay.

        Args:
            peer: The other side; None on the client's side, which opens the connection to the server.
            port: Port of the server; used on the client's side alone.
        """
        self.peer = peer
        self._port = port
        self.transport: asyncio.Transport | None = None
        self.buffered: list[bytes] = []  # bytes received before the connection to the server was open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connects to the server, or writes the bytes that the client's side has buffered."""
        self.transport = transport  # type: ignore[assignment]
        if self.peer is None:
            self.peer = RelaySide(self)
            loop = asyncio.get_running_loop()
            peer = self.peer
            self._connecting = loop.create_task(loop.create_connection(lambda: peer, "127.0.0.1", self._port))
        else:
            for data in self.peer.buffered:
                transport.write(data)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Stops reading on the relay's other connection."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resumes reading on the relay's other connection."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Forwards the bytes to the relay's other connection, or buffers them until that is open."""
        assert self.peer is not None
        if self.peer.transport is None:
            self.buffered.append(data)
        else:
            self.peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - name required by asyncio
        """Closes the relay's other connection."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def serve_until_terminated(port: int, relay_to: int = 0) -> None:
    """Listens on loopback until SIGTERM, as a relay to port `relay_to` or, if that is 0, as the server."""
    loop = asyncio.get_running_loop()
    factory = (lambda: RelaySide(port=relay_to)) if relay_to else FixedResponseServer
    server = await loop.create_server(factory, "127.0.0.1", port)
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    server.close()
