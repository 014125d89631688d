"""A client connection, which receives requests and sends exactly one response to each, in order.

The connection parses what the client sends and enforces limits of size and time; where a request goes is
decided by the request handler. `connection_state` has the table of the states and their limits. Source:
PROTOCOL-sandhatch.md.

`ClientConnection` builds on three layers: `ClientTransport` (the socket), `RequestReceiver` (bodies, buffered
or streamed) and `ResponseSender`. It queues a small number of pipelined requests, begins each one after the
response to its predecessor, and enforces the limits of the connection's states.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import cast

from sandhatch.downstream.connection_state import ConnectionState
from sandhatch.downstream.interfaces import ConnectionOwner
from sandhatch.downstream.response_sender import ResponseSender, error_body
from sandhatch.downstream.socket_poll import has_pending_event
from sandhatch.http1.errors import Fault, FramingError
from sandhatch.http1.message import Message
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.limits import StreamLimits
from sandhatch.streaming.socket_writer import READ_BUFFER

OUT_OF_MEMORY = Fault(503, "out of memory for requests")
# Statuses of responses that carry Retry-After.
RETRY_AFTER_STATUSES = (429, 503)
RETRY_AFTER_1_S: Headers = [(b"Retry-After", b"1")]


def _ignore_disconnect(status: int = 0) -> None:
    """Ignore a disconnect that occurs before the request handler has returned its callback."""


class ClientConnection(ResponseSender, asyncio.BufferedProtocol):
    """Protocol of one client connection; the module's docstring describes its layers."""

    MAX_QUEUED_REQUESTS = 4
    FIRST_REQUEST_TIMEOUT_MS = 2_000.0  # time from the accept until the first request must be complete
    # Time from a later request's first byte until it must be complete, and time for a response to be read.
    REQUEST_TIMEOUT_MS = 2_000.0
    IDLE_TIMEOUT_MS = 60_000.0  # longest time that the connection stays open between two requests
    LINGER_TIMEOUT_MS = (
        1_000.0  # time for the client to read the last response, which an earlier reset could discard
    )
    MAX_LINGER_BYTES = 256 * 1024  # received bytes discarded during the lingering close, until reading stops

    _listener: ConnectionOwner[ClientConnection]

    def __init__(self, listener: ConnectionOwner[ClientConnection]) -> None:
        """Create the protocol of a connection that `listener` has just accepted."""
        super().__init__(listener, max_queued=self.MAX_QUEUED_REQUESTS)
        self.is_fresh = True  # whether no request has been received completely or responded to yet
        self._discarded_bytes = 0  # bytes received since `is_ending` was set
        # Requests received completely and not handed to the request handler yet.
        self._queued_requests: deque[Message] = deque()
        self._is_processing = False  # guards `_process_requests` against reentry
        self._request_bytes = 0  # size in bytes of the queued requests and of the current request

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if the connection was evicted while it was being set up."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self.is_ending:
            self._transport.abort()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes: queue complete requests and stream parts of the current body."""
        if self.is_ending:
            self._discard_received(nbytes)
            return
        had_partial_request = self._parser.has_partial_message
        events = self._parser.feed(READ_BUFFER[:nbytes])
        if self._request_flow is not None:
            events = self._stream_to(self._request_flow, events)
            if self.is_ending:
                return
        if events:
            # `_stream_to` has removed the pieces and the end of a streamed body, so only messages remain.
            requests = cast(list[Message], events)
            self.is_fresh = False
            self._queued_requests.extend(requests)
            self._request_bytes += sum(request.approximate_bytes for request in requests)
        if not self.is_fresh and (events or not had_partial_request) and self.has_partial_request:
            # The time limit counts from a request's first byte; later bytes don't renew the limit.
            self.state_since_ms = self._shared.clock.now_ms()
        if self._body_limits is not None or self._progress is not None:
            self._track_body(nbytes)
        if not self._update_usage():
            self._reject_for_memory()
        if self.queue_full and self._transport is not None:
            self._transport.pause_reading()  # limits the memory of a client that sends and never reads
            self._listener.watch_disconnect(self)
        if self._parser.expects_continue:
            self._send_continue()
        self._process_requests()

    def eof_received(self) -> bool:
        """Return whether the connection stays open after the client has shut down its sending side."""
        if self._listener.half_close and self._current_request is not None and self._request_flow is None:
            self._current_request.keep_alive = False  # the client sends nothing more but still reads
            self._discard_queued()
            return True
        self._on_disconnect()
        self._close_request_flow()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of the protocol
        """Notify the request handler, and release the connection's resources."""
        self._transport = None
        self.is_ending = True
        # The wait for memory ends first, so that memory released below is not granted to this connection.
        self._stop_buffering()
        self._on_disconnect()
        self._close_request_flow()
        self._response_flow = None
        self._socket_writer = None
        self._parser.close()
        self._current_request = None
        self._request_bytes = 0
        self._update_usage()
        self._listener.on_connection_closed(self)

    # ------------------------------------------------ state and time limits

    @property
    def listener_name(self) -> str:
        """Name of the listener that accepted the connection."""
        return self._listener.name

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight or queued, and no response waits to be read."""
        return self._current_request is None and not self._queued_requests and not self._write_paused

    @property
    def queue_full(self) -> bool:
        """Whether the request queue is full; then nothing is read, not even the end of stream."""
        return len(self._queued_requests) >= self.MAX_QUEUED_REQUESTS

    @property
    def has_partial_request(self) -> bool:
        """Whether the connection is idle except for a partially received request."""
        return self.is_idle and self._parser.has_partial_message

    @property
    def state(self) -> ConnectionState:
        """Current state, derived from what the connection holds."""
        if self.is_ending:
            return ConnectionState.CLOSING
        if self._write_paused:
            return ConnectionState.RESPONSE_UNREAD
        if self._current_request is not None or self._queued_requests:
            return ConnectionState.SERVING
        if self._memory_waiter is not None:
            return ConnectionState.WAITING_FOR_MEMORY
        if self._progress is not None:
            return ConnectionState.RECEIVING_BODY
        if self._parser.has_partial_message:
            return ConnectionState.READING
        return ConnectionState.FRESH if self.is_fresh else ConnectionState.IDLE

    def enforce_time_limits(self, now_ms: float) -> None:
        """Enforce the limits of the current state; called every `Listener.SWEEP_INTERVAL_MS`."""
        state = self.state
        if state is ConnectionState.SERVING:
            if self.has_disconnected():  # the event loop doesn't notice a disconnect while reading is paused
                self.abort()
        elif state is ConnectionState.RECEIVING_BODY:
            self._check_progress(now_ms)
        elif now_ms - self.state_since_ms > self._time_limit_ms(state):
            self._expire(state)

    def _time_limit_ms(self, state: ConnectionState) -> float:
        match state:
            case ConnectionState.CLOSING:
                return self.LINGER_TIMEOUT_MS
            case ConnectionState.RESPONSE_UNREAD:
                return self.REQUEST_TIMEOUT_MS
            case ConnectionState.WAITING_FOR_MEMORY:
                assert self._body_limits is not None  # only a body's limits make a connection wait for memory
                return self._body_limits.memory_wait_ms
            case ConnectionState.READING:
                return self.FIRST_REQUEST_TIMEOUT_MS if self.is_fresh else self.REQUEST_TIMEOUT_MS
            case ConnectionState.FRESH:
                return self.FIRST_REQUEST_TIMEOUT_MS
            case ConnectionState.IDLE:
                return self.IDLE_TIMEOUT_MS
        return math.inf  # the remaining states have no fixed time limit

    def _expire(self, state: ConnectionState) -> None:
        """Close the connection or reject its request after a state's time limit has passed."""
        match state:
            case ConnectionState.CLOSING | ConnectionState.RESPONSE_UNREAD:
                self.abort()
            case ConnectionState.WAITING_FOR_MEMORY:
                self._respond_with_fault(OUT_OF_MEMORY)
            case ConnectionState.READING:
                self._respond_with_fault(Fault(408, "the request did not come whole in time"))
            case ConnectionState.FRESH | ConnectionState.IDLE:
                self.close_if_idle()  # the connection stays open if a request is in its socket unread

    def _check_progress(self, now_ms: float) -> None:
        reason = self._progress.violation(now_ms) if self._progress is not None else None
        if reason is not None:
            self._respond_with_fault(Fault(408, f"the request did not come fast enough: {reason}"))

    def is_idle_without_unread_input(self) -> bool:
        """Whether the connection is idle and its socket has no unread data or end of stream."""
        return self.is_idle and self._transport is not None and not has_pending_event(self._descriptor)

    # ------------------------------------------------ requests

    def _process_requests(self) -> None:
        """Begin the queued requests, each after the response to its predecessor, then resume reading."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._current_request is None and not self.is_ending and not self._write_paused:
                if self._queued_requests and self.has_disconnected():
                    self.abort()  # no request is begun for a client that has disconnected
                elif self._queued_requests:
                    self._begin_request(self._queued_requests.popleft())
                elif self._parser.fault is not None:
                    self._respond_with_fault(self._parser.fault)
                elif self._reserved_bytes and self._parser.is_openable:
                    self._begin_streamed_request()
                else:
                    break
        finally:
            self._is_processing = False
        self._listener.state_changed(self)
        reading_paused = self._request_flow is not None or self._memory_waiter is not None or self.queue_full
        if self._body_limits is not None and self._parser.is_openable:
            reading_paused = True  # a body is buffered no further until its request is the next to begin
            if self._transport is not None:
                self._transport.pause_reading()
        if self._transport is not None and not self.is_ending and not reading_paused:
            self._transport.resume_reading()

    def _begin_request(self, message: Message) -> None:
        """Hand a request to the request handler; requests for `/ready` are responded to directly."""
        self._current_request = message
        self._continue_sent = False
        try:
            path = message.target.partition(b"?")[0]
            if path == b"/ready":
                self.respond(200 if self._listener.ready else 503, [], b"")
                return
            self._notify_disconnect = _ignore_disconnect
            notify_disconnect = self._listener.request_handler.begin(self, message)
            if self._notify_disconnect is not None:  # the request has no response yet
                self._notify_disconnect = notify_disconnect
        except FramingError as error:
            # No further requests are accepted from a client that has sent an invalid one.
            message.keep_alive = False
            self.respond(error.status, [], error_body(str(error)))

    def _stream_limits(self, message: Message) -> StreamLimits | None:
        return self._listener.request_handler.limits(self, message)

    def _is_next_to_begin(self) -> bool:
        """Whether the request that is being received is the next one to begin."""
        return self._current_request is None and not self._queued_requests and self._parser.fault is None

    def _begin_streamed_request(self) -> None:
        """Begin a request once the first part of its body is buffered; the rest is streamed."""
        message = self._parser.open()
        buffered = message.body
        message.body = b""
        flow = self._open_flow()
        self.is_fresh = False
        message.flow = flow
        self._request_bytes += message.approximate_bytes
        self._update_usage()
        flow.push(buffered)
        self._begin_request(message)

    def _finish_current_request(self) -> Message:
        """End the current request, and return it."""
        message = self._current_request
        if message is None:
            raise AssertionError("response without a current request")
        self._current_request = None
        self._notify_disconnect = None
        # The request handler may have enlarged the head; clamping and resetting `_request_bytes`
        # keeps its error from growing.
        self._request_bytes = (
            max(0, self._request_bytes - message.approximate_bytes) if self._queued_requests else 0
        )
        self.state_since_ms = self._shared.clock.now_ms()
        return message

    def _respond_with_fault(self, fault: Fault) -> None:
        """Respond to a request that can't be completed; that response is the connection's last."""
        self._current_request = Message()
        self._current_request.keep_alive = False
        self.is_fresh = False
        headers = RETRY_AFTER_1_S if fault.status in RETRY_AFTER_STATUSES else []
        self.respond(fault.status, headers, error_body(fault.text))

    def _reject_for_memory(self) -> None:
        """Reject the requests not begun yet, since the memory budget is exceeded; a retry is safe."""
        self._discard_queued()
        self._parser.fail(OUT_OF_MEMORY)
        self._stop_buffering()
        self._update_usage()

    def _discard_queued(self) -> None:
        self._request_bytes -= sum(message.approximate_bytes for message in self._queued_requests)
        self._queued_requests.clear()

    def _discard_received(self, size: int) -> None:
        """Count bytes received on an ending connection; reading stops after `MAX_LINGER_BYTES`."""
        self._discarded_bytes += size
        if self._discarded_bytes > self.MAX_LINGER_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def _on_disconnect(self) -> None:
        self._discard_queued()
        if self._notify_disconnect is not None:
            notify_disconnect = self._notify_disconnect
            self._notify_disconnect = None
            notify_disconnect()

    def _update_usage(self) -> bool:
        """Update the connection's share of the memory budget; return whether the budget allows it."""
        buffered_bytes = max(self._parser.buffered_bytes, self._reserved_bytes) + self._request_bytes
        # While a response is streamed, its flow accounts for the write buffer.
        if self._transport is not None and self._response_flow is None:
            buffered_bytes += self._transport.get_write_buffer_size()
        accounted_before = self._accounted_bytes
        self._accounted_bytes = buffered_bytes
        return self._shared.memory_budget.update_usage(accounted_before, buffered_bytes)

    # ------------------------------------------------ closing

    def close_if_idle(self) -> bool:
        """Close the connection if no request is in flight, queued, partially received, or unread.

        The close is immediate: a request that the client sends later is never read, so the client may safely
        retry the request elsewhere.

        Returns:
            Whether the connection was closed.
        """
        if (
            self.is_ending
            or self.has_unsent_bytes
            or self.has_partial_request
            or not self.is_idle_without_unread_input()
        ):
            return False
        self.is_ending = True
        assert self._transport is not None
        self._transport.close()
        return True

    def abort(self) -> None:
        """Close immediately, discard unsent bytes, and stop waiting for memory."""
        self._stop_buffering()
        super().abort()

    def close_gracefully(self) -> None:
        """Shut down the sending side, and discard further received bytes (RFC 9112 section 9.6).

        A full close with bytes unread would reset the connection, which could discard a response in transit.
        """
        self.is_ending = True
        # The wait for memory ends first, so that memory released below is not granted to this connection.
        self._stop_buffering()
        self._discard_queued()
        self._close_request_flow()
        self._parser.close()
        self._update_usage()
        self.state_since_ms = self._shared.clock.now_ms()
        self._listener.state_changed(self)
        self._shut_down_sending()
