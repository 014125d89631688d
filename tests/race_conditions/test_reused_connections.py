"""What arrives late on a reused connection to a server races with the next request on it."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from sandhatch.balancing.events import Outcome
from sandhatch.upstream.connection import ServerConnection
from testkit.behaviours import echoes_target
from testkit.clients import HttpClient
from testkit.platform import entry
from testkit.polling import wait_until
from testkit.servers import FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ok
from tests.event_loop import run
from tests.fakes import RunningBalancer, ScriptedBalancer, running
from tests.race_conditions.harness import (
    HeldLastBytes,
    HoldingServer,
    accept_request,
    balancer_before,
    block_until_readable,
    block_until_reset,
    reset,
    wait_until_requested,
)


@dataclass
class ManualServerSetup:
    """A client, the balancer with its script, and the listening socket of a server that the test plays."""

    listener: socket.socket
    script: ScriptedBalancer
    balancer: RunningBalancer
    client: HttpClient


@asynccontextmanager
async def balancer_before_manual_server() -> AsyncIterator[ManualServerSetup]:
    """The balancer between a client and a server whose every byte the test sends."""
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
    """The balancer's end of the only connection to a server."""
    (connection,) = balancer.dispatcher.connection_pool._open
    return connection


def balancer_descriptor(connection: ServerConnection) -> int:
    """The descriptor of the balancer's end of a connection to a server."""
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())


def test_a_second_answer_before_the_last_byte_is_written_answers_no_other_request() -> None:
    """Guards a client against another's answer, which arrived after the connection was found quiet and before
    the request was written completely.
    """

    async def work() -> None:
        upstream = FakeServer(echoes_target)
        script = ScriptedBalancer([1])
        async with balancer_before(upstream, script) as balancer, HttpClient(balancer.port) as client:
            client.send_request("move", b"x", "/api?1")
            assert (await client.read_response()).body == b"/api?1"
            last_bytes = HeldLastBytes(balancer.dispatcher.connection_pool)
            client.send_request("move", b"x", "/api?2")
            await last_bytes.wait_until_held()
            await upstream.open_connections[0].send(ok(b"/api?1"))
            assert (await client.read_response()).body == b"/api?2"
            last_bytes.release()  # there is nothing left to write
            await script.ended()
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.OK]
        assert [request.target for request in upstream.requests] == ["/api?1", "/api?2"]
        assert upstream.connections == 2

    run(work())


def test_a_connection_to_a_server_process_that_was_restarted_is_not_reused() -> None:
    """A server restarts under its id and address while an attempt to the earlier process is in flight."""

    async def work() -> None:
        upstream = HoldingServer()
        async with (
            balancer_before(upstream, ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            pool = balancer.dispatcher.connection_pool
            client.send_request("move", b"x")
            await wait_until_requested(upstream)
            balancer.discovery.change(upstream.entry("a", startedAtMs=1_000))
            await wait_until(lambda: pool.table[1].started_ms == 1_000, "the restart is known")
            upstream.release()
            assert (await client.read_response()).status == 200
            await wait_until(lambda: not pool.sockets, "the connection is closed")
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 200
            assert upstream.connections == 2

    run(work())


def test_a_connection_that_ends_before_the_last_byte_is_written_is_not_used() -> None:
    """Guards non-idempotent requests: the end of stream is in the system, unread, when the last byte is due.
    Written then, the request may have run, and nobody may retry it.
    """

    async def work() -> None:
        async with balancer_before_manual_server() as setup:
            client = setup.client
            client.send_request("move", b"x", "/api?1")
            first = (await accept_request(setup.listener)).connection
            first.sendall(ok())
            assert (await client.read_response()).status == 200
            last_bytes = HeldLastBytes(setup.balancer.dispatcher.connection_pool)
            client.send_request("move", b"x", "/api?2")
            await last_bytes.wait_until_held()
            connection = only_server_connection(setup.balancer)
            first.close()
            block_until_readable(balancer_descriptor(connection))
            last_bytes.release()
            second = await accept_request(setup.listener)
            assert b"/api?2" in second.received
            second.connection.sendall(ok())
            assert (await client.read_response()).status == 200
            second.connection.close()
        assert [event.outcome for event in setup.script.ends()] == [Outcome.OK, Outcome.OK]

    run(work())


def test_an_answer_and_a_reset_that_arrive_together_are_an_answer() -> None:
    """The system holds both when the loop reads: the answer is complete, and its request is served."""

    async def work() -> None:
        async with balancer_before_manual_server() as setup:
            setup.client.send_request("move", b"x")
            server_side = (await accept_request(setup.listener)).connection
            descriptor = balancer_descriptor(only_server_connection(setup.balancer))
            server_side.sendall(ok())
            block_until_readable(descriptor)
            reset(server_side)
            block_until_reset(descriptor)  # no await since the answer: the loop has read neither
            assert (await setup.client.read_response()).status == 200
        assert [event.outcome for event in setup.script.ends()] == [Outcome.OK]

    run(work())


def test_a_timeout_before_an_unread_answer_is_final() -> None:
    """A non-idempotent attempt times out while the system holds its answer: it fails, once."""

    async def work() -> None:
        async with balancer_before_manual_server() as setup:
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
            await wait_until(lambda: not pool.sockets, "the connection is closed")
            server_side.close()
        assert [event.outcome for event in setup.script.ends()] == [Outcome.TIMEOUT]

    run(work())
