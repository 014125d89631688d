"""One client's connection: requests in, exactly one answer to each out, in their order.

It parses, bounds and times what the client sends, and decides nothing about where a request goes: that is
the request handler's. Its states and their limits are the table in `connection_state`. Source:
PROTOCOL-sandhatch.md.

It stands on three layers, each with one job: `ClientTransport` (the socket), `RequestReceiver` (bodies,
buffered or streamed) and `ResponseSender`. This one queues requests that the client sends ahead (pipelining),
a few at most, begins each after the answer to the one before, and enforces the limits of its states.
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
from sandhatch.streaming.socket_writer import SCRATCH
from sandhatch.streaming.terms import StreamTerms

OUT_OF_MEMORY = Fault(503, "out of memory for requests")
# Statuses that say when the client may come back.
RETRY_AFTER_STATUSES = (429, 503)
RETRY_AFTER_1_S: Headers = [(b"Retry-After", b"1")]


def _ignore_disconnect(status: int = 0) -> None:
    """The client has disconnected before the handler has said whom to notify."""


class ClientConnection(ResponseSender, asyncio.BufferedProtocol):
    """One client connection; see the head of the module."""

    MAX_QUEUED_REQUESTS = 4
    FIRST_REQUEST_MS = 2_000.0  # from the accept, for the first request to be complete
    REQUEST_MS = 2_000.0  # from its first byte, for a later request; and for an answer to be read
    IDLE_MS = 60_000.0  # between two requests
    LINGER_MS = 1_000.0  # for the client to read the last answer, before a reset could discard it
    LINGER_BYTES = 256 * 1024  # read and discarded meanwhile; then reading stops

    def __init__(self, listener: ConnectionOwner) -> None:
        """Make the protocol of a connection that `listener` has just accepted."""
        super().__init__(listener, max_queued=self.MAX_QUEUED_REQUESTS)
        self.fresh = True  # no request was complete yet, and none was answered
        self._discarded_bytes = 0  # received since it is ending
        self._waiting: deque[Message] = deque()  # received, and not begun
        self._processing = False  # `_process_requests` is running
        self._request_bytes = 0  # of the queued requests and the current one

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, unless the connection was evicted while it was being set up."""
        # uvloop's transports are no subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self.ending:
            self._transport.abort()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, queue the requests in it, and stream the part of a body that is in it."""
        if self.ending:
            self._discard_received(nbytes)
            return
        had_partial_request = self._reader.has_partial_message
        events = self._reader.feed(SCRATCH[:nbytes])
        if self._request_flow is not None:
            events = self._stream_to(self._request_flow, events)
            if self.ending:
                return
        if events:
            # The pieces and the end of a streamed body were taken out above: what is left are messages.
            requests = cast(list[Message], events)
            self.fresh = False
            self._waiting.extend(requests)
            self._request_bytes += sum(request.size for request in requests)
        if not self.fresh and (events or not had_partial_request) and self.has_partial_request:
            self.since_ms = self._shared.clock.now_ms()  # of its first byte: later ones don't renew it
        if self._body_terms is not None or self._progress is not None:
            self._track_body(nbytes)
        if not self._update_usage():
            self._reject_for_memory()
        if self.queue_full and self._transport is not None:
            self._transport.pause_reading()  # bounds a client that sends and never reads
            self._listener.watch_disconnect(self)
        if self._reader.expects_continue:
            self._send_continue()
        self._process_requests()

    def eof_received(self) -> bool:
        """Returns whether the connection stays open after the client has shut down its sending side."""
        if self._listener.half_close and self._current is not None and self._request_flow is None:
            self._current.keep_alive = False  # the client sends no more, and still reads
            self._discard_queued()
            return True
        self._on_disconnect()
        self._close_request_flow()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of the protocol
        """Notify the handler, and release everything that the connection holds."""
        self._transport = None
        self.ending = True
        self._stop_buffering()  # first: what is released below must not be granted to this connection
        self._on_disconnect()
        self._close_request_flow()
        self._response_flow = None
        self._socket_writer = None
        self._reader.close()
        self._current = None
        self._request_bytes = 0
        self._update_usage()
        self._listener.on_connection_closed(self)

    # ------------------------------------------------ state and time limits

    @property
    def listener_name(self) -> str:
        """Name of the listener that accepted it."""
        return self._listener.name

    @property
    def idle(self) -> bool:
        """Whether no request is in flight or queued and all answers were read."""
        return self._current is None and not self._waiting and not self._write_paused

    @property
    def queue_full(self) -> bool:
        """Whether the queue is full, so that nothing is read, the client's end included."""
        return len(self._waiting) >= self.MAX_QUEUED_REQUESTS

    @property
    def has_partial_request(self) -> bool:
        """Whether it is idle but for a request that was received in part."""
        return self.idle and self._reader.has_partial_message

    @property
    def state(self) -> ConnectionState:
        """What the connection is waiting for."""
        if self.ending:
            return ConnectionState.CLOSING
        if self._write_paused:
            return ConnectionState.RESPONSE_UNREAD
        if self._current is not None or self._waiting:
            return ConnectionState.SERVING
        if self._memory_waiter is not None:
            return ConnectionState.WAITING_FOR_MEMORY
        if self._progress is not None:
            return ConnectionState.RECEIVING_BODY
        if self._reader.has_partial_message:
            return ConnectionState.READING
        return ConnectionState.FRESH if self.fresh else ConnectionState.IDLE

    def check(self, now_ms: float) -> None:
        """Enforce the limits of the present state; called every `Listener.SWEEP_MS`."""
        state = self.state
        if state is ConnectionState.SERVING:
            if self.has_disconnected():  # not noticed by the event loop while reading is paused
                self.abort()
        elif state is ConnectionState.RECEIVING_BODY:
            self._check_progress(now_ms)
        elif now_ms - self.since_ms > self._time_limit_ms(state):
            self._expire(state)

    def _time_limit_ms(self, state: ConnectionState) -> float:
        match state:
            case ConnectionState.CLOSING:
                return self.LINGER_MS
            case ConnectionState.RESPONSE_UNREAD:
                return self.REQUEST_MS
            case ConnectionState.WAITING_FOR_MEMORY:
                assert self._body_terms is not None  # what the memory is for
                return self._body_terms.memory_wait_ms
            case ConnectionState.READING:
                return self.FIRST_REQUEST_MS if self.fresh else self.REQUEST_MS
            case ConnectionState.FRESH:
                return self.FIRST_REQUEST_MS
            case ConnectionState.IDLE:
                return self.IDLE_MS
        return math.inf  # the others are not limited by a time

    def _expire(self, state: ConnectionState) -> None:
        """End a state that has lasted longer than its limit."""
        match state:
            case ConnectionState.CLOSING | ConnectionState.RESPONSE_UNREAD:
                self.abort()
            case ConnectionState.WAITING_FOR_MEMORY:
                self._respond_to_fault(OUT_OF_MEMORY)
            case ConnectionState.READING:
                self._respond_to_fault(Fault(408, "the request did not come whole in time"))
            case ConnectionState.FRESH | ConnectionState.IDLE:
                self.close_if_quiet()  # one with a request unread stays: the event loop will read it

    def _check_progress(self, now_ms: float) -> None:
        reason = self._progress.violation(now_ms) if self._progress is not None else None
        if reason is not None:
            self._respond_to_fault(Fault(408, f"the request did not come fast enough: {reason}"))

    def is_quiet(self) -> bool:
        """Whether it is idle and nothing waits unread in the system."""
        return self.idle and self._transport is not None and not has_pending_event(self._descriptor)

    # ------------------------------------------------ requests

    def _process_requests(self) -> None:
        """Begin the queued requests, each after the answer to the one before, then go on reading."""
        if self._processing:
            return
        self._processing = True
        try:
            while self._current is None and not self.ending and not self._write_paused:
                if self._waiting and self.has_disconnected():
                    self.abort()  # nothing is begun for a client that has disconnected
                elif self._waiting:
                    self._begin(self._waiting.popleft())
                elif self._reader.fault is not None:
                    self._respond_to_fault(self._reader.fault)
                elif self._reserved_bytes and self._reader.openable:
                    self._begin_streamed_request()
                else:
                    break
        finally:
            self._processing = False
        self._listener.state_changed(self)
        reading_paused = self._request_flow is not None or self._memory_waiter is not None or self.queue_full
        if self._body_terms is not None and self._reader.openable:
            reading_paused = True  # its turn has not come; no more of it is buffered until then
            if self._transport is not None:
                self._transport.pause_reading()
        if self._transport is not None and not self.ending and not reading_paused:
            self._transport.resume_reading()

    def _begin(self, message: Message) -> None:
        """Hand a request to the handler, or answer `/ready`."""
        self._current = message
        self._continue_sent = False
        try:
            path = message.target.partition(b"?")[0]
            if path == b"/ready":
                self.respond(200 if self._listener.ready else 503, [], b"")
                return
            self._notify_disconnect = _ignore_disconnect
            notify_disconnect = self._listener.request_handler.begin(self, message)
            if self._notify_disconnect is not None:  # not answered yet
                self._notify_disconnect = notify_disconnect
        except FramingError as error:
            message.keep_alive = False  # no further request is wanted from a client that sends such ones
            self.respond(error.status, [], error_body(str(error)))

    def _terms_of(self, message: Message) -> StreamTerms | None:
        return self._listener.request_handler.terms(self, message)

    def _is_next_to_begin(self) -> bool:
        """Whether the request that is being received is the next to begin."""
        return self._current is None and not self._waiting and self._reader.fault is None

    def _begin_streamed_request(self) -> None:
        """Begin a request whose body has been buffered far enough; the rest of the body follows."""
        message = self._reader.open()
        buffered = message.body
        message.body = b""
        flow = self._open_flow()
        self.fresh = False
        message.flow = flow
        self._request_bytes += message.size
        self._update_usage()
        flow.push(buffered)
        self._begin(message)

    def _take_current(self) -> Message:
        """Ends the current request, and returns it."""
        message = self._current
        if message is None:
            raise AssertionError("an answer to no request")
        self._current = None
        self._notify_disconnect = None
        # The handler may have added to its head: keeps the sum from drifting.
        self._request_bytes = max(0, self._request_bytes - message.size) if self._waiting else 0
        self.since_ms = self._shared.clock.now_ms()
        return message

    def _respond_to_fault(self, fault: Fault) -> None:
        """Answer to a request that can't be completed; the connection's last answer."""
        self._current = Message()
        self._current.keep_alive = False
        self.fresh = False
        headers = RETRY_AFTER_1_S if fault.status in RETRY_AFTER_STATUSES else []
        self.respond(fault.status, headers, error_body(fault.text))

    def _reject_for_memory(self) -> None:
        """Reject what was not begun: the memory limit is reached. The client may retry it elsewhere."""
        self._discard_queued()
        self._reader.fail(OUT_OF_MEMORY)
        self._stop_buffering()
        self._update_usage()

    def _discard_queued(self) -> None:
        self._request_bytes -= sum(message.size for message in self._waiting)
        self._waiting.clear()

    def _discard_received(self, size: int) -> None:
        """Count bytes that were received on an ending connection."""
        self._discarded_bytes += size
        if self._discarded_bytes > self.LINGER_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def _on_disconnect(self) -> None:
        self._discard_queued()
        if self._notify_disconnect is not None:
            notify_disconnect = self._notify_disconnect
            self._notify_disconnect = None
            notify_disconnect()

    def _update_usage(self) -> bool:
        """Book what it holds of the memory budget now; whether the budget allows that much."""
        buffered_bytes = max(self._reader.buffered_bytes, self._reserved_bytes) + self._request_bytes
        if self._transport is not None and self._response_flow is None:  # else the flow books it
            buffered_bytes += self._transport.get_write_buffer_size()
        accounted_before = self._accounted_bytes
        self._accounted_bytes = buffered_bytes
        return self._shared.memory_budget.update_usage(accounted_before, buffered_bytes)

    # ------------------------------------------------ closing

    def close_if_quiet(self) -> bool:
        """Close it if no request is in flight on it, queued, in part received, or unread.

        It is closed at once: what the client sends after that is never read, so that it may retry elsewhere.

        Returns:
            Whether it was closed.
        """
        if self.ending or self.undelivered or self.has_partial_request or not self.is_quiet():
            return False
        self.ending = True
        assert self._transport is not None
        self._transport.close()
        return True

    def abort(self) -> None:
        """Close it at once, and discard what the system has not taken; it waits for no memory any more."""
        self._stop_buffering()
        super().abort()

    def close_gracefully(self) -> None:
        """Shut down the sending side, and discard what is still received (RFC 9112 section 9.6).

        A close with bytes unread would reset the connection, and could discard the answer on its way.
        """
        self.ending = True
        self._stop_buffering()  # first: what is released below must not be granted to this connection
        self._discard_queued()
        self._close_request_flow()
        self._reader.close()
        self._update_usage()
        self.since_ms = self._shared.clock.now_ms()
        self._listener.state_changed(self)
        self._shut_down_sending()
