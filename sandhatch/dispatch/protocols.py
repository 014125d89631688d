"""What a dispatcher works with: the balancer, a client, the source of the endpoint list, and observers.

Interfaces only; nothing is implemented here. The implementations are in `sandhatch.balancing`,
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


class Decisions(Protocol):
    """What decides: `sandhatch.balancing.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event at a time in Unix milliseconds; return what is to be done, in order."""


class DownstreamClient(Sink, Protocol):
    """Where an answer goes.

    The answer is either complete (`respond`), or its head comes first (`begin_response`) and the client is
    the sink of a flow until `end_response` or `abort_response`.
    """

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    def begin_response(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None:
        """Send the head of an answer whose body is streamed.

        Args:
            status: the status of the answer.
            headers: its headers, but for those of its framing.
            length: the bytes of its body, None if only its end will tell.
            flow: brings the body, and is notified when written bytes have drained.
        """

    def end_response(self) -> None:
        """End the streamed answer, all of which has been sent."""

    def abort_response(self) -> None:
        """Abort the streamed answer, so that the client can tell that it is truncated."""

    def has_disconnected(self) -> bool:
        """Return whether the client is known to have left, also where nothing is read from it at present."""


class Source(Protocol):
    """Where a pool's endpoint list comes from."""

    def start(self) -> None:
        """Publish the list as known from before."""

    def stop(self) -> None:
        """Publish nothing more."""

    def fetch(self) -> None:
        """Fetch the complete list once."""

    def watch(self, order: WatchList) -> None:
        """Make this call in place of the one that is pending; its end is published under its number."""

    def republish(self) -> None:
        """Publish the complete list as last known, or fetch it."""


class Observer(Protocol):
    """Sees what a balancer receives and what it decides; it changes nothing."""

    def on_event(self, event: Event, actions: Sequence[Action]) -> None:
        """Note an event, and the actions that it led to."""

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        """Note an update of the endpoint list before the balancer sees it.

        Args:
            update: the update.
            addresses: where its entries listen, as `address:port`, in the same order.
            why: why the call for the list failed, if it did.
        """


# Makes a source from a callback that takes its listings and one that takes its log lines.
SourceFactory = Callable[[Callable[[Listing], None], Callable[[str], None]], Source]
