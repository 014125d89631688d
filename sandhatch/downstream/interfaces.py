"""Interfaces between listeners, client connections and request handlers.

Types only: nothing here holds state or does I/O. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.limits import StreamLimits

ClientT = TypeVar("ClientT", contravariant=True)
ConnectionT = TypeVar("ConnectionT")


class DisconnectCallback(Protocol):
    """Callback that notifies the request handler that the client of a request in flight is gone."""

    def __call__(self, status: int = 0) -> None:
        """Abandon the request.

        Args:
            status: 0 if the client has disconnected; otherwise the status of the response that the
                connection sends because the request's body was malformed.
        """


class RequestHandler(Protocol[ClientT]):
    """Handles the requests that a listener's connections have received."""

    @property
    def ready(self) -> bool:
        """Whether requests can be served, which decides the response to `/ready`."""

    def limits(self, client: ClientT, message: Message) -> StreamLimits | None:
        """Return the limits for streaming a request's body and its response, once its head was received.

        Returns:
            The limits, or None if neither body may be streamed.

        Raises:
            FramingError: The request is rejected.
        """

    def begin(self, client: ClientT, message: Message) -> DisconnectCallback | None:
        """Begin a request, either complete or with the flow that delivers its body.

        The request handler sends exactly one response, during this call or later: either through
        `client.respond`, or streamed, starting with `client.begin_response`.

        Returns:
            Callback for a client that disconnects before the response; None if the response was already
            sent.

        Raises:
            FramingError: The request is rejected.
        """


class ConnectionResources(Protocol):
    """What all layers of a client connection use of the listener that accepted it.

    Attributes:
        shared: Clock, memory budget and descriptor budget of the process.
        half_close: Whether a client that has shut down its sending side may still wait for its response.
        closing: Whether each connection is closed after its next response.
    """

    shared: SharedResources
    half_close: bool
    closing: bool


class ConnectionOwner(ConnectionResources, Protocol[ConnectionT]):
    """Interface through which a client connection uses the listener that accepted it.

    Attributes:
        name: Name of the listener in the configuration.
        request_handler: Handles the requests.
    """

    name: str
    request_handler: RequestHandler[ConnectionT]

    @property
    def ready(self) -> bool:
        """Whether the listener accepts connections and its request handler serves requests."""

    def state_changed(self, connection: ConnectionT) -> None:
        """Update the connection's eviction group after a change of its state."""

    def on_connection_closed(self, connection: ConnectionT) -> None:
        """Remove the connection and free its descriptor's slot."""

    def watch_disconnect(self, connection: ConnectionT) -> None:
        """Poll for the client's disconnect while reading from the connection is paused."""
