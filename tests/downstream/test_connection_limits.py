"""Limits of client connections over loopback: time, memory and descriptors, and what gives way to whom."""

from __future__ import annotations

import asyncio
import gc
import socket
from typing import Any

import pytest

from sandhatch.dispatch.exchange import Exchange
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.downstream.listener import Listener
from sandhatch.http1.parser import RequestParser, ResponseParser
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection import ServerConnection
from testkit.clients import HttpClient, request_bytes
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import stays_silent

HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"


def test_a_client_that_does_not_read_takes_bounded_memory() -> None:
    """No further request is begun for a client until its answers are read."""

    async def work() -> None:
        async def large(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(b"x" * 64_000))

        upstream = await FakeServer(large).start()
        async with running(upstream.entry("a")) as balancer:
            side = socket.socket()
            side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            side.connect(("127.0.0.1", balancer.port))
            _reader, writer = await asyncio.open_connection(sock=side, limit=1024)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            asked = 400
            connection: Any = None
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                for n in range(asked):  # never more ahead than is allowed
                    writer.write(request_bytes())
                    while len(upstream.requests) <= n and not (connection and connection._write_paused):
                        await asyncio.sleep(0.001)
                        connection = next(iter(balancer.listener._connections))
                    if connection._write_paused:
                        break
            assert connection._transport is not None
            assert connection._transport.get_write_buffer_size() < 512 * 1024
            assert len(upstream.requests) < asked
            async with HttpClient(balancer.port) as other:
                other.send_request()
                assert (await other.read_response()).status == 200
            writer.close()
        upstream.close()

    run(work())


def test_idle_connections_are_evicted_when_the_descriptor_budget_is_spent() -> None:
    """Past the clients' descriptor budget the connection idle for longest is closed, and a new client is
    served.
    """

    async def work() -> None:
        upstream = await FakeServer().start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits) as balancer:
            budget = balancer.shared.client_budget
            clients = []
            for _ in range(budget + 10):
                client = await HttpClient(balancer.port).__aenter__()
                clients.append(client)
                client.send_request()
                assert (await client.read_response()).status == 200
            assert len(balancer.listener._connections) <= budget + 1
            for client in clients:
                client.writer.close()
        upstream.close()

    run(work())


def test_connections_with_an_incomplete_request_are_evicted_too() -> None:
    """Clients may take every connection with a request that they never complete."""

    async def work() -> None:
        upstream = await FakeServer().start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits) as balancer:
            halves = []
            for _ in range(balancer.shared.client_budget):
                client = await HttpClient(balancer.port).__aenter__()
                halves.append(client)
                client.send(request_bytes()[:-2])
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while sum(c.has_partial_request for c in balancer.listener._connections) < len(halves):
                    await asyncio.sleep(0.01)
            async with HttpClient(balancer.port) as good:
                good.send_request()
                assert (await good.read_response()).status == 200
            for client in halves:
                client.writer.close()
        upstream.close()

    run(work())


def test_connections_to_servers_keep_to_their_descriptor_budget() -> None:
    """Past the budget an attempt ends as never sent, at once."""

    async def work() -> None:
        upstream = await FakeServer(stays_silent).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), script=ScriptedBalancer([1]), machine=limits) as balancer:
            pool = balancer.dispatcher.connection_pool
            pool._budget = 3
            clients = []
            for _ in range(3):
                client = await HttpClient(balancer.port).__aenter__()
                clients.append(client)
                client.send_request("move", b"x")
                await upstream.arrived.get()
            async with HttpClient(balancer.port) as last:
                last.send_request("move", b"x")
                assert (await last.read_response()).status == 502
            assert pool.sockets == 3
            assert upstream.connections == 3
            for client in clients:
                client.writer.close()
        upstream.close()

    run(work())


def test_silent_clients_and_endless_requests_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """A silent connection is closed; an incomplete request gets 408 however often a byte of it comes, on a
    new connection and on a reused one; a client that waits for its answer is left alone.
    """

    async def work() -> None:
        monkeypatch.setattr(Listener, "SWEEP_MS", 10.0)
        go = asyncio.Event()

        async def answers_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            if request.target == "/api?held":
                await go.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_late).start()

        async def trickle(client: HttpClient) -> None:
            for byte in request_bytes("move", b"x" * 5000):
                client.send(bytes((byte,)))
                await asyncio.sleep(0.01)

        async with (
            running(upstream.entry("a")) as balancer,
            HttpClient(balancer.port) as waiting,
            HttpClient(balancer.port) as kept,
        ):
            waiting.send_request(target="/api?held")
            kept.send_request()
            assert (await kept.read_response()).status == 200
            # From here on, so that the requests above have the time they need.
            monkeypatch.setattr(ClientConnection, "FIRST_REQUEST_MS", 1_000.0)
            monkeypatch.setattr(ClientConnection, "REQUEST_MS", 1_000.0)
            silent = await HttpClient(balancer.port).__aenter__()
            slow = await HttpClient(balancer.port).__aenter__()
            tasks = [asyncio.ensure_future(trickle(client)) for client in (slow, kept)]
            assert await silent.read_to_end() == b""
            for client in (slow, kept):
                assert (await client.read_response()).status == 408
            for task in tasks:
                task.cancel()
            go.set()
            assert (await waiting.read_response()).status == 200
            for client in (silent, slow):
                client.writer.close()
        upstream.close()

    run(work())


