"""Shutdown races with what clients do.

Each test forces the two events into the bad order, by a hook at the event or by bytes that the system holds
and the program has not read.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from sandhatch.platform import graceful_shutdown
from sandhatch.platform.request_handler import PlatformRequestHandler
from testkit.clients import HttpClient, request_bytes
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import RunningBalancer, running
from tests.race_conditions.harness import block_until_readable, connect_client, serves_when, wait_until


async def read_until_close(client: socket.socket) -> bytes:
    """All bytes until the balancer closes the connection; a reset ends it too."""
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
    """Shut down as at SIGTERM, up to the moment at which the process would end."""
    await graceful_shutdown.drain(
        balancer.shared.clock,
        [balancer.listener],
        lambda: balancer.dispatcher.unanswered,
        RESPONSE_TIMEOUT_S * 1000.0,
    )


@pytest.fixture(autouse=True)
def accept_no_new_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_MS", 0.0)


def test_a_request_that_arrives_while_idle_connections_are_closed_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the received request: its bytes were in the system, unread, when nothing else was unanswered,
    and the process ended with them.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_client(balancer.port)
            await wait_until(lambda: balancer.listener.connections)
            await wait_until(lambda: next(iter(balancer.listener._connections))._transport is not None)
            (connection,) = balancer.listener._connections
            close_idle = balancer.listener.close_idle

            def close_idle_as_a_request_arrives() -> None:
                monkeypatch.setattr(balancer.listener, "close_idle", close_idle)
                client.sendall(request_bytes("move", b"x"))
                block_until_readable(connection._descriptor)
                close_idle()

            monkeypatch.setattr(balancer.listener, "close_idle", close_idle_as_a_request_arrives)
            await drain(balancer)
            assert len(upstream.requests) == 1  # before the process may end
            answer = await read_until_close(client)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer
        upstream.close()

    run(work())


def test_clients_that_wait_in_the_backlog_when_accepting_stops_are_served() -> None:
    """Guards the received request: its connection waited for a slot when accepting stopped."""

    async def work() -> None:
        released = asyncio.Event()

        upstream = await FakeServer(serves_when(released)).start()
        async with running(upstream.entry("a")) as balancer:
            balancer.shared.client_budget = 2
            clients = [connect_client(balancer.port) for _ in range(6)]
            for client in clients:
                client.sendall(request_bytes())
            for _ in range(2):
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await upstream.arrived.get()
            ending = asyncio.create_task(drain(balancer))
            await asyncio.sleep(0)
            await wait_until(lambda: balancer.listener._stopping)
            released.set()
            answers = [await read_until_close(client) for client in clients]
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ending
            assert balancer.listener._socket is None
        upstream.close()

    run(work())


def test_a_request_that_arrives_after_its_idle_connection_is_closed_is_never_read() -> None:
    """Guards against losing it: the balancer answers what it has read; the client may retry the rest."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes())
            await wait_until(lambda: balancer.listener._idle)
            (connection,) = balancer.listener._connections
            balancer.listener.stop_accepting()
            balancer.listener.close_idle()
            client.sendall(request_bytes("move", b"x"))
            answer = await read_until_close(client)
            assert answer.count(b"HTTP/1.1 200") == 1
            assert connection._discarded_bytes == 0
            assert len(upstream.requests) == 1
            assert not balancer.listener.open_count
        upstream.close()

    run(work())


def test_the_process_ends_no_sooner_than_its_last_answer_is_read() -> None:
    """Guards the answer in transit: a process that ends with bytes unread resets the connection."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes(Connection="close"))
            await wait_until(lambda: balancer.listener._lingering)
            client.sendall(b"noise")
            ending = asyncio.create_task(drain(balancer))
            for _ in range(5):
                await asyncio.sleep(graceful_shutdown.POLL_INTERVAL_S)
            assert not ending.done()
            assert (await read_until_close(client)).startswith(b"HTTP/1.1 200")
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ending
        upstream.close()

    run(work())


def test_a_request_that_arrives_late_is_answered_before_sigkill_may_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the received request whose deadline is the longest: SIGKILL does not wait for it."""

    async def work() -> None:
        async def hangs(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.ended()

        monkeypatch.setattr(graceful_shutdown, "LATE_ARRIVAL_MS", 0.0)
        monkeypatch.setattr(graceful_shutdown, "MAX_COUNTED_DEADLINE_MS", 600.0)
        upstream = await FakeServer(hangs).start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            request_handler = balancer.listener.request_handler
            assert isinstance(request_handler, PlatformRequestHandler)
            started_ms = balancer.shared.clock.now_ms()
            request_handler._shutdown_deadline.begin(8_000.0)
            client.send_request("move", b"x")
            assert (await client.read_response()).status in (502, 504)
            assert balancer.shared.clock.now_ms() - started_ms < 8_000.0
            assert int(upstream.requests[0].headers["x-expires-in-ms"]) <= 500
        upstream.close()

    run(work())


def test_closing_connections_for_new_ones_aborts_no_undelivered_answer() -> None:
    """Guards the last answer of a connection: its request has ended, and the client does not have it yet."""

    async def work() -> None:
        body = b"x" * 1_000_000

        async def large(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(body))

        upstream = await FakeServer(large).start()
        async with running(upstream.entry("a")) as balancer:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(RESPONSE_TIMEOUT_S)
            client.connect(("127.0.0.1", balancer.port))
            await wait_until(
                lambda: any(connection._transport for connection in balancer.listener._connections)
            )
            (accepted,) = balancer.listener._connections
            assert accepted._transport is not None
            accepted._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.sendall(request_bytes(Connection="close"))
            await wait_until(lambda: balancer.listener._lingering)
            (connection,) = balancer.listener._lingering
            assert connection.undelivered
            assert not balancer.listener._evict_one()
            assert (await read_until_close(client)).endswith(body)
        upstream.close()

    run(work())


def test_an_idle_connection_with_an_unread_request_is_not_closed_for_its_age() -> None:
    """Guards the request that arrives as the idle time-out of its connection ends."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes())
            await wait_until(lambda: balancer.listener._idle)
            (connection,) = balancer.listener._connections
            client.sendall(request_bytes("move", b"x", Connection="close"))
            block_until_readable(connection._descriptor)
            connection.check(connection.since_ms + 2.0 * connection.IDLE_MS)
            assert (await read_until_close(client)).count(b"HTTP/1.1 200") == 2
        upstream.close()

    run(work())
