"""Tests each row of the protocol's table of attempt outcomes over the loopback interface."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

import pytest

from sandhatch.balancing.events import Outcome
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.behaviours import disconnects, responds
from testkit.platform import entry
from testkit.polling import wait_until
from testkit.servers import Behaviour, FakeConnection
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok, status
from tests.event_loop import run
from tests.fakes import Loopback, ScriptedBalancer, loopback
from tests.upstream.behaviours import (
    closes_without_response,
    full_backlog,
    listener_with_small_buffer,
    listening_port,
    resets_mid_response,
    resets_without_length,
    responds_then_closes,
    responds_without_length_then_closes,
)

TABLE = [
    ("200 and a body", responds(ok()), Outcome.OK),
    (
        "200 in chunks",
        responds(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"),
        Outcome.OK,
    ),
    ("interim response first", responds(b"HTTP/1.1 103 Early Hints\r\n\r\n" + ok()), Outcome.OK),
    ("500", responds(status(500)), Outcome.ERROR),
    ("503 that proves it has not run", responds(status(503, "X-Never-Ran: 1\r\n")), Outcome.FULL),
    ("504 that proves it has not run", responds(status(504, "X-Never-Ran: 1\r\n")), Outcome.FULL),
    ("503 that proves nothing", responds(status(503)), Outcome.ERROR),
    ("500 cannot prove that it has not run", responds(status(500, "X-Never-Ran: 1\r\n")), Outcome.ERROR),
    ("204", responds(b"HTTP/1.1 204 No Content\r\n\r\n"), Outcome.ERROR),
    ("400", responds(status(400)), Outcome.CLIENT_ERROR),
    (
        "length that is not a number",
        responds(b"HTTP/1.1 200 OK\r\nContent-Length: six\r\n\r\nserved"),
        Outcome.RESET,
    ),
    (
        "length of 3 GB",
        responds(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nserved"),
        Outcome.RESET,
    ),
    ("head over the limit", responds(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: ppppppppp\r\n" * 3000), Outcome.RESET),
    ("another HTTP version", responds(ok().replace(b"1.1", b"2.0")), Outcome.RESET),
    ("too many interim responses", responds(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 60_000), Outcome.RESET),
    ("garbage after the response", responds(ok() + b"\x00noise\r\n\r\n"), Outcome.OK),
    ("duplicate response", responds(ok() * 2), Outcome.OK),
    (
        "malformed load report",
        responds(ok(b"served", "Endpoint-Load-Metrics: \xff=\r\n")),
        Outcome.OK,
    ),
    ("reset", disconnects, Outcome.RESET),
    ("end of stream without a response", closes_without_response, Outcome.RESET),
    ("reset during the response", resets_mid_response, Outcome.RESET),
    ("response delimited by an orderly end", responds_without_length_then_closes, Outcome.OK),
    (
        "error delimited by an orderly end",
        responds_then_closes(b"HTTP/1.1 500 Oops\r\n\r\nserved"),
        Outcome.ERROR,
    ),
    ("reset of a response without a length", resets_without_length, Outcome.RESET),
    ("end of stream in the head", responds_then_closes(b"HTTP/1.1 200 OK\r\nX-Half: "), Outcome.RESET),
    (
        "end of stream before the stated length",
        responds_then_closes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nserved"),
        Outcome.RESET,
    ),
    (
        "end of stream before the last chunk",
        responds_then_closes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n"),
        Outcome.RESET,
    ),
    (
        "end of stream after an interim response",
        responds_then_closes(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        Outcome.RESET,
    ),
    (
        "body without a length over the limit",
        responds_then_closes(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (1024 * 1024 + 1)),
        Outcome.RESET,
    ),
    ("not HTTP", responds(b"\x00\x01nonsense\r\n\r\n"), Outcome.RESET),
    (
        "two lengths",
        responds(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        Outcome.RESET,
    ),
    ("body over the limit", responds(ok(b"x" * (1024 * 1024 + 1))), Outcome.RESET),
    (
        "switching protocols",
        responds(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        Outcome.RESET,
    ),
]


@pytest.mark.parametrize(("behave", "outcome"), [row[1:] for row in TABLE], ids=[row[0] for row in TABLE])
def test_response_maps_to_the_outcome_in_the_protocol_table(behave: Behaviour, outcome: Outcome) -> None:
    """Guards against a wrong outcome of a response, which could let a non-idempotent request run twice."""

    async def scenario() -> None:
        script = ScriptedBalancer([1])
        async with loopback(behave, script=script) as network:
            network.client.send_request("move", b"x")
            response = await network.client.read_response()
            event = await script.next_attempt_end()
        assert event.outcome is outcome
        assert event.final is (outcome is Outcome.OK)
        assert (response.status, response.body) == ((200, b"served") if outcome is Outcome.OK else (502, b""))
        assert len(network.server.requests) == 1
        assert len(script.attempt_ends()) == 1

    run(scenario())


async def assert_connect_fails(port: int, connect_timeout_ms: float = 2_000) -> None:
    """Send a request whose only server is at a port that cannot be connected to."""
    script = ScriptedBalancer([1])
    limits = {"ConnectTimeoutMs": connect_timeout_ms}
    async with loopback(script=script, entries=(entry("a", port),), limits=limits) as network:
        network.client.send_request("move", b"x")
        assert (await network.client.read_response()).status == 502
        assert (await script.next_attempt_end()).outcome is Outcome.CONNECT_FAILED


def test_refused_connection_ends_as_connect_failed() -> None:
    """Guards against an outcome other than CONNECT_FAILED when no process listens at the address."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))  # the socket is bound and never listens
        run(assert_connect_fails(listening_port(unused)))