def test_the_client_budget_is_a_cap_that_aborts_no_request_in_flight() -> None:
    """With a request in flight in every slot a new client waits in the backlog, and is served once a slot is
    free; silent connections are evicted before those between requests.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def answers_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            if request.target == "/api?held":
                await go.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_late).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits, script=ScriptedBalancer([1])) as balancer:
            listener, budget = balancer.listener, balancer.shared.client_budget
            balancer.dispatcher.connection_pool._budget = 200
            kept = await HttpClient(balancer.port).__aenter__()
            kept.send_request()
            assert (await kept.read_response()).status == 200
            silent = [await HttpClient(balancer.port).__aenter__() for _ in range(60)]
            busy = []
            for n in range(budget - 1):
                client = await HttpClient(balancer.port).__aenter__()
                busy.append(client)
                client.send_request(target="/api?held")
                while len(upstream.requests) < n + 2:
                    await upstream.arrived.get()
                assert len(listener._connections) <= budget
            kept.send_request()  # the silent ones were closed, this one was not
            assert (await kept.read_response()).status == 200
            kept.send_request(target="/api?held")
            late = [await HttpClient(balancer.port).__aenter__() for _ in range(5)]
            for client in late:
                client.send_request()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not listener._accept_paused:
                    await asyncio.sleep(0.01)
            assert len(listener._connections) == budget
            go.set()
            for client in [*busy, kept, *late]:
                assert (await client.read_response()).status == 200
            for client in [*silent, *busy, kept, *late]:
                client.writer.close()
        upstream.close()

    run(work())


def test_all_connections_share_one_memory_budget() -> None:
    """What does not fit is rejected with Retry-After, others are served, and nothing stays booked."""

    async def work() -> None:
        go = asyncio.Event()

        async def answers_late(request: ReceivedRequest, talk: FakeConnection) -> None:
            if request.body:
                await go.wait()
            await talk.send(ok())

        upstream = await FakeServer(answers_late).start()
        async with running(upstream.entry("a")) as balancer:
            memory_budget = balancer.dispatcher.memory_budget
            assert memory_budget.limit_bytes == 48 * 1024 * 1024
            memory_budget.limit_bytes = 100_000
            async with (
                HttpClient(balancer.port) as one,
                HttpClient(balancer.port) as two,
                HttpClient(balancer.port) as three,
            ):
                one.send_request("move", b"x" * 60_000)
                await upstream.arrived.get()
                two.send_request("move", b"x" * 60_000)
                answer = await two.read_response()
                assert (answer.status, answer.headers["retry-after"]) == (503, "1")
                assert await two.read_to_end() == b""
                three.send_request()
                assert (await three.read_response()).status == 200
                go.set()
                assert (await one.read_response()).status == 200
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while balancer.listener._connections:
                    await asyncio.sleep(0.01)
            assert memory_budget.used_bytes == 0
        upstream.close()

    run(work())


def test_nothing_is_left_to_the_garbage_collector() -> None:
    """Connections and requests are freed as they end, rejected ones and ones with a parse error too, with the
    garbage collector off.
    """

    async def work() -> None:
        async def mixed(request: ReceivedRequest, talk: FakeConnection) -> None:
            if request.target == "/api?reset":
                talk.reset()
            else:
                await talk.send(ok())

        upstream = await FakeServer(mixed).start()
        async with running(upstream.entry("a"), script=ScriptedBalancer([1, 1])) as balancer:
            gc.collect()
            gc.disable()
            try:
                for data in (
                    request_bytes("move", b"x"),
                    request_bytes(target="/api?reset"),
                    request_bytes("nosuch"),
                    HEAD + b"Content-Length: -1\r\n\r\n",
                    HEAD + b"Content-Length: 99999999\r\n\r\n",
                    b"".join(request_bytes() for _ in range(50)),
                ):
                    async with HttpClient(balancer.port) as client:
                        client.send(data)
                        assert (await client.read_response()).status
                for connection in list(balancer.dispatcher.connection_pool._open):
                    connection.abort()
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    while balancer.listener._connections or balancer.dispatcher.connection_pool._open:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0)
                kinds = (ClientConnection, RequestParser, ServerConnection, ResponseParser, Exchange, Attempt)
                left = [type(item).__name__ for item in gc.get_objects() if isinstance(item, kinds)]
            finally:
                gc.enable()
        upstream.close()
        assert left == ["ResponseParser"]  # of the connection to discovery

    run(work())
