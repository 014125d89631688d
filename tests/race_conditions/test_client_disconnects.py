"""A client disconnects while its request waits: nothing is sent to a server from then on."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import ClientDisconnected, Event, Outcome, RequestArrived, TimerFired
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.upstream.connection import ServerConnection
from testkit.clients import request_bytes
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, status
from tests.event_loop import run
from tests.fakes import RunningBalancer, ScriptedBalancer, running
from tests.race_conditions.harness import answers_when, connect_client, serves_when, wait_until

MAX_NOTICE_MS = 100.0  # after that no attempt may begin


def connect_pipelining_client(balancer: RunningBalancer) -> socket.socket:
    """A client that pipelines so many requests that nothing more is read from it, its end of stream included.

    The sweeps that look for ends are off: only the check before each attempt can notice the disconnect.
    """
    balancer.listener.SWEEP_MS = balancer.listener.DISCONNECT_POLL_MS = 1e9
    client = connect_client(balancer.port)
    client.sendall(b"".join(request_bytes() for _ in range(ClientConnection.AHEAD)))
    return client


async def wait_until_reading_paused(balancer: RunningBalancer, client: socket.socket) -> None:
    """Called once the client's first request has begun."""
    client.sendall(request_bytes())
    (connection,) = balancer.listener._connections
    connection.check = lambda now_ms: None  # type: ignore[method-assign]
    await wait_until(lambda: connection.queue_full)


async def disconnect_unnoticed(balancer: RunningBalancer, client: socket.socket) -> None:
    """The client disconnects; the system knows and the program does not yet."""
    (connection,) = balancer.listener._connections
    client.close()
    await wait_until(connection.has_disconnected)
    assert balancer.dispatcher.unanswered


def test_a_disconnect_behind_pipelined_requests_is_noticed_with_reading_paused() -> None:
    """Guards against serving a client that has disconnected: with reading paused its end is not read."""

    async def work() -> None:
        released = asyncio.Event()

        upstream = await FakeServer(serves_when(released)).start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            client = connect_client(balancer.port)
            client.sendall(b"".join(request_bytes() for _ in range(4)))
            await wait_until(lambda: upstream.requests)
            client.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await wait_until(lambda: len(connection._waiting) == connection.AHEAD)
            balancer.listener.SWEEP_MS = 1e9  # which is for the others
            connection.check = lambda now_ms: None  # type: ignore[method-assign]
            assert 2.0 * balancer.listener.DISCONNECT_POLL_MS <= MAX_NOTICE_MS
            client.close()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):  # it is looked out for, though the upstream hangs
                while not isinstance(await script.notifications.get(), ClientDisconnected):
                    pass
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_no_pipelined_request_begins_after_the_answer_if_the_client_has_disconnected() -> None:
    """The answer comes before the sweep that looks for disconnects: the next request does not begin."""

    async def work() -> None:
        released = asyncio.Event()

        upstream = await FakeServer(serves_when(released)).start()
        async with running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer:
            client = connect_client(balancer.port)
            client.sendall(b"".join(request_bytes() for _ in range(4)))
            await wait_until(lambda: upstream.requests)
            client.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await wait_until(lambda: len(connection._waiting) == connection.AHEAD)
            balancer.listener.SWEEP_MS = 1e9
            connection.check = lambda now_ms: None  # type: ignore[method-assign]
            client.close()
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open and not balancer.listener.connections)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_a_client_that_disconnects_before_its_request_is_read_is_not_served() -> None:
    """A client that sends and disconnects at once, while the balancer is busy elsewhere."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            disconnected: list[ClientConnection] = []
            balancer.listener.left = disconnected.append  # type: ignore[method-assign]
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            client.close()  # the loop has not run since: the system holds both
            await wait_until(lambda: disconnected)
            assert not any(isinstance(event, RequestArrived) for event in script.events)
            assert not upstream.requests
        upstream.close()

    run(work())


def test_the_last_byte_is_not_written_after_a_disconnect() -> None:
    """The client disconnects between writing the request's first bytes and its last."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            pool = balancer.dispatcher.connection_pool
            client = connect_client(balancer.port)
            client.sendall(request_bytes())
            await wait_until(lambda: upstream.requests and not balancer.dispatcher.open)
            deferred_calls: list[Callable[[], None]] = []
            pool.later = deferred_calls.append  # type: ignore[method-assign]
            client.sendall(request_bytes("move", b"x"))
            await wait_until(lambda: deferred_calls)
            client.close()
            await wait_until(lambda: any(isinstance(event, ClientDisconnected) for event in script.events))
            deferred_calls[0]()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_nothing_is_written_to_a_connection_established_after_the_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is established only after the disconnect: it is pooled, and nothing is written to it."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            released = asyncio.Event()
            loop = asyncio.get_running_loop()
            connect = loop.create_connection
            connected = asyncio.Event()

            async def connect_late(factory: Callable[[], ServerConnection], host: str, port: int) -> object:
                connection = await connect(factory, host, port)
                connected.set()
                await released.wait()
                return connection

            class LateConnectingLoop:
                create_connection = staticmethod(connect_late)
                create_task = staticmethod(loop.create_task)

            monkeypatch.setattr(
                "sandhatch.upstream.connection_pool.asyncio.get_running_loop", lambda: LateConnectingLoop
            )
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await connected.wait()
            monkeypatch.undo()
            client.close()
            await wait_until(lambda: any(isinstance(event, ClientDisconnected) for event in script.events))
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert not upstream.requests
        upstream.close()

    run(work())


