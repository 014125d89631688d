"""After a client disconnects while its request waits, nothing more is sent to a server for it.

Two kinds of disconnect are tested: one that the balancer detects as it reads, and one that it has not
detected when it is about to send, because reading from the client is paused.
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
    DelayedResponseServer,
    LastByteBarrier,
    balancer_in_front_of,
    close_and_block_until_delivered,
    connect_client,
    only_connection,
    reset,
    wait_until_disconnect_detected,
    wait_until_nothing_in_flight,
    wait_until_requested,
)

MAX_DETECTION_MS = 100.0  # milliseconds after a disconnect from which no attempt may begin
NEVER_MS = 1e9

Disconnect = Callable[[socket.socket], None]


def connect_pipelining_client(
    balancer: RunningBalancer, disconnect_poll_ms: float = NEVER_MS
) -> socket.socket:
    """Connects a client that sends a request and all but one of the requests that may queue behind it.

    The listener's sweep is disabled: once reading is paused, only the listener's poll for disconnects and the
    check before each attempt can detect one. By default the poll is disabled too.
    """
    balancer.listener.SWEEP_INTERVAL_MS = NEVER_MS
    balancer.listener.DISCONNECT_POLL_INTERVAL_MS = disconnect_poll_ms
    client_socket = connect_client(balancer.port)
    client_socket.sendall(b"".join(request_bytes() for _ in range(ClientConnection.MAX_QUEUED_REQUESTS)))
    return client_socket


async def pause_reading(balancer: RunningBalancer, client_socket: socket.socket) -> None:
    """Fills the queue of a pipelining client whose first request is in flight, so that reading is paused."""
    client_socket.sendall(request_bytes())
    connection = only_connection(balancer)
    connection.enforce_time_limits = lambda _: None  # type: ignore[method-assign]  # disables a sweep that is already due
    await wait_until(lambda: connection.queue_full, "reading from the client is paused")


async def disconnect_undetected(
    balancer: RunningBalancer, client_socket: socket.socket, disconnect: Disconnect = socket.socket.close
) -> None:
    """Disconnects a pipelining client with reading paused: the kernel knows of it, the program does not."""
    await pause_reading(balancer, client_socket)
    connection = only_connection(balancer)
    disconnect(client_socket)
    await wait_until(connection.has_disconnected, "the kernel has received the disconnect")
    assert balancer.dispatcher.pending_requests


def test_disconnect_behind_pipelined_requests_is_detected_while_reading_is_paused() -> None:
    """Guards against serving a disconnected client, whose end of stream is not read with reading paused."""

    async def scenario() -> None:
        upstream = DelayedResponseServer()
        script = ScriptedBalancer([1])
        async with balancer_in_front_of(upstream, script) as balancer:
            assert 2.0 * Listener.DISCONNECT_POLL_INTERVAL_MS <= MAX_DETECTION_MS
            client_socket = connect_pipelining_client(balancer, Listener.DISCONNECT_POLL_INTERVAL_MS)
            await wait_until_requested(upstream)
            await pause_reading(balancer, client_socket)
            client_socket.close()
            # Only the poll can detect the disconnect: the check before an attempt is not reached before the
            # response.
            await wait_until_disconnect_detected(script.events)
            upstream.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(scenario())


def test_pipelined_request_is_not_started_after_a_response_if_the_client_has_disconnected() -> None:
    """Guards against starting a disconnected client's next request if a response precedes the poll for
    disconnects.
    """

    async def scenario() -> None:
        upstream = DelayedResponseServer()
        async with balancer_in_front_of(upstream, ScriptedBalancer([1])) as balancer:
            client_socket = connect_pipelining_client(balancer)
            await wait_until_requested(upstream)
            await disconnect_undetected(balancer, client_socket)
            upstream.release()
            await wait_until_nothing_in_flight(balancer)
            await wait_until(lambda: not balancer.listener.connection_count, "the connection is closed")
            assert len(upstream.requests) == 1

    run(scenario())


def test_request_is_not_served_if_the_client_disconnects_before_it_is_read() -> None:
    """Guards against serving a client that sends and disconnects while the event loop is busy."""

    async def scenario() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_in_front_of(upstream, script) as balancer:
            disconnected: list[ClientConnection] = []
            balancer.listener.on_connection_closed = disconnected.append  # type: ignore[method-assign]
            client_socket = connect_client(balancer.port)
            client_socket.sendall(request_bytes("move", b"x"))
            close_and_block_until_delivered(client_socket)
            await wait_until(lambda: disconnected, "the balancer has read the end of stream")
            assert not any(isinstance(event, RequestArrived) for event in script.events)
            assert not upstream.requests

    run(scenario())


def test_last_byte_of_a_request_is_not_written_after_a_disconnect() -> None:
    """Guards against completing a request whose client disconnects before its last byte is written."""

    async def scenario() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_in_front_of(upstream, script) as balancer:
            client_socket = connect_client(balancer.port)
            client_socket.sendall(request_bytes())
            await wait_until_requested(upstream)
            await wait_until_nothing_in_flight(balancer)  # the connection to the server is in the pool
            last_byte = LastByteBarrier(balancer.dispatcher.connection_pool)
            client_socket.sendall(request_bytes("move", b"x"))
            await last_byte.wait_until_last_byte_blocked()
            client_socket.close()
            await wait_until_disconnect_detected(script.events)
            last_byte.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(scenario())


class ConnectBarrier:
    """Delays the pool's receipt of the next connection to a server, which is established at once."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Delays the next connection."""
        self._loop = asyncio.get_running_loop()
        self._monkeypatch = monkeypatch
        self._established = asyncio.Event()
        self._released = asyncio.Event()
        self.create_task = self._loop.create_task
        monkeypatch.setattr("sandhatch.upstream.connection_pool.asyncio.get_running_loop", lambda: self)

    async def create_connection(
        self, factory: Callable[[], ServerConnection], host: str, port: int
    ) -> object:
        """Replaces the event loop's method: connects, and returns after `release`."""
        connection = await self._loop.create_connection(factory, host, port)
        self._established.set()
        await self._released.wait()
        return connection

    async def wait_until_blocked(self) -> None:
        """Waits until the connection is established; later connections are not delayed."""
        await self._established.wait()
        self._monkeypatch.undo()

    def release(self) -> None:
        """Hands the connection over to the pool."""
        self._released.set()


