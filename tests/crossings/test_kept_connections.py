"""What comes late on a kept connection crosses the next request on it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from sandhatch.balancing.events import Outcome
from sandhatch.upstream.connection import ServerConnection
from tests.crossings.harness import accepted, holds, until, until_unread
from tests.event_loop import run
from tests.fakes import PATIENCE_S, FakeUpstream, HttpClient, Incoming, Script, Talk, entry, ok, running


def own_end(connection: ServerConnection) -> int:
    """The balancer's end of a connection to a server."""
    assert connection._transport is not None
    return int(connection._transport.get_extra_info("socket").fileno())


async def name(request: Incoming, talk: Talk) -> None:
    await talk.send(ok(request.target.encode()))


def test_a_second_answer_while_the_last_byte_is_held_back_answers_no_other_request() -> None:
    """Guards a caller against another's answer, which came after the connection was found quiet and before
    its request was written whole.
    """

    async def work() -> None:
        upstream = await FakeUpstream(name).start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x", "/api?1")
            assert (await client.answer()).body == b"/api?1"
            held: list[Callable[[], None]] = []
            balancer.dispatcher.connection_pool.later = held.append  # type: ignore[method-assign]
            client.ask("move", b"x", "/api?2")
            await until(lambda: held)
            await upstream.talks[0].send(ok(b"/api?1"))
            assert (await client.answer()).body == b"/api?2"
            held[0]()  # its moment comes, and finds nothing to write
            await script.ended()
        upstream.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.OK]
        assert [item.target for item in upstream.seen] == ["/api?1", "/api?2"]
        assert upstream.connections == 2

    run(work())


def test_a_connection_to_the_process_before_a_restart_is_not_kept() -> None:
    """A server restarts under its id and address while a call is out to the process before."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        async with (
            running(upstream.entry("a"), script=Script([1])) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            await until(lambda: upstream.seen)
            balancer.discovery.change(upstream.entry("a", startedAtMs=1_000))
            table = balancer.dispatcher.connection_pool.table
            await until(lambda: table[1].started_ms == 1_000)
            go.set()
            assert (await client.answer()).status == 200
            await until(lambda: not balancer.dispatcher.connection_pool.sockets)
            client.ask("move", b"x")
            assert (await client.answer()).status == 200
            assert upstream.connections == 2
        upstream.close()

    run(work())


def test_a_connection_that_ends_while_the_last_byte_is_held_back_is_left() -> None:
    """Guards unsafe requests: the end waits in the system, unread, as the moment of the last byte comes.
    Written then, the request may have run, and nobody may repeat it.
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
            first, _ = await accepted(listener)
            first.sendall(ok())
            assert (await client.answer()).status == 200
            held: list[Callable[[], None]] = []
            pool.later = held.append  # type: ignore[method-assign]
            client.ask("move", b"x", "/api?2")
            await until(lambda: held)
            (kept,) = pool._open
            first.close()
            until_unread(own_end(kept))
            held[0]()
            second, request = await accepted(listener)
            assert b"/api?2" in request
            second.sendall(ok())
            assert (await client.answer()).status == 200
            second.close()
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK, Outcome.OK]

    run(work())


def test_an_answer_and_a_reset_that_come_together_are_an_answer() -> None:
    """Both wait in the system as the loop looks: the answer is whole, and its request is served."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(PATIENCE_S)
        script = Script([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            served, _ = await accepted(listener)
            served.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            served.sendall(ok())  # no await between the two: the loop reads neither before the other
            served.close()
            assert (await client.answer()).status == 200
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.OK]

    run(work())


def test_a_time_out_that_goes_before_an_answer_unread_is_final() -> None:
    """An unsafe call times out as its answer waits in the system: it has failed, once, and nobody gets it."""

    async def work() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(PATIENCE_S)
        script = Script([1])
        async with (
            running(entry("a", listener.getsockname()[1]), script=script) as balancer,
            HttpClient(balancer.port) as client,
        ):
            client.ask("move", b"x")
            served, _ = await accepted(listener)
            (connection,) = balancer.dispatcher.connection_pool._open
            call = connection._call
            assert call is not None
            served.sendall(ok())
            until_unread(own_end(connection))
            call.time_out()
            assert (await client.answer()).status == 502
            await until(lambda: not balancer.dispatcher.connection_pool.sockets)
            served.close()
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.TIMEOUT]

    run(work())
