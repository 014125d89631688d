"""The forwarder's connections to its planners: timers and sockets around `Forwarder`.

Nothing here may delay a request, whatever a planner does: what it sends is bounded in size and rate, what is
sent to it in bytes per second, and one that does not read is disconnected. Source: docs/design/planning.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any, Protocol

from sandhatch.balancing.actions import Action as Decision
from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Event, Guidance, ListUpdate, OwnSharesLeased
from sandhatch.balancing.settings import Settings
from sandhatch.planning.actions import Action, EndSession, LogLine, NotifyBalancer, SendReport
from sandhatch.planning.backoff import Backoff
from sandhatch.planning.forwarder import Forwarder
from sandhatch.planning.keys import Identity
from sandhatch.planning.link_connection import PlannerConnection
from sandhatch.planning.messages import Advice
from sandhatch.planning.observer import Observer
from sandhatch.planning.peer_connection import HANDSHAKE_TIMEOUT_MS
from sandhatch.planning.session import Established, ForwarderSession
from sandhatch.planning.terms import ForwarderTerms
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock

TICK_MS = 50.0
MIN_RECONNECT_MS = 250.0
MAX_RECONNECT_MS = 5_000.0


class BalancerObserver(Protocol):
    """Receives what a dispatcher's balancer does; see `observer.Observer`."""

    def on_event(self, event: Event, actions: Sequence[Decision]) -> None:
        """The balancer received an event and answered with these actions."""

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        """The balancer received an endpoint list."""


class GuidedDispatcher(Protocol):
    """A pool's dispatcher, as far as the link needs it."""

    observer: BalancerObserver | None

    def on_guidance_rejected(self, callback: Callable[[GuidanceRejected], None], /) -> None:
        """Call back whenever the balancer rejects guidance."""

    def apply_guidance(self, event: Guidance | OwnSharesLeased, /) -> None:
        """Hand an event to the balancer."""

    def observe(self, observer: BalancerObserver, /) -> None:
        """Notify this observer from now on, beginning with the present endpoint list."""


class _RemainingAttempts:
    """Observes the attempts that a replaced dispatcher still has in flight, and not its endpoint list."""

    def __init__(self, observer: Observer) -> None:
        self.on_event = observer.on_event

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        """Ignore it: the list belongs to the dispatcher that replaced this one."""


