"""Receiving side of a client connection: request bodies are buffered completely, or streamed through a flow.

Requests are begun and responded to by `ClientConnection`. Source: PROTOCOL-sandhatch.md; RFC 9110 section
10.1.1 for 100 (Continue).

A body is received in one of three ways, chosen when the head of its request has been received:

- without limits, the parser buffers the complete body, up to the parser's own limit;
- a body of at most `hold_bytes` is buffered completely too, within the progress limits of its writer;
- for a longer body or one of unknown length, memory for its first part is reserved, then `hold_bytes` of it
  are buffered (a body that proves to be shorter is then complete), and the rest is pushed to a flow as it
  arrives.
"""

from __future__ import annotations

from sandhatch.downstream.client_transport import ClientTransport
from sandhatch.downstream.interfaces import ConnectionResources
from sandhatch.http1.errors import Fault
from sandhatch.http1.events import BodyEnd, Event
from sandhatch.http1.message import Message
from sandhatch.http1.message_parser import NOT_STREAMED
from sandhatch.http1.parser import RequestParser
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.limits import StreamLimits
from sandhatch.streaming.progress import ProgressMonitor
from sandhatch.streaming.socket_writer import READ_BUFFER

# Receive buffer for a body that is buffered completely.
BODY_BUFFER = READ_BUFFER[: 64 * 1024]
# Receive buffer for a head; smaller than for a body, since the bytes after the head may belong to a long body
# for which no memory is reserved yet.
HEAD_BUFFER = READ_BUFFER[: 8 * 1024]


