"""Bodies of requests and responses that are streamed as they arrive.

This module starts the flow of a response, notifies the balancer when a request can no longer be retried, and
ends exchanges in which the client or a server makes too little progress. `sandhatch.streaming.flow` moves the
bytes. Source: docs/operators/bodies.md.
"""

from __future__ import annotations

from sandhatch.balancing.events import AnswerStarted, Outcome, Unrepeatable
from sandhatch.dispatch.exchange import Exchange, ExchangeCallbacks, ExchangeTable, TruncatedBy
from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.flow import Flow, Side
from sandhatch.streaming.limits import StreamLimits
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection_pool import ConnectionPool
from sandhatch.upstream.load_report import LOAD_HEADER


class _RequestObserver:
    """Observes the flow of a request body."""

    def __init__(self, bodies: StreamedBodies, exchange: Exchange) -> None:
        self._bodies = bodies
        self._exchange = exchange

    def on_unrepeatable(self) -> None:
        """Handle the loss of bytes already sent, which are no longer buffered for a retry."""
        self._bodies.on_unrepeatable(self._exchange)

    def on_sent(self) -> None:
        """Handle the end of the request: all of it has been sent."""
        self._bodies.on_request_sent(self._exchange)


class _ResponseObserver:
    """Observes the flow of a response body."""

    def __init__(self, bodies: StreamedBodies, exchange: Exchange) -> None:
        self._bodies = bodies
        self._exchange = exchange

    def on_unrepeatable(self) -> None:
        """Do nothing: a response is never retried once its first byte is forwarded to the client."""

    def on_sent(self) -> None:
        """Handle the end of the response: all of it has been sent."""
        self._bodies.on_response_sent(self._exchange)


