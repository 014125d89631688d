"""Starts the attempts and probes that a balancer requests, and notifies the balancer of their ends.

Each `Send` for an open request leads to exactly one `AttemptEnded`, each `Probe` to exactly one `ProbeEnded`.
Servers and retries are chosen by the balancer. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.actions import Send
from sandhatch.balancing.events import NEVER_RAN, AttemptEnded, Outcome, ProbeEnded
from sandhatch.balancing.settings import ReportMode
from sandhatch.dispatch.exchange import Exchange, ExchangeCallbacks, ExchangeTable, TruncatedBy
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.streamed_bodies import StreamedBodies
from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.flow import Flow
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.connection_pool import ConnectionPool
from sandhatch.upstream.load_report import LOAD_HEADER, extract_load_report
from sandhatch.upstream.server import UpstreamServer

TIME_LEFT_HEADER = b"x-expires-in-ms"  # header name, in lower case for look-ups in `Message`


@dataclass(slots=True, eq=False)
class AttemptContext:
    """The owner of one attempt of an exchange; implements `AttemptOwner`.

    Attributes:
        runner: The runner that starts the attempt.
        exchange: The exchange that the attempt belongs to.
        attempt_number: Number of the attempt within the exchange.
        server: The server that the attempt is sent to.
        started_ms: Start of the attempt in Unix milliseconds.
        timeout_ms: Time allowed for the response.
    """

    runner: AttemptRunner
    exchange: Exchange
    attempt_number: int
    server: UpstreamServer
    started_ms: float
    timeout_ms: float

    def make_request(self) -> Message:
        """Build the request for the server; a header states the time that now remains for the response."""
        now_ms = self.runner.clock.now_ms()
        message = self.exchange.message
        if message.flow is None:
            time_left_ms = self.started_ms + self.timeout_ms - now_ms
        else:  # the attempt's timeout starts only after a streamed body, so the exchange's deadline applies
            time_left_ms = self.exchange.deadline_ms - now_ms
        request = Message()
        request.method = message.method
        request.target = message.target
        headers = request.headers = message.forwarded_headers(TIME_LEFT_HEADER)
        # The headers are only written from here on, so `Message.lower_names`, the look-up index, is not
        # updated.
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, int(time_left_ms))))
        request.body = message.body
        request.length = message.length
        return request

    def blocked_by(self, partly_written: bool) -> Outcome | None:
        """Return DISCARDED if the request may no longer be written, else None.

        This is so once the exchange is closed, the attempt's write deadline has passed or, before the first
        byte, the server's drain grace period is over. An exchange whose client has disconnected is closed
        first.
        """
        runner = self.runner
        runner.close_if_client_disconnected(self.exchange)
        blocked = (
            self.exchange.closed
            or (not partly_written and runner.connection_pool.has_drain_grace_expired(self.server))
            or runner.clock.now_ms() >= runner.write_deadline_ms(self.exchange.number, self.attempt_number)
        )
        return Outcome.DISCARDED if blocked else None

    def on_response_started(self, attempt: Attempt, response: Message, reserved_bytes: int) -> Flow | None:
        """Start to stream the response to the client."""
        return self.runner.bodies.start_response(
            self.exchange, self.attempt_number, attempt, response, reserved_bytes
        )

    def on_ended(self, outcome: Outcome, response: Message | None) -> None:
        """Hand the outcome and the response to `AttemptRunner.end_attempt`."""
        attempt = self.exchange.attempts[self.attempt_number]
        # The response time runs from the attempt's `sent_ms`: the time that a client takes to send a long
        # body must not count as the server's.
        sent_ms = self.started_ms if attempt is None else attempt.sent_ms
        self.runner.end_attempt(
            self.exchange, self.attempt_number, self.server.number, outcome, sent_ms, response
        )


@dataclass(slots=True, eq=False)
class ProbeContext:
    """The owner of one probe; implements `AttemptOwner`.

    Attributes:
        runner: The runner that starts the probe.
        server: The server that is probed.
        request: The request of the probe.
        started_ms: Start of the probe in Unix milliseconds.
    """

    runner: AttemptRunner
    server: UpstreamServer
    request: Message
    started_ms: float

    def make_request(self) -> Message:
        """Return the probe's request, which, unlike an attempt's, has no header with the remaining time."""
        return self.request

    def blocked_by(self, partly_written: bool) -> Outcome | None:
        """Return DISCARDED if the server's drain grace period is over before the first byte, else None."""
        expired = not partly_written and self.runner.connection_pool.has_drain_grace_expired(self.server)
        return Outcome.DISCARDED if expired else None

    def on_response_started(
        self,
        attempt: Attempt,  # noqa: ARG002 - part of the protocol
        response: Message,  # noqa: ARG002 - part of the protocol
        reserved_bytes: int,  # noqa: ARG002 - part of the protocol
    ) -> Flow | None:
        """Return None: the response to a probe is never streamed."""
        return None

    def on_ended(self, outcome: Outcome, response: Message | None) -> None:
        """Notify the balancer of the end of the probe and of the load report in the response."""
        self.runner.end_probe(self.server.number, outcome, self.started_ms, response)


