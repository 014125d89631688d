"""The request handler of the platform's program: every request under `/api` goes to the one pool.

Source: the platform's page PROTOCOL.
"""

from __future__ import annotations

from functools import partial

from sandhatch.balancing.settings import Settings
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.downstream.client_connection import ClientConnection
from sandhatch.downstream.interfaces import DisconnectCallback
from sandhatch.downstream.request_parsing import ALLOW, METHODS, RequestHeaderParser, reject_duplicate_id
from sandhatch.http1.message import Message
from sandhatch.platform.graceful_shutdown import ShutdownDeadline
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.limits import StreamLimits

API_PATH = b"/api"


class PlatformRequestHandler:
    """Rejects requests that are not for the pool, and dispatches the others."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        shared: SharedResources,
        shutdown_deadline: ShutdownDeadline,
    ) -> None:
        """Creates a handler that dispatches requests of the classes in `settings` to the pool."""
        self._dispatcher = dispatcher
        self._clock = shared.clock
        self._in_flight_ids = shared.in_flight_ids
        self._shutdown_deadline = shutdown_deadline
        self._requests = RequestHeaderParser(settings)

    @property
    def ready(self) -> bool:
        """Whether the pool can serve requests."""
        return self._dispatcher.has_ready_server

    def limits(self, _client: ClientConnection, _message: Message) -> StreamLimits | None:
        """Returns None, so that no body is streamed: the platform's bodies are small.

        The handling of a request therefore begins once its last byte is received.
        """
        return None

    def begin(self, client: ClientConnection, message: Message) -> DisconnectCallback | None:
        """Responds to a request or dispatches it to the pool.

        Returns:
            The callback for a disconnect of the client; None if the response has been sent already.

        Raises:
            FramingError: The request is rejected; the error carries the status.
        """
        if message.target.partition(b"?")[0] != API_PATH:
            client.respond(404, [], b"")
            return None
        if message.method not in METHODS:
            client.respond(405, ALLOW, b"")
            return None
        parsed = self._requests.parse(message)
        event = parsed.event
        reject_duplicate_id(self._in_flight_ids, parsed.trace_id, self._clock.now_ms())
        time_left_ms = self._shutdown_deadline.limit(event.time_left_ms)
        event.time_left_ms = time_left_ms
        exchange = self._dispatcher.start_request(client, message, time_left_ms, parsed.trace_id, event)
        return partial(self._dispatcher.client_disconnected, exchange)