def test_connect_timeout_ends_as_connect_failed() -> None:
    """Guards against an outcome other than CONNECT_FAILED when the host does not respond to the connect."""
    with full_backlog() as port:
        run(assert_connect_fails(port, connect_timeout_ms=100))


def test_attempt_timeout_closes_the_connection() -> None:
    """Guards against a timed-out attempt that keeps its connection: only closing it cancels the attempt,
    whose request may have run.
    """

    async def scenario() -> None:
        closed = asyncio.Event()

        async def waits_for_disconnect(_request: ReceivedRequest, connection: FakeConnection) -> None:
            await connection.ended()
            closed.set()

        script = ScriptedBalancer([1], timeout_ms=1_000)
        async with loopback(waits_for_disconnect, script=script) as network:
            network.client.send_request("move", b"x")
            assert (await network.client.read_response()).status == 502
            event = await script.next_attempt_end()
            assert event.outcome is Outcome.TIMEOUT
            assert event.spent_ms >= 1_000
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await closed.wait()

    run(scenario())


class _AttemptWithWrite:
    """A proxy of an attempt that replaces `write`."""

    def __init__(self, attempt: Attempt, write: Callable[[Any], bool]) -> None:
        self._attempt = attempt
        self.write = write

    def __getattr__(self, name: str) -> Any:
        return getattr(self._attempt, name)


def shrink_send_buffers(pool: ConnectionPool) -> None:
    """Shrink the socket send buffer of each new connection before anything is written to it."""
    connect = pool._connect

    async def connect_with_small_buffer(attempt: Attempt) -> None:
        def write(connection: Any) -> bool:
            descriptor = connection._transport.get_extra_info("socket").fileno()
            with socket.socket(fileno=socket.dup(descriptor)) as raw_socket:
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            return bool(attempt.write(connection))

        await connect(_AttemptWithWrite(attempt, write))  # type: ignore[arg-type]

    pool._connect = connect_with_small_buffer  # type: ignore[method-assign]


LONG_BODY_BYTES = 60_000  # more than small socket buffers accept at once


class PartlySentRequest(NamedTuple):
    """A request of which the kernel has accepted only a part, and the server's end of its connection."""

    network: Loopback
    script: ScriptedBalancer
    connection: socket.socket