class AttemptRunner:
    """Starts and ends the attempts and probes of one pool.

    Attributes:
        clock: Clock of the process.
        connection_pool: Connections of the pool.
        bodies: Streamed bodies of the pool.
        write_deadline_ms: Returns the time before which the request of an attempt must be written.
    """

    PROBE_TIMEOUT_MS = 50.0  # time for the response to a probe, in addition to the connect timeout

    def __init__(
        self,
        plan: PoolPlan,
        shared: SharedResources,
        exchanges: ExchangeTable,
        connection_pool: ConnectionPool,
        bodies: StreamedBodies,
        callbacks: ExchangeCallbacks,
    ) -> None:
        """Create the runner of one pool.

        Args:
            plan: Settings and limits of the pool.
            shared: Clock and log of the process.
            exchanges: Open exchanges of the pool.
            connection_pool: Connections of the pool.
            bodies: Streamed bodies of the pool.
            callbacks: Callbacks of the dispatcher.
        """
        settings = plan.settings
        self.clock = shared.clock
        self.connection_pool = connection_pool
        self.bodies = bodies
        self._logger = shared.logger
        self._exchanges = exchanges
        self._deliver = callbacks.deliver
        self._disconnect = callbacks.disconnect
        self.write_deadline_ms = callbacks.write_deadline_ms
        self._max_attempts = settings.max_attempts
        self._probe_timeout_ms = self.PROBE_TIMEOUT_MS + settings.connect_timeout_ms
        has_reports = settings.report_mode is not ReportMode.OFF
        self._report_names = plan.report_names if has_reports else ()
        self._inline_reports = settings.report_mode is ReportMode.INLINE
        self._probe_target = b"/status/load" if has_reports else b"/health"

    def close_if_client_disconnected(self, exchange: Exchange) -> None:
        """Close an exchange whose client has disconnected, before anything is started for it.

        Prevents attempts for a client whose end of stream has not been read or handled yet, whatever the
        request was waiting for.
        """
        if not exchange.closed and exchange.client.has_disconnected():
            self._disconnect(exchange.number, 0)

    def send(self, action: Send) -> None:
        """Start an attempt; an attempt that may not be started ends at once as DISCARDED.

        An attempt for a request that is not open is only logged.
        """
        exchange = self._exchanges.get(action.request)
        if exchange is None:
            self._logger.write_line(
                f"ignored an attempt for request number {action.request}: no such open request"
            )
            return
        now_ms = self.clock.now_ms()
        attempt_number = len(exchange.attempts)
        time_left_ms = exchange.deadline_ms - now_ms
        timeout_ms = min(time_left_ms, action.timeout_ms) if action.timeout_ms else time_left_ms
        server = self.connection_pool.servers.get(action.server)
        self.close_if_client_disconnected(exchange)
        exchange.attempts.append(None)
        exchange.servers.append(action.server)
        exchange.pending_attempts += 1
        flow = exchange.message.flow
        # A streamed body goes to one server at a time, and can be sent again only while it is still buffered
        # from its first byte on.
        body_unavailable = flow is not None and (not flow.is_repeatable or exchange.pending_attempts > 1)
        is_over = exchange.closed or exchange.response_flow is not None or timeout_ms <= 0.0
        if server is None or is_over or body_unavailable or attempt_number >= self._max_attempts:
            self.end_attempt(exchange, attempt_number, action.server, Outcome.DISCARDED, now_ms, None)
            return
        context = AttemptContext(self, exchange, attempt_number, server, now_ms, timeout_ms)
        attempt = Attempt(server, context, now_ms, flow=flow, limits=exchange.message.limits)
        exchange.attempts[attempt_number] = attempt
        self.connection_pool.start(attempt, timeout_ms)

    def end_attempt(
        self,
        exchange: Exchange,
        attempt_number: int,
        server_number: int,
        outcome: Outcome,
        sent_ms: float,
        response: Message | None,
    ) -> None:
        """Handle the end of an attempt, and notify the balancer.

        A complete response with the outcome OK is forwarded to the client if the exchange is not closed. If
        the attempt ends before the end of its streamed response, that response is aborted.

        Args:
            exchange: The exchange that the attempt belongs to.
            attempt_number: Number of the attempt within the exchange.
            server_number: Number of the attempt's server.
            outcome: Outcome of the attempt.
            sent_ms: Start of the wait for the response in Unix milliseconds.
            response: The response, None if no response arrived.
        """
        if exchange.response_flow is not None:
            if attempt_number == exchange.responding_attempt and not exchange.response_flow.ended:
                self.bodies.abort_response(exchange, TruncatedBy.SERVER)
        elif outcome is Outcome.OK and response is not None and not exchange.closed:
            self._exchanges.close(exchange, 200)
            exchange.client.respond(200, response.forwarded_headers(LOAD_HEADER), response.body)
        exchange.pending_attempts -= 1
        exchange.may_have_run |= outcome not in NEVER_RAN
        report = (
            extract_load_report(response, self._report_names, from_body=False) if self._inline_reports else ()
        )
        final = exchange.closed or exchange.response_flow is not None
        spent_ms = self.clock.now_ms() - sent_ms
        self._deliver(
            AttemptEnded(exchange.number, attempt_number, server_number, outcome, final, spent_ms, report)
        )
        self._exchanges.remove_if_done(exchange)

    def probe(self, server_number: int) -> None:
        """Start a probe; if the pool has no server of that number, the probe ends as CONNECT_FAILED."""
        now_ms = self.clock.now_ms()
        server = self.connection_pool.servers.get(server_number)
        if server is None:
            self._deliver(ProbeEnded(server_number, Outcome.CONNECT_FAILED))
            return
        host, port = server.address
        request = Message()
        request.method = b"GET"
        request.target = self._probe_target
        request.add(b"Host", f"{host}:{port}".encode())
        attempt = Attempt(server, ProbeContext(self, server, request, now_ms), now_ms, probe=True)
        self.connection_pool.start(attempt, self._probe_timeout_ms)

    def end_probe(
        self, server_number: int, outcome: Outcome, started_ms: float, response: Message | None
    ) -> None:
        """Notify the balancer of the end of a probe and of the load report in the response."""
        report = extract_load_report(response, self._report_names, from_body=True)
        self._deliver(ProbeEnded(server_number, outcome, self.clock.now_ms() - started_ms, report))
