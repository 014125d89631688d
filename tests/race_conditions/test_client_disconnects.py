"""A client disconnects while its request waits: nothing is sent to a server from then on.

Two kinds of disconnect: one that the balancer notices as it reads, and one that it has not noticed, because
reading is paused, when it is about to send.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import ClientDisconnected, Event, Outcome, RequestArrived, TimerFired
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.downstream.listener import Listener
from sandhatch.upstream.connection import ServerConnection
from testkit.behaviours import fails_with
from testkit.clients import request_bytes
from testkit.polling import wait_until
from testkit.servers import FakeServer
from tests.event_loop import run
from tests.fakes import RunningBalancer, ScriptedBalancer, running
from tests.race_conditions.harness import (
    HeldLastBytes,
    HoldingServer,
    balancer_before,
    close_and_block_until_delivered,
    connect_client,
    only_connection,
    reset,
    wait_until_disconnect_noticed,
    wait_until_nothing_in_flight,
    wait_until_requested,
)

MAX_NOTICE_MS = 100.0  # after that no attempt may begin
NEVER_MS = 1e9

Disconnect = Callable[[socket.socket], None]


def connect_pipelining_client(
    balancer: RunningBalancer, disconnect_poll_ms: float = NEVER_MS
) -> socket.socket:
    """A client that has sent a request and all but one of those that may queue behind it.

    The sweep is off: once reading is paused, only the poll and the check before each attempt can notice a
    disconnect. By default the poll is off too.
    """
    balancer.listener.SWEEP_MS = NEVER_MS
    balancer.listener.DISCONNECT_POLL_MS = disconnect_poll_ms
    client = connect_client(balancer.port)
    client.sendall(b"".join(request_bytes() for _ in range(ClientConnection.MAX_QUEUED_REQUESTS)))
    return client


async def pause_reading(balancer: RunningBalancer, client: socket.socket) -> None:
    """A pipelining client, whose first request has begun, fills the queue: its end is not read either."""
    client.sendall(request_bytes())
    connection = only_connection(balancer)
    connection.check = lambda _: None  # type: ignore[method-assign]  # a sweep that was due already
    await wait_until(lambda: connection.queue_full, "reading from the client is paused")


async def disconnect_unnoticed(
    balancer: RunningBalancer, client: socket.socket, disconnect: Disconnect = socket.socket.close
) -> None:
    """A pipelining client disconnects with reading paused; the system knows and the program does not yet."""
    await pause_reading(balancer, client)
    connection = only_connection(balancer)
    disconnect(client)
    await wait_until(connection.has_disconnected, "the disconnect is in the system")
    assert balancer.dispatcher.pending_requests


def test_a_disconnect_behind_pipelined_requests_is_noticed_with_reading_paused() -> None:
    """Guards against serving a client that has disconnected: with reading paused its end is not read."""

    async def work() -> None:
        upstream = HoldingServer()
        script = ScriptedBalancer([1])
        async with balancer_before(upstream, script) as balancer:
            assert 2.0 * Listener.DISCONNECT_POLL_MS <= MAX_NOTICE_MS
            client = connect_pipelining_client(balancer, Listener.DISCONNECT_POLL_MS)
            await wait_until_requested(upstream)
            await pause_reading(balancer, client)
            client.close()
            # By the poll: the upstream holds its response.
            await wait_until_disconnect_noticed(script.events)
            upstream.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(work())


def test_no_pipelined_request_begins_after_the_answer_if_the_client_has_disconnected() -> None:
    """The answer comes before the poll that looks for disconnects: the next request does not begin."""

    async def work() -> None:
        upstream = HoldingServer()
        async with balancer_before(upstream, ScriptedBalancer([1])) as balancer:
            client = connect_pipelining_client(balancer)
            await wait_until_requested(upstream)
            await disconnect_unnoticed(balancer, client)
            upstream.release()
            await wait_until_nothing_in_flight(balancer)
            await wait_until(lambda: not balancer.listener.connections, "the connection is closed")
            assert len(upstream.requests) == 1

    run(work())


def test_a_client_that_disconnects_before_its_request_is_read_is_not_served() -> None:
    """A client that sends and disconnects at once, while the balancer is busy elsewhere."""

    async def work() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_before(upstream, script) as balancer:
            disconnected: list[ClientConnection] = []
            balancer.listener.on_connection_closed = disconnected.append  # type: ignore[method-assign]
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            close_and_block_until_delivered(client)
            await wait_until(lambda: disconnected, "the balancer has read the end of stream")
            assert not any(isinstance(event, RequestArrived) for event in script.events)
            assert not upstream.requests

    run(work())


def test_the_last_byte_is_not_written_after_a_disconnect() -> None:
    """The client disconnects between writing the request's first bytes and its last."""

    async def work() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_before(upstream, script) as balancer:
            client = connect_client(balancer.port)
            client.sendall(request_bytes())
            await wait_until_requested(upstream)
            await wait_until_nothing_in_flight(balancer)  # the connection to the server is pooled
            last_bytes = HeldLastBytes(balancer.dispatcher.connection_pool)
            client.sendall(request_bytes("move", b"x"))
            await last_bytes.wait_until_held()
            client.close()
            await wait_until_disconnect_noticed(script.events)
            last_bytes.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(work())


