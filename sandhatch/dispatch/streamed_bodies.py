"""Bodies of requests and answers that are streamed as they arrive.

Starts the flow of an answer, notifies the balancer of what can no longer be retried, and gives up a side that
makes too little progress. How bytes move is `sandhatch.streaming.flow`. Source: docs/operators/bodies.md.
"""

from __future__ import annotations

from sandhatch.balancing.events import AnswerStarted, Outcome, Unrepeatable
from sandhatch.dispatch.exchange import Exchange, ExchangeCallbacks, ExchangeTable, TruncatedBy
from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.flow import Flow, Side
from sandhatch.streaming.terms import StreamTerms
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection_pool import ConnectionPool
from sandhatch.upstream.load_report import LOAD_HEADER


class _RequestObserver:
    """Observes the flow of a request's body."""

    def __init__(self, bodies: StreamedBodies, exchange: Exchange) -> None:
        self._bodies = bodies
        self._exchange = exchange

    def on_unrepeatable(self) -> None:
        """Note that what was sent is no longer kept."""
        self._bodies.on_unrepeatable(self._exchange)

    def on_sent(self) -> None:
        """Note that all of the request has been sent."""
        self._bodies.on_request_sent(self._exchange)


class _ResponseObserver:
    """Observes the flow of an answer's body."""

    def __init__(self, bodies: StreamedBodies, exchange: Exchange) -> None:
        self._bodies = bodies
        self._exchange = exchange

    def on_unrepeatable(self) -> None:
        """Do nothing: an answer that has begun is the client's from its first byte."""

    def on_sent(self) -> None:
        """Note that all of the answer has been sent."""
        self._bodies.on_response_sent(self._exchange)


