"""The state of one request, and the table of the requests that a pool has open.

An exchange lasts from the request's arrival until it is answered and its last attempt has ended. It has at
most one answer. Source: PROTOCOL-sandhatch.md, "Callers to balancers".
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from sandhatch.balancing.events import Event, Outcome
from sandhatch.dispatch.protocols import DownstreamClient
from sandhatch.http1.message import Message
from sandhatch.runtime.clock import Clock, Timer
from sandhatch.runtime.in_flight_ids import InFlightIds
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.upstream.attempt import Attempt

NO_ATTEMPT = -1  # in place of an attempt's number


class TruncatedBy(StrEnum):
    """Why a streamed body ended early; the values stand in the access log (docs/operators/bodies.md)."""

    NOTHING = ""
    CLIENT = "client"
    SERVER = "server"
    TIME = "time"


@dataclass(slots=True, eq=False)
class Exchange:
    """One request, and all that happens on its behalf.

    Attributes:
        number: the request's number, by which the balancer knows it.
        client: where the answer goes.
        message: the request.
        deadline_ms: when it must have been answered, in Unix milliseconds.
        trace: its id.
        on_done: called once when it is closed and none of its attempts is pending.
        attempts: its attempts by their numbers; None for one that was never started.
        servers: the servers of its attempts, those never started included.
        pending_attempts: attempts whose end the balancer has not been notified of.
        closed: whether it has been answered, or its client has left.
        status: the status of its answer; 0 if the client left before.
        responded_ms: when it was closed, in Unix milliseconds.
        deadline_timer: fires at the deadline.
        response_flow: the body of its answer, once that is streamed.
        responding_attempt: the number of the attempt that the streamed answer comes from, or `NO_ATTEMPT`.
        truncated_by: why its body or its answer was truncated.
    """

    number: int
    client: DownstreamClient
    message: Message
    deadline_ms: float
    trace: bytes
    on_done: DoneCallback | None = None
    attempts: list[Attempt | None] = field(default_factory=list)
    servers: list[int] = field(default_factory=list)
    pending_attempts: int = 0
    closed: bool = False
    status: int = 0
    responded_ms: float = 0.0
    deadline_timer: Timer | None = None
    response_flow: Flow | None = None
    responding_attempt: int = NO_ATTEMPT
    truncated_by: TruncatedBy = TruncatedBy.NOTHING

    @property
    def trace_text(self) -> str:
        """The request's id, for log lines."""
        return self.trace.decode("latin-1")

    @property
    def open_flows(self) -> list[Flow]:
        """The flows of the answer and of the request, as far as they are open."""
        flows = (self.response_flow, self.message.flow)
        return [flow for flow in flows if flow is not None and not flow.closed]

    def close_flows(self) -> None:
        """Close both flows."""
        for flow in self.open_flows:
            flow.close()

    def end_attempts(self, outcome: Outcome) -> None:
        """End all attempts that are pending."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.end(outcome)


DoneCallback = Callable[[Exchange], None]


@dataclass(slots=True, frozen=True)
class ExchangeCallbacks:
    """What the parts of a dispatcher call back on.

    Attributes:
        deliver: takes an event for the balancer.
        on_deadline: called for an exchange whose deadline has come.
        disconnect: closes the exchange of a number, as its client has left, or with a status other than 0 as
            its body is of no use.
    """

    deliver: Callable[[Event], None]
    on_deadline: Callable[[Exchange], None]
    disconnect: Callable[[int, int], None]


class ExchangeTable(dict[int, Exchange]):
    """The open exchanges of one pool, by number: how they are added, answered and removed."""

    def __init__(self, clock: Clock, in_flight_ids: InFlightIds) -> None:
        """Create an empty table.

        Args:
            clock: the process's clock.
            in_flight_ids: the ids of the requests that are open in any pool.
        """
        super().__init__()
        self._clock = clock
        self._in_flight_ids = in_flight_ids

    @property
    def pending_requests(self) -> int:
        """The number of requests that wait for their answer."""
        return sum(not exchange.closed for exchange in self.values())

    def add(self, exchange: Exchange) -> None:
        """Add a new exchange, whose id is in flight from now on."""
        self[exchange.number] = exchange
        self._in_flight_ids.begin(exchange.trace)

    def close(self, exchange: Exchange, status: int) -> None:
        """Close an exchange: its client is sent nothing more, but for an answer of this status."""
        exchange.closed = True
        exchange.status = status
        exchange.responded_ms = self._clock.now_ms()
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        if exchange.response_flow is not None or exchange.message.flow is not None:
            exchange.close_flows()

    def respond(
        self, exchange: Exchange, status: int, headers: Headers | None = None, body: bytes = b""
    ) -> None:
        """Send the final answer; a second one is dropped."""
        if exchange.closed:
            return
        self.close(exchange, status)
        exchange.client.respond(status, headers or [], body)
        self.remove_if_done(exchange)

    def remove_if_done(self, exchange: Exchange) -> None:
        """Remove an exchange that is closed and has no attempt pending."""
        if not exchange.closed or exchange.pending_attempts:
            return
        if self.pop(exchange.number, None) is None:
            return
        self._in_flight_ids.end(exchange.trace, self._clock.now_ms())
        on_done = exchange.on_done
        exchange.on_done = None
        if on_done is not None:
            on_done(exchange)
