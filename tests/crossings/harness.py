"""What the tests of crossings share: barriers, and peers whose bytes move while the loop stands still."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sandhatch.downstream.socket_poll import waits
from tests.fakes import PATIENCE_S, Behaviour, Incoming, Talk, ok


def dial(port: int) -> socket.socket:
    """A caller whose bytes reach the system at once, while the loop stands still."""
    client = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client


def until_unread(descriptor: int) -> None:
    """Loopback delivers at once, but not in the sender's own call. The loop stands still meanwhile."""
    while not waits(descriptor):
        pass


async def until(what: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not what():
            await asyncio.sleep(0.001)


def answers(go: asyncio.Event, answer: bytes) -> Behaviour:
    """A server that gives that answer once it may."""

    async def held(request: Incoming, talk: Talk) -> None:
        await go.wait()
        await talk.send(answer)

    return held


def holds(go: asyncio.Event, body: bytes = b"served") -> Behaviour:
    """A server that serves once it may."""
    return answers(go, ok(body))


async def accepted(listener: socket.socket) -> tuple[socket.socket, bytes]:
    """The next connection to a server played by hand, and the request with a body of one byte on it."""
    connection = await asyncio.to_thread(lambda: listener.accept()[0])
    return connection, await asyncio.to_thread(_whole, connection)


def _whole(connection: socket.socket) -> bytes:
    connection.settimeout(PATIENCE_S)
    came = b""
    while not came.endswith(b"\r\n\r\nx"):
        part = connection.recv(4096)
        assert part, came
        came += part
    return came
