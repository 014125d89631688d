"""One connection to a server, which carries one attempt at a time.

The connection writes requests, receives their responses through `ResponseReceiver`, and returns to its pool
if it can be reused. It never chooses a server and never sends a request twice: an attempt that it cannot
carry goes back to the pool. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".

On a reused connection, the last byte of a request is withheld for `ConnectionPool.LAST_BYTE_DELAY_MS`. Until
that byte is written no server has the complete request, so the pool can still send it on a new connection.
"""

from __future__ import annotations

import asyncio
import select
from functools import partial
from typing import cast

from sandhatch.http1.message import Message
from sandhatch.http1.serializer import encode_request, encode_request_head
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import READ_BUFFER, SocketWriter
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.interfaces import ConnectionOwner
from sandhatch.upstream.outcomes import classify_response
from sandhatch.upstream.response_receiver import BUFFERING, STREAMING, ResponseReceiver
from sandhatch.upstream.server import UpstreamServer


class ServerConnection(ResponseReceiver, asyncio.BufferedProtocol):
    """A connection to a server: the sink of a streamed request, and the source of a streamed response.

    Attributes:
        server: The server that the connection belongs to.
        address: Remote address of the connection.
        started_ms: Start time of the server process in Unix milliseconds, as given by the endpoint list when
            the connection was opened.
        needs_cooldown: Whether the last response was to an attempt and not to a probe, so that the connection
            takes no new attempt for `ConnectionPool.COOLDOWN_MS`.
        idle_since_ms: Start of the present idle period in Unix milliseconds.
    """

    _pool: ConnectionOwner[ServerConnection]

    def __init__(self, pool: ConnectionOwner[ServerConnection], server: UpstreamServer) -> None:
        """Create the protocol of a connection that is not established yet."""
        super().__init__(pool)
        self.server = server
        self.address = server.address
        self.started_ms = server.started_ms
        self.needs_cooldown = False
        self.idle_since_ms = 0.0
        self._socket_poll = select.poll()  # detects an end of stream or unread bytes in the socket
        self._has_carried_attempt = False
        self._withheld_byte = b""  # the last byte of the request, empty once written
        # Body of the previous response, if that response was to a probe.
        self._probe_body: bytes | None = None

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the transport."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0, any byte not yet accepted by the operating system pauses writing, so
        # `resume_writing` is called once the last byte has been accepted.
        self._transport.set_write_buffer_limits(high=0)
        self._socket_poll.register(
            transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP
        )

    def resume_writing(self) -> None:
        """Record that the operating system has accepted everything that was written."""
        attempt = self._attempt
        if attempt is None:
            return
        if attempt.flow is not None:
            attempt.flow.drained()
        elif not self._withheld_byte:
            attempt.sent_enough_to_run = True
            self._update_usage(self._parser.buffered_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read, and act on the result."""
        attempt = self._attempt
        if attempt is None:  # no request is pending, so these bytes are not a response
            self.abort()
            return
        if self._withheld_byte:
            # The server does not have the complete request, so these bytes cannot be its response. They
            # duplicate the response to an earlier request and would be forwarded as the response to this one.
            self._move_to_new_connection(attempt)
            return
        attempt.response_started = True
        events = self._parser.feed(READ_BUFFER[:nbytes])
        if self._response_state is STREAMING:
            self._on_streamed_events(attempt, events)
            return
        fits = self._update_usage(self._parser.buffered_bytes)
        if events:  # complete messages only: pieces are emitted only in the STREAMING state
            self._on_complete_responses(attempt, cast(list[Message], events))
        elif self._parser.fault is not None or not fits:
            self.abort()
            attempt.on_connection_failed()
        elif self._response_state is BUFFERING:
            self._reserve_memory(attempt)
            if self._reserved_bytes and self._parser.is_openable:
                self._start_streaming(attempt)

    def eof_received(self) -> None:
        """Complete a response that only the end of the stream delimits; then close the connection."""
        attempt = self._attempt
        if attempt is not None and self._is_request_complete(attempt) and not self._is_reset():
            events = self._parser.end_stream()
            if self._response_state is STREAMING:
                self._on_streamed_events(attempt, events)
            elif events:
                self._on_complete_responses(attempt, cast(list[Message], events))
        self.abort()
        self._fail_attempt()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - part of the protocol
        """Release the connection's resources; fail its attempt, or move it if its last byte is withheld."""
        self._pool.on_connection_closed(self)
        self._transport = None
        self._parser.close()
        self._stop_receiving()
        self._fail_attempt()

    def _is_reset(self) -> bool:
        """Whether the connection was reset, though the event loop has reported an end of stream.

        The kernel reports the error of a reset once: if a write receives it, the next read finds an end of
        stream. After an orderly end neither flag is set, since this side never ends its sending.
        """
        return any(events & (select.POLLERR | select.POLLHUP) for _, events in self._socket_poll.poll(0))

    def _fail_attempt(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._withheld_byte:
            self._move_to_new_connection(attempt)
        else:
            attempt.on_connection_failed()

    # ------------------------------------------------ requests

    def send(self, attempt: Attempt, request: Message) -> None:
        """Write the request of an attempt, and carry the attempt until it ends."""
        self._attempt = attempt
        if attempt.limits is not None:
            self._parser.on_head = self._on_response_head
        if attempt.flow is not None:
            self._send_streamed(attempt, attempt.flow, request)
            return
        payload = encode_request(request.method, request.target, request.headers, request.body)
        if self._has_carried_attempt:
            self._withheld_byte = payload[-1:]
            self._pool.schedule_last_byte(partial(self._send_withheld_byte, attempt))
            payload = payload[:-1]
        self._has_carried_attempt = True
        self._write(payload)

    def _send_streamed(self, attempt: Attempt, flow: Flow, request: Message) -> None:
        """Write the head of a request; the flow writes the body after it.

        The last byte of a streamed body is not known in advance and cannot be withheld, so a streamed request
        always uses a new connection.
        """
        assert self._transport is not None
        assert not self._has_carried_attempt
        self._has_carried_attempt = True
        self._socket_writer = SocketWriter(self._transport)
        self._chunked = request.length is None
        attempt.sent_enough_to_run = True  # the server may act on any part of a streamed request
        head = encode_request_head(request.method, request.target, request.headers, request.length)
        self._socket_writer.write((head,))
        flow.attach(self)

    def _send_withheld_byte(self, attempt: Attempt) -> None:
        """Write the last byte of a request, unless the attempt has ended or the connection has failed."""
        if self._attempt is not attempt or not self._withheld_byte or not attempt.may_be_written():
            return
        if not self.is_usable():
            # An end of stream may be in the socket unread: the event loop runs timers before reads.
            self._move_to_new_connection(attempt)
            return
        last_byte = self._withheld_byte
        self._withheld_byte = b""
        self._write(last_byte)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        assert self._attempt is not None
        self._transport.write(data)
        if self._transport.get_write_buffer_size():
            self._update_usage(self._parser.buffered_bytes)
            self._pool.schedule_unsent_check(partial(self._check_unsent, self._attempt))
        elif not self._withheld_byte:
            self._attempt.sent_enough_to_run = True

    def _check_unsent(self, attempt: Attempt) -> None:
        """End an attempt whose request is not accepted completely yet and may no longer be written."""
        waits = self._attempt is attempt and not attempt.may_have_run
        if waits and attempt.may_be_written(partly_written=True):
            self._pool.schedule_unsent_check(partial(self._check_unsent, attempt))

    def _move_to_new_connection(self, attempt: Attempt) -> None:
        """Have the pool send the attempt's request on a new connection; no server has received all of it."""
        self._withheld_byte = b""
        self._attempt = None
        attempt.connection = None
        self.abort()
        self._pool.start_on_new_connection(attempt)

    # ------------------------------------------------ complete responses

    def _on_complete_responses(self, attempt: Attempt, responses: list[Message]) -> None:
        """End the attempt with the first response.

        If the attempt before on this connection was a probe, and the response repeats the body of the probe's
        response, the attempt fails and the connection is aborted. A blank body does not count as repeated.
        """
        response = responses[0]
        if self._response_state is BUFFERING:  # the response was complete before streaming started
            self._stop_receiving()
        reusable = self._detach_attempt(attempt, nothing_follows=len(responses) == 1)
        probe_body = self._probe_body
        if probe_body and not attempt.probe and response.body == probe_body and probe_body.strip():
            # The server repeated its response to the probe after this request was written. The response to
            # this request has not arrived yet.
            self.abort()
            attempt.connection = None
            attempt.on_connection_failed()
            return
        self._end_attempt(attempt, response, reusable)

    def _end_attempt(self, attempt: Attempt, response: Message, reusable: bool) -> None:
        """End the attempt with its response, and pool the connection if it can be reused."""
        attempt.connection = None
        self._probe_body = response.body if attempt.probe else None
        if reusable and response.keep_alive:
            self.needs_cooldown = not attempt.probe
            self._pool.put(self)
        else:
            self.abort()
        attempt.end(classify_response(response), response)

    # ------------------------------------------------ called by the pool and by attempts

    def release(self, attempt: Attempt) -> None:
        """Cancel an attempt that has ended without a response, by closing the connection."""
        if self._attempt is attempt:
            self._attempt = None
            self._withheld_byte = b""
            self._stop_receiving()
            self.abort()
            if attempt.flow is not None:
                attempt.flow.detach(self)
            self._socket_writer = None

    def is_usable(self) -> bool:
        """Return whether the connection is up, and no end of stream or unread bytes are in the socket."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._socket_poll.poll(0)

    @property
    def leads_to_listed_process(self) -> bool:
        """Whether the endpoint list still names the process to which the connection was opened."""
        return self.server.address == self.address and self.server.started_ms == self.started_ms

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def migrate(self, pool: ConnectionOwner[ServerConnection], server: UpstreamServer) -> None:
        """Assign the connection to another pool; it must not carry an attempt."""
        self._pool = pool
        self.server = server
