"""What comes late on a kept connection crosses the next request on it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from mulleinhitch.interface import Outcome
from tests.crossings.test_callers_leave import until
from tests.fakes import PATIENCE_S, Caller, FakeUpstream, Incoming, Script, Talk, entry, ok, running
from tests.test_attempts import run


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
            Caller(balancer.port) as caller,
        ):
            caller.ask("move", b"x", "/api?1")
            assert (await caller.answer()).body == b"/api?1"
            held: list[Callable[[], None]] = []
            balancer.engine.upstreams.later = held.append  # type: ignore[method-assign]
            caller.ask("move", b"x", "/api?2")
            await until(lambda: held)
            await upstream.talks[0].send(ok(b"/api?1"))
            assert (await caller.answer()).body == b"/api?2"
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

        async def held(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        async with (
            running(upstream.entry("a"), script=Script([1])) as balancer,
            Caller(balancer.port) as caller,
        ):
            caller.ask("move", b"x")
            await until(lambda: upstream.seen)
            balancer.discovery.change(upstream.entry("a", startedAtMs=1_000))
            table = balancer.engine.upstreams.table
            await until(lambda: table[1].started_ms == 1_000)
            go.set()
            assert (await caller.answer()).status == 200
            async with asyncio.timeout(PATIENCE_S):
                while balancer.engine.upstreams.sockets:
                    await asyncio.sleep(0.001)
            caller.ask("move", b"x")
            assert (await caller.answer()).status == 200
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
            Caller(balancer.port) as caller,
        ):
            pool = balancer.engine.upstreams
            caller.ask("move", b"x", "/api?1")
            first = await asyncio.to_thread(lambda: listener.accept()[0])
            await asyncio.to_thread(whole, first)
            first.sendall(ok())
            assert (await caller.answer()).status == 200
            held: list[Callable[[], None]] = []
            pool.later = held.append  # type: ignore[method-assign]
            caller.ask("move", b"x", "/api?2")
            await until(lambda: held)
            (kept,) = pool._open
            first.close()
            while kept._poll.poll(0) == []:  # the loop stands still meanwhile
                pass
            held[0]()
            second = await asyncio.to_thread(lambda: listener.accept()[0])
            assert b"/api?2" in await asyncio.to_thread(whole, second)
            second.sendall(ok())
            assert (await caller.answer()).status == 200
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
            Caller(balancer.port) as caller,
        ):
            caller.ask("move", b"x")
            served = await asyncio.to_thread(lambda: listener.accept()[0])
            await asyncio.to_thread(whole, served)
            served.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            served.sendall(ok())  # no await between the two: the loop reads neither before the other
            served.close()
            assert (await caller.answer()).status == 200
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
            Caller(balancer.port) as caller,
        ):
            caller.ask("move", b"x")
            served = await asyncio.to_thread(lambda: listener.accept()[0])
            await asyncio.to_thread(whole, served)
            (connection,) = balancer.engine.upstreams._open
            call = connection._call
            assert call is not None
            served.sendall(ok())
            while connection._poll.poll(0) == []:  # the loop stands still meanwhile
                pass
            call.time_out()
            assert (await caller.answer()).status == 502
            await until(lambda: not balancer.engine.upstreams.sockets)
            served.close()
        listener.close()
        assert [event.outcome for event in script.ends()] == [Outcome.TIMEOUT]

    run(work())


def whole(connection: socket.socket) -> bytes:
    """One request with a body of one byte."""
    connection.settimeout(PATIENCE_S)
    came = b""
    while not came.endswith(b"\r\n\r\nx"):
        part = connection.recv(4096)
        assert part, came
        came += part
    return came
