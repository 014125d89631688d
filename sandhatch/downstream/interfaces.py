"""The contracts between listeners, client connections and whoever handles the requests.

Types only: nothing here holds state or does I/O. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.terms import StreamTerms

if TYPE_CHECKING:  # for annotations only: the connection itself imports this module
    from sandhatch.downstream.client_connection import ClientConnection


class DisconnectCallback(Protocol):
    """Notifies the request handler that a request in flight has lost its client."""

    def __call__(self, status: int = 0) -> None:
        """Abandon the request.

        Args:
            status: 0 if the client has disconnected; otherwise its body was malformed, and this is the
                status of the answer that the connection sends by itself.
        """


class RequestHandler(Protocol):
    """Takes the requests that a listener's connections have received."""

    @property
    def ready(self) -> bool:
        """Whether requests can be served; the answer to `/ready`."""

    def terms(self, client: ClientConnection, message: Message) -> StreamTerms | None:
        """Returns the limits for streaming a request's body and its answer, once its head was received.

        Returns:
            None if neither may be streamed.

        Raises:
            FramingError: The request is rejected.
        """

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        """Take a request, either complete or with the flow that brings its body.

        Exactly one answer follows, now or later: through `client.respond`, or from `client.begin_response`
        on.

        Returns:
            What to call if the client disconnects before it is answered; None if it is answered already.

        Raises:
            FramingError: The request is rejected.
        """


class ConnectionOwner(Protocol):
    """What a client connection needs of the listener that accepted it."""

    name: str
    shared: SharedResources
    request_handler: RequestHandler
    half_close: bool  # a client that has shut down its sending side may still wait for its answer
    closing: bool  # each answer is the last of its connection

    @property
    def ready(self) -> bool:
        """Whether the listener accepts and its handler serves requests."""

    def state_changed(self, connection: ClientConnection) -> None:
        """Record whether the connection may be evicted in favour of a new one."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget the connection and free its descriptor's slot."""

    def watch_disconnect(self, connection: ClientConnection) -> None:
        """Poll for the client's disconnect for as long as nothing is read from the connection."""
