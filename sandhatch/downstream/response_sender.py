"""How a client connection sends its answers: in one piece, or streamed from a flow.

It neither reads requests nor begins them: `RequestReceiver` and `ClientConnection` do. Source:
PROTOCOL-sandhatch.md; RFC 9112 sections 6.3 and 9.6 for the end of a body and of a connection.
"""

from __future__ import annotations

from sandhatch.downstream.interfaces import ConnectionOwner, DisconnectCallback
from sandhatch.downstream.request_receiver import RequestReceiver
from sandhatch.http1.errors import Fault
from sandhatch.http1.message import Message
from sandhatch.http1.serializer import encode_response, encode_response_head
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.socket_writer import SocketWriter


def error_body(text: str) -> bytes:
    """Encodes the body of an answer that says what is wrong."""
    return text.encode("ascii", "replace") + b"\n"


class ResponseSender(RequestReceiver):
    """The sending side of a client connection; see the head of the module."""

    def __init__(self, listener: ConnectionOwner, max_queued: int) -> None:
        """Make the sending side of a connection that `listener` has just accepted; see `RequestReceiver`."""
        super().__init__(listener, max_queued)
        self._current: Message | None = None  # the request in flight
        self._notify_disconnect: DisconnectCallback | None = None  # of the current request
        self._response_flow: Flow | None = None  # of an answer that is being streamed
        self._write_paused = False  # the client does not read its answers
        self._close_after_response = False  # once the streamed answer has ended
        self._ends_at_close = False  # only the close marks the end of the streamed answer

    # ------------------------------------------------ implemented by the connection

    def close_gracefully(self) -> None:
        """Shut down the sending side, and discard what is still received."""
        raise NotImplementedError

    def _take_current(self) -> Message:
        """Ends the current request, and returns it."""
        raise NotImplementedError

    def _update_usage(self) -> bool:
        """Book what it holds of the memory budget now; whether the budget allows that much."""
        raise NotImplementedError

    # ------------------------------------------------ called by the event loop

    def pause_writing(self) -> None:
        """Note that the client does not read: no further request is begun until it does."""
        if self._response_flow is None:
            self._write_paused = True

    def resume_writing(self) -> None:
        """Go on, since the system has taken all that was written."""
        if self._response_flow is not None:
            self._response_flow.drained()
            return
        self._write_paused = False
        self._update_usage()
        self._process_requests()

    # ------------------------------------------------ called by the request handler

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the current request."""
        message = self._take_current()
        close = self._is_last(message)
        self._write(encode_response(status, headers, body, close))
        self._after_response(close)

    def begin_response(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None:
        """Write the head of an answer whose body `flow` will bring; this becomes the flow's sink.

        Args:
            status: HTTP status code.
            headers: Fields of the head, without those of the framing.
            length: Bytes of the whole body; None if only its end will tell.
            flow: Brings the body. `end_response` or `abort_response` follows.
        """
        message = self._current
        if message is None or self._response_flow is not None:
            raise AssertionError("an answer to no request")
        transport = self._transport
        if transport is None:
            return
        transport.set_write_buffer_limits(high=0)
        self._response_flow = flow
        self._socket_writer = SocketWriter(transport)
        self._chunked = length is None and not message.is_http_1_0
        self._ends_at_close = length is None and not self._chunked
        self._close_after_response = self._is_last(message) or self._ends_at_close
        head = encode_response_head(status, headers, length, self._chunked, self._close_after_response)
        self._socket_writer.write((head,))
        self._update_usage()

    def end_response(self) -> None:
        """End a streamed answer that was sent completely."""
        close = self._close_after_response or self._request_flow is not None
        self._end_streamed_response()
        self._after_response(close)

    def abort_response(self) -> None:
        """Abort a streamed answer: the client must see that it is truncated.

        What was sent stays sent, and the close comes before the end that the head has announced. Where only
        the close would have marked the end, a reset takes its place.
        """
        if self._response_flow is None:
            return
        self._end_streamed_response()
        self._close_request_flow()
        if self._ends_at_close:
            self._reset()
        else:
            self.close_gracefully()

    # ------------------------------------------------

    def _fail_streamed_request(self, fault: Fault) -> None:
        """End the request and the connection: the rest of the body can't be parsed."""
        notify_disconnect = self._notify_disconnect
        self._notify_disconnect = None
        if notify_disconnect is not None:
            notify_disconnect(fault.status)
        self._close_request_flow()
        if self._response_flow is not None:
            self.abort_response()
        elif self._current is not None:
            self._current.keep_alive = False
            self.respond(fault.status, [], error_body(fault.text))

    def _is_last(self, message: Message) -> bool:
        """Whether its answer is the connection's last: also where the rest of its body is unread."""
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
        if self._current is not None:
            self._take_current()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
