"""The receiving side of a connection to a server: a response is read into memory, or streamed to a flow.

Requests are written by `ServerConnection`, idle connections are cached by `ConnectionPool`, and retries are
decided by `sandhatch.balancing`. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams";
docs/operators/bodies.md for the limits of streamed responses.

    state      meaning                                       transitions
    ---------  --------------------------------------------  -----------------------------------------------
    READING    the response is read into memory              start of a long response: BUFFERING
                                                             end of the response: the attempt ends
    BUFFERING  the first part of a long response is read,    enough bytes and memory reserved: STREAMING
               and memory for its body is reserved           end of the response: READING, the attempt ends
    STREAMING  the head was forwarded, pieces of the body    end of the response: READING, the attempt ends
               are pushed to a flow as they arrive

A response enters BUFFERING only if the attempt allows streaming (`Attempt.limits`) and the body is longer
than the limit up to which a body is always read completely. If an attempt ends without its response, its
connection is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from enum import Enum
from functools import partial

from sandhatch.http1.body_endpoint import BodyEndpoint
from sandhatch.http1.events import BodyEnd, Event
from sandhatch.http1.message import Message
from sandhatch.http1.message_parser import NOT_STREAMED
from sandhatch.http1.parser import ResponseParser
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import READ_BUFFER
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.interfaces import ConnectionResources
from sandhatch.upstream.outcomes import classify_response


class ResponseState(Enum):
    """State of the response that is being received; see the table in the module docstring."""

    READING = "reading"
    BUFFERING = "buffering"
    STREAMING = "streaming"


# The state is compared on every read, and in Python 3.11 an enum member is ten times slower to look up
# through its class than through a module-level name.
READING = ResponseState.READING
BUFFERING = ResponseState.BUFFERING
STREAMING = ResponseState.STREAMING


class ResponseReceiver(BodyEndpoint):
    """The receiving side of a connection to a server: the source of a streamed response."""

    def __init__(self, pool: ConnectionResources) -> None:
        """Create the receiving side of a connection that is not established yet.

        Args:
            pool: Clock and memory budget of the pool that opens the connection.
        """
        super().__init__()
        self.is_ending = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser()
        self._attempt: Attempt | None = None  # the attempt that the connection carries, if any
        self._response_state = READING
        self._accounted_bytes = 0  # bytes of this connection counted in the shared memory budget
        self._streamed_response: Message | None = None  # head of the response that is being streamed
        self._response_flow: Flow | None = None  # flow of the body of a response that is being streamed

    # ------------------------------------------------ implemented by the connection

    def abort(self) -> None:
        """Close the connection at once."""
        raise NotImplementedError

    def _end_attempt(self, attempt: Attempt, response: Message, reusable: bool) -> None:
        """End the attempt with its response, and pool the connection if it can be reused."""
        raise NotImplementedError

    # ------------------------------------------------ reading

    @property
    def waits_for_memory(self) -> bool:
        """Whether a response waits in the queue for memory."""
        return self._memory_waiter is not None

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - part of the protocol
        """Provide the buffer for the next read, no larger than what may be buffered or streamed now."""
        if self._response_flow is not None:
            return READ_BUFFER[: max(1, self._response_flow.credit_bytes)]
        attempt = self._attempt
        if attempt is not None and attempt.limits is not None:
            if self._response_state is BUFFERING:
                return READ_BUFFER[: max(1, attempt.bytes_before_streaming - self._parser.body_bytes)]
            return READ_BUFFER[: Flow.MIN_CREDIT_BYTES]
        return READ_BUFFER

    def _on_response_head(self, response: Message) -> None:
        """Decide whether a response with a body may be streamed, once its head has arrived."""
        attempt = self._attempt
        if attempt is None or attempt.limits is None or response.status != 200:
            return
        if self._response_state is STREAMING:
            return  # a second, unsolicited response after the one that is being streamed
        limits = attempt.limits.response
        if response.length is not None and response.length <= limits.hold_bytes:
            self._parser.stream(NOT_STREAMED, limits.hold_bytes)
            return
        self._parser.stream(attempt.bytes_before_streaming, limits.max_bytes)
        self._response_state = BUFFERING
        self._pool.clock.call_after(
            attempt.limits.response_hold_ms, partial(self._on_buffering_timeout, attempt)
        )

    # ------------------------------------------------ buffering

    def _on_buffering_timeout(self, attempt: Attempt) -> None:
        """Let a response be streamed once its buffering time is over, however little of it has arrived."""
        if self._attempt is attempt and self._response_state is not STREAMING and self._parser.is_in_body:
            self._parser.stream(0, self._parser.max_body_bytes)
            if self._reserved_bytes and self._parser.is_openable:
                self._start_streaming(attempt)

    def _reserve_memory(self, attempt: Attempt) -> None:
        """Reserve the memory that a long response needs, or wait in the queue for it."""
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
        """Continue with a response that waited in the queue for memory."""
        self._memory_waiter = None
        self._on_reserved(attempt.bytes_before_streaming)
        self.resume()
        if self._parser.is_openable:
            self._start_streaming(attempt)

    def _on_reserved(self, reserved_bytes: int) -> None:
        self._reserved_bytes = reserved_bytes
        self._accounted_bytes += reserved_bytes
        self._update_usage(self._parser.buffered_bytes)

    def _update_usage(self, buffered_bytes: int) -> bool:
        """Count the connection's bytes in the memory budget; return whether they fit.

        Args:
            buffered_bytes: Bytes of the response that are buffered; counted are these or the reserved ones,
                whichever are more, and the bytes of the request that are not sent yet.
        """
        accounted_bytes = max(buffered_bytes, self._reserved_bytes) + self._unsent_request_bytes
        fits = self._pool.memory_budget.update_usage(self._accounted_bytes, accounted_bytes)
        self._accounted_bytes = accounted_bytes
        return fits

    @property
    def _unsent_request_bytes(self) -> int:
        """Bytes written and not yet accepted by the kernel; a streamed request's are counted by its flow."""
        transport = self._transport
        if transport is None or self._socket_writer is not None or transport.is_closing():
            return 0
        return transport.get_write_buffer_size()

    def _stop_receiving(self) -> None:
        """Reset to READING: release the memory reserved for a response, or cancel the wait for it."""
        self._response_state = READING
        self._streamed_response = None
        self._response_flow = None
        self._cancel_memory_wait()
        self._update_usage(self._parser.buffered_bytes)

    # ------------------------------------------------ streaming

    def _start_streaming(self, attempt: Attempt) -> None:
        """Forward the head of the response; the flow takes over the memory reserved for the body."""
        self._response_state = STREAMING
        response = self._streamed_response = self._parser.open()
        buffered_body = response.body
        response.body = b""
        reserved_bytes = self._reserved_bytes
        flow = attempt.start_response(response, reserved_bytes)
        if flow is None:
            self._update_usage(0)
            attempt.end(classify_response(response), response)
            return
        self._accounted_bytes -= reserved_bytes
        self._reserved_bytes = 0
        if self._attempt is attempt and not flow.closed:
            self._update_usage(0)
            self._response_flow = flow
            flow.push(buffered_body)

    def _on_streamed_events(self, attempt: Attempt, events: Sequence[Event]) -> None:
        """Push the pieces of a streamed response to its flow."""
        flow = self._response_flow
        last_index = len(events) - 1
        for index, event in enumerate(events):
            if flow is None or self._response_flow is not flow:
                return  # the response was aborted while an earlier event was handled
            if isinstance(event, BodyEnd):
                self._on_streamed_end(attempt, flow, event, nothing_follows=index == last_index)
                return
            if not isinstance(event, Message):  # always true: only pieces of the body precede its end
                flow.push(event)
        if self._parser.fault is not None and self._attempt is attempt:
            self.abort()
            attempt.on_connection_failed()

    def _on_streamed_end(self, attempt: Attempt, flow: Flow, end: BodyEnd, nothing_follows: bool) -> None:
        """Complete a streamed response."""
        response = self._streamed_response
        assert response is not None  # the head of a response precedes its end
        self._response_state = READING
        self._streamed_response = None
        self._response_flow = None
        reusable = self._detach_attempt(attempt, nothing_follows)
        flow.end(end.trailers)
        self.resume()  # the flow may have paused reading at the last piece
        self._end_attempt(attempt, response, reusable)

    def _is_request_complete(self, attempt: Attempt) -> bool:
        """Whether all of the request was sent."""
        return attempt.sent_enough_to_run and (attempt.flow is None or attempt.flow.sent)

    def _detach_attempt(self, attempt: Attempt, nothing_follows: bool) -> bool:
        """Detach an attempt whose response is complete.

        A complete response is valid whatever follows it, but a connection with further bytes after the
        response cannot be reused. The same is true of a connection whose response was complete before its
        request.

        Args:
            attempt: The attempt that the connection carries.
            nothing_follows: Whether no further message was parsed after the response.

        Returns:
            Whether the connection can carry another attempt.
        """
        parser = self._parser
        request_complete = self._is_request_complete(attempt)
        self._attempt = None
        self._socket_writer = None
        if attempt.flow is not None:
            attempt.flow.detach(self)
        return (
            request_complete and nothing_follows and parser.fault is None and not parser.has_partial_message
        )
