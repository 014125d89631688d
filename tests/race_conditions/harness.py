"""Barriers for tests that force two events into a given order.

A test blocks one event (a server's response, a request's last byte), lets the other happen, waits for the
resulting state, and then releases the first. Every wait is for a state of the program or a fake, and no wait
relies on a sleep.
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
from sandhatch.dispatch.protocols import BalancerProtocol
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.upstream.connection import ServerConnection
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.behaviours import waits_for
from testkit.clients import HttpClient
from testkit.platform import entry
from testkit.polling import wait_until
from testkit.servers import Behaviour, FakeServer, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.fakes import RunningBalancer, ScriptedBalancer, running

TCP_FIN_WAIT2 = 5  # the peer's kernel has acknowledged the FIN; from Linux's include/net/tcp_states.h


class DelayedResponseServer(FakeServer):
    """A server that receives each request at once, and delays its response until `release`."""

    def __init__(self, response: Behaviour = serve_ok) -> None:
        """Creates a server that does not listen yet; once released, it responds with `response`."""
        self._released = asyncio.Event()
        super().__init__(waits_for(self._released, response))

    def release(self) -> None:
        """Sends the delayed responses; later requests are responded to at once."""
        self._released.set()


class LastByteBarrier:
    """Blocks the last byte, written by a callback of the pool, of each request on a reused connection."""

    def __init__(self, connection_pool: ConnectionPool) -> None:
        """Blocks the last byte of every request from now on."""
        self._pending_writes: list[Callable[[], None]] = []
        connection_pool.schedule_last_byte = self._pending_writes.append  # type: ignore[method-assign]

    async def wait_until_last_byte_blocked(self) -> None:
        """Waits until a request is written except for its last byte."""
        await wait_until(lambda: self._pending_writes, "the last byte of a request is blocked")

    def release(self) -> None:
        """Runs the blocked callback, by which the pool writes the first request's last byte."""
        self._pending_writes[0]()


@asynccontextmanager
async def balancer_in_front_of(
    upstream: FakeServer, script: BalancerProtocol | None = None, **entry: Any
) -> AsyncIterator[RunningBalancer]:
    """Runs a server and the balancer in front of it; `entry` replaces keys of the server's entry."""
    await upstream.start()
    try:
        async with running(upstream.entry("a", **entry), script=script) as balancer:
            yield balancer
    finally:
        upstream.close()


def connect_client(port: int) -> socket.socket:
    """Connects a client whose bytes reach the kernel at once, even while the event loop is blocked."""
    client = socket.create_connection(("127.0.0.1", port), timeout=RESPONSE_TIMEOUT_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client


def reset(connection: socket.socket) -> None:
    """Closes the connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def block_until_readable(descriptor: int) -> None:
    """Blocks the event loop until data is readable: loopback delivers it after the sender's call returned."""
    _block_until_pending(descriptor, select.POLLIN)


def block_until_reset(descriptor: int) -> None:
    """Blocks the event loop until the kernel has received the peer's reset, unread by the program."""
    _block_until_pending(descriptor, select.POLLERR)


def _block_until_pending(descriptor: int, event: int) -> None:
    poll = select.poll()
    poll.register(descriptor, event)
    assert poll.poll(RESPONSE_TIMEOUT_S * 1000.0), "the event did not arrive at the descriptor"


def close_and_block_until_delivered(client: socket.socket) -> None:
    """Closes the client and waits until the balancer's kernel has received all bytes and the FIN.

    The event loop is blocked meanwhile, so that the balancer reads nothing before everything has arrived.
    """
    client.shutdown(socket.SHUT_WR)
    deadline_s = time.monotonic() + RESPONSE_TIMEOUT_S
    while client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_FIN_WAIT2:
        assert time.monotonic() < deadline_s, "the FIN was not acknowledged"
        time.sleep(0.001)
    client.close()


async def wait_until_requested(upstream: FakeServer) -> None:
    """Waits until the server has received a request."""
    await wait_until(lambda: upstream.requests, "the server has received a request")


async def wait_until_nothing_in_flight(balancer: RunningBalancer) -> None:
    """Waits until no attempt is in flight and no request's state is retained."""
    await wait_until(lambda: not balancer.dispatcher.open_exchange_count, "nothing is in flight")


async def wait_until_disconnect_detected(events: list[Event]) -> None:
    """Waits until the events that the decisions received include a client's disconnect."""
    await wait_until(
        lambda: any(isinstance(event, ClientDisconnected) for event in events),
        "the disconnect is detected",
    )


def only_connection(balancer: RunningBalancer) -> ClientConnection:
    """Returns the balancer's end of the only client connection."""
    (connection,) = balancer.listener._connections
    return connection


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A connection accepted by the test in the role of a server, and the request's bytes."""

    connection: socket.socket
    received: bytes


async def accept_request(listener: socket.socket) -> AcceptedRequest:
    """Accepts the next connection in the role of a server, and reads its first request (body: `x`)."""
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


@dataclass
class ManualServerSetup:
    """A client, the scripted balancer, and the listening socket of a server whose role the test takes."""

    listener: socket.socket
    script: ScriptedBalancer
    balancer: RunningBalancer
    client: HttpClient


@asynccontextmanager
async def balancer_in_front_of_manual_server() -> AsyncIterator[ManualServerSetup]:
    """Runs the balancer between a client and a server whose bytes the test sends itself."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(RESPONSE_TIMEOUT_S)
    script = ScriptedBalancer([1])
    async with (
        running(entry("a", listener.getsockname()[1]), script=script) as balancer,
        HttpClient(balancer.port) as client,
    ):
        yield ManualServerSetup(listener, script, balancer, client)
    listener.close()


def only_server_connection(balancer: RunningBalancer) -> ServerConnection:
    """Returns the balancer's end of the only connection to a server."""
    (connection,) = balancer.dispatcher.connection_pool._open
    return connection


def balancer_descriptor(connection: ServerConnection) -> int:
    """Returns the file descriptor of the balancer's end of a connection to a server."""
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())
