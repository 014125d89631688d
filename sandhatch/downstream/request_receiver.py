"""How a client connection receives a request's body: buffered completely, or streamed through a flow.

It never begins a request and never answers one: `ClientConnection` does. Source:
PROTOCOL-sandhatch.md; RFC 9110 section 10.1.1 for 100 (Continue).

A body takes one of three ways, chosen when the head of its request was received:

- no terms: the parser buffers it completely, within its own limit;
- at most `hold_bytes` long: the same, within the time that the terms' writer limits allow;
- longer, or of unknown length: memory for its first part is reserved, then `hold_bytes` of it are buffered
  (a body that turns out to be shorter is complete then), and the rest is pushed to a flow as it arrives.
"""

from __future__ import annotations

from sandhatch.downstream.client_transport import ClientTransport
from sandhatch.downstream.interfaces import ConnectionOwner
from sandhatch.http1.errors import Fault
from sandhatch.http1.events import End, Event
from sandhatch.http1.message import Message
from sandhatch.http1.message_parser import NEVER
from sandhatch.http1.parser import RequestParser
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.progress import ProgressMonitor
from sandhatch.streaming.socket_writer import SCRATCH
from sandhatch.streaming.terms import StreamTerms

# Where a body that is buffered completely is read into.
BODY_BUFFER = SCRATCH[: 64 * 1024]
# Less than for a body: behind the head a long body may begin, for which no memory is reserved yet.
HEAD_BUFFER = SCRATCH[: 8 * 1024]


