"""The forwarder's connections to its planners: a thin shell around `Forwarder` and `ForwarderSession`.

Nothing here may hold up a request: every planner may hang, flood or talk nonsense. What comes is bounded in
size and rate, what is sent in bytes a second, and one that does not read is let go.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any, Protocol, cast

from sandhatch.balancing.actions import Action as Decision
from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Event, Guidance, ListUpdate, OwnSharesLeased
from sandhatch.balancing.settings import Settings
from sandhatch.planning.forwarder import Action, Advise, Drop, Forwarder, ForwarderTerms, SendReport
from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import Advice, Bye
from sandhatch.planning.observer import Observer
from sandhatch.planning.pacing import Backoff
from sandhatch.planning.session import Budget, Established, ForwarderSession, SessionError
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock

TICK_MS = 50.0
HANDSHAKE_MS = 5_000.0
MOST_UNSENT = 1 << 20  # bytes; a planner that lets more wait is let go
FRAMES_PER_S, BYTES_PER_S, BURST_S = 20.0, 2.0e6, 5.0


class Watcher(Protocol):
    def saw(self, event: Event, actions: Sequence[Decision]) -> None: ...

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None: ...


class Guided(Protocol):
    """A pool's engine, as far as the link goes."""

    observer: Watcher | None

    def on_guidance_rejected(self, told: Callable[[GuidanceRejected], None]) -> None: ...

    def advise(self, event: Guidance | OwnSharesLeased) -> None: ...

    def observe(self, observer: Watcher) -> None: ...


class _Rest:
    """Hears the ends of what the engine before still has out; the list is another's by now."""

    def __init__(self, observer: Observer) -> None:
        self.saw = observer.saw

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        """Of no interest."""


class _Connection(asyncio.Protocol):
    """One connection to a planner."""

    def __init__(self, link: ForwarderLink, planner: str, session: ForwarderSession) -> None:
        self._link = link
        self.planner = planner
        self.session = session
        self.established = False
        self._budget = Budget(FRAMES_PER_S, BYTES_PER_S, BURST_S, link.clock.now_ms())
        self._transport: asyncio.Transport | None = None
        self._deadline = link.clock.after(HANDSHAKE_MS, self._late)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._link.opened(self)
        self.flush()

    def _late(self) -> None:
        if not self.established:
            self.close("no handshake in time")

    def data_received(self, data: bytes) -> None:
        now = self._link.clock.now_ms()
        try:
            for event, size in self.session.feed(data):
                if not self._budget.take(size, now):
                    raise SessionError("more messages than a planner may send")
                if isinstance(event, Established):
                    self.established = True
                    self._deadline.cancel()
                    self._link.connected(self, event)
                elif isinstance(event, Advice):
                    self._link.advised(self, event)
                elif isinstance(event, Bye):
                    self.close(f"it leaves: {event.why}")
                else:
                    raise SessionError(f"a {type(event).__name__} from a planner")
                if self._transport is None:
                    return
        except SessionError as problem:
            self._link.broken(self, str(problem))
            self.close(str(problem))
        self.flush()

    def send(self, report: SendReport) -> None:
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > MOST_UNSENT:
            self.close("it does not read")
            return
        self.session.send(report.report)
        self.flush()

    def flush(self) -> None:
        if self._transport is not None and self.session.out:
            self._transport.write(self.session.take_out())

    def close(self, why: str) -> None:
        self._deadline.cancel()
        transport, self._transport = self._transport, None
        if transport is not None:
            data = self.session.take_out()
            if data:
                transport.write(data)
            transport.abort()
        self._link.closed(self, why)

    def connection_lost(self, exc: Exception | None) -> None:
        self._deadline.cancel()
        if self._transport is not None:
            self._transport = None
            self._link.closed(self, str(exc) if exc is not None else "closed")


