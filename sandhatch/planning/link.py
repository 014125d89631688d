"""The forwarder's connections to its planners: timers and sockets around `Forwarder`.

Planners cannot delay a request: the messages of a planner are bounded in size and rate, reports to it are
bounded in bytes per second, and a planner that does not read is disconnected. Source:
docs/design/planning.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any, Protocol

from sandhatch.balancing.actions import Action as BalancerAction
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
    """Receives the events and actions of a dispatcher's balancer; see `observer.Observer`."""

    def on_event(self, event: Event, actions: Sequence[BalancerAction]) -> None:
        """The balancer received an event and returned these actions."""

    def on_endpoint_list(
        self, update: ListUpdate, addresses: Sequence[str], failure_reason: str = ""
    ) -> None:
        """The balancer received an endpoint list."""


class GuidedDispatcher(Protocol):
    """The interface of a pool's dispatcher that the link uses."""

    observer: BalancerObserver | None

    def on_guidance_rejected(self, callback: Callable[[GuidanceRejected], None], /) -> None:
        """Register a callback for guidance that the balancer rejects."""

    def apply_guidance(self, event: Guidance | OwnSharesLeased, /) -> None:
        """Pass an event to the balancer."""

    def observe(self, observer: BalancerObserver, /) -> None:
        """Notify this observer from now on, beginning with the current endpoint list."""


class _ReplacedDispatcherObserver:
    """Observes the attempts that a replaced dispatcher still has in flight, but not its endpoint list."""

    def __init__(self, observer: Observer) -> None:
        self.on_event = observer.on_event

    def on_endpoint_list(
        self, update: ListUpdate, addresses: Sequence[str], failure_reason: str = ""
    ) -> None:
        """Ignore the list: the dispatcher that replaced this one reports its own."""


class ForwarderLink:
    """A forwarder's links to all its planners.

    Attributes:
        clock: The process's clock.
        forwarder: The state machine that makes the decisions.
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
        previous_lease_ms: float | None = None,
    ) -> None:
        """Prepare the links; `start` opens them.

        Args:
            name: The forwarder's name.
            planners: Addresses by name, in order of preference.
            identity: The forwarder's key.
            clock: The process's clock.
            log: Writes a line to the log.
            terms: The forwarder's settings.
            seed: Seed of the reconnect jitter.
            previous_lease_ms: See `Forwarder`.
        """
        self.clock = clock
        self._log = log
        self._identity = identity
        self._addresses = dict(planners)
        self.forwarder = Forwarder(name, list(planners), clock.now_ms(), terms, previous_lease_ms)
        self._dispatchers: dict[str, GuidedDispatcher] = {}
        self._observers: dict[str, Observer] = {}
        self._connections: dict[str, PlannerConnection] = {}
        self._connecting: dict[str, asyncio.Task[None]] = {}
        rng = Random(f"{seed} {name}")
        self._backoff = {planner: Backoff(MIN_RECONNECT_MS, MAX_RECONNECT_MS, rng) for planner in planners}
        self._reconnect_ms = dict.fromkeys(planners, 0.0)
        # Reason in the last log line about each planner, by planner name.
        self._last_logged_reasons: dict[str, str] = {}
        self._stopped = False

    def start(self) -> None:
        """Start connecting and reporting."""
        self._tick()

    def stop(self) -> None:
        """End all sessions."""
        self._stopped = True
        for task in list(self._connecting.values()):
            task.cancel()
        for connection in list(self._connections.values()):
            if connection.established:
                connection.session.send_bye("the forwarder stops")
            connection.close("the forwarder stops")

    # ------------------------------------------------ pools

    def attach(self, pool: str, dispatcher: GuidedDispatcher, settings: Settings) -> None:
        """Add or replace a pool's dispatcher; attempts of a replaced dispatcher are still observed."""
        observer = self._observers.get(pool)
        names = [request_class.name for request_class in settings.classes]
        if observer is None or not observer.is_compatible(names, settings.warm_up_ms):
            observer = self._observers[pool] = Observer(names, settings.warm_up_ms)
        previous_dispatcher = self._dispatchers.get(pool)
        if previous_dispatcher is dispatcher:
            return
        if previous_dispatcher is not None:
            previous_dispatcher.observer = _ReplacedDispatcherObserver(observer)
        self._dispatchers[pool] = dispatcher
        dispatcher.on_guidance_rejected(self._on_guidance_rejected)
        dispatcher.observe(observer)
        self._execute(self.forwarder.add_pool(pool, settings, observer))

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
        self._execute(self.forwarder.guidance_rejected(rejected.planner, rejected.why, self.clock.now_ms()))

    # ------------------------------------------------ timers and actions

    def _tick(self) -> None:
        if self._stopped:
            return
        now_ms = self.clock.now_ms()
        for planner in self._addresses:
            is_unconnected = planner not in self._connections and planner not in self._connecting
            is_due = now_ms >= self._reconnect_ms[planner]
            if is_unconnected and is_due and self.forwarder.may_connect(planner, now_ms):
                self._connect(planner)
        self.clock.call_after(TICK_MS, self._tick)  # first, so that no error below ends the link's timer
        self._execute(self.forwarder.tick(now_ms))

    def _execute(self, actions: Sequence[Action]) -> None:
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
            connection.session.send_bye(action.reason)
            connection.close(action.reason)

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
        except OSError as error:
            self._schedule_reconnect(planner, error.strerror or str(error) or "connect timed out")

    def _schedule_reconnect(self, planner: str, reason: str) -> None:
        self._reconnect_ms[planner] = self.clock.now_ms() + self._backoff[planner].next_ms()
        if self._last_logged_reasons.get(planner) != reason:
            self._last_logged_reasons[planner] = reason
            self._log(f"planner {planner}: {reason}")

    def on_opened(self, connection: PlannerConnection) -> None:
        """Register an open connection.

        Called by the connection itself, not after `create_connection` returns: when that call returns, the
        connection may have ended already, and would stay registered for ever.
        """
        self._connections[connection.planner] = connection

    def on_established(self, connection: PlannerConnection, event: Established) -> None:
        """Start the session of a connection whose handshake is complete."""
        self._last_logged_reasons.pop(connection.planner, None)
        now_ms = self.clock.now_ms()
        self._execute(self.forwarder.connected(connection.planner, event.epoch, now_ms))

    def on_advice(self, connection: PlannerConnection, advice: Advice) -> None:
        """Pass received advice to the forwarder, which checks it, and execute the resulting actions."""
        self._backoff[connection.planner].reset()
        self._execute(self.forwarder.handle_advice(connection.planner, advice, self.clock.now_ms()))

    def on_protocol_violated(self, connection: PlannerConnection, reason: str) -> None:
        """Record a violation of the protocol, as a fault of the planner only if it has proven its key."""
        if connection.established:
            self._execute(self.forwarder.protocol_violated(connection.planner, reason, self.clock.now_ms()))

    def on_closed(self, connection: PlannerConnection, reason: str) -> None:
        """Remove a connection that has ended, and schedule the next one."""
        if self._connections.get(connection.planner) is connection:
            del self._connections[connection.planner]
        if connection.established:
            connection.established = False
            self.forwarder.disconnected(connection.planner)
        if not self._stopped:
            self._schedule_reconnect(connection.planner, reason)

    # ------------------------------------------------ for operators

    def status(self) -> dict[str, Any]:
        """Status of the links as JSON values; see `Forwarder.status`."""
        return self.forwarder.status(self.clock.now_ms())
