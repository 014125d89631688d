"""The dispatcher of one pool: events go to its balancer, and the balancer's actions are carried out.

It never decides which server to use, whether to retry, to reject or to fail: that is `sandhatch.balancing`.
One event is handled at a time; an event that comes up meanwhile waits in a queue. Source:
PROTOCOL-sandhatch.md, "Callers to balancers".
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    GuidanceRejected,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    WatchList,
)
from sandhatch.balancing.events import (
    ClientDisconnected,
    Event,
    Guidance,
    ListKind,
    ListUpdate,
    Outcome,
    OwnSharesLeased,
    RequestArrived,
    TimerFired,
)
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.dispatch.attempts import AttemptRunner
from sandhatch.dispatch.endpoint_updates import EndpointUpdates
from sandhatch.dispatch.exchange import DoneCallback, Exchange, ExchangeCallbacks, ExchangeTable, TruncatedBy
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import Decisions, DownstreamClient, Observer, SourceFactory
from sandhatch.dispatch.streamed_bodies import StreamedBodies
from sandhatch.http1.message import Message
from sandhatch.runtime.address import format_address
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.headers import Headers
from sandhatch.upstream.connection_pool import ConnectionLimits, ConnectionPool

NO_REQUEST = 0  # in place of a request's number


class Dispatcher:
    """One pool's requests, from arrival to answer.

    Attributes:
        plan: what the pool is run by.
        clock: the process's clock.
        logger: the process's log.
        memory_budget: the memory that all pools of the process share.
        connection_pool: the pool's connections to its servers.
        source: where its endpoint list comes from.
        balancer: what decides.
        observer: sees every event and action, if set.
    """

    def __init__(
        self,
        plan: PoolPlan,
        shared: SharedResources,
        source: SourceFactory,
        decisions: Decisions | None = None,
    ) -> None:
        """Create the dispatcher of a pool; its source is not started yet.

        Args:
            plan: what the pool is run by.
            shared: the clock, log, memory and ids of the process.
            source: makes the source of the pool's endpoint list.
            decisions: what decides; by default a new balancer with the plan's settings.
        """
        settings = plan.settings
        self.plan = plan
        self.clock = shared.clock
        self.logger = shared.logger
        self.memory_budget = shared.memory_budget
        limits = ConnectionLimits(
            plan.sockets, settings.connection_idle_ms, settings.connect_timeout_ms, plan.drain_grace_ms
        )
        self.connection_pool = ConnectionPool(self.clock, self.memory_budget, shared.descriptors, limits)
        self.source = source(self.on_listing, self.logger.line)
        self.balancer: Decisions = decisions or Balancer(settings, plan.seed)
        self.observer: Observer | None = None
        self._endpoints = EndpointUpdates(settings, self.connection_pool)
        self._exchanges = ExchangeTable(self.clock, shared.in_flight_ids)
        self._next_number = NO_REQUEST + 1
        callbacks = ExchangeCallbacks(self._deliver, self._on_deadline, self.client_disconnected)
        self._bodies = StreamedBodies(shared, self._exchanges, self.connection_pool, callbacks)
        self._attempts = AttemptRunner(
            plan, shared, self._exchanges, self.connection_pool, self._bodies, callbacks
        )
        self._events: deque[Event] = deque()
        self._handling_event = False
        self._on_guidance_rejected: Callable[[GuidanceRejected], None] | None = None

    @property
    def ready(self) -> bool:
        """Whether there is a server that requests can be sent to."""
        return self._endpoints.has_ready_server

    @property
    def open(self) -> int:
        """The number of requests that are not answered, or have an attempt pending."""
        return len(self._exchanges)

    @property
    def pending_requests(self) -> int:
        """The number of requests that wait for their answer."""
        return self._exchanges.pending_requests

    # ------------------------------------------------ clients

    def start_request(
        self,
        client: DownstreamClient,
        message: Message,
        time_left_ms: float,
        trace: bytes,
        event: RequestArrived,
        done: DoneCallback | None = None,
    ) -> int:
        """Take a request that has arrived, complete or with a flow that brings its body.

        Args:
            client: where its answer goes.
            message: the request.
            time_left_ms: how long it may take.
            trace: its id, which is not in flight.
            event: the request as the balancer is to see it; its number is filled in here.
            done: called once, when the request is answered, or its client has left, and none of its attempts
                is pending.

        Returns:
            The request's number, for `client_disconnected`.
        """
        number = self._next_number
        self._next_number += 1
        event.request = number
        exchange = Exchange(number, client, message, self.clock.now_ms() + time_left_ms, trace, done)
        self._exchanges.add(exchange)
        exchange.deadline_timer = self.clock.call_after(time_left_ms, lambda: self._on_deadline(exchange))
        if message.flow is not None:
            self._bodies.start_request(exchange, message.flow)
        self._deliver(event)
        return number

    def client_disconnected(self, number: int, status: int = 0) -> None:
        """Close a request whose client has left, or whose body is of no use.

        Args:
            number: the request's number.
            status: the status that the client is answered with, 0 if it has left.
        """
        exchange = self._exchanges.get(number)
        if exchange is None or exchange.closed:
            return
        is_streamed = bool(exchange.open_flows)
        if is_streamed:
            exchange.truncated_by = TruncatedBy.CLIENT
        self._exchanges.close(exchange, status)
        self._deliver(ClientDisconnected(number))
        if is_streamed:  # what its attempts send or receive has lost its other end
            exchange.end_attempts(Outcome.CANCELLED)
        self._exchanges.remove_if_done(exchange)

    def _on_deadline(self, exchange: Exchange) -> None:
        """End the attempts of a request whose time is over, then answer what the balancer has not."""
        if any(not flow.sent for flow in exchange.open_flows):
            if exchange.response_flow is not None:
                self._bodies.abort_response(exchange, TruncatedBy.TIME)
            else:  # the time went on the body's transfer, in which either side may have been slow
                exchange.truncated_by = TruncatedBy.TIME
                self._exchanges.respond(exchange, 504)
            exchange.end_attempts(Outcome.CANCELLED)
            return
        for attempt in exchange.attempts:
            if attempt is not None:
                attempt.time_out()
        self._exchanges.respond(exchange, 504)

    # ------------------------------------------------ endpoint lists

    def on_listing(self, listing: Listing) -> None:
        """Take what the source publishes."""
        listing = self._endpoints.apply(listing, self.clock.now_ms())
        update = ListUpdate(listing.kind, listing.version, listing.entries, listing.call)
        self._show_list(update, listing)
        self._deliver(update)

    def _show_list(self, update: ListUpdate, listing: Listing) -> None:
        if self.observer is not None:
            self.observer.on_endpoint_list(update, list(map(format_address, listing.addresses)), listing.why)

    def withdraw(self, keep: frozenset[int], notified_ms: float) -> None:
        """Send nothing new to any server but some, until `restore`.

        A newer configuration has no other servers for this pool. What the source publishes meanwhile is
        narrowed in the same way.

        Args:
            keep: the numbers of the servers that may still be sent to.
            notified_ms: since when that configuration is in force, in Unix milliseconds.
        """
        drained = self._endpoints.withdraw(keep, notified_ms)
        if drained:
            self._deliver(ListUpdate(ListKind.DELTA, 0, drained))

    def restore(self) -> None:
        """Undo `withdraw`: the source publishes its complete list anew."""
        if self._endpoints.restore():
            self.source.republish()

    # ------------------------------------------------ planners and observers

    def apply_guidance(self, event: Guidance | OwnSharesLeased) -> None:
        """Hand a planner's guidance to the balancer."""
        self._deliver(event)

    def on_guidance_rejected(self, callback: Callable[[GuidanceRejected], None]) -> None:
        """Set the callback for guidance that the balancer has rejected."""
        self._on_guidance_rejected = callback

    def observe(self, observer: Observer) -> None:
        """Show an observer the present endpoint list, and everything from now on."""
        self.observer = observer
        listing = self._endpoints.snapshot()
        self._show_list(ListUpdate(listing.kind, listing.version, list(listing.entries)), listing)

    # ------------------------------------------------ events to the balancer

    def _deliver(self, event: Event) -> None:
        """Have the balancer handle an event, after the one that it is handling, if any."""
        self._events.append(event)
        if self._handling_event:
            return
        self._handling_event = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling_event = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.now_ms(), event)
            if self.observer is not None:
                self.observer.on_event(event, actions)
            for action in actions:
                self._act(action)
        except Exception as problem:
            # Guards the other requests: whatever went wrong with this one, it alone is answered 500.
            self._on_fault(event, problem)

    def _on_fault(self, event: Event, problem: Exception) -> None:
        """Log an exception, and answer the request that it belongs to with 500."""
        # Of some events this is no request's number, and of others there is none: then no exchange is found.
        number = event.cookie if isinstance(event, TimerFired) else getattr(event, "request", NO_REQUEST)
        exchange = self._exchanges.get(number)
        trace = exchange.trace_text if exchange is not None else "-"
        frames = traceback.format_exc(limit=-3).strip().replace("\n", " | ")
        self.logger.line(f"request {trace}: {type(event).__name__}: {problem!r}: {frames}")
        if exchange is not None:
            self._exchanges.respond(exchange, 500)

    # ------------------------------------------------ actions of the balancer

    def _act(self, action: Action) -> None:
        """Carry out one of the actions that most requests lead to; the others follow in `_act_on_pool`."""
        match action:
            case Send():
                self._attempts.send(action)
            case SetTimer(cookie, delay_ms):
                self.clock.call_after(max(0.0, delay_ms), lambda: self._deliver(TimerFired(cookie)))
            case Cancel(request, attempt_number):
                self._cancel(request, attempt_number)
            case Reject(request, wait_ms):
                self._respond(request, 503, _retry_after(wait_ms))
            case Fail(request):
                self._respond(request, 502)
            case _:
                self._act_on_pool(action)

    def _act_on_pool(self, action: Action) -> None:
        """Carry out an action that belongs to no request."""
        match action:
            case Probe(server_number):
                self._attempts.probe(server_number)
            case CloseIdle(server_number):
                self.connection_pool.close_idle(server_number)
            case FetchList():
                self.source.fetch()
            case WatchList():
                self.source.watch(action)
            case Log(text):
                self.logger.line(text)
            case GuidanceRejected():
                if self._on_guidance_rejected is not None:
                    self._on_guidance_rejected(action)
            case _:
                self.logger.line(f"the action {type(action).__name__} is not supported")

    def _cancel(self, number: int, attempt_number: int) -> None:
        exchange = self._exchanges.get(number)
        if exchange is None or not 0 <= attempt_number < len(exchange.attempts):
            return
        attempt = exchange.attempts[attempt_number]
        if attempt is not None:
            attempt.end(Outcome.CANCELLED)

    def _respond(self, number: int, status: int, headers: Headers | None = None) -> None:
        exchange = self._exchanges.get(number)
        if exchange is not None:
            self._exchanges.respond(exchange, status, headers)


def _retry_after(wait_ms: float) -> Headers:
    """Return the headers that name how long a client should wait, none for no wait."""
    return [(b"Retry-After", b"%.3f" % (wait_ms / 1000.0))] if wait_ms > 0.0 else []
