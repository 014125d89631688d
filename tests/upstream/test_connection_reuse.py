"""Tests which connections to servers are reused, and that no request is written to an unusable one."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sandhatch.balancing.actions import Probe
from sandhatch.balancing.events import Outcome, ProbeEnded
from sandhatch.upstream.connection import ServerConnection
from testkit.behaviours import disconnects, echoes_target, responds
from testkit.platform import entry
from testkit.polling import wait_until
from testkit.servers import FakeConnection, serve_ok
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import Loopback, ScriptedBalancer, loopback, request_ok
from tests.race_conditions.harness import block_until_readable
from tests.upstream.behaviours import AbortsAfterOneRequest

# A request's last byte must not be sent before the reset is noticed, which may take long on a busy
# machine.
LONG_DELAY_MS = 5_000.0


def test_non_idempotent_request_on_a_reused_connection_that_breaks_is_sent_once() -> None:
    """Guards against hidden retries when a pooled connection fails after the request was written to it."""

    async def scenario() -> None:
        # The real balancer is used, because it must not retry on the other server either.
        async with loopback(serve_ok, serve_ok) as network:
            # Each server has a pooled connection once it has received a request.
            while not all(server.requests for server in network.servers):
                await request_ok(network.client)
            requests_before = sum(len(server.requests) for server in network.servers)
            for server in network.servers:
                server.behave = disconnects
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
        assert sum(len(server.requests) for server in network.servers) == requests_before + 1
        assert [server.connections for server in network.servers] == [1, 1]

    run(scenario())


def file_descriptor(connection: ServerConnection) -> int:
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())


def send_or_shut_down(descriptor: int, unread_bytes: bytes) -> None:
    """Send bytes from the server's side of a connection, or shut down that side if the bytes are empty."""
    with socket.socket(fileno=socket.dup(descriptor)) as server_socket:
        if unread_bytes:
            server_socket.send(unread_bytes)
        else:
            server_socket.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("unread_bytes", [b"HTTP/1.1 408 Request Timeout\r\n\r\n", b""], ids=["bytes", "eof"])
def test_connection_with_unread_bytes_or_eof_is_not_reused(unread_bytes: bytes) -> None:
    """Guards against writing a request to a connection on which the server has sent bytes or closed."""

    async def scenario() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await request_ok(network.client, "move", b"x")
            (idle_connection,) = network.pool._idle[1]
            server_side = network.server.open_connections[-1].writer.get_extra_info("socket")
            send_or_shut_down(server_side.fileno(), unread_bytes)
            block_until_readable(file_descriptor(idle_connection))
            # The reuse is checked in the same iteration of the event loop, before the
            # connection can read what arrived.
            assert not idle_connection.is_usable()
            await request_ok(network.client, "move", b"y")
            assert network.server.connections == 2

    run(scenario())


def test_tcp_nodelay_is_set_on_client_and_server_connections() -> None:
    """Guards against Nagle's algorithm delaying small writes on either side of the balancer."""

    async def scenario() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await request_ok(network.client)
            connections = [*network.pool._open, *network.balancer.listener._connections]
            assert len(connections) == 2
            for connection in connections:
                with socket.socket(fileno=socket.dup(file_descriptor(connection))) as raw_socket:
                    assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario())


def test_connection_near_the_server_idle_timeout_is_not_reused() -> None:
    """Guards against the server closing an idle connection while a request is written to it."""

    async def scenario() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await request_ok(network.client)
            (idle_connection,) = network.pool._idle[1]
            idle_connection.idle_since_ms -= 58_000
            await request_ok(network.client)
            assert network.server.connections == 2

    run(scenario())


def test_idle_connection_is_closed_before_the_server_idle_timeout() -> None:
    """Guards against the server closing an idle connection first: the periodic sweep closes it in time."""

    async def scenario() -> None:
        ended = asyncio.Event()

        async def responds_once(_request: ReceivedRequest, connection: FakeConnection) -> None:
            await connection.send(ok())
            await connection.ended()
            ended.set()

        scripted_balancer = ScriptedBalancer([1])
        async with loopback(responds_once, script=scripted_balancer, limits={"ConnIdleMs": 1500}) as network:
            await request_ok(network.client)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()  # only the balancer can close this connection

    run(scenario())


async def assert_target_echoed(network: Loopback, target: str) -> None:
    """Send a request, and assert that its response is not the response to another request."""
    assert (await request_ok(network.client, "move", b"x", target)).body == target.encode()