def test_nothing_is_written_to_a_connection_established_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending a request on a server connection that is ready only after the client left."""

    async def scenario() -> None:
        upstream = FakeServer()
        script = ScriptedBalancer([1])
        async with balancer_in_front_of(upstream, script) as balancer:
            connect = ConnectBarrier(monkeypatch)
            client_socket = connect_client(balancer.port)
            client_socket.sendall(request_bytes("move", b"x"))
            await connect.wait_until_blocked()
            client_socket.close()
            await wait_until_disconnect_detected(script.events)
            connect.release()
            await wait_until_nothing_in_flight(balancer)
            assert not upstream.requests

    run(scenario())


def decisions_of(balancer: RunningBalancer) -> Balancer:
    """Returns the balancer's decisions, which must not be scripted."""
    decisions = balancer.dispatcher.balancer
    assert isinstance(decisions, Balancer)
    return decisions


def record_events(decisions: Balancer) -> list[Event]:
    """Returns a list to which every further event that the decisions receive is appended."""
    handle = decisions.handle
    events: list[Event] = []

    def record_and_handle(now_ms: float, event: Event) -> list[Action]:
        events.append(event)
        return handle(now_ms, event)

    decisions.handle = record_and_handle  # type: ignore[method-assign]
    return events


def test_queued_request_is_not_dispatched_after_a_disconnect() -> None:
    """Guards against dispatching a queued request to a server that becomes ready after the client left."""

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream, lifecycle="leaving") as balancer:
            decisions = decisions_of(balancer)
            events = record_events(decisions)
            client_socket = connect_client(balancer.port)
            client_socket.sendall(request_bytes("move", b"x"))
            await wait_until(lambda: decisions.queued, "the request is queued")
            client_socket.close()
            await wait_until_disconnect_detected(events)
            balancer.discovery.change(upstream.entry("a"))
            await wait_until(lambda: balancer.dispatcher.has_ready_server, "the server is ready")
            event_count = len(events)
            await wait_until(
                lambda: any(isinstance(event, TimerFired) for event in events[event_count:]),
                "a timer has fired since",
            )
            assert not balancer.dispatcher.open_exchange_count
            assert not upstream.requests

    run(scenario())


