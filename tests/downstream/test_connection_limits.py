"""Tests of the limits on client connections over loopback: time, memory, descriptors, eviction order."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import pytest

from sandhatch.dispatch.exchange import Exchange
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.downstream.listener import Listener
from sandhatch.http1.parser import RequestParser, ResponseParser
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection import ServerConnection
from testkit.behaviours import never_responds, serves
from testkit.clients import HttpClient, request_bytes
from testkit.polling import wait_until
from testkit.servers import Behaviour, FakeConnection, serve_ok
from testkit.wire import ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import Loopback, ScriptedBalancer, loopback, request_ok

HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"
FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
DELAYED_TARGET = "/api?delayed"
SMALL_BUFFER_BYTES = 4096


def delays_until(released: asyncio.Event) -> Behaviour:
    """Respond to requests for `DELAYED_TARGET` once the event is set, to all others immediately."""

    async def behave(request: ReceivedRequest, connection: FakeConnection) -> None:
        if request.target == DELAYED_TARGET:
            await released.wait()
        await connection.send(ok())

    return behave


async def connect_many(network: Loopback, count: int) -> list[HttpClient]:
    return [await network.connect() for _ in range(count)]


async def connect_with_small_buffers(network: Loopback) -> asyncio.StreamWriter:
    """Connect a client that reads nothing, with small socket buffers on both sides."""
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client_socket.connect(("127.0.0.1", network.balancer.port))
    _reader, writer = await asyncio.open_connection(sock=client_socket, limit=1024)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    connections = network.balancer.listener._connections
    await wait_until(lambda: connections and next(iter(connections))._transport)
    transport: Any = next(iter(connections))._transport
    with socket.socket(fileno=socket.dup(transport.get_extra_info("socket").fileno())) as raw_socket:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    return writer


def test_client_that_does_not_read_takes_bounded_memory() -> None:
    """Guards against unbounded buffering: requests of a client that reads nothing are begun only until unread
    responses have filled the balancer's send buffer for that client.
    """

    async def scenario() -> None:
        sent = 400
        async with loopback(serves(b"x" * 64_000), clients=0) as network:
            writer = await connect_with_small_buffers(network)
            (connection,) = network.balancer.listener._connections
            # Each request is sent once the server has the previous one, so that few requests are pipelined.
            for number in range(sent):
                writer.write(request_bytes())
                responded = number + 1
                await wait_until(
                    lambda responded=responded: (
                        len(network.server.requests) >= responded or connection._write_paused
                    )
                )
                if connection._write_paused:
                    break
            assert connection._transport is not None
            assert connection._transport.get_write_buffer_size() < 512 * 1024
            assert len(network.server.requests) < sent
            await request_ok(await network.connect())
            writer.close()

    run(scenario())


def test_longest_idle_connection_is_evicted_when_the_descriptor_budget_is_exhausted() -> None:
    """When the clients' descriptor budget is exhausted, the longest idle connection is closed, and a new
    client is served.
    """

    async def scenario() -> None:
        async with loopback(serve_ok, clients=0, machine=FEW_DESCRIPTORS) as network:
            budget = network.balancer.shared.max_clients
            for _ in range(budget + 10):
                await request_ok(await network.connect())
            assert len(network.balancer.listener._connections) <= budget + 1

    run(scenario())


def test_connections_with_an_incomplete_request_can_be_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that never complete their requests must not be able to occupy every connection."""
    # No client's connection times out before it can be evicted.
    monkeypatch.setattr(ClientConnection, "FIRST_REQUEST_TIMEOUT_MS", 1e9)

    async def scenario() -> None:
        async with loopback(serve_ok, clients=0, machine=FEW_DESCRIPTORS) as network:
            incomplete = await connect_many(network, network.balancer.shared.max_clients)
            for client in incomplete:
                client.send(request_bytes()[:-2])
            connections = network.balancer.listener._connections
            await wait_until(lambda: sum(c.has_partial_request for c in connections) >= len(incomplete))
            await request_ok(await network.connect())

    run(scenario())


def test_server_connections_stay_within_their_descriptor_budget() -> None:
    """While the pool has its maximum number of connections, an attempt that needs another one fails at once,
    and its request gets 502.
    """

    async def scenario() -> None:
        scripted_balancer = ScriptedBalancer([1])
        async with loopback(
            never_responds, clients=3, script=scripted_balancer, machine=FEW_DESCRIPTORS
        ) as network:
            network.pool._max_connections = 3
            for client in network.clients:
                client.send_request("move", b"x")
                await network.server.arrived.get()
            last = await network.connect()
            last.send_request("move", b"x")
            assert (await last.read_response()).status == 502
            assert network.pool.connection_count == 3
            assert network.server.connections == 3

    run(scenario())


async def trickle(client: HttpClient) -> None:
    """Send a request one byte at a time."""
    for byte in request_bytes("move", b"x" * 5000):
        client.send(bytes((byte,)))
        await asyncio.sleep(0.01)


