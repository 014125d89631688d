"""Which connections carry another request, and what is never written to them."""

from __future__ import annotations

import asyncio
import socket

from sandhatch.balancing.actions import Probe
from sandhatch.balancing.events import Outcome, ProbeEnded
from testkit.clients import HttpClient
from testkit.platform import entry
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import DeadAfterOneRequest, resets

# A loaded machine may take long to see a reset, and the last byte must not go out before.
LONG_HOLD_MS = 5_000.0


def test_non_idempotent_request_on_a_reused_connection_that_breaks_is_sent_once() -> None:
    """Guards against silent retries: the pooled connection breaks once the request is on it."""

    async def work() -> None:
        servers = [await FakeServer().start() for _ in range(2)]
        # With the real balancer: it must not try the other server either.
        entries = [server.entry(f"u{index}") for index, server in enumerate(servers)]
        async with running(*entries) as balancer, HttpClient(balancer.port) as client:
            while not all(server.requests for server in servers):  # both have a pooled connection
                client.send_request()
                assert (await client.read_response()).status == 200
            requests_before = sum(len(server.requests) for server in servers)
            for server in servers:
                server.behave = resets
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 502
        assert sum(len(server.requests) for server in servers) == requests_before + 1
        assert [server.connections for server in servers] == [1, 1]
        for server in servers:
            server.close()

    run(work())


def test_connection_with_unread_bytes_or_an_end_is_not_reused() -> None:
    """Guards against writing a request to a connection whose other side has sent or closed."""

    async def work() -> None:
        upstream = await FakeServer().start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            pool = balancer.dispatcher.connection_pool
            for index, unread_bytes in enumerate((b"HTTP/1.1 408 Request Timeout\r\n\r\n", b"")):
                client.send_request("move", b"x")
                assert (await client.read_response()).status == 200
                (idle_connection,) = pool._idle[1]
                descriptor = upstream.open_connections[-1].writer.get_extra_info("socket").fileno()
                with socket.socket(fileno=socket.dup(descriptor)) as server_socket:
                    if unread_bytes:
                        server_socket.send(unread_bytes)
                    else:
                        server_socket.shutdown(socket.SHUT_WR)
                # Checked in the same turn of the event loop, before it can have read what arrived.
                assert not idle_connection.usable()
                client.send_request("move", b"y")
                assert (await client.read_response()).status == 200
                assert upstream.connections == index + 2
        upstream.close()

    run(work())


def test_small_writes_are_sent_at_once() -> None:
    """Guards latency: TCP_NODELAY is on, on both sides."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with (
            running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            assert (await client.read_response()).status == 200
            for connection in (*balancer.dispatcher.connection_pool._open, *balancer.listener._connections):
                assert connection._transport is not None
                descriptor = connection._transport.get_extra_info("socket").fileno()
                with socket.socket(fileno=socket.dup(descriptor)) as raw_socket:
                    assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        upstream.close()

    run(work())


def test_connection_near_the_idle_limit_is_not_reused() -> None:
    """Guards against the server closing a connection in the moment when a request is written to it."""

    async def work() -> None:
        upstream = await FakeServer().start()
        async with (
            running(upstream.entry("a"), script=ScriptedBalancer([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            await client.read_response()
            (idle_connection,) = balancer.dispatcher.connection_pool._idle[1]
            idle_connection.idle_since_ms -= 58_000
            client.send_request()
            await client.read_response()
            assert upstream.connections == 2
        upstream.close()

    run(work())


def test_idle_connections_are_closed_before_the_limit() -> None:
    """Guards the same without a request: the sweep closes them by itself."""

    async def work() -> None:
        ended = asyncio.Event()

        async def answers_once(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok())
            await talk.ended()
            ended.set()

        upstream = await FakeServer(answers_once).start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script, limits={"ConnIdleMs": 1500}) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request()
            await client.read_response()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await ended.wait()  # closed by the balancer: nothing else ends it
        upstream.close()

    run(work())


def test_repeated_answer_one_read_later_answers_no_other_request() -> None:
    """Guards a client against another's answer: a connection rests after an answer, so that a repeated one
    finds no new attempt on it and closes it.
    """

    async def work() -> None:
        async def answers_with_target(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(ok(request.target.encode()))

        upstream = await FakeServer(answers_with_target).start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script, rest_ms=60_000.0) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x", "/api?1")
            assert (await client.read_response()).body == b"/api?1"
            client.send_request("move", b"x", "/api?2")
            assert (await client.read_response()).body == b"/api?2"
            assert upstream.connections == 2
            (first, second) = upstream.open_connections
            await first.send(ok(b"/api?1"))
            await second.send(b"\x00noise")
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while balancer.dispatcher.connection_pool.sockets:
                    await asyncio.sleep(0.01)
            client.send_request("move", b"x", "/api?3")
            assert (await client.read_response()).body == b"/api?3"
            balancer.dispatcher.connection_pool.COOLDOWN_MS = 0.0  # rested: it is used again
            client.send_request("move", b"x", "/api?4")
            assert (await client.read_response()).body == b"/api?4"
            assert upstream.connections == 3
        upstream.close()

    run(work())


def test_repeated_answer_to_a_probe_answers_no_request() -> None:
    """Guards a client against a load report that is repeated once an attempt has taken the connection."""

    async def work() -> None:
        report = ok(b"TEXT inflight=7, queue=2, util=0.61")

        async def answers_with_report(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.send(report)  # to the probe, and repeated in place of the attempt's answer

        upstream = await FakeServer(answers_with_report).start()
        script = ScriptedBalancer([1])
        stats = {"How": "on_probe", "Fields": ["inflight"]}
        async with (
            running(upstream.entry("a"), script=script, stats=stats) as balancer,
            HttpClient(balancer.port) as client,
        ):
            balancer.dispatcher._act(Probe(1))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not isinstance(await script.told.get(), ProbeEnded):
                    pass
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 502
            assert upstream.connections == 1
        upstream.close()
        (attempt_ended,) = script.ends()
        assert attempt_ended.outcome is Outcome.RESET

    run(work())


def test_request_on_a_dead_reused_connection_is_sent_on_a_new_one() -> None:
    """Guards non-idempotent requests: after a reset of the complete request nobody may retry them."""

    async def work() -> None:
        upstream = await DeadAfterOneRequest().start()
        script = ScriptedBalancer([1])
        async with (
            running(entry("a", upstream.port), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            balancer.dispatcher.connection_pool.LAST_BYTE_DELAY_MS = LONG_HOLD_MS
            for _ in range(5):
                client.send_request("move", b"x")
                assert (await client.read_response()).status == 200
        upstream.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK] * 5
        assert (upstream.complete_requests, upstream.connections) == (5, 5)

    run(work())


def test_dead_reused_connection_and_no_new_one_ends_as_connect_failed() -> None:
    """Guards the row 'could not connect': the connection broke before the last byte was written."""

    async def work() -> None:
        upstream = await DeadAfterOneRequest().start()
        script = ScriptedBalancer([1])
        async with (
            running(entry("a", upstream.port), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            balancer.dispatcher.connection_pool.LAST_BYTE_DELAY_MS = LONG_HOLD_MS
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 200
            upstream.close()
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 502
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.CONNECT_FAILED]

    run(work())
