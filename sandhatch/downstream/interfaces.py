"""Interfaces between listeners, client connections and request handlers.

Types only: nothing here holds state or does I/O. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.limits import StreamLimits

if TYPE_CHECKING:  # avoids an import cycle: client_connection imports this module
    from sandhatch.downstream.client_connection import ClientConnection


class DisconnectCallback(Protocol):
    """Callback that notifies the request handler that the client of a request in flight is gone."""

    def __call__(self, status: int = 0) -> None:
        """Abandon the request.

        Args:
            status: 0 if the client has disconnected; otherwise the status of the response that the
                connection sends because the request's body was malformed.
        """


class RequestHandler(Protocol):
    """Handles the requests that a listener's connections have received."""

    @property
    def ready(self) -> bool:
        """Whether requests can be served, which decides the response to `/ready`."""

    def limits(self, client: ClientConnection, message: Message) -> StreamLimits | None:
        """Return the limits for streaming a request's body and its response, once its head was received.

        Returns:
            The limits, or None if neither body may be streamed.

        Raises:
            FramingError: The request is rejected.
        """

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        """Begin a request, either complete or with the flow that delivers its body.

        The request handler sends exactly one response, during this call or later: either through
        `client.respond`, or streamed, starting with `client.begin_response`.

        Returns:
            Callback for a client that disconnects before the response; None if the response was already
            sent.

        Raises:
            FramingError: The request is rejected.
        """


class ConnectionOwner(Protocol):
    """Interface through which a client connection uses the listener that accepted it.

    Attributes:
        name: Name of the listener in the configuration.
        shared: Clock, memory budget and descriptor budget of the process.
        request_handler: Handles the requests.
        half_close: Whether a client that has shut down its sending side may still wait for its response.
        closing: Whether each connection is closed after its next response.
    """

    name: str
    shared: SharedResources
    request_handler: RequestHandler
    half_close: bool
    closing: bool

    @property
    def ready(self) -> bool:
        """Whether the listener accepts connections and its request handler serves requests."""

    def state_changed(self, connection: ClientConnection) -> None:
        """Update the connection's eviction group after a change of its state."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove the connection and free its descriptor's slot."""

    def watch_disconnect(self, connection: ClientConnection) -> None:
        """Poll for the client's disconnect while reading from the connection is paused."""