class HeldConnect:
    """Holds what the pool gets of the next connection to a server, which is established at once."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Holds from now on."""
        self._loop = asyncio.get_running_loop()
        self._monkeypatch = monkeypatch
        self._established = asyncio.Event()
        self._released = asyncio.Event()
        self.create_task = self._loop.create_task
        monkeypatch.setattr("sandhatch.upstream.connection_pool.asyncio.get_running_loop", lambda: self)

    async def create_connection(
        self, factory: Callable[[], ServerConnection], host: str, port: int
    ) -> object:
        """Takes the event loop's place: connects, and returns once it is released."""
        connection = await self._loop.create_connection(factory, host, port)
        self._established.set()
        await self._released.wait()
        return connection

    async def wait_until_held(self) -> None:
        """Wait until the connection is established; later ones are not held."""
        await self._established.wait()
        self._monkeypatch.undo()

    def release(self) -> None:
        """Let the pool have the connection."""
        self._released.set()


def test_nothing_is_written_to_a_connection_established_after_the_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is established only after the disconnect: it is pooled, and nothing is written to it."""

    async def work() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_before(upstream, script) as balancer:
            connect = HeldConnect(monkeypatch)
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await connect.wait_until_held()
            client.close()
            await wait_until_disconnect_noticed(script.events)
            connect.release()
            await wait_until_nothing_in_flight(balancer)
            assert not upstream.requests

    run(work())


def decisions_of(balancer: RunningBalancer) -> Balancer:
    """The balancer's decisions, which are no script."""
    decisions = balancer.dispatcher.balancer
    assert isinstance(decisions, Balancer)
    return decisions


def record_events(decisions: Balancer) -> list[Event]:
    """The events that the decisions are notified of from now on; the list grows."""
    handle = decisions.handle
    events: list[Event] = []

    def record_and_handle(now_ms: float, event: Event) -> list[Action]:
        events.append(event)
        return handle(now_ms, event)

    decisions.handle = record_and_handle  # type: ignore[method-assign]
    return events