@asynccontextmanager
async def partly_sent_request() -> AsyncIterator[PartlySentRequest]:
    """Send a long request by way of small socket buffers to a server that does not read."""
    script = ScriptedBalancer([1])
    with listener_with_small_buffer() as listener:
        async with loopback(script=script, entries=(entry("a", listening_port(listener)),)) as network:
            shrink_send_buffers(network.pool)
            network.client.send_request("move", b"x" * LONG_BODY_BYTES)
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            await wait_until(lambda: network.pool._open, "a part of the request is written")
            with connection:
                yield PartlySentRequest(network, script, connection)


def test_reset_before_the_last_byte_is_sent_ends_as_connect_failed() -> None:
    """Guards against taking a request for possibly run if the server resets while a part of it is unsent."""

    async def scenario() -> None:
        async with partly_sent_request() as request:
            head = await asyncio.get_running_loop().sock_recv(request.connection, 100)
            assert head.startswith(b"POST")
            request.connection.close()  # closing with unread bytes sends a reset
            assert (await request.script.next_attempt_end()).outcome is Outcome.CONNECT_FAILED
            assert (await request.network.client.read_response()).status == 502

    run(scenario())


def test_unsent_bytes_of_a_request_count_in_the_memory_budget() -> None:
    """Guards against servers that don't read, and so take the process over its memory limit."""

    async def scenario() -> None:
        async with partly_sent_request() as request:
            budget = request.network.balancer.shared.memory_budget
            await wait_until(lambda: budget.used_bytes > 1.5 * LONG_BODY_BYTES, "both copies are counted")
            request.connection.close()
            await request.script.next_attempt_end()
            assert (await request.network.client.read_response()).status == 502
            await wait_until(lambda: not budget.used_bytes, "nothing is counted")

    run(scenario())


def test_request_accepted_in_part_is_not_completed_after_its_client_has_left() -> None:
    """Guards against a request that arrives at a server long after its client has disconnected."""

    async def scenario() -> None:
        async with partly_sent_request() as request:
            request.network.client.writer.close()
            assert (await request.script.next_attempt_end()).outcome is Outcome.DISCARDED
            received_bytes = 0
            with suppress(ConnectionResetError):
                while data := await asyncio.get_running_loop().sock_recv(request.connection, 65_536):
                    received_bytes += len(data)
            assert received_bytes < LONG_BODY_BYTES

    run(scenario())


async def attempt_in_flight(pool: ConnectionPool) -> Attempt:
    """Wait for an attempt on the pool's only connection, and return it."""
    await wait_until(lambda: pool._open and next(iter(pool._open))._attempt)
    (connection,) = pool._open
    attempt = connection._attempt
    assert attempt is not None
    return attempt


@pytest.mark.parametrize("silent", [False, True], ids=["reset", "silent"])
def test_failure_after_any_response_byte_means_the_request_may_have_run(silent: bool) -> None:
    """Guards against a retry of a non-idempotent request that was answered before its last byte was sent."""

    async def scenario(listener: socket.socket) -> None:
        script = ScriptedBalancer([1])
        async with loopback(script=script, entries=(entry("a", listening_port(listener)),)) as network:
            loop = asyncio.get_running_loop()
            network.client.send_request("move", b"x" * 60_000)
            connection, _ = await loop.sock_accept(listener)
            attempt = await attempt_in_flight(network.pool)
            attempt.sent_enough_to_run = False  # simulates a body larger than the socket buffers
            await loop.sock_sendall(connection, b"HTTP/1.1 200 OK\r\n")
            await wait_until(lambda: attempt.response_started)
            if silent:
                attempt.time_out()  # called by the attempt's timer
            else:
                connection.close()
            expected = Outcome.TIMEOUT if silent else Outcome.RESET
            assert (await script.next_attempt_end()).outcome is expected
            assert (await network.client.read_response()).status == 502
            connection.close()

    with listener_with_small_buffer() as listener:
        run(scenario(listener))