def test_a_queued_request_is_not_dispatched_after_a_disconnect() -> None:
    """The balancer queues it because there is no server; one that becomes ready then gets nothing."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a", lifecycle="leaving")) as balancer:
            decisions = balancer.dispatcher.balancer
            assert isinstance(decisions, Balancer)
            handle = decisions.handle
            events: list[Event] = []

            def handle_recorded(now_ms: float, event: Event) -> list[Action]:
                events.append(event)
                return handle(now_ms, event)

            decisions.handle = handle_recorded  # type: ignore[method-assign]
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await wait_until(lambda: decisions.queued)
            client.close()
            await wait_until(lambda: any(isinstance(event, ClientDisconnected) for event in events))
            balancer.discovery.change(upstream.entry("a"))
            await wait_until(lambda: balancer.dispatcher.ready)
            event_count = len(events)
            await wait_until(lambda: any(isinstance(event, TimerFired) for event in events[event_count:]))
            assert not balancer.dispatcher.open
            assert not upstream.requests
        upstream.close()

    run(work())


def test_a_failed_attempt_is_not_retried_after_a_disconnect() -> None:
    """The first attempt fails after the client has disconnected: there is no second."""

    async def work() -> None:
        released = asyncio.Event()
        upstream = await FakeServer(answers_when(released, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes())
            await wait_until(lambda: upstream.requests)
            client.close()
            await wait_until(lambda: not balancer.dispatcher.unanswered)
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_a_failed_attempt_is_not_retried_after_an_unnoticed_disconnect() -> None:
    """With reading paused: the failure comes before the disconnect has been noticed."""

    async def work() -> None:
        released = asyncio.Event()
        upstream = await FakeServer(answers_when(released, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            client = connect_pipelining_client(balancer)
            await wait_until(lambda: upstream.requests)
            await wait_until_reading_paused(balancer, client)
            await disconnect_unnoticed(balancer, client)
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_a_hedged_request_is_not_sent_after_an_unnoticed_disconnect() -> None:
    """The hedge would go to another server while the first attempt is in flight."""

    async def work() -> None:
        released = asyncio.Event()
        first, second = await FakeServer(serves_when(released)).start(), await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(first.entry("a"), second.entry("b"), script=script) as balancer:
            script.more = lambda event: (
                [Send(1, 2, 0.0)] if isinstance(event, TimerFired) and event.cookie == 1 else None
            )
            client = connect_pipelining_client(balancer)
            await wait_until(lambda: first.requests)
            await wait_until_reading_paused(balancer, client)
            await disconnect_unnoticed(balancer, client)
            balancer.dispatcher._deliver(TimerFired(1))
            assert script.ends()[-1].outcome is Outcome.DISCARDED
            assert any(isinstance(event, ClientDisconnected) for event in script.events)
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert not second.requests
            assert second.connections == 0
        first.close()
        second.close()

    run(work())


def test_the_last_byte_is_not_written_after_an_unnoticed_disconnect() -> None:
    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            with connect_client(balancer.port) as other:  # leaves a pooled connection
                other.sendall(request_bytes())
                await wait_until(lambda: upstream.requests and not balancer.dispatcher.open)
            await wait_until(lambda: not balancer.listener.connections)
            deferred_calls: list[Callable[[], None]] = []
            balancer.dispatcher.connection_pool.later = deferred_calls.append  # type: ignore[method-assign]
            client = connect_pipelining_client(balancer)
            await wait_until(lambda: deferred_calls)
            await wait_until_reading_paused(balancer, client)
            await disconnect_unnoticed(balancer, client)
            deferred_calls[0]()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())


def test_a_queued_request_is_not_dispatched_after_an_unnoticed_disconnect() -> None:
    async def work() -> None:
        upstream = await FakeServer().start()
        async with running(upstream.entry("a", lifecycle="leaving")) as balancer:
            decisions = balancer.dispatcher.balancer
            assert isinstance(decisions, Balancer)
            client = connect_pipelining_client(balancer)
            await wait_until(lambda: decisions.queued)
            await wait_until_reading_paused(balancer, client)
            await disconnect_unnoticed(balancer, client)
            balancer.discovery.change(upstream.entry("a"))
            await wait_until(lambda: not balancer.dispatcher.open)
            assert not upstream.requests
            assert upstream.connections == 0
        upstream.close()

    run(work())


@pytest.mark.parametrize("noticed", [True, False], ids=["noticed", "unnoticed"])
def test_a_reset_by_the_client_counts_as_a_disconnect(noticed: bool) -> None:
    """Whether or not the balancer reads from it."""

    async def work() -> None:
        released = asyncio.Event()
        upstream = await FakeServer(answers_when(released, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            if noticed:
                client = connect_client(balancer.port)
                client.sendall(request_bytes())
            else:
                client = connect_pipelining_client(balancer)
            await wait_until(lambda: upstream.requests)
            if not noticed:
                await wait_until_reading_paused(balancer, client)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            (connection,) = balancer.listener._connections
            client.close()
            await wait_until(
                lambda: not balancer.dispatcher.unanswered if noticed else connection.has_disconnected()
            )
            released.set()
            await wait_until(lambda: not balancer.dispatcher.open)
            assert len(upstream.requests) == 1
        upstream.close()

    run(work())