class StreamedBodies:
    """The streamed bodies of one pool's exchanges."""

    CHECK_INTERVAL_MS = 250.0  # between two checks of the progress of the flows

    def __init__(
        self,
        shared: SharedResources,
        exchanges: ExchangeTable,
        connection_pool: ConnectionPool,
        callbacks: ExchangeCallbacks,
    ) -> None:
        """Create the state with no body.

        Args:
            shared: the clock, log, memory and statistics of the process.
            exchanges: the pool's open exchanges.
            connection_pool: the pool's connections.
            callbacks: the dispatcher's.
        """
        self._shared = shared
        self._clock = shared.clock
        self._logger = shared.logger
        self._exchanges = exchanges
        self._connection_pool = connection_pool
        self._deliver = callbacks.deliver
        self._on_deadline = callbacks.on_deadline
        self._disconnect = callbacks.disconnect
        self._streaming: dict[Exchange, None] = {}  # exchanges with a flow, in the order of their start
        self._checking = False

    # ------------------------------------------------ requests

    def start_request(self, exchange: Exchange, flow: Flow) -> None:
        """Watch the body of a request that is streamed."""
        flow.observe(_RequestObserver(self, exchange))
        self._check_progress_of(exchange)

    def on_unrepeatable(self, exchange: Exchange) -> None:
        """Notify the balancer that no further attempt could carry the request's body."""
        self._deliver(Unrepeatable(exchange.number))

    def on_request_sent(self, exchange: Exchange) -> None:
        """Await the answer, now that all of the request has been sent."""
        for attempt in exchange.attempts:
            if attempt is not None:
                self._connection_pool.start_response_timeout(attempt)

    # ------------------------------------------------ answers

    def start_response(
        self,
        exchange: Exchange,
        attempt_number: int,
        attempt: Attempt,
        response: Message,
        reserved_bytes: int,
    ) -> Flow | None:
        """Start to stream an answer: from here on it is the client's, and nothing is retried.

        Args:
            exchange: the exchange.
            attempt_number: the number of the attempt that it comes from.
            attempt: that attempt.
            response: the head of the answer.
            reserved_bytes: bytes reserved for its body in the memory budget.

        Returns:
            The flow that takes the body, and with it the reservation; None if nobody wants the body.
        """
        terms = exchange.message.terms
        if exchange.closed or response.status != 200 or terms is None or exchange.response_flow is not None:
            return None
        now_ms = self._clock.now_ms()
        self._restart_timers(exchange, attempt, terms, now_ms)
        assert attempt.connection is not None  # it brings the answer
        flow = Flow(
            terms.response, self._shared, attempt.connection, reserved_bytes, leases_to_response=False
        )
        flow.observe(_ResponseObserver(self, exchange))
        exchange.response_flow = flow
        exchange.responding_attempt = attempt_number
        exchange.status = response.status
        self._check_progress_of(exchange)
        spent_ms = now_ms - attempt.sent_ms
        self._deliver(AnswerStarted(exchange.number, attempt_number, attempt.server.number, spent_ms))
        headers = response.forwarded_headers(LOAD_HEADER)
        exchange.client.begin_response(response.status, headers, response.length, flow)
        if not flow.closed:
            flow.attach(exchange.client)
        return flow

    def _restart_timers(
        self, exchange: Exchange, attempt: Attempt, terms: StreamTerms, now_ms: float
    ) -> None:
        """Replace the timeout and the deadline of an exchange by the deadline of its streamed answer."""
        for timer in (attempt.timer, exchange.deadline_timer):
            if timer is not None:
                timer.cancel()
        # Where the request was complete, the time allowed for a long body starts only now.
        request_streamed = exchange.message.flow is not None
        time_left_ms = exchange.deadline_ms - now_ms if request_streamed else terms.total_ms
        exchange.deadline_timer = self._clock.call_after(time_left_ms, lambda: self._on_deadline(exchange))

    def on_response_sent(self, exchange: Exchange) -> None:
        """Close an exchange whose streamed answer has been sent completely."""
        if exchange.closed:
            return
        self._exchanges.close(exchange, exchange.status)
        exchange.client.end_response()
        self._exchanges.remove_if_done(exchange)

    def abort_response(self, exchange: Exchange, reason: TruncatedBy) -> None:
        """Abort the streamed answer of an exchange before its end."""
        if exchange.closed:
            return
        exchange.truncated_by = reason
        self._exchanges.close(exchange, exchange.status)
        exchange.client.abort_response()

    # ------------------------------------------------ progress

    def _check_progress_of(self, exchange: Exchange) -> None:
        self._streaming[exchange] = None
        if not self._checking:
            self._checking = True
            self._clock.call_after(self.CHECK_INTERVAL_MS, self._check_progress)

    def _check_progress(self) -> None:
        """Give up exchanges in which one side makes too little progress."""
        now_ms = self._clock.now_ms()
        for exchange in list(self._streaming):
            flows = exchange.open_flows
            if not flows:
                self._streaming.pop(exchange, None)
            for flow in flows:
                violation = flow.slow_side(now_ms)
                if violation is not None:
                    self._on_too_slow(exchange, flow, violation.side, violation.reason)
        self._checking = bool(self._streaming)
        if self._checking:
            self._clock.call_after(self.CHECK_INTERVAL_MS, self._check_progress)

    def _on_too_slow(self, exchange: Exchange, flow: Flow, side: Side, why: str) -> None:
        """End an exchange on behalf of the side that is too slow."""
        is_response = flow is exchange.response_flow
        server_is_slow = is_response is (side is Side.SOURCE)
        slow_party = "server" if server_is_slow else "client"
        body = "answer" if is_response else "request"
        # This line is documented in docs/operators/bodies.md.
        self._logger.line(f"request {exchange.trace_text}: {slow_party} slow at its {body}: {why}")
        if server_is_slow:
            exchange.end_attempts(Outcome.TIMEOUT)  # and the balancer learns which server it was
            return
        response_started = exchange.response_flow is not None
        self._disconnect(exchange.number, exchange.status if response_started else 408)
        if response_started:
            exchange.client.abort_response()
        else:
            exchange.client.respond(408, [], b"the request did not come fast enough\n")