class StreamedBodies:
    """The streamed bodies of one pool's exchanges."""

    CHECK_INTERVAL_MS = 250.0  # interval between checks of the progress of all flows

    def __init__(
        self,
        shared: SharedResources,
        exchanges: ExchangeTable,
        connection_pool: ConnectionPool,
        callbacks: ExchangeCallbacks,
    ) -> None:
        """Create the state before any body is streamed.

        Args:
            shared: Clock, log, memory budget and statistics of the process.
            exchanges: Open exchanges of the pool.
            connection_pool: Connections of the pool.
            callbacks: Callbacks of the dispatcher.
        """
        self._shared = shared
        self._clock = shared.clock
        self._logger = shared.logger
        self._exchanges = exchanges
        self._connection_pool = connection_pool
        self._deliver = callbacks.deliver
        self._on_deadline = callbacks.on_deadline
        self._disconnect = callbacks.disconnect
        # Ordered set of the exchanges whose request or response is streamed.
        self._streaming: dict[Exchange, None] = {}
        self._is_checking = False

    # ------------------------------------------------ requests

    def start_request(self, exchange: Exchange, flow: Flow) -> None:
        """Observe the flow of a streamed request, and check its progress."""
        flow.observe(_RequestObserver(self, exchange))
        self._track_progress(exchange)

    def on_unrepeatable(self, exchange: Exchange) -> None:
        """Notify the balancer that the request body can no longer be sent in another attempt."""
        self._deliver(Unrepeatable(exchange.number))

    def on_request_sent(self, exchange: Exchange) -> None:
        """Start the response timeouts of the attempts, once all of the request has been sent."""
        for attempt in exchange.attempts:
            if attempt is not None:
                self._connection_pool.start_response_timeout(attempt)

    # ------------------------------------------------ responses

    def start_response(
        self,
        exchange: Exchange,
        attempt_number: int,
        attempt: Attempt,
        response: Message,
        reserved_bytes: int,
    ) -> Flow | None:
        """Start to stream a response to the client, after which the request is never retried.

        Args:
            exchange: The exchange that the response belongs to.
            attempt_number: Number of the attempt that received the response.
            attempt: The attempt that received the response.
            response: The head of the response.
            reserved_bytes: Bytes reserved in the memory budget for the body of the response.

        Returns:
            The flow that takes over the body and its reservation; None if the body is to be discarded.
        """
        limits = exchange.message.limits
        if exchange.closed or response.status != 200 or limits is None or exchange.response_flow is not None:
            return None
        now_ms = self._clock.now_ms()
        self._restart_timers(exchange, attempt, limits, now_ms)
        flow = self._open_response_flow(exchange, attempt, limits, reserved_bytes)
        exchange.responding_attempt = attempt_number
        exchange.status = response.status
        self._track_progress(exchange)
        spent_ms = now_ms - attempt.sent_ms
        self._deliver(AnswerStarted(exchange.number, attempt_number, attempt.server.number, spent_ms))
        headers = response.forwarded_headers(LOAD_HEADER)
        exchange.client.begin_response(response.status, headers, response.length, flow)
        if not flow.closed:
            flow.attach(exchange.client)
        return flow

    def _open_response_flow(
        self, exchange: Exchange, attempt: Attempt, limits: StreamLimits, reserved_bytes: int
    ) -> Flow:
        """Open the flow of a response, whose source is the connection that carries the attempt."""
        assert attempt.connection is not None
        flow = Flow(
            limits.response, self._shared, attempt.connection, reserved_bytes, leases_to_response=False
        )
        flow.observe(_ResponseObserver(self, exchange))
        exchange.response_flow = flow
        return flow

    def _restart_timers(
        self, exchange: Exchange, attempt: Attempt, limits: StreamLimits, now_ms: float
    ) -> None:
        """Replace the timeout and the deadline of an exchange by the deadline of its streamed response."""
        for timer in (attempt.timer, exchange.deadline_timer):
            if timer is not None:
                timer.cancel()
        # If the request was not streamed, the time allowed for a streamed exchange starts with the response.
        request_streamed = exchange.message.flow is not None
        time_left_ms = exchange.deadline_ms - now_ms if request_streamed else limits.total_ms
        exchange.deadline_timer = self._clock.call_after(time_left_ms, lambda: self._on_deadline(exchange))

    def on_response_sent(self, exchange: Exchange) -> None:
        """Close an exchange whose streamed response has been sent completely."""
        if exchange.closed:
            return
        self._exchanges.close(exchange, exchange.status)
        exchange.client.end_response()
        self._exchanges.remove_if_done(exchange)

    def abort_response(self, exchange: Exchange, reason: TruncatedBy) -> None:
        """Abort the streamed response of an exchange before its end."""
        if exchange.closed:
            return
        exchange.truncated_by = reason
        self._exchanges.close(exchange, exchange.status)
        exchange.client.abort_response()

    # ------------------------------------------------ progress

    def _track_progress(self, exchange: Exchange) -> None:
        self._streaming[exchange] = None
        if not self._is_checking:
            self._is_checking = True
            self._clock.call_after(self.CHECK_INTERVAL_MS, self._check_progress)

    def _check_progress(self) -> None:
        """End exchanges in which the client or the server makes too little progress."""
        now_ms = self._clock.now_ms()
        for exchange in list(self._streaming):
            flows = exchange.open_flows
            if not flows:
                self._streaming.pop(exchange, None)
            for flow in flows:
                violation = flow.find_slow_side(now_ms)
                if violation is not None:
                    self._end_slow_exchange(exchange, flow, violation.side, violation.reason)
        self._is_checking = bool(self._streaming)
        if self._is_checking:
            self._clock.call_after(self.CHECK_INTERVAL_MS, self._check_progress)

    def _end_slow_exchange(self, exchange: Exchange, flow: Flow, side: Side, why: str) -> None:
        """End an exchange because its client or its server is too slow.

        Args:
            exchange: The exchange to end.
            flow: The slow flow of the exchange.
            side: The slow side of that flow.
            why: Description of the violated progress limit, for the log line.
        """
        is_response = flow is exchange.response_flow
        server_is_slow = is_response is (side is Side.SOURCE)
        slow_party = "server" if server_is_slow else "client"
        body = "response" if is_response else "request"
        # Operators search for this line as documented in docs/operators/bodies.md.
        self._logger.write_line(f"request {exchange.trace_text}: {slow_party} slow at its {body}: {why}")
        if server_is_slow:
            exchange.end_attempts(Outcome.TIMEOUT)  # notifies the balancer of the slow server
            return
        response_started = exchange.response_flow is not None
        self._disconnect(exchange.number, exchange.status if response_started else 408)
        if response_started:
            exchange.client.abort_response()
        else:
            exchange.client.respond(408, [], b"the request did not come fast enough\n")