async def fail_attempt_after_detected(disconnect: Disconnect) -> None:
    """Asserts that no second attempt is made if the first fails after the client's disconnect is detected."""
    upstream = DelayedResponseServer(fails_with(500))
    async with balancer_in_front_of(upstream) as balancer:
        client_socket = connect_client(balancer.port)
        client_socket.sendall(request_bytes())
        await wait_until_requested(upstream)
        disconnect(client_socket)
        await wait_until(lambda: not balancer.dispatcher.pending_requests, "the disconnect is detected")
        upstream.release()
        await wait_until_nothing_in_flight(balancer)
        assert len(upstream.requests) == 1


async def fail_attempt_after_undetected(disconnect: Disconnect) -> None:
    """Asserts that no second attempt is made if the first fails before the disconnect is detected."""
    upstream = DelayedResponseServer(fails_with(500))
    async with balancer_in_front_of(upstream) as balancer:
        client_socket = connect_pipelining_client(balancer)
        await wait_until_requested(upstream)
        await disconnect_undetected(balancer, client_socket, disconnect)
        upstream.release()
        await wait_until_nothing_in_flight(balancer)
        assert len(upstream.requests) == 1


def test_failed_attempt_is_not_retried_after_a_disconnect() -> None:
    run(fail_attempt_after_detected(socket.socket.close))


def test_failed_attempt_is_not_retried_after_an_undetected_disconnect() -> None:
    run(fail_attempt_after_undetected(socket.socket.close))


@pytest.mark.parametrize(
    "fail_attempt_after",
    [fail_attempt_after_detected, fail_attempt_after_undetected],
    ids=["detected", "undetected"],
)
def test_client_reset_is_treated_as_a_disconnect(
    fail_attempt_after: Callable[[Disconnect], Coroutine[Any, Any, None]],
) -> None:
    run(fail_attempt_after(reset))


def test_hedged_request_is_not_sent_after_an_undetected_disconnect() -> None:
    """Guards against a hedge (second, parallel attempt) that is due after an undetected disconnect."""

    async def scenario() -> None:
        first = await DelayedResponseServer().start()
        second_server = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with running(first.entry("a"), second_server.entry("b"), script=script) as balancer:
            script.override = lambda event: (
                [Send(1, 2, 0.0)] if isinstance(event, TimerFired) and event.cookie == 1 else None
            )
            client_socket = connect_pipelining_client(balancer)
            await wait_until_requested(first)
            await disconnect_undetected(balancer, client_socket)
            balancer.dispatcher._deliver(TimerFired(1))
            assert script.attempt_ends()[-1].outcome is Outcome.DISCARDED
            assert any(isinstance(event, ClientDisconnected) for event in script.events)
            first.release()
            await wait_until_nothing_in_flight(balancer)
            assert not second_server.requests
            assert second_server.connections == 0
        first.close()
        second_server.close()

    run(scenario())


def test_last_byte_of_a_request_is_not_written_after_an_undetected_disconnect() -> None:
    """Guards against completing a request whose last byte is due before the disconnect is detected."""

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream, ScriptedBalancer([1])) as balancer:
            # Another client's request leaves a connection to the server in the pool.
            with connect_client(balancer.port) as other:
                other.sendall(request_bytes())
                await wait_until_requested(upstream)
                await wait_until_nothing_in_flight(balancer)
            await wait_until(
                lambda: not balancer.listener.connection_count, "the other client's connection is closed"
            )
            last_byte = LastByteBarrier(balancer.dispatcher.connection_pool)
            client_socket = connect_pipelining_client(balancer)
            await last_byte.wait_until_last_byte_blocked()
            await disconnect_undetected(balancer, client_socket)
            last_byte.release()
            await wait_until_nothing_in_flight(balancer)
            assert len(upstream.requests) == 1

    run(scenario())


def test_queued_request_is_not_dispatched_after_an_undetected_disconnect() -> None:
    """Guards against dispatching a queued request to a server that is ready before the disconnect is
    detected.
    """

    async def scenario() -> None:
        upstream = FakeServer()
        async with balancer_in_front_of(upstream, lifecycle="leaving") as balancer:
            decisions = decisions_of(balancer)
            client_socket = connect_pipelining_client(balancer)
            await wait_until(lambda: decisions.queued, "the request is queued")
            await disconnect_undetected(balancer, client_socket)
            balancer.discovery.change(upstream.entry("a"))
            await wait_until_nothing_in_flight(balancer)
            assert not upstream.requests
            assert upstream.connections == 0

    run(scenario())
