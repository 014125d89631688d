"""Barriers of the tests that force two events into one order.

A test holds one event (a server's response, a request's last byte), lets the other happen, waits for the
state that shows it, and releases the first. No wait ends by a sleep: each is for a named state.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from sandhatch.balancing.events import ClientDisconnected, Event
from sandhatch.dispatch.protocols import Decisions
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.behaviours import waits_for
from testkit.polling import wait_until
from testkit.servers import Behaviour, FakeServer, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.fakes import RunningBalancer, running

TCP_FIN_WAIT2 = 5  # the peer's system has acknowledged the end of stream; include/net/tcp_states.h of Linux


class HoldingServer(FakeServer):
    """A server that receives each request at once, and holds its response until `release`."""

    def __init__(self, response: Behaviour = serve_ok) -> None:
        """Creates a server that does not listen yet and responds as given once it is released."""
        self._released = asyncio.Event()
        super().__init__(waits_for(self._released, response))

    def release(self) -> None:
        """Let the responses go, those to later requests too."""
        self._released.set()


class HeldLastBytes:
    """Holds the last byte of each request on a reused connection, which the pool writes a moment later."""

    def __init__(self, connection_pool: ConnectionPool) -> None:
        """Holds from now on."""
        self._writes: list[Callable[[], None]] = []
        connection_pool.later = self._writes.append  # type: ignore[method-assign]

    async def wait_until_held(self) -> None:
        """Wait until all of a request is written but its last byte."""
        await wait_until(lambda: self._writes, "the last byte of a request is held")

    def release(self) -> None:
        """Let the first request's last byte become due."""
        self._writes[0]()


@asynccontextmanager
async def balancer_before(
    upstream: FakeServer, script: Decisions | None = None, **entry: Any
) -> AsyncIterator[RunningBalancer]:
    """The balancer in front of one server, both running; `entry` replaces keys of the server's entry."""
    await upstream.start()
    try:
        async with running(upstream.entry("a", **entry), script=script) as balancer:
            yield balancer
    finally:
        upstream.close()


def connect_client(port: int) -> socket.socket:
    """A client whose bytes reach the system at once, while the loop is blocked."""
    client = socket.create_connection(("127.0.0.1", port), timeout=RESPONSE_TIMEOUT_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client


def reset(connection: socket.socket) -> None:
    """Close the connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def block_until_readable(descriptor: int) -> None:
    """Loopback delivers at once, but not within the sender's own call. The loop is blocked meanwhile."""
    _block_until_pending(descriptor, select.POLLIN)


def block_until_reset(descriptor: int) -> None:
    """Wait until the peer's reset is in the system, unread. The loop is blocked meanwhile."""
    _block_until_pending(descriptor, select.POLLERR)


def _block_until_pending(descriptor: int, event: int) -> None:
    poll = select.poll()
    poll.register(descriptor, event)
    assert poll.poll(RESPONSE_TIMEOUT_S * 1000.0), "nothing arrived at the descriptor"


def close_and_block_until_delivered(client: socket.socket) -> None:
    """Close the client; the balancer's system then has all that it sent, the end of stream included.

    The loop is blocked meanwhile, so that the balancer reads nothing before it has all.
    """
    client.shutdown(socket.SHUT_WR)
    give_up_at_s = time.monotonic() + RESPONSE_TIMEOUT_S
    while client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_FIN_WAIT2:
        assert time.monotonic() < give_up_at_s, "the end of stream was not acknowledged"
        time.sleep(0.001)
    client.close()


async def wait_until_requested(upstream: FakeServer) -> None:
    """Wait until the server has received a request."""
    await wait_until(lambda: upstream.requests, "a request is at the server")


async def wait_until_nothing_in_flight(balancer: RunningBalancer) -> None:
    """Wait until no attempt is in flight and no request is kept."""
    await wait_until(lambda: not balancer.dispatcher.open, "nothing is in flight")


async def wait_until_disconnect_noticed(events: list[Event]) -> None:
    """Wait until the events of which the decisions are notified have a client's disconnect."""
    await wait_until(
        lambda: any(isinstance(event, ClientDisconnected) for event in events),
        "the disconnect is noticed",
    )


def only_connection(balancer: RunningBalancer) -> ClientConnection:
    """The balancer's end of the only client's connection."""
    (connection,) = balancer.listener._connections
    return connection


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A connection to a server that the test plays, and the bytes of the request on it."""

    connection: socket.socket
    received: bytes


async def accept_request(listener: socket.socket) -> AcceptedRequest:
    """The next connection to a server that the test plays, with its first request (body: one byte)."""
    connection = await asyncio.to_thread(lambda: listener.accept()[0])
    return AcceptedRequest(connection, await asyncio.to_thread(_read_request, connection))


def _read_request(connection: socket.socket) -> bytes:
    connection.settimeout(RESPONSE_TIMEOUT_S)
    received = b""
    while not received.endswith(b"\r\n\r\nx"):
        part = connection.recv(4096)
        assert part, received
        received += part
    return received
