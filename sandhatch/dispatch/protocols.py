"""Interfaces of a dispatcher's collaborators: balancer, client, source of the endpoint list, and observer.

The implementations are in `sandhatch.balancing`,
`sandhatch.downstream`, `sandhatch.discovery`, and `sandhatch.telemetry` and `sandhatch.planning`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from sandhatch.balancing.actions import Action, WatchList
from sandhatch.balancing.events import Event, ListUpdate
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Sink


class BalancerProtocol(Protocol):
    """Makes all decisions on a pool's requests; implemented by `sandhatch.balancing.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event.

        Args:
            now_ms: Present time in Unix milliseconds.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """

    def write_deadline_ms(self, request_id: int, attempt_number: int) -> float:
        """Return the time before which an attempt's request must be written.

        Args:
            request_id: Number of the request.
            attempt_number: Number of the attempt within the request.

        Returns:
            The deadline in Unix milliseconds, or infinity. It may change with any event.
        """


class DownstreamClient(Sink, Protocol):
    """The client connection that receives a response.

    A response is either sent completely (`respond`), or its head is sent first (`begin_response`) and the
    client is the sink of a flow until `end_response` or `abort_response`.
    """

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    def begin_response(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None:
        """Send the head of a response whose body is streamed.

        Args:
            status: Status of the response.
            headers: Headers of the response, without those that frame its body.
            length: Length of the body in bytes, None if it is known only at the end of the body.
            flow: The flow that writes the body, and is notified when written bytes have drained.
        """

    def end_response(self) -> None:
        """End the streamed response, all of which has been sent."""

    def abort_response(self) -> None:
        """Abort the streamed response in such a way that the client detects the truncation."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even while reading from it is paused."""


class Source(Protocol):
    """The source of a pool's endpoint list."""

    def start(self) -> None:
        """Start, and publish the endpoint list that is already known, which may be empty."""

    def stop(self) -> None:
        """Stop publishing."""

    def fetch(self) -> None:
        """Fetch the complete list once."""

    def watch(self, command: WatchList) -> None:
        """Make a watch call in place of any pending one, and publish its result with the command's number.

        A source whose list never changes does nothing.
        """

    def republish(self) -> None:
        """Publish the complete endpoint list again.

        A source that calls a discovery service fetches the list anew; a static source publishes its own list.
        """


class Observer(Protocol):
    """Observes a balancer's events and actions without changing them."""

    def on_event(self, event: Event, actions: Sequence[Action]) -> None:
        """Record an event, and the actions that the balancer returned for it."""

    def on_endpoint_list(
        self, update: ListUpdate, addresses: Sequence[str], failure_reason: str = ""
    ) -> None:
        """Record an update of the endpoint list, before the balancer receives it.

        Also called with the present list, as a complete list, when the observer is set.

        Args:
            update: The update.
            addresses: Addresses of the update's entries as `address:port`, in the same order.
            failure_reason: Reason why the call for the list failed, empty if it succeeded.
        """


# Creates a source; the arguments are callbacks for its listings and for its log lines.
SourceFactory = Callable[[Callable[[Listing], None], Callable[[str], None]], Source]
