"""How a connection to a server receives an answer: read into memory, or streamed through a flow.

It writes no requests, keeps no idle connections and decides nothing about a retry. Source:
PROTOCOL-sandhatch.md, "Balancers to upstreams"; docs/operators/bodies.md for the limits of streamed answers.

    state      meaning                                       next
    ---------  --------------------------------------------  -----------------------------------------------
    READING    the answer is read into memory                a long answer has begun: BUFFERING
                                                             its end: the attempt ends
    BUFFERING  the first part of a long answer is read, and  enough of it, and memory for it: STREAMING
               memory for its body is reserved               its end: READING, and the attempt ends
    STREAMING  its head was forwarded, pieces of its body    its end: READING, and the attempt ends
               are pushed to a flow as they arrive

An answer gets into BUFFERING only if the attempt allows it (`Attempt.terms`) and its body is longer than what
is always read completely. An attempt that ends without its answer takes its connection with it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from sandhatch.http1.body_endpoint import BodyEndpoint
from sandhatch.http1.events import End, Event
from sandhatch.http1.message import Message
from sandhatch.http1.message_parser import NEVER
from sandhatch.http1.parser import ResponseParser
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import SCRATCH
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.outcomes import outcome_of

if TYPE_CHECKING:
    from sandhatch.upstream.connection_pool import ConnectionPool


class ResponseState(Enum):
    """How the present answer is received; see the table at the head of the module."""

    READING = "reading"
    BUFFERING = "buffering"
    STREAMING = "streaming"


# Compared with every read: Python 3.11 finds a member by its class ten times slower than by such a name.
READING = ResponseState.READING
BUFFERING = ResponseState.BUFFERING
STREAMING = ResponseState.STREAMING


class ResponseReceiver(BodyEndpoint):
    """The receiving side of a connection to a server: the source of a streamed answer."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Create the receiving side of a connection that is not up yet.

        Args:
            pool: the pool that opens the connection.
        """
        super().__init__()
        self.ending = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseParser()
        self._attempt: Attempt | None = None  # the attempt that the connection carries
        self._response_state = READING
        self._accounted_bytes = 0  # in the memory budget that all connections share
        self._streamed_response: Message | None = None  # the head of the answer that is being streamed
        self._response_flow: Flow | None = None  # takes the rest of that answer's body

    # ------------------------------------------------ implemented by the connection

    def abort(self) -> None:
        """Close the connection at once."""
        raise NotImplementedError

    def _end_attempt(self, attempt: Attempt, response: Message, reusable: bool) -> None:
        """End the attempt with its answer, and pool the connection if it can be used again."""
        raise NotImplementedError

    # ------------------------------------------------ reading

    @property
    def waits_for_memory(self) -> bool:
        """Whether an answer waits in the queue for memory."""
        return self._memory_waiter is not None

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - part of the protocol
        """Provide the buffer of the next read: no larger than what may be buffered or streamed now."""
        if self._response_flow is not None:
            return SCRATCH[: max(1, self._response_flow.credit)]
        attempt = self._attempt
        if attempt is not None and attempt.terms is not None:
            if self._response_state is BUFFERING:
                return SCRATCH[: max(1, attempt.bytes_before_streaming - self._reader.size)]
            return SCRATCH[: Flow.MIN_CREDIT_BYTES]
        return SCRATCH

    def _on_response_head(self, response: Message) -> None:
        """Decide whether an answer with a body may be streamed, now that its head has arrived."""
        attempt = self._attempt
        if attempt is None or attempt.terms is None or response.status != 200:
            return
        if self._response_state is STREAMING:
            return  # it follows the answer that is being streamed, and nobody has asked for it
        terms = attempt.terms.response
        if response.length is not None and response.length <= terms.hold_bytes:
            self._reader.stream(NEVER, terms.hold_bytes)
            return
        self._reader.stream(attempt.bytes_before_streaming, terms.max_bytes)
        self._response_state = BUFFERING
        self._pool.clock.call_after(attempt.terms.response_hold_ms, partial(self._on_hold_expired, attempt))

    # ------------------------------------------------ buffering

    def _on_hold_expired(self, attempt: Attempt) -> None:
        """Stream an answer that has been buffered for long enough, however little of it has arrived."""
        if self._attempt is attempt and self._response_state is not STREAMING and self._reader.in_body:
            self._reader.stream(0, self._reader.max_body_bytes)
            if self._reserved_bytes and self._reader.openable:
                self._start_streaming(attempt)

    def _reserve_memory(self, attempt: Attempt) -> None:
        """Reserve the memory that a long answer needs, or wait in the queue for it."""
        if self._reserved_bytes or self._memory_waiter is not None:
            return
        if attempt.flow is not None:
            self._on_reserved(attempt.flow.lease_to_response())
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
        self._accounted_bytes += reserved_bytes
        self._update_usage(self._reader.buffered_bytes)

    def _update_usage(self, buffered_bytes: int) -> bool:
        """Book what is buffered, or what is reserved if that is more; return whether it fits the budget."""
        accounted_bytes = max(buffered_bytes, self._reserved_bytes)
        fits = self._pool.memory_budget.update_usage(self._accounted_bytes, accounted_bytes)
        self._accounted_bytes = accounted_bytes
        return fits

    def _stop_receiving(self) -> None:
        """Release the memory reserved for an answer, or stop waiting for it, and expect another answer."""
        self._response_state = READING
        self._streamed_response = None
        self._response_flow = None
        self._cancel_memory_wait()
        self._update_usage(self._reader.buffered_bytes)

    # ------------------------------------------------ streaming

    def _start_streaming(self, attempt: Attempt) -> None:
        """Forward the head of the answer; the memory reserved for its body becomes the flow's."""
        self._response_state = STREAMING
        response = self._streamed_response = self._reader.open()
        buffered_body = response.body
        response.body = b""
        reserved_bytes = self._reserved_bytes
        flow = attempt.start_response(response, reserved_bytes)
        if flow is None:
            self._update_usage(0)
            attempt.end(outcome_of(response), response)
            return
        self._accounted_bytes -= reserved_bytes
        self._reserved_bytes = 0
        if self._attempt is attempt and not flow.closed:
            self._update_usage(0)
            self._response_flow = flow
            flow.push(buffered_body)

    def _on_streamed_events(self, attempt: Attempt, events: Sequence[Event]) -> None:
        """Push the pieces of a streamed answer."""
        flow = self._response_flow
        last_index = len(events) - 1
        for index, event in enumerate(events):
            if flow is None or self._response_flow is not flow:
                return  # aborted meanwhile
            if isinstance(event, End):
                self._on_streamed_end(attempt, flow, event, nothing_follows=index == last_index)
                return
            if not isinstance(event, Message):  # nor is it: before the end come only pieces
                flow.push(event)
        if self._reader.fault is not None and self._attempt is attempt:
            self.abort()
            attempt.connection_failed()

    def _on_streamed_end(self, attempt: Attempt, flow: Flow, end: End, nothing_follows: bool) -> None:
        """Complete a streamed answer."""
        response = self._streamed_response
        assert response is not None  # its head came before its end
        self._response_state = READING
        self._streamed_response = None
        self._response_flow = None
        reusable = self._detach_attempt(attempt, nothing_follows)
        flow.end(end.trailers)
        self.resume()  # the flow may have paused it at the last piece
        self._end_attempt(attempt, response, reusable)

    def _detach_attempt(self, attempt: Attempt, nothing_follows: bool) -> bool:
        """Carry an attempt no longer, whose answer is complete.

        A complete answer counts whatever follows it, but then its connection is of no further use. Nor is one
        whose answer was complete before its request was.

        Returns:
            Whether the connection can carry another attempt.
        """
        reader = self._reader
        request_complete = attempt.request_sent and (attempt.flow is None or attempt.flow.sent)
        self._attempt = None
        self._socket_writer = None
        if attempt.flow is not None:
            attempt.flow.detach(self)
        return (
            request_complete and nothing_follows and reader.fault is None and not reader.has_partial_message
        )