class RequestReceiver(ClientTransport):
    """The receiving side of a client connection; see the head of the module."""

    def __init__(self, listener: ConnectionOwner, max_queued: int) -> None:
        """Make the receiving side of a connection that `listener` has just accepted.

        Args:
            listener: Accepted it; its handler gives the terms of each body.
            max_queued: Requests that may be received ahead.
        """
        super().__init__(listener)
        self._shared = listener.shared
        self.since_ms = listener.shared.clock.now_ms()  # from when the time of its state counts
        self._accounted_bytes = 0  # of the memory budget, as last booked
        self._reader = RequestParser(max_messages=max_queued)
        self._reader.on_head = self._on_head
        self._continue_sent = False  # for the request that is being received
        self._body_terms: StreamTerms | None = None  # of a body whose first part is being buffered
        self._progress: ProgressMonitor | None = None  # of a body that is being buffered
        self._request_flow: Flow | None = None  # of the current request, until its body has ended

    # ------------------------------------------------ implemented by the connection

    def _terms_of(self, message: Message) -> StreamTerms | None:
        """Returns the request handler's terms for a body, of which the head has been received."""
        raise NotImplementedError

    def _process_requests(self) -> None:
        """Begin what may begin, and go on reading where that is possible."""
        raise NotImplementedError

    def _is_next_to_begin(self) -> bool:
        """Whether the request that is being received is the next to begin."""
        raise NotImplementedError

    def _fail_streamed_request(self, fault: Fault) -> None:
        """End the request and the connection: the rest of the body can't be parsed."""
        raise NotImplementedError

    # ------------------------------------------------ buffering

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - part of the protocol
        """Returns where the next bytes go, no more than there is memory for."""
        if self._request_flow is not None:
            return SCRATCH[: max(1, self._request_flow.credit)]
        if self._body_terms is not None:
            return SCRATCH[: max(1, self._body_terms.request.hold_bytes - self._reader.size)]
        return BODY_BUFFER if self._reader.in_body else HEAD_BUFFER

    def _on_head(self, message: Message) -> None:
        """Decide how a body is received, now that the head of its request was."""
        terms = self._terms_of(message)
        if terms is None:
            return
        limits = terms.request
        if message.length is not None and message.length <= limits.hold_bytes:
            self._reader.stream(NEVER, limits.hold_bytes)
            self._progress = ProgressMonitor(limits.writer)  # the same patience as with a long body
            self._progress.start_waiting(self._shared.clock.now_ms())
            return
        message.terms = terms
        self._reader.stream(limits.hold_bytes, limits.max_bytes)
        self._body_terms = terms

    def _track_body(self, received_bytes: int) -> None:
        """Account for bytes of a body that is buffered, or of which the first part is."""
        if self._body_terms is not None:
            self._buffer_body(received_bytes, self._shared.clock.now_ms())
        elif self._progress is not None:
            if self._reader.in_body:
                self._progress.record_bytes(received_bytes, self._shared.clock.now_ms())
            else:
                self._progress = None  # the body is complete

    def _buffer_body(self, received_bytes: int, now_ms: float) -> None:
        """Buffer the first part of a body, after the memory for it was reserved."""
        terms = self._body_terms
        if terms is None or self._reader.fault is not None or not self._reader.in_body:
            self._stop_buffering()  # the body is complete, or malformed
            return
        if self._progress is not None:
            self._progress.record_bytes(received_bytes, now_ms)
        elif self._memory_waiter is None and not self._reserved_bytes:
            self.since_ms = now_ms
            needed_bytes = self._needed_bytes(terms)
            self._memory_waiter = self._shared.memory_budget.reserve(needed_bytes, self._on_memory_granted)
            if self._memory_waiter is None:
                self._start_buffering(terms)
            else:
                self.pause()

    def _on_memory_granted(self) -> None:
        self._memory_waiter = None
        if self._body_terms is None or self._transport is None or self.ending:
            raise AssertionError("memory was granted to a request that does not wait for it")
        self._start_buffering(self._body_terms)
        self._transport.resume_reading()
        self._send_continue()
        self._process_requests()

    def _start_buffering(self, terms: StreamTerms) -> None:
        self._reserved_bytes = self._needed_bytes(terms)
        self._accounted_bytes += self._reserved_bytes
        self._progress = ProgressMonitor(terms.request.writer)
        self._progress.start_waiting(self._shared.clock.now_ms())

    @staticmethod
    def _needed_bytes(terms: StreamTerms) -> int:
        """Memory for the body's buffered part and the least that its answer needs.

        With both reserved, a request that has begun never waits for memory.
        """
        return terms.request.hold_bytes + 2 * Flow.MIN_CREDIT_BYTES

    def _stop_buffering(self) -> None:
        """Release the buffered part's reservation, or stop waiting for it."""
        self._cancel_memory_wait()
        self._body_terms = None
        self._progress = None

    def _send_continue(self) -> None:
        """Send 100 (Continue) once the request's body may be received and its turn has come."""
        admitted = self._body_terms is None or self._reserved_bytes > 0
        wanted = self._reader.expects_continue and not self._continue_sent
        if wanted and admitted and self._is_next_to_begin():
            self._continue_sent = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # ------------------------------------------------ streaming

    def _open_flow(self) -> Flow:
        """Opens the flow of a body that was buffered far enough, and hands the reserved memory to it."""
        terms = self._body_terms
        assert terms is not None
        flow = Flow(terms.request, self._shared, self, self._reserved_bytes)
        self._accounted_bytes -= self._reserved_bytes  # the flow's from here on
        self._stop_buffering()
        self._request_flow = flow
        return flow

    def _stream_to(self, flow: Flow, events: list[Event]) -> list[Event]:
        """Push the body's pieces to its flow; returns the events behind the body's end."""
        for index, event in enumerate(events):
            if self._request_flow is not flow:
                return []  # answered or abandoned meanwhile, and this connection with it
            if isinstance(event, End):
                self._request_flow = None
                flow.end(event.trailers)
                return events[index + 1 :]
            if not isinstance(event, Message):  # nor is it: before the end come only pieces
                flow.push(event)
        fault = self._reader.fault
        if fault is not None and self._request_flow is flow:
            self._fail_streamed_request(fault)
        return []

    def _close_request_flow(self) -> None:
        if self._request_flow is not None:
            flow = self._request_flow
            self._request_flow = None
            flow.close()
