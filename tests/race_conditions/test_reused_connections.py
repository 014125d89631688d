"""Races of late data on a reused server connection with the next request on that connection."""

from __future__ import annotations

from asyncio import BaseTransport

import pytest

from sandhatch.balancing.events import Outcome, ServerState
from sandhatch.upstream.connection import ServerConnection
from testkit.behaviours import echoes_target
from testkit.clients import HttpClient
from testkit.polling import wait_until
from testkit.servers import FakeServer
from testkit.wire import ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer
from tests.race_conditions.harness import (
    DelayedResponseServer,
    LastByteBarrier,
    accept_request,
    balancer_descriptor,
    balancer_in_front_of,
    balancer_in_front_of_manual_server,
    block_until_readable,
    block_until_reset,
    only_server_connection,
    reset,
    wait_until_requested,
)


def test_surplus_response_before_the_last_byte_is_written_goes_to_no_other_request() -> None:
    """Guards against passing a surplus response to the next request if it arrives after the connection was
    found idle and before the next request is written completely.
    """

    async def scenario() -> None:
        upstream = FakeServer(echoes_target)
        script = ScriptedBalancer([1])
        async with balancer_in_front_of(upstream, script) as balancer, HttpClient(balancer.port) as client:
            client.send_request("move", b"x", "/api?1")
            assert (await client.read_response()).body == b"/api?1"
            last_byte = LastByteBarrier(balancer.dispatcher.connection_pool)
            client.send_request("move", b"x", "/api?2")
            await last_byte.wait_until_last_byte_blocked()
            await upstream.open_connections[0].send(ok(b"/api?1"))
            assert (await client.read_response()).body == b"/api?2"
            last_byte.release()  # the pool must no longer write the request's last byte
            await script.next_attempt_end()
        assert [event.outcome for event in script.attempt_ends()] == [Outcome.OK, Outcome.OK]
        assert [request.target for request in upstream.requests] == ["/api?1", "/api?2"]
        assert upstream.connections == 2

    run(scenario())


def test_connection_to_the_predecessor_of_a_restarted_server_is_not_reused() -> None:
    """Guards against reuse of a connection whose server restarts during an attempt, with the same id and
    address.
    """

    async def scenario() -> None:
        upstream = DelayedResponseServer()
        async with (
            balancer_in_front_of(upstream, ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            pool = balancer.dispatcher.connection_pool
            client.send_request("move", b"x")
            await wait_until_requested(upstream)
            balancer.discovery.change(upstream.entry("a", startedAtMs=1_000))
            await wait_until(lambda: pool.servers[1].started_ms == 1_000, "the restart is known")
            upstream.release()
            assert (await client.read_response()).status == 200
            await wait_until(lambda: not pool.connection_count, "the connection is closed")
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 200
            assert upstream.connections == 2

    run(scenario())


def test_attempt_is_not_written_to_the_successor_of_the_process_for_which_it_was_decided(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sends to a process that warms up, by attempts that were decided before it started and
    whose connections come up late.
    """

    async def scenario() -> None:
        upstream = FakeServer(echoes_target)
        script = ScriptedBalancer([1, 1])
        async with balancer_in_front_of(upstream, script) as balancer, HttpClient(balancer.port) as client:
            pool = balancer.dispatcher.connection_pool
            connection_made = ServerConnection.connection_made

            def restart_while_connecting(connection: ServerConnection, transport: BaseTransport) -> None:
                connection_made(connection, transport)
                pool.update(1, connection.address, ServerState.READY, 1_000.0, 0.0)

            monkeypatch.setattr(ServerConnection, "connection_made", restart_while_connecting)
            client.send_request("move", b"x", "/api?1")
            assert (await client.read_response()).body == b"/api?1"
        assert [event.outcome for event in script.attempt_ends()] == [Outcome.DISCARDED, Outcome.OK]
        assert len(upstream.requests) == 1

    run(scenario())


def test_connection_closed_before_the_last_byte_is_written_is_not_used() -> None:
    """Guards against writing a request's last byte when the kernel has the server's end of stream, unread: if
    the byte were written, a non-idempotent request might have run and could not be retried.
    """

    async def scenario() -> None:
        async with balancer_in_front_of_manual_server() as setup:
            client = setup.client
            client.send_request("move", b"x", "/api?1")
            first = (await accept_request(setup.listener)).connection
            first.sendall(ok())
            assert (await client.read_response()).status == 200
            last_byte = LastByteBarrier(setup.balancer.dispatcher.connection_pool)
            client.send_request("move", b"x", "/api?2")
            await last_byte.wait_until_last_byte_blocked()
            connection = only_server_connection(setup.balancer)
            first.close()
            block_until_readable(balancer_descriptor(connection))
            last_byte.release()
            second = await accept_request(setup.listener)
            assert b"/api?2" in second.received
            second.connection.sendall(ok())
            assert (await client.read_response()).status == 200
            second.connection.close()
        assert [event.outcome for event in setup.script.attempt_ends()] == [Outcome.OK, Outcome.OK]

    run(scenario())


def test_response_that_arrives_together_with_a_reset_is_delivered() -> None:
    """Guards against losing a complete response when the kernel has it and a reset before the loop reads."""

    async def scenario() -> None:
        async with balancer_in_front_of_manual_server() as setup:
            setup.client.send_request("move", b"x")
            server_side = (await accept_request(setup.listener)).connection
            descriptor = balancer_descriptor(only_server_connection(setup.balancer))
            server_side.sendall(ok())
            block_until_readable(descriptor)
            reset(server_side)
            # Nothing is awaited after the response is sent, so the event loop reads neither the response nor
            # the reset.
            block_until_reset(descriptor)
            assert (await setup.client.read_response()).status == 200
        assert [event.outcome for event in setup.script.attempt_ends()] == [Outcome.OK]

    run(scenario())


def test_timeout_with_an_unread_response_is_final() -> None:
    """A non-idempotent attempt that times out while the kernel has its unread response fails exactly once."""

    async def scenario() -> None:
        async with balancer_in_front_of_manual_server() as setup:
            pool = setup.balancer.dispatcher.connection_pool
            setup.client.send_request("move", b"x")
            server_side = (await accept_request(setup.listener)).connection
            connection = only_server_connection(setup.balancer)
            attempt = connection._attempt
            assert attempt is not None
            server_side.sendall(ok())
            block_until_readable(balancer_descriptor(connection))
            attempt.time_out()
            assert (await setup.client.read_response()).status == 502
            await wait_until(lambda: not pool.connection_count, "the connection is closed")
            server_side.close()
        assert [event.outcome for event in setup.script.attempt_ends()] == [Outcome.TIMEOUT]

    run(scenario())
