"""Helpers of the tests that force two events to cross.

Servers whose answers wait for an event, and peers whose bytes reach the system while the event loop is
blocked.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sandhatch.downstream.socket_poll import waits
from testkit.servers import Behaviour, Talk
from testkit.wire import PATIENCE_S, Incoming, ok


def connect_client(port: int) -> socket.socket:
    """A client whose bytes reach the system at once, while the loop is blocked."""
    client = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client


def block_until_readable(descriptor: int) -> None:
    """Loopback delivers at once, but not within the sender's own call. The loop is blocked meanwhile."""
    while not waits(descriptor):
        pass


async def wait_until(condition: Callable[[], object]) -> None:
    """Let the loop run until the condition holds."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.001)


def answers_when(released: asyncio.Event, answer: bytes) -> Behaviour:
    """A server that sends the given answer once it is released."""

    async def serve(request: Incoming, talk: Talk) -> None:
        await released.wait()
        await talk.send(answer)

    return serve


def serves_when(released: asyncio.Event, body: bytes = b"served") -> Behaviour:
    """A server that answers 200 once it is released."""
    return answers_when(released, ok(body))


async def accept_request(listener: socket.socket) -> tuple[socket.socket, bytes]:
    """The next connection to a server that the test plays, and the request on it (body: one byte)."""
    connection = await asyncio.to_thread(lambda: listener.accept()[0])
    return connection, await asyncio.to_thread(_read_request, connection)


def _read_request(connection: socket.socket) -> bytes:
    connection.settimeout(PATIENCE_S)
    received = b""
    while not received.endswith(b"\r\n\r\nx"):
        part = connection.recv(4096)
        assert part, received
        received += part
    return received
