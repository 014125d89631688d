"""The dispatcher of one pool: delivers events to its balancer and carries out the balancer's actions.

The choice of a server, retries, rejections and failures are decided by `sandhatch.balancing`. One event is
handled at a time; an event that occurs meanwhile waits in a queue. Source:
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
from sandhatch.dispatch.protocols import BalancerProtocol, DownstreamClient, Observer, SourceFactory
from sandhatch.dispatch.streamed_bodies import StreamedBodies
from sandhatch.http1.message import Message
from sandhatch.runtime.address import format_address
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.headers import Headers
from sandhatch.upstream.connection_pool import ConnectionLimits, ConnectionPool

NO_REQUEST = 0  # placeholder: no request has this number


class Dispatcher:
    """Handles the requests of one pool, from arrival to response.

    Attributes:
        plan: Settings and limits of the pool.
        clock: Clock of the process.
        logger: Log of the process.
        memory_budget: Memory budget shared by all pools of the process.
        connection_pool: Connections to the pool's servers.
        source: Source of the pool's endpoint list.
        balancer: The balancer, which makes all decisions.
        observer: Observer of all events and actions, None if not set.
    """

    def __init__(
        self,
        plan: PoolPlan,
        shared: SharedResources,
        source: SourceFactory,
        decisions: BalancerProtocol | None = None,
    ) -> None:
        """Create the dispatcher of a pool without starting the source of its endpoint list.

        Args:
            plan: Settings and limits of the pool.
            shared: Clock, log, memory budget and request ids of the process.
            source: Factory of the source of the pool's endpoint list.
            decisions: The balancer; by default a new one with the plan's settings.
        """
        settings = plan.settings
        self.plan = plan
        self.clock = shared.clock
        self.logger = shared.logger
        self.memory_budget = shared.memory_budget
        self.connection_pool = ConnectionPool(
            self.clock, self.memory_budget, shared.descriptors, _connection_limits(plan)
        )
        self.source = source(self.on_listing, self.logger.write_line)
        self.balancer: BalancerProtocol = decisions or Balancer(settings, plan.seed)
        self.observer: Observer | None = None
        self._endpoints = EndpointUpdates(settings, self.connection_pool)
        self._exchanges = ExchangeTable(self.clock, shared.in_flight_ids)
        self._next_number = NO_REQUEST + 1
        callbacks = ExchangeCallbacks(
            self._deliver, self._on_deadline, self.client_disconnected, self._write_deadline_ms
        )
        self._bodies = StreamedBodies(shared, self._exchanges, self.connection_pool, callbacks)
        self._attempts = AttemptRunner(
            plan, shared, self._exchanges, self.connection_pool, self._bodies, callbacks
        )
        self._events: deque[Event] = deque()
        self._handling_event = False
        self._on_guidance_rejected: Callable[[GuidanceRejected], None] | None = None

    @property
    def has_ready_server(self) -> bool:
        """Whether any server is ready to receive requests."""
        return self._endpoints.has_ready_server

    @property
    def open_exchange_count(self) -> int:
        """Number of requests without a response or with a pending attempt."""
        return len(self._exchanges)

    @property
    def pending_requests(self) -> int:
        """Number of requests that wait for their response."""
        return self._exchanges.pending_requests

    # ------------------------------------------------ clients

    def start_request(
        self,
        client: DownstreamClient,
        message: Message,
        time_left_ms: float,
        trace_id: bytes,
        event: RequestArrived,
        done: DoneCallback | None = None,
    ) -> int:
        """Accept a request that has arrived, either complete or with a flow that streams its body.

        Args:
            client: Receiver of the response.
            message: The request.
            time_left_ms: Time remaining until the request's deadline.
            trace_id: Id of the request; must not be in flight.
            event: The request as presented to the balancer; its number is set here.
            done: Callback, called once when the response was sent or the client has disconnected, and no
                attempt is pending.

        Returns:
            Number of the request, for `client_disconnected`.
        """
        number = self._next_number
        self._next_number += 1
        event.request = number
        exchange = Exchange(number, client, message, self.clock.now_ms() + time_left_ms, trace_id, done)
        self._exchanges.add(exchange)
        exchange.deadline_timer = self.clock.call_after(time_left_ms, lambda: self._on_deadline(exchange))
        if message.flow is not None:
            self._bodies.start_request(exchange, message.flow)
        self._deliver(event)
        return number

    def client_disconnected(self, number: int, status: int = 0) -> None:
        """Close a request whose client has disconnected, or whose body cannot be used.

        Args:
            number: Number of the request.
            status: Status of the response to the client, 0 if the client has disconnected.
        """
        exchange = self._exchanges.get(number)
        if exchange is None or exchange.closed:
            return
        is_streamed = bool(exchange.open_flows)
        if is_streamed:
            exchange.truncated_by = TruncatedBy.CLIENT
        self._exchanges.close(exchange, status)
        self._deliver(ClientDisconnected(number))
        if is_streamed:  # the streamed body has lost the client as its source or its sink
            exchange.end_attempts(Outcome.CANCELLED)
        self._exchanges.remove_if_done(exchange)

    def _on_deadline(self, exchange: Exchange) -> None:
        """End the attempts of a request whose deadline has passed, and respond with 504 if still needed."""
        if any(not flow.sent for flow in exchange.open_flows):
            if exchange.response_flow is not None:
                self._bodies.abort_response(exchange, TruncatedBy.TIME)
            else:  # the body's transfer took too long; the client or the server may have been slow
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
        """Apply a listing published by the source, and deliver it to the balancer."""
        listing = self._endpoints.apply(listing, self.clock.now_ms())
        update = ListUpdate(listing.kind, listing.version, listing.entries, listing.call)
        self._notify_observer(update, listing)
        self._deliver(update)

    def _notify_observer(self, update: ListUpdate, listing: Listing) -> None:
        if self.observer is not None:
            self.observer.on_endpoint_list(
                update, list(map(format_address, listing.addresses)), listing.failure_reason
            )

    def withdraw(self, retained_servers: frozenset[int], notified_ms: float) -> None:
        """Drain all servers except the retained ones, until `restore` is called.

        Used when a newer configuration lists only the retained servers for this pool. Listings published by
        the source meanwhile are restricted in the same way.

        Args:
            retained_servers: Numbers of the servers that may still receive requests.
            notified_ms: Time in Unix milliseconds at which that configuration came into force.
        """
        drained = self._endpoints.withdraw(retained_servers, notified_ms)
        if drained:
            self._deliver(ListUpdate(ListKind.DELTA, 0, drained))

    def restore(self) -> None:
        """Undo `withdraw`: have the source publish its complete list again."""
        if self._endpoints.restore():
            self.source.republish()

    # ------------------------------------------------ planners and observers

    def apply_guidance(self, event: Guidance | OwnSharesLeased) -> None:
        """Deliver a planner's guidance to the balancer."""
        self._deliver(event)

    def on_guidance_rejected(self, callback: Callable[[GuidanceRejected], None]) -> None:
        """Set the callback for guidance that the balancer has rejected."""
        self._on_guidance_rejected = callback

    def observe(self, observer: Observer) -> None:
        """Set the observer, and notify it of the present endpoint list."""
        self.observer = observer
        listing = self._endpoints.snapshot()
        self._notify_observer(ListUpdate(listing.kind, listing.version, list(listing.entries)), listing)

    # ------------------------------------------------ events to the balancer

    def _deliver(self, event: Event) -> None:
        """Have the balancer handle an event, after the event that it is handling and the queued events."""
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
                self._execute(action)
        except Exception as error:
            # An exception must not affect other requests: only the request of this event gets a 500.
            self._on_handler_error(event, error)

    def _on_handler_error(self, event: Event, error: Exception) -> None:
        """Log an exception, and respond with 500 to the request that it belongs to, if any."""
        # Some events have no request number, and the cookie of some timers is not a request number: no
        # exchange matches these.
        number = event.cookie if isinstance(event, TimerFired) else getattr(event, "request", NO_REQUEST)
        exchange = self._exchanges.get(number)
        trace = exchange.trace_text if exchange is not None else "-"
        frames = traceback.format_exc(limit=-3).strip().replace("\n", " | ")
        self.logger.write_line(f"request {trace}: {type(event).__name__}: {error!r}: {frames}")
        if exchange is not None:
            self._exchanges.respond(exchange, 500)

    def _write_deadline_ms(self, number: int, attempt_number: int) -> float:
        return self.balancer.write_deadline_ms(number, attempt_number)

    # ------------------------------------------------ actions of the balancer

    def _execute(self, action: Action) -> None:
        """Carry out an action; actions that belong to no request are left to `_execute_pool_action`."""
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
                self._execute_pool_action(action)

    def _execute_pool_action(self, action: Action) -> None:
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
                self.logger.write_line(text)
            case GuidanceRejected():
                if self._on_guidance_rejected is not None:
                    self._on_guidance_rejected(action)
            case _:
                self.logger.write_line(
                    f"ignored an unsupported action of the balancer: {type(action).__name__}"
                )

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


def _connection_limits(plan: PoolPlan) -> ConnectionLimits:
    """Return the limits of a pool's connections."""
    return ConnectionLimits(
        plan.max_connections,
        plan.settings.connection_idle_ms,
        plan.settings.connect_timeout_ms,
        plan.drain_grace_ms,
    )


def _retry_after(wait_ms: float) -> Headers:
    """Return a Retry-After header for a wait in milliseconds, or no header if there is no wait."""
    return [(b"Retry-After", b"%.3f" % (wait_ms / 1000.0))] if wait_ms > 0.0 else []
