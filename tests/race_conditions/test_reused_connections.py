"""What arrives late on a reused connection to a server races with the next request on it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from sandhatch.balancing.events import Outcome
from sandhatch.upstream.pool import ServerConnection
from testkit.clients import HttpClient
from testkit.platform import entry
from testkit.servers import FakeUpstream, Talk
from testkit.wire import PATIENCE_S, Incoming, ok
from tests.fakes import Script, running
from tests.race_conditions.harness import accept_request, block_until_readable, serves_when, wait_until
from tests.test_attempts import run


def balancer_descriptor(connection: ServerConnection) -> int:
    """The descriptor of the balancer's end of a connection to a server."""
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())


async def answer_target(request: Incoming, talk: Talk) -> None:
    await talk.send(ok(request.target.encode()))


def test_a_second_answer_before_the_last_byte_is_written_answers_no_other_request() -> None:
    """Guards a client against another's answer, which arrived after the connection was found quiet and before
    the request was written completely.
    """

    async def work() -> None:
        upstream = await FakeUpstream(answer_target).start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x", "/api?1")
            assert (await client.answer()).body == b"/api?1"
            deferred_calls: list[Callable[[], None]] = []
            balancer.dispatcher.connection_pool.later = deferred_calls.append  # type: ignore[method-assign]
            client.ask("move", b"x", "/api?2")
            await wait_until(lambda: deferred_calls)
            await upstream.talks[0].send(ok(b"/api?1"))
            assert (await client.answer()).body == b"/api?2"
            deferred_calls[0]()  # there is nothing left to write
            await script.ended()
        upstream.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.OK]
        assert [request.target for request in upstream.seen] == ["/api?1", "/api?2"]
        assert upstream.connections == 2

    run(work())


def test_a_connection_to_a_server_process_that_was_restarted_is_not_reused() -> None:
    """A server restarts under its id and address while an attempt to the earlier process is in flight."""

    async def work() -> None:
        released = asyncio.Event()

        upstream = await FakeUpstream(serves_when(released)).start()
        async with (
            running(upstream.entry("a"), script=Script([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            await wait_until(lambda: upstream.seen)
            balancer.discovery.change(upstream.entry("a", startedAtMs=1_000))
            table = balancer.dispatcher.connection_pool.table
            await wait_until(lambda: table[1].started_ms == 1_000)
            released.set()
            assert (await client.answer()).status == 200
            await wait_until(lambda: not balancer.dispatcher.connection_pool.sockets)
            client.ask("move", b"x")
            assert (await client.answer()).status == 200
            assert upstream.connections == 2
        upstream.close()

    run(work())


def test_a_connection_that_ends_before_the_last_byte_is_written_is_not_used() -> None:
    """Guards non-idempotent requests: the end of stream is in the system, unread, when the last byte is due.
    Written then, the request may have run, and nobody may retry it.
    """

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(PATIENCE_S)
        script = Script([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            pool = balancer.dispatcher.connection_pool
            client.ask("move", b"x", "/api?1")
            first, _ = await accept_request(listener)
            first.sendall(ok())
            assert (await client.answer()).status == 200
            deferred_calls: list[Callable[[], None]] = []
            pool.later = deferred_calls.append  # type: ignore[method-assign]
            client.ask("move", b"x", "/api?2")
            await wait_until(lambda: deferred_calls)
            (connection,) = pool._open
            first.close()
            block_until_readable(balancer_descriptor(connection))
            deferred_calls[0]()
            second, request = await accept_request(listener)
            assert b"/api?2" in request
            second.sendall(ok())
            assert (await client.answer()).status == 200
            second.close()
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.OK]

    run(work())


def test_an_answer_and_a_reset_that_arrive_together_are_an_answer() -> None:
    """The system holds both when the loop reads: the answer is complete, and its request is served."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(PATIENCE_S)
        script = Script([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            server_side, _ = await accept_request(listener)
            server_side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server_side.sendall(ok())  # no await between the two: the loop reads neither before the other
            server_side.close()
            assert (await client.answer()).status == 200
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK]

    run(work())


def test_a_timeout_before_an_unread_answer_is_final() -> None:
    """A non-idempotent attempt times out while the system holds its answer: it fails, once."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(PATIENCE_S)
        script = Script([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            server_side, _ = await accept_request(listener)
            (connection,) = balancer.dispatcher.connection_pool._open
            attempt = connection._call
            assert attempt is not None
            server_side.sendall(ok())
            block_until_readable(balancer_descriptor(connection))
            attempt.time_out()
            assert (await client.answer()).status == 502
            await wait_until(lambda: not balancer.dispatcher.connection_pool.sockets)
            server_side.close()
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.TIMEOUT]

    run(work())
