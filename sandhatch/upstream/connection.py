"""One connection to a server, which carries one attempt at a time.

It writes requests, reads answers, and hands long bodies in either direction to a `Flow` as they arrive. It
never chooses a server and never sends a request a second time: an attempt that it cannot carry goes back to
its pool. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".

How an answer is received:

    state       meaning                                          next
    ----------  -----------------------------------------------  ------------------------------------------
    COMPLETE    the answer is read into memory                   the end of the answer: the attempt ends
    BUFFERING   a long answer, which may be streamed, has begun  enough of it and memory for it: STREAMING
    STREAMING   its head has been forwarded, pieces follow       the end of the answer: the attempt ends

`_buffering` is set in the second state, `_streamed_answer` in the third. An answer gets into the second only
if the attempt allows it (`Attempt.terms`) and its body is longer than what is always read complete.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, cast

from sandhatch.http1.body_endpoint import BodyEndpoint
from sandhatch.http1.events import End, Event
from sandhatch.http1.message import Message
from sandhatch.http1.parser import ResponseParser
from sandhatch.http1.serializer import encode_request, encode_request_head
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import SCRATCH, SocketWriter
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.outcomes import outcome_of
from sandhatch.upstream.server import UpstreamServer

if TYPE_CHECKING:
    from sandhatch.upstream.connection_pool import ConnectionPool


class ServerConnection(BodyEndpoint, asyncio.BufferedProtocol):
    """A connection: the sink of a streamed request, and the source of a streamed answer.

    Attributes:
        server: the server that it belongs to.
        address: where it is connected to.
        started_ms: the start of the process that it leads to, as the endpoint list said when it was opened.
        rests: whether the answer before was an attempt's, so that the connection rests (`REST_MS`).
        idle_since_ms: since when it is idle.
    """

    def __init__(self, pool: ConnectionPool, server: UpstreamServer) -> None:
        """Create the protocol of a connection that is not up yet."""
        super().__init__()
        self.ending = False
        self._pool = pool
        self.server = server
        self.address = server.address
        self.started_ms = server.started_ms
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseParser()
        self._attempt: Attempt | None = None  # the attempt that it carries
        # The last byte of the attempt's request: see `ConnectionPool.LAST_BYTE_DELAY_MS`.
        self._withheld = b""
        self._used = False  # it has carried an attempt before
        self._booked_bytes = 0  # in the memory budget that all connections share
        self._probe_body: bytes | None = None  # the body of the answer before, if that was a probe's
        self.rests = False
        self.idle_since_ms = 0.0
        self._poll = select.poll()
        self._streamed_answer: Message | None = None  # the head of the answer that is being streamed
        self._answer_flow: Flow | None = None  # takes the rest of that answer's body
        self._buffering = False  # a long answer is buffered until it is streamed

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the transport."""
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing: so `resume_writing` marks the last byte.
        self._transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def resume_writing(self) -> None:
        """Note that the system has taken all that was written."""
        attempt = self._attempt
        if attempt is None:
            return
        if attempt.flow is not None:
            attempt.flow.drained()
        elif not self._withheld:
            attempt.request_sent = True

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - part of the protocol
        """Provide the buffer of the next read: no larger than what may be buffered or streamed now."""
        if self._answer_flow is not None:
            return SCRATCH[: max(1, self._answer_flow.credit)]
        attempt = self._attempt
        if attempt is not None and attempt.terms is not None:
            if self._buffering:
                return SCRATCH[: max(1, attempt.bytes_before_streaming - self._reader.size)]
            return SCRATCH[: Flow.MIN_CREDIT_BYTES]
        return SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, and act on it."""
        attempt = self._attempt
        if attempt is None:  # there is nothing to answer
            self.abort()
            return
        if self._withheld:
            # The last byte is withheld, so nobody can have answered this request: what arrives is another's
            # answer repeated, and would be forwarded as this one's.
            self._return_attempt(attempt)
            return
        attempt.answer_seen = True
        events = self._reader.feed(SCRATCH[:nbytes])
        if self._streamed_answer is not None:
            self._on_streamed_events(attempt, events)
            return
        fits = self._book(self._reader.buffered_bytes)
        if events:  # no pieces: they come only once an answer is being streamed
            self._on_complete_answers(attempt, cast(list[Message], events))
        elif self._reader.fault is not None or not fits:
            self.abort()
            attempt.connection_failed()
        elif self._buffering:
            self._reserve_memory(attempt)
            if self._reserved_bytes and self._reader.openable:
                self._start_streaming(attempt)

    def eof_received(self) -> None:
        """Give the connection up: half-closed, it brings no further answer, and takes no request."""
        self.abort()
        self._fail_attempt()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of the protocol
        """Release everything that the connection holds."""
        self._pool.on_connection_closed(self)
        self._transport = None
        self._reader.close()
        self._stop_buffering()
        self._fail_attempt()

    def _fail_attempt(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._withheld:
            self._return_attempt(attempt)
        else:
            attempt.connection_failed()

    def _return_attempt(self, attempt: Attempt) -> None:
        """Have the pool send the request on a new connection; on this one, no server had all of it."""
        self._withheld = b""
        self._attempt = None
        attempt.connection = None
        self.abort()
        self._pool.start_on_new_connection(attempt)

    # ------------------------------------------------ an answer that is buffered, then streamed

    def _on_answer_head(self, answer: Message) -> None:
        """Decide whether an answer with a body may be streamed, now that its head has arrived."""
        attempt = self._attempt
        if attempt is None or attempt.terms is None or answer.status != 200:
            return
        terms = attempt.terms.answer
        if answer.length is not None and answer.length <= terms.hold_bytes:
            self._reader.stream(-1, terms.hold_bytes)
            return
        self._reader.stream(attempt.bytes_before_streaming, terms.most_bytes)
        self._buffering = True
        self._pool.after(attempt.terms.answer_hold_ms, partial(self._on_buffered_long, attempt))

    def _on_buffered_long(self, attempt: Attempt) -> None:
        """Stream an answer that has been buffered for long enough, however little of it has arrived."""
        if self._attempt is attempt and self._streamed_answer is None and self._reader.in_body:
            self._reader.stream(0, self._reader.max_body_bytes)
            if self._reserved_bytes and self._reader.openable:
                self._start_streaming(attempt)

    def _reserve_memory(self, attempt: Attempt) -> None:
        """Reserve the memory that a long answer needs, or wait in the queue for it."""
        if self._reserved_bytes or self.waits_for_memory:
            return
        if attempt.flow is not None:
            self._on_reserved(attempt.flow.lease_to_answer())
            return
        needed_bytes = attempt.bytes_before_streaming
        self._memory_waiter = self._pool.memory_budget.reserve(
            needed_bytes, partial(self._on_granted, attempt)
        )
        if self._memory_waiter is None:
            self._on_reserved(needed_bytes)
        else:
            self.pause()

    def _on_granted(self, attempt: Attempt) -> None:
        """Go on with an answer that waited in the queue for memory."""
        self._memory_waiter = None
        self._on_reserved(attempt.bytes_before_streaming)
        self.resume()
        if self._reader.openable:
            self._start_streaming(attempt)

    def _on_reserved(self, reserved_bytes: int) -> None:
        self._reserved_bytes = reserved_bytes
        self._booked_bytes += reserved_bytes
        self._book(self._reader.buffered_bytes)

    def _start_streaming(self, attempt: Attempt) -> None:
        """Forward the head of the answer; the memory reserved for its body becomes the flow's."""
        answer = self._streamed_answer = self._reader.open()
        buffered_body = answer.body
        answer.body = b""
        reserved_bytes = self._reserved_bytes
        flow = attempt.start_answer(answer, reserved_bytes)
        if flow is None:
            self._book(0)
            attempt.end(outcome_of(answer), answer)
            return
        self._booked_bytes -= reserved_bytes
        self._reserved_bytes = 0
        self._buffering = False
        if self._attempt is attempt and not flow.closed:
            self._book(0)
            self._answer_flow = flow
            flow.push(buffered_body)

    def _on_streamed_events(self, attempt: Attempt, events: Sequence[Event]) -> None:
        """Push the pieces of a streamed answer."""
        flow = self._answer_flow
        last_index = len(events) - 1
        for index, event in enumerate(events):
            if flow is None or self._answer_flow is not flow:
                return  # aborted meanwhile
            if isinstance(event, End):
                self._on_streamed_end(attempt, flow, event, nothing_follows=index == last_index)
                return
            if not isinstance(event, Message):
                flow.push(event)
        if self._reader.fault is not None and self._attempt is attempt:
            self.abort()
            attempt.connection_failed()

    def _on_streamed_end(self, attempt: Attempt, flow: Flow, end: End, nothing_follows: bool) -> None:
        """Complete a streamed answer."""
        answer = self._streamed_answer
        assert answer is not None  # its head came before its end
        self._streamed_answer = None
        self._answer_flow = None
        self._attempt = None
        reusable = self._is_reusable(attempt, nothing_follows)
        if attempt.flow is not None:
            attempt.flow.detach(self)
        self._socket_writer = None
        self._probe_body = None
        flow.end(end.trailers)
        self.resume()  # the flow may have paused it at the last piece
        self._end_attempt(attempt, answer, reusable)

    # ------------------------------------------------ complete answers

    @property
    def waits_for_memory(self) -> bool:
        """Whether an answer waits in the queue for memory."""
        return self._memory_waiter is not None

    def _on_complete_answers(self, attempt: Attempt, answers: list[Message]) -> None:
        """End the attempt with the first of the answers."""
        answer = answers[0]
        if self._buffering:  # it was complete before it was streamed
            self._stop_buffering()
        reusable = self._is_reusable(attempt, nothing_follows=len(answers) == 1)
        if attempt.flow is not None:
            attempt.flow.detach(self)
        self._attempt = None
        self._socket_writer = None
        probe_body = self._probe_body
        self._probe_body = answer.body if attempt.probe else None
        if probe_body and not attempt.probe and answer.body == probe_body and probe_body.strip():
            # The probe's answer repeated, after this request was written: its own answer is still to come.
            self.abort()
            attempt.connection = None
            attempt.connection_failed()
            return
        self._end_attempt(attempt, answer, reusable)

    def _is_reusable(self, attempt: Attempt, nothing_follows: bool) -> bool:
        """Return whether the connection can carry another request after this answer.

        A complete answer counts whatever follows it, but then its connection is of no further use. Nor is one
        whose answer was complete before its request was.
        """
        reader = self._reader
        request_complete = attempt.request_sent and (attempt.flow is None or attempt.flow.done)
        return (
            request_complete and nothing_follows and reader.fault is None and not reader.has_partial_message
        )

    def _end_attempt(self, attempt: Attempt, answer: Message, reusable: bool) -> None:
        """End the attempt with its answer, and pool the connection if it can be used again."""
        attempt.connection = None
        if reusable and answer.keep_alive:
            self.rests = not attempt.probe
            self._pool.put(self)
        else:
            self.abort()
        attempt.end(outcome_of(answer), answer)

    def _book(self, buffered_bytes: int) -> bool:
        """Book what is buffered, or what is reserved if that is more; return whether it fits the budget."""
        booked_bytes = max(buffered_bytes, self._reserved_bytes)
        fits = self._pool.memory_budget.book(self._booked_bytes, booked_bytes)
        self._booked_bytes = booked_bytes
        return fits

    def _stop_buffering(self) -> None:
        """Release the memory reserved for an answer, or stop waiting for it."""
        self._cancel_memory_wait()
        self._buffering = False
        self._book(self._reader.buffered_bytes)

    # ------------------------------------------------ called by the pool and by attempts

    def send(self, attempt: Attempt, request: Message) -> None:
        """Write the request of an attempt.

        On a connection that was used before, its last byte follows `ConnectionPool.LAST_BYTE_DELAY_MS`
        later. A streamed body has no last byte that could wait, so it is never sent on such a connection.
        """
        assert self._transport is not None
        self._attempt = attempt
        if attempt.terms is not None:
            self._reader.on_head = self._on_answer_head
        if attempt.flow is not None:
            self._send_streamed(attempt, attempt.flow, request)
            return
        payload = encode_request(request.method, request.target, request.headers, request.body)
        if self._used:
            self._withheld = payload[-1:]
            self._pool.later(lambda: self._send_withheld(attempt))
            payload = payload[:-1]
        self._used = True
        self._write(payload)

    def _send_streamed(self, attempt: Attempt, flow: Flow, request: Message) -> None:
        assert self._transport is not None
        assert not self._used
        self._used = True
        self._socket_writer = SocketWriter(self._transport)
        self._chunked = request.length is None
        attempt.request_sent = True  # from here on it may have run, whatever the server has of it
        head = encode_request_head(request.method, request.target, request.headers, request.length)
        self._socket_writer.write((head,))
        flow.attach(self)

    def _send_withheld(self, attempt: Attempt) -> None:
        """Write the last byte of a request, if the attempt and the connection are still good."""
        if self._attempt is not attempt or not self._withheld or not attempt.may_be_written():
            return
        if not self.usable():
            # Its end is there and not yet read: timers run before what waits to be read.
            self._return_attempt(attempt)
            return
        last_byte = self._withheld
        self._withheld = b""
        self._write(last_byte)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        assert self._attempt is not None
        self._transport.write(data)
        if not self._withheld and self._transport.get_write_buffer_size() == 0:
            self._attempt.request_sent = True

    def release(self, attempt: Attempt) -> None:
        """Cancel an attempt that has ended without an answer, by closing the connection."""
        if self._attempt is attempt:
            self._attempt = None
            self._streamed_answer = None
            self._answer_flow = None
            self._withheld = b""
            self._stop_buffering()
            self.abort()
            if attempt.flow is not None:
                attempt.flow.detach(self)
            self._socket_writer = None

    def usable(self) -> bool:
        """Return whether it is up, with neither an end nor unread bytes waiting in the system."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll.poll(0)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def migrate(self, pool: ConnectionPool, server: UpstreamServer) -> None:
        """Migrate it to another pool, while it carries no attempt."""
        self._pool = pool
        self.server = server