class ForwarderLink:
    """A forwarder's links to all its planners.

    Attributes:
        clock: The process's clock.
        forwarder: The state machine that decides.
    """

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
        """Prepare the links; `start` opens them.

        Args:
            name: The forwarder's name.
            planners: Addresses by name, in the order in which the planners are preferred.
            identity: The forwarder's key.
            clock: The process's clock.
            log: Writes a line to the log.
            terms: The settings.
            seed: Seed of the jitter of reconnects.
            quiet_ms: See `Forwarder`.
        """
        self.clock = clock
        self._log = log
        self._identity = identity
        self._addresses = dict(planners)
        self.forwarder = Forwarder(name, list(planners), clock.now_ms(), terms, quiet_ms)
        self._dispatchers: dict[str, GuidedDispatcher] = {}
        self._observers: dict[str, Observer] = {}
        self._connections: dict[str, PlannerConnection] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        rng = Random(f"{seed} {name}")
        self._backoff = {planner: Backoff(MIN_RECONNECT_MS, MAX_RECONNECT_MS, rng) for planner in planners}
        self._reconnect_ms = dict.fromkeys(planners, 0.0)
        self._logged_reasons: dict[str, str] = {}  # the last reason logged, by planner
        self._stopped = False

    def start(self) -> None:
        """Begin to connect and to report."""
        self._tick()

    def stop(self) -> None:
        """End all sessions."""
        self._stopped = True
        for task in list(self._connecting.values()):
            task.cancel()
        for connection in list(self._connections.values()):
            if connection.established:
                connection.session.bye("the forwarder stops")
            connection.close("the forwarder stops")

    # ------------------------------------------------ pools

    def attach(self, pool: str, dispatcher: GuidedDispatcher, settings: Settings) -> None:
        """Add a pool's dispatcher, or replace it; attempts of the one before are still observed."""
        observer = self._observers.get(pool)
        names = [request_class.name for request_class in settings.classes]
        if observer is None or not observer.fits(names, settings.warm_up_ms):
            observer = self._observers[pool] = Observer(names, settings.warm_up_ms)
        before = self._dispatchers.get(pool)
        if before is dispatcher:
            return
        if before is not None:
            before.observer = _RemainingAttempts(observer)
        self._dispatchers[pool] = dispatcher
        dispatcher.on_guidance_rejected(self._on_guidance_rejected)
        dispatcher.observe(observer)
        self._carry_out(self.forwarder.add_pool(pool, settings, observer))

    def detach(self, pool: str) -> None:
        """Remove a pool."""
        if self._dispatchers.pop(pool, None) is not None:
            self._observers.pop(pool, None)
            self.forwarder.drop_pool(pool)

    @property
    def pools(self) -> Sequence[str]:
        """Names of the pools."""
        return list(self._dispatchers)

    def _on_guidance_rejected(self, rejected: GuidanceRejected) -> None:
        self._carry_out(self.forwarder.guidance_rejected(rejected.planner, rejected.why, self.clock.now_ms()))

    # ------------------------------------------------ timers and actions

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = self.clock.now_ms()
        for planner in self._addresses:
            is_idle = planner not in self._connections and planner not in self._connecting
            is_due = now_ms >= self._reconnect_ms[planner]
            if is_idle and is_due and self.forwarder.may_connect(planner, now_ms):
                self._connect(planner)
        self._carry_out(self.forwarder.tick(now_ms))
        self.clock.call_after(TICK_MS, self._tick)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendReport():
                    self._send(action)
                case NotifyBalancer():
                    dispatcher = self._dispatchers.get(action.pool)
                    if dispatcher is not None:
                        dispatcher.apply_guidance(action.event)
                case EndSession():
                    self._end_session(action)
                case LogLine():
                    self._log(action.text)

    def _send(self, action: SendReport) -> None:
        connection = self._connections.get(action.planner)
        if connection is not None:
            connection.send(action)

    def _end_session(self, action: EndSession) -> None:
        connection = self._connections.get(action.planner)
        if connection is not None:
            connection.session.bye(action.why)
            connection.close(action.why)

    # ------------------------------------------------ connections

    def _connect(self, planner: str) -> None:
        task = asyncio.get_running_loop().create_task(self._open_connection(planner))
        self._connecting[planner] = task
        task.add_done_callback(lambda _: self._connecting.pop(planner, None))

    async def _open_connection(self, planner: str) -> None:
        known_epoch = self.forwarder.peers[planner].epoch
        session = ForwarderSession(self._identity, self.forwarder.name, planner, known_epoch)
        create_protocol = partial(PlannerConnection, self, planner, session)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / 1000.0):
                host, port = self._addresses[planner]
                await asyncio.get_running_loop().create_connection(create_protocol, host, port)
        except OSError as problem:
            self._reconnect_later(planner, problem.strerror or str(problem) or "no connection in time")

    def _reconnect_later(self, planner: str, why: str) -> None:
        self._reconnect_ms[planner] = self.clock.now_ms() + self._backoff[planner].next_ms()
        if self._logged_reasons.get(planner) != why:
            self._logged_reasons[planner] = why
            self._log(f"planner {planner}: {why}")

    def opened(self, connection: PlannerConnection) -> None:
        """Keep an open connection.

        Called by the connection itself, not when `create_connection` returns: by then it may have ended, and
        would be kept for ever.
        """
        self._connections[connection.planner] = connection

    def connected(self, connection: PlannerConnection, event: Established) -> None:
        """A connection's handshake is complete."""
        self._logged_reasons.pop(connection.planner, None)
        now_ms = self.clock.now_ms()
        self._carry_out(self.forwarder.connected(connection.planner, event.epoch, now_ms))

    def advised(self, connection: PlannerConnection, advice: Advice) -> None:
        """A connection received advice."""
        self._backoff[connection.planner].reset()
        self._carry_out(self.forwarder.advice(connection.planner, advice, self.clock.now_ms()))

    def broken(self, connection: PlannerConnection, why: str) -> None:
        """A connection's planner violated the protocol; before its key is proven, that is no fault of its."""
        if connection.established:
            self._carry_out(self.forwarder.protocol_violated(connection.planner, why, self.clock.now_ms()))

    def closed(self, connection: PlannerConnection, why: str) -> None:
        """A connection has ended."""
        if self._connections.get(connection.planner) is connection:
            del self._connections[connection.planner]
        if connection.established:
            connection.established = False
            self.forwarder.disconnected(connection.planner)
        if not self._stopped:
            self._reconnect_later(connection.planner, why)

    # ------------------------------------------------ for operators

    def status(self) -> dict[str, Any]:
        """The links, as values for JSON; see `Forwarder.status`."""
        return self.forwarder.status(self.clock.now_ms())
