"""The outcome of an attempt, over loopback: each row of the protocol's table."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from sandhatch.balancing.events import Outcome
from testkit.clients import HttpClient
from testkit.platform import entry
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok, status
from tests.event_loop import run
from tests.fakes import ScriptedBalancer, running
from tests.upstream.behaviours import (
    closes,
    ends_the_answer_by_closing,
    listener_with_full_backlog,
    listener_with_small_buffer,
    resets,
    resets_inside_the_answer,
    sends,
)

TABLE = [
    ("200 and a body", sends(ok()), Outcome.OK),
    (
        "200 in chunks",
        sends(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n"),
        Outcome.OK,
    ),
    ("interim answer first", sends(b"HTTP/1.1 103 Early Hints\r\n\r\n" + ok()), Outcome.OK),
    ("500", sends(status(500)), Outcome.ERROR),
    ("503 that proves it has not run", sends(status(503, "X-Never-Ran: 1\r\n")), Outcome.FULL),
    ("504 that proves it has not run", sends(status(504, "X-Never-Ran: 1\r\n")), Outcome.FULL),
    ("503 that proves nothing", sends(status(503)), Outcome.ERROR),
    ("500 cannot prove that it has not run", sends(status(500, "X-Never-Ran: 1\r\n")), Outcome.ERROR),
    ("204", sends(b"HTTP/1.1 204 No Content\r\n\r\n"), Outcome.ERROR),
    ("400", sends(status(400)), Outcome.CLIENT_ERROR),
    (
        "length that is no number",
        sends(b"HTTP/1.1 200 OK\r\nContent-Length: six\r\n\r\nserved"),
        Outcome.RESET,
    ),
    ("length of 3 GB", sends(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nserved"), Outcome.RESET),
    ("endless head", sends(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: ppppppppp\r\n" * 3000), Outcome.RESET),
    ("another HTTP version", sends(ok().replace(b"1.1", b"2.0")), Outcome.RESET),
    ("interim answers without end", sends(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 60_000), Outcome.RESET),
    ("noise after the answer", sends(ok() + b"\x00noise\r\n\r\n"), Outcome.OK),
    ("answer repeated", sends(ok() * 2), Outcome.OK),
    (
        "malformed load report",
        sends(ok(b"served", "Endpoint-Load-Metrics: \xff=\r\n")),
        Outcome.OK,
    ),
    ("reset", resets, Outcome.RESET),
    ("end without an answer", closes, Outcome.RESET),
    ("reset inside the answer", resets_inside_the_answer, Outcome.RESET),
    ("answer whose end only the close shows", ends_the_answer_by_closing, Outcome.RESET),
    ("no HTTP", sends(b"\x00\x01nonsense\r\n\r\n"), Outcome.RESET),
    (
        "two lengths",
        sends(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        Outcome.RESET,
    ),
    ("body over the limit", sends(ok(b"x" * (1024 * 1024 + 1))), Outcome.RESET),
    (
        "switch of protocols",
        sends(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        Outcome.RESET,
    ),
]


@pytest.mark.parametrize(("behave", "outcome"), [row[1:] for row in TABLE], ids=[row[0] for row in TABLE])
def test_answer_leads_to_the_outcome_of_the_protocols_table(behave: Any, outcome: Outcome) -> None:
    """Guards the outcome table: a wrong row lets a non-idempotent request run twice."""

    async def work() -> None:
        upstream = await FakeServer(behave).start()
        script = ScriptedBalancer([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x")
            answer = await client.read_response()
            event = await script.ended()
        upstream.close()
        assert event.outcome is outcome
        assert event.final is (outcome is Outcome.OK)
        assert (answer.status, answer.body) == ((200, b"served") if outcome is Outcome.OK else (502, b""))
        assert len(upstream.requests) == 1
        assert len(script.ends()) == 1

    run(work())


def test_refused_connection_ends_as_connect_failed() -> None:
    """Guards the row 'could not connect': nothing listens at the address."""

    async def work() -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))  # bound, never listening
            script = ScriptedBalancer([1])
            async with (
                running(entry("a", unused.getsockname()[1]), script=script) as balancer,
                HttpClient(balancer.port) as client,
            ):
                client.send_request("move", b"x")
                assert (await client.read_response()).status == 502
                assert (await script.ended()).outcome is Outcome.CONNECT_FAILED

    run(work())


def test_connection_that_never_comes_up_ends_as_connect_failed() -> None:
    """Guards the row 'could not connect': the machine does not answer."""

    async def work() -> None:
        listener, fillers = listener_with_full_backlog()
        script = ScriptedBalancer([1])
        async with (
            running(
                entry("a", listener.getsockname()[1]), script=script, limits={"ConnectTimeoutMs": 100}
            ) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 502
            assert (await script.ended()).outcome is Outcome.CONNECT_FAILED
        for opened in (listener, *fillers):
            opened.close()

    run(work())


def test_timeout_closes_the_connection() -> None:
    """Guards the row 'timed out': the attempt is cancelled by closing, and the request may have run."""

    async def work() -> None:
        closed = asyncio.Event()

        async def wait(request: ReceivedRequest, talk: FakeConnection) -> None:
            await talk.ended()
            closed.set()

        upstream = await FakeServer(wait).start()
        script = ScriptedBalancer([1], timeout_ms=100)
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.send_request("move", b"x")
            assert (await client.read_response()).status == 502
            event = await script.ended()
            assert event.outcome is Outcome.TIMEOUT
            assert event.spent_ms >= 100
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await closed.wait()
        upstream.close()

    run(work())


class _AttemptWithWrite:
    """An attempt whose `write` is replaced."""

    def __init__(self, attempt: Any, write: Any) -> None:
        self._attempt = attempt
        self.write = write

    def __getattr__(self, name: str) -> Any:
        return getattr(self._attempt, name)


def test_break_before_the_last_byte_is_sent_ends_as_connect_failed() -> None:
    """Guards the dividing line: a server that resets with part of the request unread and unsent."""

    async def work() -> None:
        # Small buffers keep the last byte with the balancer: the body is larger than what the system takes.
        listener = listener_with_small_buffer()
        script = ScriptedBalancer([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            loop = asyncio.get_running_loop()
            accepting = asyncio.ensure_future(loop.sock_accept(listener))
            connect = balancer.dispatcher.connection_pool._connect

            # The system's own send buffer is made small as well, before anything is written.
            async def connect_with_small_buffer(attempt: Any) -> None:
                def write(connection: Any) -> bool:
                    descriptor = connection._transport.get_extra_info("socket").fileno()
                    with socket.socket(fileno=socket.dup(descriptor)) as raw_socket:
                        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                    return bool(attempt.write(connection))

                await connect(_AttemptWithWrite(attempt, write))  # type: ignore[arg-type]

            balancer.dispatcher.connection_pool._connect = connect_with_small_buffer  # type: ignore[method-assign]
            client.send_request("move", b"x" * 60_000)
            connection, _ = await accepting
            head = await loop.sock_recv(connection, 100)
            assert head.startswith(b"POST")
            connection.close()  # with bytes unread: a reset
            assert (await script.ended()).outcome is Outcome.CONNECT_FAILED
            assert (await client.read_response()).status == 502
        listener.close()

    run(work())


@pytest.mark.parametrize("silent", [False, True], ids=["reset", "silent"])
def test_any_byte_of_an_answer_means_the_request_may_have_run(silent: bool) -> None:
    """Guards non-idempotent requests: a server that answers before it has read all proves nothing."""

    async def work() -> None:
        listener = listener_with_small_buffer()
        script = ScriptedBalancer([1], timeout_ms=1_500.0 if silent else 0.0)
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            loop = asyncio.get_running_loop()
            pool = balancer.dispatcher.connection_pool
            client.send_request("move", b"x" * 60_000)
            connection, _ = await loop.sock_accept(listener)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not (pool._open and next(iter(pool._open))._attempt):
                    await asyncio.sleep(0.001)
            attempt = next(iter(pool._open))._attempt
            assert attempt is not None
            attempt.request_sent = False  # as with a body larger than what the system takes
            await loop.sock_sendall(connection, b"HTTP/1.1 200 OK\r\n")
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while not attempt.answer_seen:
                    await asyncio.sleep(0.001)
            if not silent:
                connection.close()
            expected = Outcome.TIMEOUT if silent else Outcome.RESET
            assert (await script.ended()).outcome is expected
            assert (await client.read_response()).status == 502
            connection.close()
        listener.close()

    run(work())
