"""Races of a graceful shutdown with actions of clients.

Each test forces the two events into the harmful order, by a hook at the event or by bytes that the kernel has
received and the program has not read.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.platform import graceful_shutdown
from sandhatch.platform.request_handler import PlatformRequestHandler
from testkit.behaviours import never_responds, serves
from testkit.clients import HttpClient, request_bytes
from testkit.polling import wait_until
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S
from tests.event_loop import run
from tests.fakes import RunningBalancer
from tests.race_conditions.harness import (
    DelayedResponseServer,
    balancer_in_front_of,
    block_until_readable,
    connect_client,
    only_connection,
)


async def read_until_close(client: socket.socket) -> bytes:
    """Returns all bytes until the balancer closes or resets the connection."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        try:
            while part := await loop.sock_recv(client, 65536):
                received += part
        except ConnectionResetError:
            pass
    client.close()
    return received


async def drain(balancer: RunningBalancer) -> None:
    """Shuts down as on SIGTERM, up to the moment at which the process would exit."""
    await graceful_shutdown.drain(
        balancer.shared.clock,
        [balancer.listener],
        lambda: balancer.dispatcher.pending_requests,
        RESPONSE_TIMEOUT_S * 1000.0,
    )


async def accepted_connection(balancer: RunningBalancer) -> ClientConnection:
    """Waits until the only client's connection is accepted; returns the balancer's end of it."""
    connections = balancer.listener._connections
    await wait_until(
        lambda: any(connection._transport is not None for connection in connections),
        "the client's connection is accepted",
    )
    return only_connection(balancer)


async def connect_idle_client(balancer: RunningBalancer) -> socket.socket:
    """Connects a client whose first request is served and which has not read the response."""
    client = connect_client(balancer.port)
    client.sendall(request_bytes())
    await wait_until(lambda: balancer.listener._idle, "the first request is served")
    return client


@pytest.fixture(autouse=True)
def no_accept_period(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_MS", 0.0)


@pytest.fixture
def long_connection_time_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raises the balancer's time limits on client connections, so none expires on a busy computer."""
    for limit in ("FIRST_REQUEST_TIMEOUT_MS", "REQUEST_TIMEOUT_MS", "LINGER_TIMEOUT_MS"):
        monkeypatch.setattr(ClientConnection, limit, RESPONSE_TIMEOUT_S * 1000.0)


def test_request_that_arrives_while_idle_connections_are_closed_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against losing a received request: when the kernel has its bytes, unread, and no other request
    is pending, the process must not exit without reading them.
    """

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream) as balancer:
            client = connect_client(balancer.port)
            connection = await accepted_connection(balancer)
            close_idle = balancer.listener.close_idle

            def close_idle_as_a_request_arrives() -> None:
                monkeypatch.setattr(balancer.listener, "close_idle", close_idle)
                client.sendall(request_bytes("move", b"x"))
                block_until_readable(connection._descriptor)
                close_idle()

            monkeypatch.setattr(balancer.listener, "close_idle", close_idle_as_a_request_arrives)
            await drain(balancer)
            # The request is sent to the server before the process may exit.
            assert len(upstream.requests) == 1
            response = await read_until_close(client)
            assert response.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in response

    run(scenario())


def test_clients_in_the_backlog_are_served_when_accepting_stops() -> None:
    """Guards against losing a received request whose connection is in the backlog when accepting stops."""

    async def scenario() -> None:
        upstream = DelayedResponseServer()
        async with balancer_in_front_of(upstream) as balancer:
            balancer.shared.max_clients = 2
            clients = [connect_client(balancer.port) for _ in range(6)]
            for client in clients:
                client.sendall(request_bytes())
            for _ in range(2):
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await upstream.arrived.get()
            draining = asyncio.create_task(drain(balancer))
            await wait_until(lambda: balancer.listener._stopping, "accepting stops")
            upstream.release()
            responses = [await read_until_close(client) for client in clients]
            assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await draining
            assert balancer.listener._socket is None

    run(scenario())


def test_request_that_arrives_after_its_idle_connection_is_closed_is_not_read() -> None:
    """Guards against reading a request and not serving it; the client may retry an unread request."""

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream) as balancer:
            client = await connect_idle_client(balancer)
            connection = only_connection(balancer)
            balancer.listener.stop_accepting()
            balancer.listener.close_idle()
            client.sendall(request_bytes("move", b"x"))
            response = await read_until_close(client)
            assert response.count(b"HTTP/1.1 200") == 1
            assert connection._discarded_bytes == 0
            assert len(upstream.requests) == 1
            assert not balancer.listener.unfinished_count

    run(scenario())


def count_shutdown_polls(balancer: RunningBalancer, monkeypatch: pytest.MonkeyPatch) -> list[None]:
    """Returns a list that gets an item whenever the shutdown polls whether it is complete."""
    polls: list[None] = []
    close_idle = balancer.listener.close_idle

    def count_and_close_idle() -> None:
        polls.append(None)
        close_idle()

    monkeypatch.setattr(balancer.listener, "close_idle", count_and_close_idle)
    return polls


@pytest.mark.usefixtures("long_connection_time_limits")
def test_process_does_not_exit_before_its_last_response_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against losing a response in transit: exit with unread received bytes resets the connection."""

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes(Connection="close"))
            await wait_until(lambda: balancer.listener._lingering, "the last response is written")
            client.sendall(b"noise")
            polls = count_shutdown_polls(balancer, monkeypatch)
            draining = asyncio.create_task(drain(balancer))
            await wait_until(lambda: len(polls) > 5 or draining.done(), "shutdown has polled several times")
            assert not draining.done()
            assert (await read_until_close(client)).startswith(b"HTTP/1.1 200")
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await draining

    run(scenario())