class RequestReceiver(ClientTransport):
    """Receiving side of a client connection; the module's docstring describes how a body is received."""

    def __init__(self, listener: ConnectionResources, max_queued: int) -> None:
        """Create the receiving side of a connection that `listener` has just accepted.

        Args:
            listener: Listener that accepted the connection; its request handler supplies each body's limits.
            max_queued: Number of requests that may be pipelined.
        """
        super().__init__(listener)
        self._shared = listener.shared
        # Time in Unix milliseconds from which the current state's time limit counts.
        self.state_since_ms = listener.shared.clock.now_ms()
        self._accounted_bytes = 0  # bytes that the connection has taken from the memory budget
        self._parser = RequestParser(max_messages=max_queued)
        self._parser.on_head = self._on_head
        self._continue_sent = False  # whether 100 (Continue) was sent for the request being received
        self._body_limits: StreamLimits | None = None  # limits of a body whose first part is buffered
        self._progress: ProgressMonitor | None = None  # progress of a body that is being buffered
        self._request_flow: Flow | None = None  # flow of the current request's body, until its end

    # ------------------------------------------------ implemented by the connection

    def _stream_limits(self, message: Message) -> StreamLimits | None:
        """Return the request handler's limits for the body of a request whose head was received."""
        raise NotImplementedError

    def _process_requests(self) -> None:
        """Begin the queued requests that may begin, and resume reading if possible."""
        raise NotImplementedError

    def _is_next_to_begin(self) -> bool:
        """Whether the request that is being received is the next one to begin."""
        raise NotImplementedError

    def _fail_streamed_request(self, fault: Fault) -> None:
        """End the request and the connection, since the rest of the body can't be parsed."""
        raise NotImplementedError

    # ------------------------------------------------ buffering

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - part of the protocol
        """Return the buffer for the next bytes, limited to the available memory."""
        if self._request_flow is not None:
            return READ_BUFFER[: max(1, self._request_flow.credit_bytes)]
        if self._body_limits is not None:
            return READ_BUFFER[: max(1, self._body_limits.request.hold_bytes - self._parser.body_bytes)]
        return BODY_BUFFER if self._parser.is_in_body else HEAD_BUFFER

    def _on_head(self, message: Message) -> None:
        """Choose how a body is received, once the head of its request was received."""
        limits = self._stream_limits(message)
        if limits is None:
            return
        request_limits = limits.request
        if message.length is not None and message.length <= request_limits.hold_bytes:
            self._parser.stream(NOT_STREAMED, request_limits.hold_bytes)
            self._progress = ProgressMonitor(request_limits.writer)  # same progress limits as for a long body
            self._progress.start_waiting(self._shared.clock.now_ms())
            return
        message.limits = limits
        self._parser.stream(request_limits.hold_bytes, request_limits.max_bytes)
        self._body_limits = limits

    def _track_body(self, received_bytes: int) -> None:
        """Record received bytes of a body that is buffered completely or in its first part."""
        if self._body_limits is not None:
            self._buffer_body(received_bytes, self._shared.clock.now_ms())
        elif self._progress is not None:
            if self._parser.is_in_body:
                self._progress.record_bytes(received_bytes, self._shared.clock.now_ms())
            else:
                self._progress = None  # the body is complete

    def _buffer_body(self, received_bytes: int, now_ms: float) -> None:
        """Buffer the first part of a body, once memory for it has been reserved."""
        limits = self._body_limits
        if limits is None or self._parser.fault is not None or not self._parser.is_in_body:
            self._stop_buffering()  # the body is complete or malformed
            return
        if self._progress is not None:
            self._progress.record_bytes(received_bytes, now_ms)
        elif self._memory_waiter is None and not self._reserved_bytes:
            self.state_since_ms = now_ms
            needed_bytes = self._required_bytes(limits)
            self._memory_waiter = self._shared.memory_budget.reserve(needed_bytes, self._on_memory_granted)
            if self._memory_waiter is None:
                self._start_buffering(limits)
            else:
                self.pause()

    def _on_memory_granted(self) -> None:
        self._memory_waiter = None
        if self._body_limits is None or self._transport is None or self.is_ending:
            raise AssertionError("memory was granted to a connection that was not waiting for it")
        self._start_buffering(self._body_limits)
        self._transport.resume_reading()
        self._send_continue()
        self._process_requests()

    def _start_buffering(self, limits: StreamLimits) -> None:
        self._reserved_bytes = self._required_bytes(limits)
        self._accounted_bytes += self._reserved_bytes
        self._progress = ProgressMonitor(limits.request.writer)
        self._progress.start_waiting(self._shared.clock.now_ms())

    @staticmethod
    def _required_bytes(limits: StreamLimits) -> int:
        """Return the memory for the body's buffered part and the minimum that the response needs.

        With memory for the buffered part and for the response reserved, a request that has begun never waits
        for memory.
        """
        return limits.request.hold_bytes + 2 * Flow.MIN_CREDIT_BYTES

    def _stop_buffering(self) -> None:
        """Release the memory reserved for the buffered part of the body, or stop waiting for that memory."""
        self._cancel_memory_wait()
        self._body_limits = None
        self._progress = None

    def _send_continue(self) -> None:
        """Send 100 (Continue) once the request's body may be received and its turn has come."""
        admitted = self._body_limits is None or self._reserved_bytes > 0
        wanted = self._parser.expects_continue and not self._continue_sent
        if wanted and admitted and self._is_next_to_begin():
            self._continue_sent = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # ------------------------------------------------ streaming

    def _open_flow(self) -> Flow:
        """Open the flow of a body whose first part is buffered; the flow takes over the reserved memory."""
        limits = self._body_limits
        assert limits is not None
        flow = Flow(limits.request, self._shared, self, self._reserved_bytes)
        self._accounted_bytes -= self._reserved_bytes  # the flow accounts for the reserved bytes from now on
        self._stop_buffering()
        self._request_flow = flow
        return flow

    def _stream_to(self, flow: Flow, events: list[Event]) -> list[Event]:
        """Push the body's pieces to its flow; return the events after the body's end."""
        for index, event in enumerate(events):
            if self._request_flow is not flow:
                return []  # the request was responded to or abandoned meanwhile, which closes the connection
            if isinstance(event, BodyEnd):
                self._request_flow = None
                flow.end(event.trailers)
                return events[index + 1 :]
            # For the type checker; always true: events up to the `BodyEnd` of a body are pieces of that body.
            if not isinstance(event, Message):
                flow.push(event)
        fault = self._parser.fault
        if fault is not None and self._request_flow is flow:
            self._fail_streamed_request(fault)
        return []

    def _close_request_flow(self) -> None:
        if self._request_flow is not None:
            flow = self._request_flow
            self._request_flow = None
            flow.close()
