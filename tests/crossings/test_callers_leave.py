"""A caller leaves while its request waits: nothing goes to an upstream from then on."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import ClientDisconnected, Event, Outcome, RequestArrived, TimerFired
from sandhatch.downstream.listener import ClientConnection
from sandhatch.upstream.pool import ServerConnection
from tests.crossings.harness import answers, dial, holds, until
from tests.fakes import (
    PATIENCE_S,
    FakeUpstream,
    Running,
    Script,
    request_bytes,
    running,
    status,
)
from tests.test_attempts import run

LATER_MS = 100.0  # from which on nothing may be begun


def crowd(balancer: Running) -> socket.socket:
    """A caller that sends so much ahead that nothing more is read from it, its end included, and whose end
    nobody looks out for: what is begun after it is then kept back by the look before each attempt alone.
    """
    balancer.listener.SWEEP_MS = balancer.listener.END_MS = 1e9
    client = dial(balancer.port)
    client.sendall(b"".join(request_bytes() for _ in range(ClientConnection.AHEAD)))
    return client


async def crowded(balancer: Running, client: socket.socket) -> None:
    """To be called once its first request is begun."""
    client.sendall(request_bytes())
    (connection,) = balancer.listener._connections
    connection.check = lambda now_ms: None  # type: ignore[method-assign]
    await until(lambda: connection.crowded)


async def leaves(balancer: Running, client: socket.socket) -> None:
    """It has left, the system knows, and the program has not been told."""
    (connection,) = balancer.listener._connections
    client.close()
    await until(connection.has_disconnected)
    assert balancer.dispatcher.unanswered


def test_behind_requests_sent_ahead_with_reading_paused() -> None:
    """Guards against serving a caller that has left: with reading paused its end is not seen."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            client = dial(balancer.port)
            client.sendall(b"".join(request_bytes() for _ in range(4)))
            await until(lambda: upstream.seen)
            client.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await until(lambda: len(connection._waiting) == connection.AHEAD)
            balancer.listener.SWEEP_MS = 1e9  # which is for the others
            connection.check = lambda now_ms: None  # type: ignore[method-assign]
            assert 2.0 * balancer.listener.END_MS <= LATER_MS
            client.close()
            async with asyncio.timeout(PATIENCE_S):  # it is looked out for, though the upstream hangs
                while not isinstance(await script.told.get(), ClientDisconnected):
                    pass
            go.set()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_behind_one_request_that_is_answered_first() -> None:
    """The same in the order in which the answer comes before the sweep: the next one is not begun."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        async with running(upstream.entry("a"), script=Script([1])) as balancer:
            client = dial(balancer.port)
            client.sendall(b"".join(request_bytes() for _ in range(4)))
            await until(lambda: upstream.seen)
            client.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await until(lambda: len(connection._waiting) == connection.AHEAD)
            balancer.listener.SWEEP_MS = 1e9
            connection.check = lambda now_ms: None  # type: ignore[method-assign]
            client.close()
            go.set()
            await until(lambda: not balancer.dispatcher.open and not balancer.listener.connections)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_before_its_request_was_read() -> None:
    """A caller that sends and goes at once, while the balancer is busy elsewhere."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            gone: list[ClientConnection] = []
            balancer.listener.left = gone.append  # type: ignore[method-assign]
            client = dial(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            client.close()  # the loop has not run since: both wait in the system
            await until(lambda: gone)
            assert not any(isinstance(event, RequestArrived) for event in script.events)
            assert not upstream.seen
        upstream.close()

    run(work())


def test_while_the_last_byte_is_held_back() -> None:
    """The caller leaves between the request's first bytes and its last: that is never written."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            pool = balancer.dispatcher.connection_pool
            client = dial(balancer.port)
            client.sendall(request_bytes())
            await until(lambda: upstream.seen and not balancer.dispatcher.open)
            held: list[Callable[[], None]] = []
            pool.later = held.append  # type: ignore[method-assign]
            client.sendall(request_bytes("move", b"x"))
            await until(lambda: held)
            client.close()
            await until(lambda: any(isinstance(event, ClientDisconnected) for event in script.events))
            held[0]()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_while_a_connection_comes_up_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is up only after the caller has left: it is kept, and nothing is written to it."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            up = asyncio.Event()
            loop = asyncio.get_running_loop()
            connect = loop.create_connection
            waiting = asyncio.Event()

            async def late(factory: Callable[[], ServerConnection], host: str, port: int) -> object:
                made = await connect(factory, host, port)
                waiting.set()
                await up.wait()
                return made

            class Late:
                create_connection = staticmethod(late)
                create_task = staticmethod(loop.create_task)

            monkeypatch.setattr("sandhatch.upstream.pool.asyncio.get_running_loop", lambda: Late)
            client = dial(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await waiting.wait()
            monkeypatch.undo()
            client.close()
            await until(lambda: any(isinstance(event, ClientDisconnected) for event in script.events))
            up.set()
            await until(lambda: not balancer.dispatcher.open)
            assert not upstream.seen
        upstream.close()

    run(work())


def test_while_it_waits_in_the_decisions() -> None:
    """Held by the decisions for want of a server, with a timer out: a server that comes then gets nothing."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a", lifecycle="leaving")) as balancer:
            decisions = balancer.dispatcher.balancer
            assert isinstance(decisions, Balancer)
            handle = decisions.handle
            events: list[Event] = []

            def seen(now_ms: float, event: Event) -> list[Action]:
                events.append(event)
                return handle(now_ms, event)

            decisions.handle = seen  # type: ignore[method-assign]
            client = dial(balancer.port)
            client.sendall(request_bytes("move", b"x"))
            await until(lambda: decisions.queued)
            client.close()
            await until(lambda: any(isinstance(event, ClientDisconnected) for event in events))
            balancer.discovery.change(upstream.entry("a"))
            await until(lambda: balancer.dispatcher.ready)
            at = len(events)
            await until(lambda: any(isinstance(event, TimerFired) for event in events[at:]))
            assert not balancer.dispatcher.open and not upstream.seen
        upstream.close()

    run(work())


