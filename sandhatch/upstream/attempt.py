"""One attempt to get a response to a request from one server, or one probe of that server.

Every attempt ends exactly once, with one outcome. An attempt is never retried here. Source:
PROTOCOL-sandhatch.md, "Balancers to upstreams".

When a request may have run on the server:

    A request whose body is complete before it is sent may have run once the operating system has accepted its
    last byte. Until then the server cannot have started it.
    A request whose body is streamed as it arrives may have run from its first byte on: a server may act on
    a partial body.
    Any byte received from the server means that the request may have run, however much of it was sent.

An attempt whose connection cannot be opened or fails, or whose timeout passes, before its request may have
run ends as CONNECT_FAILED, which proves that the request has not run. Afterwards it ends as RESET or TIMEOUT,
which prove nothing, or, if its response waits for memory when the timeout passes, as CANCELLED.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sandhatch.balancing.events import Outcome
from sandhatch.http1.message import Message
from sandhatch.runtime.clock import Timer
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.interfaces import Source
from sandhatch.streaming.limits import StreamLimits
from sandhatch.upstream.server import UpstreamServer


class AttemptOwner(Protocol):
    """The starter of an attempt: provides the request, and is notified of the response and of the end."""

    def make_request(self) -> Message:
        """Return the request; called when it is written, since a header may state the time remaining then."""

    def blocked_by(self, partly_written: bool) -> Outcome | None:
        """Return the outcome that ends the attempt if its request may no longer be written, else None.

        Args:
            partly_written: Whether a part of the request was written long ago. What then counts is only
                whether the server may still receive the last byte: a draining server's grace covers the first
                one.
        """

    def on_response_started(self, attempt: Attempt, response: Message, reserved_bytes: int) -> Flow | None:
        """Handle the head of a response that can be streamed; called only for an attempt with `limits`.

        Args:
            attempt: The attempt that received the response.
            response: The head of the response.
            reserved_bytes: Bytes reserved in the memory budget for the body of the response.

        Returns:
            The flow that takes over the body and its reservation; None if the body is to be discarded.
        """

    def on_ended(self, outcome: Outcome, response: Message | None) -> None:
        """Handle the end of the attempt, with the response if one arrived. Called exactly once."""


class AttemptConnection(Source, Protocol):
    """The connection that carries an attempt, and is the source of a response that is streamed."""

    @property
    def waits_for_memory(self) -> bool:
        """Whether a response waits in the queue for memory."""

    def send(self, attempt: Attempt, request: Message) -> None:
        """Write the request of an attempt, and carry the attempt until it ends."""

    def release(self, attempt: Attempt) -> None:
        """Cancel an attempt that has ended without a response."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, or one probe; `ConnectionPool.start` starts it.

    Attributes:
        server: The server that the attempt is sent to.
        owner: The provider of the request, notified of the response; None once the attempt has ended.
        sent_ms: Start of the wait for the response in Unix milliseconds: the start of the attempt, or for a
            streamed request the time when all of it had been sent.
        probe: Whether the attempt is a probe.
        flow: The request's body if that is streamed as it arrives, else None.
        limits: Limits for streaming the response as it arrives, None if it must be read completely.
        timeout_ms: Time allowed for the response.
        timer: The running timeout, None before it is started.
        connection: The connection that carries the attempt, None before it is written and after its end.
        sent_enough_to_run: Whether so much of the request was sent that it may have run (see the module
            docstring).
        response_started: Whether any byte of a response has been received.
    """

    server: UpstreamServer
    owner: AttemptOwner | None
    sent_ms: float
    probe: bool = False
    flow: Flow | None = None
    limits: StreamLimits | None = None
    timeout_ms: float = 0.0
    timer: Timer | None = None
    connection: AttemptConnection | None = None
    sent_enough_to_run: bool = False
    response_started: bool = False

    @property
    def ended(self) -> bool:
        """Whether the attempt has its outcome."""
        return self.owner is None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have started the request."""
        return self.sent_enough_to_run or self.response_started

    @property
    def bytes_before_streaming(self) -> int:
        """Bytes of a long response that are buffered before it is streamed; only for attempts with `limits`.

        The response to a streamed request uses memory leased from the request's flow, and never waits for it.
        """
        assert self.limits is not None
        return (
            Flow.MIN_CREDIT_BYTES
            if self.flow is not None
            else max(Flow.MIN_CREDIT_BYTES, self.limits.response.hold_bytes)
        )

    def write(self, connection: AttemptConnection) -> bool:
        """Send the request on an established connection, unless the attempt has ended or must end unwritten.

        Returns:
            Whether anything was written.
        """
        if not self.may_be_written():
            return False
        assert self.owner is not None  # an attempt that may be written has not ended, so it has its owner
        self.connection = connection
        connection.send(self, self.owner.make_request())
        return True

    def may_be_written(self, partly_written: bool = False) -> bool:
        """Check whether the request may still be written; end the attempt if it may not.

        Called before the first byte of the request, again before a withheld last byte, and repeatedly while
        the kernel accepts no more of a request of which a part is written (`partly_written`).
        """
        if self.owner is None:
            return False
        blocked_by = self.owner.blocked_by(partly_written)
        if blocked_by is not None:
            self.end(blocked_by)
        return blocked_by is None

    def start_response(self, response: Message, reserved_bytes: int) -> Flow | None:
        """Offer the owner the head of a response; see `AttemptOwner.on_response_started`."""
        return None if self.owner is None else self.owner.on_response_started(self, response, reserved_bytes)

    def time_out(self) -> None:
        """End the attempt because no response arrived within the timeout.

        The unwritten part of the request is never written.
        """
        if self.connection is not None and self.connection.waits_for_memory:
            self.end(Outcome.CANCELLED)  # the memory budget caused the delay, not the server
            return
        self.end(Outcome.TIMEOUT if self.may_have_run else Outcome.CONNECT_FAILED)

    def on_connection_failed(self) -> None:
        """End the attempt because its connection failed before the response was complete."""
        self.end(Outcome.RESET if self.may_have_run else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, response: Message | None = None) -> None:
        """Set the outcome and notify the owner; does nothing if the attempt has already ended."""
        owner = self.owner
        if owner is None:
            return
        # The owner refers to the exchange, which refers to its attempts: dropping the reference breaks the
        # cycle, which would otherwise be left to the garbage collector.
        self.owner = None
        if self.timer is not None:
            self.timer.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.release(self)
        owner.on_ended(outcome, response)