def test_a_queued_request_is_not_dispatched_after_a_disconnect() -> None:
    """The balancer queues it because there is no server; one that becomes ready then gets nothing."""

    async def work() -> None:
        upstream = FakeServer()
        async with balancer_before(upstream, lifecycle="leaving") as balancer:
            decisions = decisions_of(balancer)
            events = record_events(decisions)
            client = connect_client(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await wait_until(lambda: decisions.queued, "the request is queued")
            client.close()
            await wait_until_disconnect_noticed(events)
            balancer.discovery.change(upstream.entry("a"))
            await wait_until(lambda: balancer.dispatcher.ready, "the server is ready")
            event_count = len(events)
            await wait_until(
                lambda: any(isinstance(event, TimerFired) for event in events[event_count:]),
                "a timer has fired since",
            )
            assert not balancer.dispatcher.open
            assert not upstream.requests

    run(work())


async def fail_attempt_after_noticed(disconnect: Disconnect) -> None:
    """The client disconnects, the balancer notices it, and the attempt fails: there is no second."""
    upstream = HoldingServer(fails_with(500))
    async with balancer_before(upstream) as balancer:
        client = connect_client(balancer.port)
        client.sendall(request_bytes())
        await wait_until_requested(upstream)
        disconnect(client)
        await wait_until(lambda: not balancer.dispatcher.pending_requests, "the disconnect is noticed")
        upstream.release()
        await wait_until_nothing_in_flight(balancer)
        assert len(upstream.requests) == 1


async def fail_attempt_after_unnoticed(disconnect: Disconnect) -> None:
    """The client disconnects with reading paused, and the attempt fails before that has been noticed."""
    upstream = HoldingServer(fails_with(500))
    async with balancer_before(upstream) as balancer:
        client = connect_pipelining_client(balancer)
        await wait_until_requested(upstream)
        await disconnect_unnoticed(balancer, client, disconnect)
        upstream.release()
        await wait_until_nothing_in_flight(balancer)
        assert len(upstream.requests) == 1


def test_a_failed_attempt_is_not_retried_after_a_disconnect() -> None:
    run(fail_attempt_after_noticed(socket.socket.close))


def test_a_failed_attempt_is_not_retried_after_an_unnoticed_disconnect() -> None:
    run(fail_attempt_after_unnoticed(socket.socket.close))


@pytest.mark.parametrize(
    "fail_attempt_after",
    [fail_attempt_after_noticed, fail_attempt_after_unnoticed],
    ids=["noticed", "unnoticed"],
)
def test_a_reset_by_the_client_counts_as_a_disconnect(
    fail_attempt_after: Callable[[Disconnect], Coroutine[Any, Any, None]],
) -> None:
    run(fail_attempt_after(reset))


def test_a_hedged_request_is_not_sent_after_an_unnoticed_disconnect() -> None:
    """The hedge would go to another server while the first attempt is in flight."""

    async def work() -> None:
        first = await HoldingServer().start()
        second = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(first.entry("a"), second.entry("b"), script=script) as balancer:
            script.more = lambda event: (
                [Send(1, 2, 0.0)] if isinstance(event, TimerFired) and event.cookie == 1 else None
            )
            client = connect_pipelining_client(balancer)
            await wait_until_requested(first)
            await disconnect_unnoticed(balancer, client)
            balancer.dispatcher._deliver(TimerFired(1))
            assert script.ends()[-1].outcome is Outcome.DISCARDED
            assert any(isinstance(event, ClientDisconnected) for event in script.events)
            first.release()
            await wait_until_nothing_in_flight(balancer)
            assert not second.requests
            assert second.connections == 0
        first.close()
        second.close()

    run(work())


def test_the_last_byte_is_not_written_after_an_unnoticed_disconnect() -> None:
    """With reading paused: the last byte is due before the disconnect has been noticed."""

    async def work() -> None:
        upstream = FakeServer()
        async with balancer_before(upstream, ScriptedBalancer([1])) as balancer:
            with connect_client(balancer.port) as other:  # leaves a pooled connection
                other.sendall(request_bytes())
                await wait_until_requested(upstream)
                await wait_until_nothing_in_flight(balancer)
            await wait_until(lambda: not balancer.listener.connections, "the other client is forgotten")
            last_bytes = HeldLastBytes(balancer.dispatcher.connection_pool)
            client = connect_pipelining_client(balancer)
            await last_bytes.wait_until_held()
            await disconnect_unnoticed(balancer, client)
            last_bytes.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(work())


def test_a_queued_request_is_not_dispatched_after_an_unnoticed_disconnect() -> None:
    """With reading paused: a server becomes ready before the disconnect has been noticed."""

    async def work() -> None:
        upstream = FakeServer()
        async with balancer_before(upstream, lifecycle="leaving") as balancer:
            decisions = decisions_of(balancer)
            client = connect_pipelining_client(balancer)
            await wait_until(lambda: decisions.queued, "the request is queued")
            await disconnect_unnoticed(balancer, client)
            balancer.discovery.change(upstream.entry("a"))
            await wait_until_nothing_in_flight(balancer)
            assert not upstream.requests
            assert upstream.connections == 0

    run(work())
