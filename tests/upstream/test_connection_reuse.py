"""Which connections carry another request, and what is never written to them."""

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
from tests.fakes import Loopback, ScriptedBalancer, loopback, served
from tests.race_conditions.harness import block_until_readable
from tests.upstream.behaviours import DeadAfterOneRequest

# A busy machine may take long to see a reset, and the last byte must not go out before.
LONG_DELAY_MS = 5_000.0


def test_non_idempotent_request_on_a_reused_connection_that_breaks_is_sent_once() -> None:
    """Guards against silent retries: the pooled connection breaks once the request is on it."""

    async def work() -> None:
        # With the real balancer: it must not retry at the other server either.
        async with loopback(serve_ok, serve_ok) as network:
            while not all(server.requests for server in network.servers):  # both have a pooled connection
                await served(network.client)
            requests_before = sum(len(server.requests) for server in network.servers)
            for server in network.servers:
                server.behave = disconnects
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
        assert sum(len(server.requests) for server in network.servers) == requests_before + 1
        assert [server.connections for server in network.servers] == [1, 1]

    run(work())


def descriptor_of(connection: ServerConnection) -> int:
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())


def send_or_end(descriptor: int, unread_bytes: bytes) -> None:
    """From the server's side of a connection: bytes, or the end of the stream where there are none."""
    with socket.socket(fileno=socket.dup(descriptor)) as server_socket:
        if unread_bytes:
            server_socket.send(unread_bytes)
        else:
            server_socket.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("unread_bytes", [b"HTTP/1.1 408 Request Timeout\r\n\r\n", b""], ids=["bytes", "end"])
def test_connection_with_unread_bytes_or_an_end_is_not_reused(unread_bytes: bytes) -> None:
    """Guards against writing a request to a connection whose other side has sent or closed."""

    async def work() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await served(network.client, "move", b"x")
            (idle_connection,) = network.pool._idle[1]
            server_side = network.server.open_connections[-1].writer.get_extra_info("socket")
            send_or_end(server_side.fileno(), unread_bytes)
            block_until_readable(descriptor_of(idle_connection))
            # Checked in the same turn of the event loop, before it can have read what arrived.
            assert not idle_connection.usable()
            await served(network.client, "move", b"y")
            assert network.server.connections == 2

    run(work())


def test_small_writes_are_sent_at_once() -> None:
    """Guards latency: TCP_NODELAY is on, on both sides."""

    async def work() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await served(network.client)
            connections = [*network.pool._open, *network.balancer.listener._connections]
            assert len(connections) == 2
            for connection in connections:
                with socket.socket(fileno=socket.dup(descriptor_of(connection))) as raw_socket:
                    assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(work())


def test_connection_near_the_idle_limit_is_not_reused() -> None:
    """Guards against the server closing a connection in the moment when a request is written to it."""

    async def work() -> None:
        async with loopback(serve_ok, script=ScriptedBalancer([1])) as network:
            await served(network.client)
            (idle_connection,) = network.pool._idle[1]
            idle_connection.idle_since_ms -= 58_000
            await served(network.client)
            assert network.server.connections == 2

    run(work())


def test_idle_connections_are_closed_before_the_limit() -> None:
    """Guards the same without a request: the sweep closes them by itself."""

    async def work() -> None:
        ended = asyncio.Event()

        async def responds_once(_request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok())
            await talk.ended()
            ended.set()

        script = ScriptedBalancer([1])
        async with loopback(responds_once, script=script, limits={"ConnIdleMs": 1500}) as network:
            await served(network.client)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()  # closed by the balancer: nothing else ends it

    run(work())


async def assert_target_echoed(network: Loopback, target: str) -> None:
    """Send a request, and expect the answer to this one."""
    assert (await served(network.client, "move", b"x", target)).body == target.encode()


def test_repeated_answer_one_read_later_answers_no_other_request() -> None:
    """Guards a client against another's answer: a connection rests after an answer, so that a repeated one
    finds no new attempt on it and closes it.
    """

    async def work() -> None:
        async with loopback(echoes_target, script=ScriptedBalancer([1]), rest_ms=60_000.0) as network:
            await assert_target_echoed(network, "/api?1")
            await assert_target_echoed(network, "/api?2")
            assert network.server.connections == 2
            (first, second) = network.server.open_connections
            await first.send(ok(b"/api?1"))
            await second.send(b"\x00noise")
            await wait_until(lambda: not network.pool.sockets)
            await assert_target_echoed(network, "/api?3")
            network.pool.COOLDOWN_MS = 0.0  # rested: it is used again
            await assert_target_echoed(network, "/api?4")
            assert network.server.connections == 3

    run(work())


class BeginsSecondResponse:
    """A behaviour: behind each connection's first answer comes the head of another, with that of the next
    request its body.
    """

    def __init__(self) -> None:
        self._begun_on: set[FakeConnection] = set()

    async def __call__(self, request: ReceivedRequest, talk: FakeConnection) -> None:
        body = request.target.encode()
        if talk in self._begun_on:
            await talk.send(b"stale!")
        else:
            self._begun_on.add(talk)
            await talk.send(ok(body) + ok(b"stale!").removesuffix(b"stale!"))


def test_connection_with_the_beginning_of_a_second_answer_carries_no_other_request() -> None:
    """Guards a client against another's answer, whose end comes once the next request is written."""

    async def work() -> None:
        async with loopback(BeginsSecondResponse(), script=ScriptedBalancer([1])) as network:
            await assert_target_echoed(network, "/api?1")
            await assert_target_echoed(network, "/api?2")
            assert network.server.connections == 2

    run(work())


def test_repeated_answer_to_a_probe_answers_no_request() -> None:
    """Guards a client against a load report that is repeated once an attempt has taken the connection."""

    async def work() -> None:
        report = responds(ok(b"TEXT inflight=7, queue=2, util=0.61"))  # to the probe, and to the attempt
        script = ScriptedBalancer([1])
        stats = {"How": "on_probe", "Fields": ["inflight"]}
        async with loopback(report, script=script, stats=stats) as network:
            network.balancer.dispatcher._act(Probe(1))
            await script.next_event(ProbeEnded)
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
            assert network.server.connections == 1
        (attempt_ended,) = script.ends()
        assert attempt_ended.outcome is Outcome.RESET

    run(work())


def test_request_on_a_dead_reused_connection_is_sent_on_a_new_one() -> None:
    """Guards non-idempotent requests: after a reset of the complete request nobody may retry them."""

    async def work() -> None:
        script = ScriptedBalancer([1])
        upstream = await DeadAfterOneRequest().start()
        async with loopback(script=script, entries=(entry("a", upstream.port),)) as network:
            network.pool.LAST_BYTE_DELAY_MS = LONG_DELAY_MS
            for _ in range(5):
                await served(network.client, "move", b"x")
        upstream.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK] * 5
        assert (upstream.complete_requests, upstream.connections) == (5, 5)

    run(work())


def test_dead_reused_connection_and_no_new_one_ends_as_connect_failed() -> None:
    """Guards the row 'could not connect': the connection broke before the last byte was written."""

    async def work() -> None:
        script = ScriptedBalancer([1])
        upstream = await DeadAfterOneRequest().start()
        async with loopback(script=script, entries=(entry("a", upstream.port),)) as network:
            network.pool.LAST_BYTE_DELAY_MS = LONG_DELAY_MS
            await served(network.client, "move", b"x")
            upstream.close()
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.CONNECT_FAILED]

    run(work())
