"""An attempt to have one server answer a request, or a probe of that server.

Every attempt ends exactly once, with one outcome. Nothing is ever sent a second time from here. Source:
PROTOCOL-sandhatch.md, "Balancers to upstreams".

The dividing line between "has not run" and "may have run":

    A request whose body is complete before it is sent may have run once the operating system has taken its
    last byte: until then the server can't have begun it.
    A request whose body is streamed as it arrives may have run from its first byte on: a server may act on
    the part that it has.
    Any byte that comes back from the server means that the request may have run, whatever was sent by then.

So an attempt that fails on the near side of that line ends as CONNECT_FAILED, which proves that the request
has not run, and on the far side as TIMEOUT or RESET, which proves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sandhatch.balancing.events import Outcome
from sandhatch.http1.message import Message
from sandhatch.runtime.clock import Timer
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.terms import StreamTerms
from sandhatch.upstream.server import UpstreamServer

if TYPE_CHECKING:
    from sandhatch.upstream.connection import ServerConnection


class AttemptOwner(Protocol):
    """Whoever started an attempt: it provides the request, and is notified of the answer and the end."""

    def make_request(self) -> Message:
        """Build the request, at the moment it is written: its headers name the time that is left then."""

    def blocked_by(self) -> Outcome | None:
        """Return why the request may no longer be written, None if it may."""

    def on_response_started(self, attempt: Attempt, response: Message, reserved_bytes: int) -> Flow | None:
        """Handle the head of an answer that can be streamed; only for an attempt with `terms`.

        Args:
            attempt: the attempt that it answers.
            response: its head.
            reserved_bytes: bytes reserved in the memory budget for its body.

        Returns:
            The flow that takes the body, and with it the reservation; None if nobody wants the body.
        """

    def on_ended(self, outcome: Outcome, response: Message | None) -> None:
        """Handle the end of the attempt, with the answer if one arrived. Called exactly once."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, or one probe; `ConnectionPool.start` starts it.

    Attributes:
        server: the server that it goes to.
        owner: provides the request and is notified of the answer; None once the attempt has ended.
        sent_ms: since when the answer is awaited, in Unix milliseconds: from the start, or for a streamed
            request, from when all of it had been sent.
        probe: whether it is a probe.
        flow: the request's body where that is streamed as it arrives, else None.
        terms: the terms on which the answer may be streamed as it arrives, None if it may not.
        timeout_ms: how long the answer is awaited.
        timer: the timeout, once it runs.
        connection: the connection that carries it, None before it is written and after its end.
        request_sent: whether the request has crossed the dividing line (see the head of the module).
        response_seen: whether any byte has come back for it.
    """

    server: UpstreamServer
    owner: AttemptOwner | None
    sent_ms: float
    probe: bool = False
    flow: Flow | None = None
    terms: StreamTerms | None = None
    timeout_ms: float = 0.0
    timer: Timer | None = None
    connection: ServerConnection | None = None
    request_sent: bool = False
    response_seen: bool = False

    @property
    def ended(self) -> bool:
        """Whether it has had its outcome."""
        return self.owner is None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun the request."""
        return self.request_sent or self.response_seen

    @property
    def bytes_before_streaming(self) -> int:
        """How many bytes of a long answer are buffered before it is streamed; only with `terms`.

        The answer to a request that is streamed itself has its part of the memory already, and never waits.
        """
        assert self.terms is not None
        return (
            Flow.MIN_CREDIT_BYTES
            if self.flow is not None
            else max(Flow.MIN_CREDIT_BYTES, self.terms.response.hold_bytes)
        )

    def write(self, connection: ServerConnection) -> bool:
        """Send the request on a connection that is up, unless the attempt is over.

        Returns:
            Whether a byte was written.
        """
        if not self.may_be_written():
            return False
        assert self.owner is not None  # it has not ended
        self.connection = connection
        connection.send(self, self.owner.make_request())
        return True

    def may_be_written(self) -> bool:
        """Check that the request may still be written; end the attempt if it may not.

        Called before the first byte, and once more before a withheld last byte.
        """
        if self.owner is None:
            return False
        blocked_by = self.owner.blocked_by()
        if blocked_by is not None:
            self.end(blocked_by)
        return blocked_by is None

    def start_response(self, response: Message, reserved_bytes: int) -> Flow | None:
        """Offer the owner the head of an answer; see `AttemptOwner.on_response_started`."""
        return None if self.owner is None else self.owner.on_response_started(self, response, reserved_bytes)

    def time_out(self) -> None:
        """End the attempt because no answer came in time.

        What has not been written completely by then never will be.
        """
        if self.connection is not None and self.connection.waits_for_memory:
            self.end(Outcome.CANCELLED)  # it was not the server that was waited for
            return
        self.end(Outcome.TIMEOUT if self.may_have_run else Outcome.CONNECT_FAILED)

    def connection_failed(self) -> None:
        """End the attempt because its connection broke before the answer was complete."""
        self.end(Outcome.RESET if self.may_have_run else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, response: Message | None = None) -> None:
        """Give the attempt its outcome; a second end is ignored."""
        owner = self.owner
        if owner is None:
            return
        # The owner holds the request, which holds its attempts: guards against cycles left to the collector.
        self.owner = None
        if self.timer is not None:
            self.timer.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.release(self)
        owner.on_ended(outcome, response)
