"""The state of one request, and the table of a pool's open requests.

An exchange lasts from the request's arrival until its response is sent and its last attempt has ended. It has
at most one response. Source: PROTOCOL-sandhatch.md, "Callers to balancers".
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

NO_ATTEMPT = -1  # placeholder: no attempt has this number


class TruncatedBy(StrEnum):
    """Why a streamed body was truncated; the values appear in the access log (docs/operators/bodies.md)."""

    NOTHING = ""
    CLIENT = "client"
    SERVER = "server"
    TIME = "time"


@dataclass(slots=True, eq=False)
class Exchange:
    """One request with its attempts and its response.

    Attributes:
        number: Number of the request, used in the balancer's events and actions.
        client: Receiver of the response.
        message: The request.
        deadline_ms: Deadline for the response in Unix milliseconds.
        trace_id: Id of the request.
        on_done: Callback, called once when the exchange is closed and no attempt is pending.
        attempts: Attempts, indexed by number; None for an attempt that was never started.
        servers: Server numbers of the attempts, including those never started.
        pending_attempts: Number of attempts whose end has not been reported to the balancer.
        may_have_run: Whether any attempt ended in a way that does not prove that the request never ran.
        closed: Whether the response is complete or aborted, or the client has disconnected.
        status: Status of the response; 0 if the client disconnected before.
        responded_ms: Time in Unix milliseconds at which the exchange was closed.
        deadline_timer: Timer that fires at the deadline.
        response_flow: Flow of the response body if that is streamed, else None.
        responding_attempt: Number of the attempt whose response is streamed, or `NO_ATTEMPT`.
        truncated_by: Reason why the request body or the response was truncated.
    """

    number: int
    client: DownstreamClient
    message: Message
    deadline_ms: float
    trace_id: bytes
    on_done: DoneCallback | None = None
    attempts: list[Attempt | None] = field(default_factory=list)
    servers: list[int] = field(default_factory=list)
    pending_attempts: int = 0
    may_have_run: bool = False
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
        return self.trace_id.decode("latin-1")

    @property
    def open_flows(self) -> list[Flow]:
        """The open flows of the response and of the request."""
        flows = (self.response_flow, self.message.flow)
        return [flow for flow in flows if flow is not None and not flow.closed]

    def close_flows(self) -> None:
        """Close the open flows of the response and of the request."""
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
    """Callbacks of the dispatcher for its components.

    Attributes:
        deliver: Delivers an event to the balancer.
        on_deadline: Handles an exchange whose deadline has passed.
        disconnect: Closes the exchange with the given number: with status 0 if its client has disconnected,
            with another status if its body cannot be used.
        write_deadline_ms: Returns the time in Unix milliseconds before which the request of an attempt must
            be written, given the numbers of the exchange and of the attempt.
    """

    deliver: Callable[[Event], None]
    on_deadline: Callable[[Exchange], None]
    disconnect: Callable[[int, int], None]
    write_deadline_ms: Callable[[int, int], float]


class ExchangeTable(dict[int, Exchange]):
    """The open exchanges of one pool, by number, with the operations to add, respond to and remove them."""

    def __init__(self, clock: Clock, in_flight_ids: InFlightIds) -> None:
        """Create an empty table.

        Args:
            clock: Clock of the process.
            in_flight_ids: Ids of the requests that are open in any pool of the process.
        """
        super().__init__()
        self._clock = clock
        self._in_flight_ids = in_flight_ids

    @property
    def pending_requests(self) -> int:
        """Number of requests that wait for their response."""
        return sum(not exchange.closed for exchange in self.values())

    def add(self, exchange: Exchange) -> None:
        """Add a new exchange, and register its id as in flight."""
        self[exchange.number] = exchange
        self._in_flight_ids.begin(exchange.trace_id)

    def close(self, exchange: Exchange, status: int) -> None:
        """Close an exchange; nothing but a response with this status may be sent to its client afterwards."""
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
        """Send the final response; does nothing if the exchange is closed already."""
        if exchange.closed:
            return
        self.close(exchange, status)
        exchange.client.respond(status, headers or [], body)
        self.remove_if_done(exchange)

    def remove_if_done(self, exchange: Exchange) -> None:
        """Remove an exchange and call its `on_done`, if it is closed and no attempt is pending.

        A closed exchange with attempts in flight releases the request's body: nothing is written for it any
        more, and the client connection, which has counted the body in the memory budget, no longer does.
        """
        if not exchange.closed:
            return
        if exchange.pending_attempts:
            exchange.message.body = b""
            return
        if self.pop(exchange.number, None) is None:
            return
        self._in_flight_ids.end(exchange.trace_id, self._clock.now_ms(), exchange.may_have_run)
        on_done = exchange.on_done
        exchange.on_done = None
        if on_done is not None:
            on_done(exchange)
