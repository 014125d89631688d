"""One connection to a server, which carries one attempt at a time.

It writes requests, has `ResponseReceiver` take their answers, and tells its pool whether it can be used
again. It never chooses a server and never sends a request a second time: an attempt that it can't carry goes
back to its pool. Source: PROTOCOL-sandhatch.md, "Balancers to upstreams".

On a connection that was used before, the last byte of a request is withheld for a moment, see
`ConnectionPool.LAST_BYTE_DELAY_MS`. Until it is written no server has all of the request, so that the pool
can send it on a new connection.
"""

from __future__ import annotations

import asyncio
import select
from functools import partial
from typing import TYPE_CHECKING, cast

from sandhatch.http1.message import Message
from sandhatch.http1.serializer import encode_request, encode_request_head
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import SCRATCH, SocketWriter
from sandhatch.upstream.attempt import Attempt
from sandhatch.upstream.outcomes import outcome_of
from sandhatch.upstream.response_receiver import BUFFERING, STREAMING, ResponseReceiver
from sandhatch.upstream.server import UpstreamServer

if TYPE_CHECKING:
    from sandhatch.upstream.connection_pool import ConnectionPool


class ServerConnection(ResponseReceiver, asyncio.BufferedProtocol):
    """A connection: the sink of a streamed request, and the source of a streamed answer.

    Attributes:
        server: the server that it belongs to.
        address: where it is connected to.
        started_ms: the start of the process that it leads to, as the endpoint list said when it was opened.
        needs_cooldown: whether its last answer was an attempt's and not a probe's, so that it takes no new
            attempt for `ConnectionPool.COOLDOWN_MS`.
        idle_since_ms: since when it is idle.
    """

    def __init__(self, pool: ConnectionPool, server: UpstreamServer) -> None:
        """Create the protocol of a connection that is not up yet."""
        super().__init__(pool)
        self.server = server
        self.address = server.address
        self.started_ms = server.started_ms
        self.needs_cooldown = False
        self.idle_since_ms = 0.0
        self._poll = select.poll()  # for an end or bytes that wait unread in the system
        self._used = False  # it has carried an attempt before
        self._withheld = b""  # the last byte of the attempt's request, until it is written
        self._probe_body: bytes | None = None  # the body of the answer before, if that was a probe's

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
        attempt.response_seen = True
        events = self._reader.feed(SCRATCH[:nbytes])
        if self._response_state is STREAMING:
            self._on_streamed_events(attempt, events)
            return
        fits = self._update_usage(self._reader.buffered_bytes)
        if events:  # no pieces: they come only once an answer is being streamed
            self._on_complete_responses(attempt, cast(list[Message], events))
        elif self._reader.fault is not None or not fits:
            self.abort()
            attempt.connection_failed()
        elif self._response_state is BUFFERING:
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
        self._stop_receiving()
        self._fail_attempt()

    def _fail_attempt(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._withheld:
            self._return_attempt(attempt)
        else:
            attempt.connection_failed()

    # ------------------------------------------------ requests

    def send(self, attempt: Attempt, request: Message) -> None:
        """Write the request of an attempt, which this connection carries from here on."""
        self._attempt = attempt
        if attempt.terms is not None:
            self._reader.on_head = self._on_response_head
        if attempt.flow is not None:
            self._send_streamed(attempt, attempt.flow, request)
            return
        payload = encode_request(request.method, request.target, request.headers, request.body)
        if self._used:
            self._withheld = payload[-1:]
            self._pool.later(partial(self._send_withheld, attempt))
            payload = payload[:-1]
        self._used = True
        self._write(payload)

    def _send_streamed(self, attempt: Attempt, flow: Flow, request: Message) -> None:
        """Write the head of a request; the flow writes the body behind it.

        A streamed body has no last byte that could be withheld, so the connection is always a new one.
        """
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

    def _return_attempt(self, attempt: Attempt) -> None:
        """Have the pool send the request on a new connection; on this one, no server had all of it."""
        self._withheld = b""
        self._attempt = None
        attempt.connection = None
        self.abort()
        self._pool.start_on_new_connection(attempt)

    # ------------------------------------------------ complete answers

    def _on_complete_responses(self, attempt: Attempt, responses: list[Message]) -> None:
        """End the attempt with the first of the answers."""
        response = responses[0]
        if self._response_state is BUFFERING:  # it was complete before it was streamed
            self._stop_receiving()
        reusable = self._detach_attempt(attempt, nothing_follows=len(responses) == 1)
        probe_body = self._probe_body
        if probe_body and not attempt.probe and response.body == probe_body and probe_body.strip():
            # The probe's answer repeated, after this request was written: its own answer is still to come.
            self.abort()
            attempt.connection = None
            attempt.connection_failed()
            return
        self._end_attempt(attempt, response, reusable)

    def _end_attempt(self, attempt: Attempt, response: Message, reusable: bool) -> None:
        """End the attempt with its answer, and pool the connection if it can be used again."""
        attempt.connection = None
        self._probe_body = response.body if attempt.probe else None
        if reusable and response.keep_alive:
            self.needs_cooldown = not attempt.probe
            self._pool.put(self)
        else:
            self.abort()
        attempt.end(outcome_of(response), response)

    # ------------------------------------------------ called by the pool and by attempts

    def release(self, attempt: Attempt) -> None:
        """Cancel an attempt that has ended without an answer, by closing the connection."""
        if self._attempt is attempt:
            self._attempt = None
            self._withheld = b""
            self._stop_receiving()
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
