"""Sending side of a client connection: responses are sent in one piece, or streamed from a flow.

Requests are received by `RequestReceiver` and begun by `ClientConnection`. Source: PROTOCOL-sandhatch.md;
RFC 9112 sections 6.3 and 9.6 for the end of a body and of a connection.
"""

from __future__ import annotations

from sandhatch.downstream.interfaces import ConnectionResources, DisconnectCallback
from sandhatch.downstream.request_receiver import RequestReceiver
from sandhatch.http1.errors import Fault
from sandhatch.http1.message import Message
from sandhatch.http1.serializer import encode_response, encode_response_head
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.socket_writer import SocketWriter


def error_body(text: str) -> bytes:
    """Encode the body of an error response."""
    return text.encode("ascii", "replace") + b"\n"


class ResponseSender(RequestReceiver):
    """Sending side of a client connection."""

    def __init__(self, listener: ConnectionResources, max_queued: int) -> None:
        """Create the sending side of a connection that `listener` has just accepted."""
        super().__init__(listener, max_queued)
        self._current_request: Message | None = None  # request in flight, None if there is no such request
        self._notify_disconnect: DisconnectCallback | None = None  # callback of the current request
        self._response_flow: Flow | None = None  # flow of a response that is being streamed
        self._write_paused = False  # whether the client does not read its responses
        self._close_after_response = False  # whether the connection is closed after the streamed response
        self._ends_at_close = False  # whether only the close marks the end of the streamed response

    # ------------------------------------------------ implemented by the connection

    def close_gracefully(self) -> None:
        """Shut down the sending side, and discard further received bytes."""
        raise NotImplementedError

    def _finish_current_request(self) -> Message:
        """End the current request, and return it."""
        raise NotImplementedError

    def _update_usage(self) -> bool:
        """Update the connection's share of the memory budget; return whether the budget allows it."""
        raise NotImplementedError

    # ------------------------------------------------ called by the event loop

    def pause_writing(self) -> None:
        """Record that the client does not read; no further request is begun until the client reads again."""
        if self._response_flow is None:
            self._write_paused = True

    def resume_writing(self) -> None:
        """Continue after the operating system has accepted all written bytes."""
        if self._response_flow is not None:
            self._response_flow.drained()
            return
        self._write_paused = False
        self._update_usage()
        self._process_requests()

    # ------------------------------------------------ called by the request handler

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the complete response to the current request."""
        message = self._finish_current_request()
        close = self._closes_connection(message)
        self._write(encode_response(status, headers, body, close))
        self._after_response(close)

    def begin_response(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None:
        """Send the head of a response whose body `flow` delivers; this connection becomes the flow's sink.

        `end_response` or `abort_response` follows.

        Args:
            status: HTTP status code.
            headers: Header fields, without those of the framing.
            length: Length of the complete body in bytes; None if unknown until the body's end.
            flow: Flow that delivers the body.
        """
        message = self._current_request
        if message is None or self._response_flow is not None:
            raise AssertionError(
                "response without a current request, or a response is already being streamed"
            )
        transport = self._transport
        if transport is None:
            return
        transport.set_write_buffer_limits(high=0)
        self._response_flow = flow
        self._socket_writer = SocketWriter(transport)
        self._chunked = length is None and not message.is_http_1_0
        self._ends_at_close = length is None and not self._chunked
        self._close_after_response = self._closes_connection(message) or self._ends_at_close
        head = encode_response_head(status, headers, length, self._chunked, self._close_after_response)
        self._socket_writer.write((head,))
        self._update_usage()

    def end_response(self) -> None:
        """End a streamed response that was sent completely."""
        close = self._close_after_response or self._request_flow is not None
        self._end_streamed_response()
        self._after_response(close)

    def abort_response(self) -> None:
        """Abort a streamed response so that the client detects the truncation.

        Bytes already sent are not revoked. The connection is closed before the end that the head has
        announced; where the close itself would mark the end of the body, the connection is reset instead.
        """
        if self._response_flow is None:
            return
        self._end_streamed_response()
        self._close_request_flow()
        if self._ends_at_close:
            self._reset()
        else:
            self.close_gracefully()

    # ------------------------------------------------ ends of requests and responses

    def _fail_streamed_request(self, fault: Fault) -> None:
        """End the request and the connection, since the rest of the body can't be parsed."""
        notify_disconnect = self._notify_disconnect
        self._notify_disconnect = None
        if notify_disconnect is not None:
            notify_disconnect(fault.status)
        self._close_request_flow()
        if self._response_flow is not None:
            self.abort_response()
        elif self._current_request is not None:
            self._current_request.keep_alive = False
            self.respond(fault.status, [], error_body(fault.text))

    def _closes_connection(self, message: Message) -> bool:
        """Whether the connection ends after the response to a request, e.g. because the body is unread."""
        return not message.keep_alive or self._listener.closing or self._request_flow is not None

    def _after_response(self, close: bool) -> None:
        self._close_request_flow()
        self._update_usage()
        if close:
            self.close_gracefully()
        else:
            self._process_requests()

    def _end_streamed_response(self) -> None:
        self._response_flow = None
        self._socket_writer = None
        self._write_paused = False
        if self._current_request is not None:
            self._finish_current_request()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