@asynccontextmanager
async def trickling(*clients: HttpClient) -> AsyncIterator[None]:
    """Let all these clients trickle requests within the context."""
    tasks = [asyncio.ensure_future(trickle(client)) for client in clients]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def test_silent_clients_and_endless_requests_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """A silent connection is closed. An incomplete request gets 408 even if further bytes keep arriving, on a
    new and on a reused connection. A client that waits for its response is not affected.
    """
    monkeypatch.setattr(Listener, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        released = asyncio.Event()
        async with loopback(delays_until(released), clients=2) as network:
            waiting, reused = network.clients
            waiting.send_request(target=DELAYED_TARGET)
            await request_ok(reused)
            # The time limits are set only now, so that the requests above are not limited.
            monkeypatch.setattr(ClientConnection, "FIRST_REQUEST_TIMEOUT_MS", 1_000.0)
            monkeypatch.setattr(ClientConnection, "REQUEST_TIMEOUT_MS", 1_000.0)
            silent = await network.connect()
            slow = await network.connect()
            async with trickling(slow, reused):
                assert await silent.read_to_end() == b""
                for client in (slow, reused):
                    assert (await client.read_response()).status == 408
            released.set()
            assert (await waiting.read_response()).status == 200

    run(scenario())


async def fill_with_requests(network: Loopback, count: int, budget: int) -> list[HttpClient]:
    """Connect clients whose responses are delayed, asserting that client connections stay within `budget`."""
    clients = []
    for _ in range(count):
        requests_before = len(network.server.requests)
        client = await network.connect()
        clients.append(client)
        client.send_request(target=DELAYED_TARGET)
        await wait_until(lambda before=requests_before: len(network.server.requests) > before)
        assert len(network.balancer.listener._connections) <= budget
    return clients


def test_client_budget_is_enforced_without_aborting_requests_in_flight() -> None:
    """While every permitted client connection has a request in flight, a new client waits in the backlog, and
    is served once another connection can be closed. Silent connections are evicted before idle ones that
    have had a request.
    """

    async def scenario() -> None:
        released = asyncio.Event()
        scripted_balancer = ScriptedBalancer([1])
        async with loopback(
            delays_until(released), script=scripted_balancer, machine=FEW_DESCRIPTORS
        ) as network:
            listener, budget = network.balancer.listener, network.balancer.shared.max_clients
            network.pool._max_connections = 200
            reused = network.client
            await request_ok(reused)
            await connect_many(network, 60)  # clients that send nothing
            busy = await fill_with_requests(network, budget - 1, budget)
            await request_ok(reused)  # the silent connections were evicted, this connection was not
            reused.send_request(target=DELAYED_TARGET)
            late = await connect_many(network, 5)
            for client in late:
                client.send_request()
            await wait_until(lambda: listener._accept_paused)
            assert len(listener._connections) == budget
            released.set()
            for client in [*busy, reused, *late]:
                assert (await client.read_response()).status == 200

    run(scenario())


def test_connections_share_one_memory_budget() -> None:
    """A request beyond the memory budget gets 503 with Retry-After, and requests that fit are served; the
    memory of all requests is released at the end.
    """

    async def scenario() -> None:
        released = asyncio.Event()
        async with loopback(delays_until(released), clients=3) as network:
            one, two, three = network.clients
            memory_budget = network.balancer.dispatcher.memory_budget
            assert memory_budget.limit_bytes == 48 * 1024 * 1024
            memory_budget.limit_bytes = 100_000
            one.send_request("move", b"x" * 60_000, DELAYED_TARGET)
            await network.server.arrived.get()
            two.send_request("move", b"x" * 60_000)
            response = await two.read_response()
            assert (response.status, response.headers["retry-after"]) == (503, "1")
            assert await two.read_to_end() == b""
            await request_ok(three)
            released.set()
            assert (await one.read_response()).status == 200
            for client in network.clients:
                client.writer.close()
            await wait_until(lambda: not network.balancer.listener._connections)
            assert memory_budget.used_bytes == 0

    run(scenario())


async def reset_or_serve(request: ReceivedRequest, connection: FakeConnection) -> None:
    if request.target == "/api?reset":
        connection.reset()
    else:
        await connection.send(ok())


# Requests that are, in this order, served, reset by the server, of an unknown class, malformed, too long, and
# pipelined.
REQUESTS_BY_ENDING = (
    request_bytes("move", b"x"),
    request_bytes(target="/api?reset"),
    request_bytes("nosuch"),
    HEAD + b"Content-Length: -1\r\n\r\n",
    HEAD + b"Content-Length: 99999999\r\n\r\n",
    b"".join(request_bytes() for _ in range(50)),
)


async def end_connections(network: Loopback) -> None:
    """End one client connection in each way, and close the connections to the server."""
    for data in REQUESTS_BY_ENDING:
        async with HttpClient(network.balancer.port) as client:
            client.send(data)
            assert (await client.read_response()).status
    for connection in list(network.pool._open):
        connection.abort()
    await wait_until(lambda: not network.balancer.listener._connections and not network.pool._open)
    await asyncio.sleep(0)


@contextmanager
def without_garbage_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_ended_connections_and_requests_are_freed_without_the_garbage_collector() -> None:
    """With the garbage collector off, connections and requests are freed when they end, including rejected
    ones and those with a parse error.
    """

    async def scenario() -> None:
        kinds = (ClientConnection, RequestParser, ServerConnection, ResponseParser, Exchange, Attempt)
        async with loopback(reset_or_serve, clients=0, script=ScriptedBalancer([1, 1])) as network:
            with without_garbage_collector():
                await end_connections(network)
                left = [type(item).__name__ for item in gc.get_objects() if isinstance(item, kinds)]
        assert left == ["ResponseParser"]  # parser of the connection to discovery

    run(scenario())
