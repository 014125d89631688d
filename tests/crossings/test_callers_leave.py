"""A caller leaves while its request waits: nothing goes to an upstream from then on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from larkweir.listener import CallerConnection
from larkweir.upstreams import UpstreamConnection
from mulleinhitch import Balancer
from mulleinhitch.interface import Action, ClientGone, Event, RequestArrived, TimerFired
from tests.crossings.harness import dial, holds, until
from tests.fakes import PATIENCE_S, FakeUpstream, Incoming, Script, Talk, request_bytes, running, status
from tests.test_attempts import run

LATER_S = 0.3  # from which on nothing may be sent


def test_behind_requests_sent_ahead_with_reading_paused() -> None:
    """Guards against serving a caller that has left: with reading paused its end is not seen."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            caller = dial(balancer.port)
            caller.sendall(b"".join(request_bytes() for _ in range(4)))
            await until(lambda: upstream.seen)
            caller.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await until(lambda: len(connection._waiting) == connection.AHEAD)
            caller.close()
            left = balancer.shared.clock.now_ms()
            async with asyncio.timeout(PATIENCE_S):  # the sweep finds it out, though the upstream hangs
                while not isinstance(await script.told.get(), ClientGone):
                    pass
            assert balancer.shared.clock.now_ms() - left < 1000.0 * LATER_S + 700.0  # of a loaded machine
            go.set()
            await until(lambda: not balancer.engine.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_behind_one_request_that_is_answered_first() -> None:
    """The same in the order in which the answer comes before the sweep: the next one is not begun."""

    async def work() -> None:
        go = asyncio.Event()

        upstream = await FakeUpstream(holds(go)).start()
        async with running(upstream.entry("a"), script=Script([1])) as balancer:
            caller = dial(balancer.port)
            caller.sendall(b"".join(request_bytes() for _ in range(4)))
            await until(lambda: upstream.seen)
            caller.sendall(request_bytes())
            (connection,) = balancer.listener._connections
            await until(lambda: len(connection._waiting) == connection.AHEAD)
            balancer.listener.SWEEP_MS = 1e9
            connection.check = lambda now_ms: None  # type: ignore[method-assign]
            caller.close()
            go.set()
            await until(lambda: not balancer.engine.open and not balancer.listener.connections)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_before_its_request_was_read() -> None:
    """A caller that sends and goes at once, while the balancer is busy elsewhere."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            gone: list[CallerConnection] = []
            balancer.listener.left = gone.append  # type: ignore[method-assign]
            caller = dial(balancer.port)
            caller.sendall(request_bytes("move", b"x"))
            caller.close()  # the loop has not run since: both wait in the system
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
            pool = balancer.engine.upstreams
            caller = dial(balancer.port)
            caller.sendall(request_bytes())
            await until(lambda: upstream.seen and not balancer.engine.open)
            held: list[Callable[[], None]] = []
            pool.later = held.append  # type: ignore[method-assign]
            caller.sendall(request_bytes("move", b"x"))
            await until(lambda: held)
            caller.close()
            await until(lambda: any(isinstance(event, ClientGone) for event in script.events))
            held[0]()
            await until(lambda: not balancer.engine.open)
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

            async def late(factory: Callable[[], UpstreamConnection], host: str, port: int) -> object:
                made = await connect(factory, host, port)
                waiting.set()
                await up.wait()
                return made

            class Late:
                create_connection = staticmethod(late)
                create_task = staticmethod(loop.create_task)

            monkeypatch.setattr("larkweir.upstreams.asyncio.get_running_loop", lambda: Late)
            caller = dial(balancer.port)
            caller.sendall(request_bytes("move", b"x"))
            await waiting.wait()
            monkeypatch.undo()
            caller.close()
            await until(lambda: any(isinstance(event, ClientGone) for event in script.events))
            up.set()
            await until(lambda: not balancer.engine.open)
            assert not upstream.seen
        upstream.close()

    run(work())


def test_while_it_waits_in_the_decisions() -> None:
    """Held by the decisions for want of a server, with a timer out: a server that comes then gets nothing."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a", lifecycle="leaving")) as balancer:
            decisions = balancer.engine.balancer
            assert isinstance(decisions, Balancer)
            handle = decisions.handle
            events: list[Event] = []

            def seen(now_ms: float, event: Event) -> list[Action]:
                events.append(event)
                return handle(now_ms, event)

            decisions.handle = seen  # type: ignore[method-assign]
            caller = dial(balancer.port)
            caller.sendall(request_bytes("move", b"x"))
            await until(lambda: decisions.held)
            caller.close()
            await until(lambda: any(isinstance(event, ClientGone) for event in events))
            balancer.discovery.change(upstream.entry("a"))
            await until(lambda: balancer.engine.ready)
            at = len(events)
            await until(lambda: any(isinstance(event, TimerFired) for event in events[at:]))
            assert not balancer.engine.open and not upstream.seen
        upstream.close()

    run(work())


def test_while_its_attempt_fails_that_would_be_repeated() -> None:
    """The first attempt fails after the caller has left: there is no second."""

    async def work() -> None:
        go = asyncio.Event()

        async def fails(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(status(500))

        upstream = await FakeUpstream(fails).start()
        async with running(upstream.entry("a")) as balancer:
            caller = dial(balancer.port)
            caller.sendall(request_bytes())
            await until(lambda: upstream.seen)
            caller.close()
            await until(lambda: not balancer.engine.owed)
            go.set()
            await until(lambda: not balancer.engine.open)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())