def test_while_its_attempt_fails_that_would_be_repeated() -> None:
    """The first attempt fails after the caller has left: there is no second."""

    async def work() -> None:
        go = asyncio.Event()
        upstream = await FakeUpstream(answers(go, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            client = dial(balancer.port)
            client.sendall(request_bytes())
            await until(lambda: upstream.seen)
            client.close()
            await until(lambda: not balancer.dispatcher.unanswered)
            go.set()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_unseen_while_its_attempt_fails_that_would_be_repeated() -> None:
    """The same with reading paused: the failure comes before anybody has seen the caller's end."""

    async def work() -> None:
        go = asyncio.Event()
        upstream = await FakeUpstream(answers(go, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            client = crowd(balancer)
            await until(lambda: upstream.seen)
            await crowded(balancer, client)
            await leaves(balancer, client)
            go.set()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_unseen_while_a_second_copy_is_decided_on() -> None:
    """A copy beside the first attempt, which is still out, goes to another server."""

    async def work() -> None:
        go = asyncio.Event()
        first, second = await FakeUpstream(holds(go)).start(), await FakeUpstream().start()
        script = Script([1])
        async with running(first.entry("a"), second.entry("b"), script=script) as balancer:
            script.more = lambda event: (
                [Send(1, 2, 0.0)] if isinstance(event, TimerFired) and event.cookie == 1 else None
            )
            client = crowd(balancer)
            await until(lambda: first.seen)
            await crowded(balancer, client)
            await leaves(balancer, client)
            balancer.dispatcher._deliver(TimerFired(1))
            assert script.ends()[-1].outcome is Outcome.DISCARDED
            assert any(isinstance(event, ClientDisconnected) for event in script.events)
            go.set()
            await until(lambda: not balancer.dispatcher.open)
            assert not second.seen and second.connections == 0
        first.close()
        second.close()

    run(work())


def test_unseen_while_its_last_byte_is_held_back() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            with dial(balancer.port) as other:  # leaves a connection that is kept
                other.sendall(request_bytes())
                await until(lambda: upstream.seen and not balancer.dispatcher.open)
            await until(lambda: not balancer.listener.connections)
            held: list[Callable[[], None]] = []
            balancer.dispatcher.connection_pool.later = held.append  # type: ignore[method-assign]
            client = crowd(balancer)
            await until(lambda: held)
            await crowded(balancer, client)
            await leaves(balancer, client)
            held[0]()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_unseen_while_it_waits_in_the_decisions() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a", lifecycle="leaving")) as balancer:
            decisions = balancer.dispatcher.balancer
            assert isinstance(decisions, Balancer)
            client = crowd(balancer)
            await until(lambda: decisions.queued)
            await crowded(balancer, client)
            await leaves(balancer, client)
            balancer.discovery.change(upstream.entry("a"))
            await until(lambda: not balancer.dispatcher.open)
            assert not upstream.seen and upstream.connections == 0
        upstream.close()

    run(work())


@pytest.mark.parametrize("seen", [True, False])
def test_a_caller_that_resets_is_gone_like_one_that_closes(seen: bool) -> None:
    """In both states of reading."""

    async def work() -> None:
        go = asyncio.Event()
        upstream = await FakeUpstream(answers(go, status(500))).start()
        async with running(upstream.entry("a")) as balancer:
            if seen:
                client = dial(balancer.port)
                client.sendall(request_bytes())
            else:
                client = crowd(balancer)
            await until(lambda: upstream.seen)
            if not seen:
                await crowded(balancer, client)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            (connection,) = balancer.listener._connections
            client.close()
            await until(lambda: not balancer.dispatcher.unanswered if seen else connection.has_disconnected())
            go.set()
            await until(lambda: not balancer.dispatcher.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())