class ForwarderLink:
    """`planners` by name, in the order in which they are lent to."""

    def __init__(
        self,
        name: str,
        planners: Mapping[str, Address],
        identity: Identity,
        clock: Clock,
        log: Callable[[str], None],
        terms: ForwarderTerms,
        seed: int = 0,
        quiet_ms: float | None = None,
    ) -> None:
        self.clock = clock
        self._log = log
        self._identity = identity
        self._addresses = dict(planners)
        self.machine = Forwarder(name, list(planners), clock.now_ms(), terms, quiet_ms)
        self._dispatchers: dict[str, Guided] = {}
        self._observers: dict[str, Observer] = {}
        self._connections: dict[str, _Connection] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        rng = Random(f"{seed} {name}")
        self._backoff = {planner: Backoff(250.0, 5_000.0, rng) for planner in planners}
        self._again_ms = dict.fromkeys(planners, 0.0)
        self._told: dict[str, str] = {}  # the last reason logged, by planner
        self._stopped = False

    def start(self) -> None:
        self._tick()

    def stop(self) -> None:
        self._stopped = True
        for task in list(self._connecting.values()):
            task.cancel()
        for connection in list(self._connections.values()):
            if connection.established:
                connection.session.bye("the forwarder stops")
            connection.close("the forwarder stops")

    # ------------------------------------------------ pools

    def attach(self, pool: str, dispatcher: Guided, settings: Settings) -> None:
        """A pool's engine, in place of the one before: what that has out still counts."""
        observer = self._observers.get(pool)
        names = [cls.name for cls in settings.classes]
        if observer is None or not observer.fits(names, settings.warm_up_ms):
            observer = self._observers[pool] = Observer(names, settings.warm_up_ms)
        before = self._dispatchers.get(pool)
        if before is dispatcher:
            return
        if before is not None:
            before.observer = _Rest(observer)
        self._dispatchers[pool] = dispatcher
        dispatcher.on_guidance_rejected(self._unguided)
        dispatcher.observe(observer)
        self._carry_out(self.machine.add_pool(pool, settings, observer))

    def detach(self, pool: str) -> None:
        if self._dispatchers.pop(pool, None) is not None:
            self._observers.pop(pool, None)
            self.machine.drop_pool(pool)

    @property
    def pools(self) -> Sequence[str]:
        return list(self._dispatchers)

    def _unguided(self, rejected: GuidanceRejected) -> None:
        self._carry_out(self.machine.rejected(rejected.planner, rejected.why, self.clock.now_ms()))

    # ------------------------------------------------ time

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self.clock.now_ms()
        for planner in self._addresses:
            idle = planner not in self._connections and planner not in self._connecting
            if idle and now >= self._again_ms[planner] and self.machine.may_connect(planner, now):
                self._connect(planner)
        self._carry_out(self.machine.tick(now))
        self.clock.after(TICK_MS, self._tick)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendReport):
                connection = self._connections.get(action.planner)
                if connection is not None:
                    connection.send(action)
            elif isinstance(action, Advise):
                dispatcher = self._dispatchers.get(action.pool)
                if dispatcher is not None:
                    dispatcher.advise(action.event)
            elif isinstance(action, Drop):
                connection = self._connections.get(action.planner)
                if connection is not None:
                    connection.session.bye(action.why)
                    connection.close(action.why)
            else:
                self._log(action.text)

    # ------------------------------------------------ connections

    def _connect(self, planner: str) -> None:
        task = asyncio.get_running_loop().create_task(self._try(planner))
        self._connecting[planner] = task
        task.add_done_callback(lambda _: self._connecting.pop(planner, None))

    async def _try(self, planner: str) -> None:
        knows = self.machine.sides[planner].epoch
        session = ForwarderSession(self._identity, self.machine.name, planner, knows)
        make = partial(_Connection, self, planner, session)
        try:
            async with asyncio.timeout(HANDSHAKE_MS / 1000.0):
                host, port = self._addresses[planner]
                await asyncio.get_running_loop().create_connection(make, host, port)
        except OSError as problem:
            self._later(planner, problem.strerror or str(problem) or "no connection in time")

    def _later(self, planner: str, why: str) -> None:
        self._again_ms[planner] = self.clock.now_ms() + self._backoff[planner].next_ms()
        if self._told.get(planner) != why:
            self._told[planner] = why
            self._log(f"planner {planner}: {why}")

    def opened(self, connection: _Connection) -> None:
        """Noted here, not after the wait for it: it may be over by then, and would be kept for ever."""
        self._connections[connection.planner] = connection

    def connected(self, connection: _Connection, event: Established) -> None:
        self._told.pop(connection.planner, None)
        now = self.clock.now_ms()
        self._carry_out(self.machine.connected(connection.planner, event.epoch, now))

    def advised(self, connection: _Connection, advice: Advice) -> None:
        self._backoff[connection.planner].well()
        self._carry_out(self.machine.advice(connection.planner, advice, self.clock.now_ms()))

    def broken(self, connection: _Connection, why: str) -> None:
        if connection.established:
            self._carry_out(self.machine.broken(connection.planner, why, self.clock.now_ms()))

    def closed(self, connection: _Connection, why: str) -> None:
        if self._connections.get(connection.planner) is connection:
            del self._connections[connection.planner]
        if connection.established:
            connection.established = False
            self.machine.lost(connection.planner)
        if not self._stopped:
            self._later(connection.planner, why)

    # ------------------------------------------------ for people

    def status(self) -> dict[str, Any]:
        return self.machine.status(self.clock.now_ms())