def test_duplicate_response_one_read_later_is_not_taken_for_another_requests_response() -> None:
    """Guards against forwarding another request's response: during the cooldown after a response, a duplicate
    of it closes the connection, which carries no new attempt yet.
    """

    async def scenario() -> None:
        async with loopback(echoes_target, script=ScriptedBalancer([1]), cooldown_ms=60_000.0) as network:
            await assert_target_echoed(network, "/api?1")
            await assert_target_echoed(network, "/api?2")
            assert network.server.connections == 2
            (first, second) = network.server.open_connections
            await first.send(ok(b"/api?1"))
            await second.send(b"\x00noise")
            await wait_until(lambda: not network.pool.connection_count)
            await assert_target_echoed(network, "/api?3")
            network.pool.COOLDOWN_MS = 0.0  # the cooldown is over, so the connection is reused
            await assert_target_echoed(network, "/api?4")
            assert network.server.connections == 3

    run(scenario())


class StartsSecondResponse:
    """A `Behaviour` that sends the head of a second response after a connection's first response, and the
    body of that second response when the next request arrives.
    """

    def __init__(self) -> None:
        self._started_on: set[FakeConnection] = set()

    async def __call__(self, request: ReceivedRequest, connection: FakeConnection) -> None:
        body = request.target.encode()
        if connection in self._started_on:
            await connection.send(b"stale!")
        else:
            self._started_on.add(connection)
            await connection.send(ok(body) + ok(b"stale!").removesuffix(b"stale!"))


def test_connection_with_a_partial_second_response_is_not_reused() -> None:
    """Guards against forwarding a stale response that is completed after the next request was written."""

    async def scenario() -> None:
        async with loopback(StartsSecondResponse(), script=ScriptedBalancer([1])) as network:
            await assert_target_echoed(network, "/api?1")
            await assert_target_echoed(network, "/api?2")
            assert network.server.connections == 2

    run(scenario())


def test_duplicate_probe_response_is_not_taken_for_an_attempts_response() -> None:
    """Guards against forwarding a probe's load report that is repeated on a connection used by an attempt."""

    async def scenario() -> None:
        report = responds(ok(b"TEXT inflight=7, queue=2, util=0.61"))  # sent to the probe and to the attempt
        scripted_balancer = ScriptedBalancer([1])
        stats = {"How": "on_probe", "Fields": ["inflight"]}
        async with loopback(report, script=scripted_balancer, stats=stats) as network:
            network.balancer.dispatcher._execute(Probe(1))
            await scripted_balancer.next_event(ProbeEnded)
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
            assert network.server.connections == 1
        (attempt_ended,) = scripted_balancer.attempt_ends()
        assert attempt_ended.outcome is Outcome.RESET

    run(scenario())


def test_request_on_a_dead_reused_connection_is_sent_on_a_new_one() -> None:
    """Guards against losing a non-idempotent request: it may not be retried after a reset once sent
    completely, so its last byte is withheld on a reused connection.
    """

    async def scenario() -> None:
        scripted_balancer = ScriptedBalancer([1])
        upstream = await AbortsAfterOneRequest().start()
        async with loopback(script=scripted_balancer, entries=(entry("a", upstream.port),)) as network:
            network.pool.LAST_BYTE_DELAY_MS = LONG_DELAY_MS
            for _ in range(5):
                await request_ok(network.client, "move", b"x")
        upstream.close()
        assert [event.outcome for event in scripted_balancer.attempt_ends()] == [Outcome.OK] * 5
        assert (upstream.complete_requests, upstream.connections) == (5, 5)

    run(scenario())


def test_dead_reused_connection_without_a_replacement_ends_as_connect_failed() -> None:
    """Guards against another outcome than CONNECT_FAILED if the last byte of a request is unsent."""

    async def scenario() -> None:
        scripted_balancer = ScriptedBalancer([1])
        upstream = await AbortsAfterOneRequest().start()
        async with loopback(script=scripted_balancer, entries=(entry("a", upstream.port),)) as network:
            network.pool.LAST_BYTE_DELAY_MS = LONG_DELAY_MS
            await request_ok(network.client, "move", b"x")
            upstream.close()
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
        assert [event.outcome for event in scripted_balancer.attempt_ends()] == [
            Outcome.OK,
            Outcome.CONNECT_FAILED,
        ]

    run(scenario())
