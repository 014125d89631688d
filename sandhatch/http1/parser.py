"""HTTP/1.1 parsers for clients' requests and servers' responses.

Each extends `MessageParser`, whose module describes the theory of operation, with the parts that are specific
to its side: the request line, the status line, 100 (Continue) and interim responses. No output and no
decisions. Source: RFC 9112; RFC 9110 sections 10.1.1 and 15.2.
"""

from __future__ import annotations

import httptools

from sandhatch.http1.errors import FramingError
from sandhatch.http1.events import Event
from sandhatch.http1.limits import MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES
from sandhatch.http1.message_parser import MessageParser

STATUSES_WITHOUT_BODY = frozenset((204, 304))


class RequestParser(MessageParser):
    """Parses requests.

    Attributes:
        expects_continue: Whether the client waits for 100 (Continue) before it sends the current body.
    """

    _parser: httptools.HttpRequestParser | None

    def __init__(self, max_body_bytes: int = MAX_REQUEST_BODY_BYTES, max_messages: int = 4) -> None:
        """Create a parser for a client connection; see `MessageParser`."""
        super().__init__(max_body_bytes, max_messages)
        self.expects_continue = False

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._message.target += url

    def on_headers_complete(self) -> None:
        """Complete the head, and announce the body if there is one."""
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.method = self._parser.get_method()
        if self._parser.should_upgrade():
            raise FramingError(400, "no upgrade is offered")
        if message.length is None and not message.values(b"transfer-encoding"):
            return  # the request has no body
        self.expects_continue = any(value.lower() == b"100-continue" for value in message.values(b"expect"))
        self._announce_body()

    def on_message_complete(self) -> None:
        """Add the request, or the end of its body, to the events."""
        self.expects_continue = False
        super().on_message_complete()


class ResponseParser(MessageParser):
    """Parses responses.

    A response with neither a length nor chunks is complete when the server ends the stream in order
    (`end_stream`). After a reset it stays incomplete.
    """

    _parser: httptools.HttpResponseParser | None
    # Interim responses are not counted. Of the final responses only the first is used; the connection is
    # closed if further responses follow.
    MAX_RESPONSES_IN_READ = 64

    def __init__(self, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES) -> None:
        """Create a parser for a connection to a server; see `MessageParser`."""
        super().__init__(max_body_bytes, self.MAX_RESPONSES_IN_READ)

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Complete the head, and announce the body if there is one."""
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.status = self._parser.get_status_code()
        if message.status >= 200 and message.status not in STATUSES_WITHOUT_BODY:
            self._announce_body()

    def end_stream(self) -> list[Event]:
        """Handle the orderly end of the server's stream; nothing may be fed afterwards.

        Returns:
            The response, or the end of its opened body, if only the end of the stream delimits the body
            (RFC 9112 section 6.3); nothing if the response is incomplete.
        """
        message = self._message
        is_delimited = message.length is not None or message.values(b"transfer-encoding")
        if is_delimited or not self.is_in_body:
            return []
        events: list[Event] = []
        self._events = events
        self.on_message_complete()
        self._events = []
        return events

    def on_message_complete(self) -> None:
        """Add the response, or the end of its body, to the events; interim responses (1xx) are skipped."""
        if self._message.status >= 200:
            super().on_message_complete()
