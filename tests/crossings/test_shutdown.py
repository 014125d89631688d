"""The end of a process crosses what callers do: each test puts the two events in the bad order, by a seam at
the event or by bytes that the system holds and the program has not read.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from sandhatch.platform import graceful_shutdown as draining
from sandhatch.platform.program import PlatformRequestHandler
from tests.crossings.harness import dial, holds, until, until_unread
from tests.event_loop import run
from tests.fakes import (
    PATIENCE_S,
    FakeUpstream,
    HttpClient,
    Incoming,
    Running,
    Talk,
    ok,
    request_bytes,
    running,
)


async def said(client: socket.socket) -> bytes:
    """All that comes until the balancer closes; a reset ends it too."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    came = b""
    async with asyncio.timeout(PATIENCE_S):
        try:
            while part := await loop.sock_recv(client, 65536):
                came += part
        except ConnectionResetError:
            pass
    client.close()
    return came


async def drained(balancer: Running) -> None:
    """As at SIGTERM, up to the moment at which the process would end."""
    await draining.drain(
        balancer.shared.clock,
        [balancer.listener],
        lambda: balancer.dispatcher.unanswered,
        PATIENCE_S * 1000.0,
    )


@pytest.fixture(autouse=True)
def no_newcomers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(draining, "ACCEPT_MS", 0.0)


def test_a_request_that_comes_as_its_idle_connection_is_looked_at_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the taken request: its bytes were in the system, unread, when nothing else was owed, and the
    process ended with them.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer:
            client = dial(balancer.port)
            await until(lambda: balancer.listener.connections)
            await until(lambda: next(iter(balancer.listener._connections))._transport is not None)
            (connection,) = balancer.listener._connections
            look = balancer.listener.end_idle

            def crossed() -> None:
                monkeypatch.setattr(balancer.listener, "end_idle", look)
                client.sendall(request_bytes("move", b"x"))
                until_unread(connection._descriptor)
                look()

            monkeypatch.setattr(balancer.listener, "end_idle", crossed)
            await drained(balancer)
            assert len(upstream.seen) == 1  # before the process may end
            answer = await said(client)
            assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        upstream.close()

    run(work())


def test_callers_that_the_system_accepted_while_every_place_was_taken_are_served() -> None:
    """Guards the taken request: it waited in the system for a place when accepting stopped."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        async with running(upstream.entry("a")) as balancer:
            balancer.shared.client_budget = 2
            clients = [dial(balancer.port) for _ in range(6)]
            for client in clients:
                client.sendall(request_bytes())
            for _ in range(2):
                async with asyncio.timeout(PATIENCE_S):
                    await upstream.arrived.get()
            ending = asyncio.create_task(drained(balancer))
            await asyncio.sleep(0)
            await until(lambda: balancer.listener._stopping)
            go.set()
            answers = [await said(client) for client in clients]
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            async with asyncio.timeout(PATIENCE_S):
                await ending
            assert balancer.listener._socket is None
        upstream.close()

    run(work())


def test_a_request_behind_the_close_of_its_idle_connection_is_never_read() -> None:
    """Guards against losing it: what was read is the balancer's to answer, what was not is the caller's to
    send again.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer:
            client = dial(balancer.port)
            client.sendall(request_bytes())
            await until(lambda: balancer.listener._idle)
            (connection,) = balancer.listener._connections
            balancer.listener.stop_accepting()
            balancer.listener.end_idle()
            client.sendall(request_bytes("move", b"x"))
            answer = await said(client)
            assert answer.count(b"HTTP/1.1 200") == 1
            assert connection._dropped == 0 and len(upstream.seen) == 1
            assert not balancer.listener.taking
        upstream.close()

    run(work())


def test_the_process_ends_no_sooner_than_its_last_answer_was_read() -> None:
    """Guards the answer on its way: the end of a process with bytes unread resets the connection."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer:
            client = dial(balancer.port)
            client.sendall(request_bytes(Connection="close"))
            await until(lambda: balancer.listener._leaving)
            client.sendall(b"noise")
            ending = asyncio.create_task(drained(balancer))
            for _ in range(5):
                await asyncio.sleep(draining.STEP_S)
            assert not ending.done()
            assert (await said(client)).startswith(b"HTTP/1.1 200")
            async with asyncio.timeout(PATIENCE_S):
                await ending
        upstream.close()

    run(work())


def test_a_request_that_comes_late_is_answered_before_it_could_be_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the taken request with the longest deadline still to run: SIGKILL does not wait for it."""

    async def work() -> None:
        async def hangs(request: Incoming, talk: Talk) -> None:
            await talk.ended()

        monkeypatch.setattr(draining, "LATE_MS", 0.0)
        monkeypatch.setattr(draining, "LONGEST_MS", 600.0)
        upstream = await FakeUpstream(hangs).start()
        async with running(upstream.entry("a")) as balancer, HttpClient(balancer.port) as client:
            front = balancer.listener.request_handler
            assert isinstance(front, PlatformRequestHandler)
            begun = balancer.shared.clock.now_ms()
            front._last_call.begin(8_000.0)
            client.ask("move", b"x")
            assert (await client.answer()).status in (502, 504)
            assert balancer.shared.clock.now_ms() - begun < 8_000.0
            assert int(upstream.seen[0].headers["x-expires-in-ms"]) <= 500
        upstream.close()

    run(work())


def test_making_room_cuts_off_no_answer_that_has_not_left() -> None:
    """Guards the last answer of a connection: it is in no table of requests, and not with its caller."""

    async def work() -> None:
        body = b"x" * 1_000_000

        async def large(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(body))

        upstream = await FakeUpstream(large).start()
        async with running(upstream.entry("a")) as balancer:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(PATIENCE_S)
            client.connect(("127.0.0.1", balancer.port))
            await until(lambda: any(item._transport for item in balancer.listener._connections))
            (accepted,) = balancer.listener._connections
            assert accepted._transport is not None
            accepted._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.sendall(request_bytes(Connection="close"))
            await until(lambda: balancer.listener._leaving)
            (connection,) = balancer.listener._leaving
            assert connection.undelivered
            assert not balancer.listener._make_room()
            assert (await said(client)).endswith(body)
        upstream.close()

    run(work())


def test_an_idle_connection_is_not_closed_for_its_age_with_a_request_unread() -> None:
    """Guards the request that comes as the time of its connection is over."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer:
            client = dial(balancer.port)
            client.sendall(request_bytes())
            await until(lambda: balancer.listener._idle)
            (connection,) = balancer.listener._connections
            client.sendall(request_bytes("move", b"x", Connection="close"))
            until_unread(connection._descriptor)
            connection.check(connection.since_ms + 2.0 * connection.IDLE_MS)
            assert (await said(client)).count(b"HTTP/1.1 200") == 2
        upstream.close()

    run(work())