def test_request_that_arrives_late_in_a_shutdown_gets_a_response_before_sigkill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against SIGKILL before the response to a request whose deadline may be later than SIGKILL."""

    async def scenario() -> None:
        monkeypatch.setattr(graceful_shutdown, "LATE_ARRIVAL_MS", 0.0)
        latest_response_ms = graceful_shutdown.MAX_COUNTED_DEADLINE_MS - graceful_shutdown.RESPONSE_READ_MS
        upstream = FakeServer(never_responds)
        async with balancer_in_front_of(upstream) as balancer, HttpClient(balancer.port) as client:
            request_handler = balancer.listener.request_handler
            assert isinstance(request_handler, PlatformRequestHandler)
            started_ms = balancer.shared.clock.now_ms()
            request_handler._shutdown_deadline.begin(8_000.0)
            client.send_request("move", b"x")
            assert (await client.read_response()).status in (502, 504)
            assert balancer.shared.clock.now_ms() - started_ms < 8_000.0
            assert int(upstream.requests[0].headers["x-expires-in-ms"]) <= latest_response_ms

    run(scenario())


@pytest.mark.usefixtures("long_connection_time_limits")
def test_eviction_for_new_connections_aborts_no_undelivered_response() -> None:
    """Guards against evicting a connection whose client has not yet received all of its last response."""

    async def scenario() -> None:
        body = b"x" * 1_000_000
        upstream = FakeServer(serves(body))
        async with balancer_in_front_of(upstream) as balancer:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(RESPONSE_TIMEOUT_S)
            client.connect(("127.0.0.1", balancer.port))
            accepted = await accepted_connection(balancer)
            assert accepted._transport is not None
            accepted._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.sendall(request_bytes(Connection="close"))
            await wait_until(lambda: balancer.listener._lingering, "the last response is written")
            assert accepted in balancer.listener._lingering
            assert accepted.has_unsent_bytes
            assert not balancer.listener._evict_one()
            assert (await read_until_close(client)).endswith(body)

    run(scenario())


def test_idle_connection_with_an_unread_request_is_not_closed_by_the_idle_timeout() -> None:
    """Guards against losing a request that arrives just as the idle timeout of its connection expires."""

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream) as balancer:
            client = await connect_idle_client(balancer)
            connection = only_connection(balancer)
            client.sendall(request_bytes("move", b"x", Connection="close"))
            block_until_readable(connection._descriptor)
            connection.enforce_time_limits(connection.state_since_ms + 2.0 * connection.IDLE_TIMEOUT_MS)
            assert (await read_until_close(client)).count(b"HTTP/1.1 200") == 2

    run(scenario())
