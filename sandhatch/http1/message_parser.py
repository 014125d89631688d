"""Base of the request and response parsers: bytes in, messages and pieces of bodies out.

No I/O, no clock, no decisions; httptools does the parsing. Source: RFC 9112, RFC 9110 section 6.5.1.

Theory of operation. `feed` takes the bytes of one read and returns the events that they complete. By default
a message is returned complete, with its body. The parser's owner may have the body streamed instead: the
parser calls `on_head` with each head that is followed by a body, the owner calls `stream` from that callback,
and later `open` once the parser is `is_openable`. `open` returns the head with the part of the body that is
buffered. After that each read returns pieces of the body, and finally a `BodyEnd`.

    ========= ============================== ========================= =====================================
    state     destination of body bytes      events                    next state
    ========= ============================== ========================= =====================================
    HEAD      (none)                         (none)                    BUFFERING at the head's end
    BUFFERING the parser's buffer            the message, at its end   HEAD at the end, or OPENED by `open`
    OPENED    the events, a piece a read     pieces, then a `BodyEnd`  HEAD at the end
    CLOSED    (input is ignored)             (none)                    (none)
    ========= ============================== ========================= =====================================

A fault in the input, `fail` and `close` lead from every state to CLOSED. An opened body of known length
bypasses httptools: its pieces are views of the bytes read.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools

from sandhatch.http1.errors import Fault, FramingError
from sandhatch.http1.events import BodyEnd, Event
from sandhatch.http1.limits import (
    FORBIDDEN_TRAILERS,
    MAX_FIELDS,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_LENGTH_DIGITS,
    MAX_STREAMED_FRAMING_BYTES,
)
from sandhatch.http1.message import Message
from sandhatch.runtime.byte_buffer import ByteBuffer
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece

NOT_STREAMED = -1  # value of `open_at_bytes` for a body that must not be streamed
UNKNOWN_LENGTH = -1  # value of `_remaining_bytes` for a body whose end is found by httptools


class ParserState(Enum):
    """State of a parser; see the table in the module docstring."""

    HEAD = "head"
    BUFFERING = "buffering"
    OPENED = "opened"
    CLOSED = "closed"


# Module-level names, because the state is compared on every read: in Python 3.11, looking up a member through
# its enum class is ten times slower.
HEAD = ParserState.HEAD
BUFFERING = ParserState.BUFFERING
OPENED = ParserState.OPENED
CLOSED = ParserState.CLOSED


class MessageParser:
    """Feeds one connection's bytes to httptools and enforces the size limits of messages.

    httptools holds references to this object's methods, and so to this object. `close` breaks that reference
    cycle; otherwise everything that the connection holds would stay in memory until a garbage collection.

    Attributes:
        on_head: Callback that is called with each head that is followed by a body, before any byte of the
            body is processed.
        fault: Reason why the parser has stopped; None if it has not stopped because of a fault.
    """

    def __init__(self, max_body_bytes: int, max_messages: int) -> None:
        """Create a parser for a connection from which nothing has been read.

        Args:
            max_body_bytes: Default limit of a body; `stream` may override it for a single body.
            max_messages: Maximum number of messages in one read.
        """
        # `_parser` is None in the state CLOSED.
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._make_parser()
        self._state = HEAD
        self._default_max_body_bytes = max_body_bytes
        self._max_body_bytes = max_body_bytes
        self._max_messages = max_messages
        self._events: list[Event] = []  # events from the bytes of the read that is being parsed
        self._messages_in_read = 0
        self._message = Message()
        # Body of a message that is not opened; of an opened one, the part in the read that is being parsed.
        self._body = ByteBuffer()
        self._body_bytes = 0  # bytes received of the current body
        self._message_bytes = 0  # bytes fed since the last complete message
        self._trailers: Headers = []
        self._bytes_since_body = 0  # bytes fed since the head or the last piece of the body
        self._framing_bytes_in_read = 0  # bytes of the read that is being parsed, without pieces of bodies
        # Upper limit of the bytes that httptools retains of a field or trailer whose end has not arrived.
        self._unparsed_bytes = 0
        self._open_at_bytes = (
            NOT_STREAMED  # number of buffered body bytes from which the body may be streamed
        )
        self._remaining_bytes = UNKNOWN_LENGTH  # bytes still missing of a streamed body of known length
        self.on_head: Callable[[Message], None] | None = None
        self.fault: Fault | None = None

    def _make_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        raise NotImplementedError

    # ------------------------------------------------ state of the current message

    @property
    def has_partial_message(self) -> bool:
        """Whether bytes of an incomplete message have been received."""
        return self._message_bytes > 0

    @property
    def buffered_bytes(self) -> int:
        """Memory that the incomplete message occupies, in bytes, not counting a body that was opened."""
        if self._state is OPENED or not self._message_bytes:
            return 0
        return self._message.approximate_bytes + self._body.memory_bytes + self._unparsed_bytes

    @property
    def is_in_body(self) -> bool:
        """Whether the head of a message has been received but not its complete body."""
        return self._message_bytes > 0 and (self._state is BUFFERING or self._state is OPENED)

    @property
    def body_bytes(self) -> int:
        """Bytes received of the current body."""
        return self._body_bytes

    @property
    def max_body_bytes(self) -> int:
        """Limit of the current body in bytes."""
        return self._max_body_bytes

    # ------------------------------------------------ streaming a body

    @property
    def is_openable(self) -> bool:
        """Whether the current message may be streamed and enough of its body is buffered for `open`."""
        return (
            self._state is BUFFERING
            and self._message_bytes > 0
            and 0 <= self._open_at_bytes <= self._body_bytes
        )

    def stream(self, open_at_bytes: int, max_body_bytes: int) -> None:
        """Set how the current body is received; called from `on_head`.

        Args:
            open_at_bytes: Number of buffered body bytes from which the message may be opened; negative if
                never.
            max_body_bytes: Limit of the complete body.
        """
        self._open_at_bytes = open_at_bytes
        self._max_body_bytes = max_body_bytes

    def open(self) -> Message:
        """Returns the message with the buffered part of its body; `feed` returns the rest in pieces."""
        message = self._message
        message.body = self._body.take()
        self._state = OPENED
        self._bytes_since_body = 0
        self._remaining_bytes = (
            UNKNOWN_LENGTH if message.length is None else message.length - self._body_bytes
        )
        return message

    # ------------------------------------------------ feeding

    def feed(self, data: Piece) -> list[Event]:
        """Parses the bytes of one read.

        Returns:
            Events that the bytes complete. Pieces may be views of `data`. If the bytes contain a fault, the
            events before it are returned and `fault` is set for good.
        """
        if self._parser is None:
            return []
        events: list[Event] = []
        self._events = events
        self._messages_in_read = 0
        size = len(data)
        self._bytes_since_body += size
        self._message_bytes += size
        self._unparsed_bytes += size
        self._framing_bytes_in_read = size
        if self._state is OPENED and self._remaining_bytes >= 0:
            data = self._consume_piece(memoryview(data))
            if not data:
                self._events = []
                return events
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fault = self._fault_from(error)
        self._emit_piece()
        if self.fault is None:
            self.fault = self._check_limits()
        self._events = []
        if self.fault is not None:
            self.fail(self.fault)
            if self.fault.status == 429:
                return []  # too many messages in one read: none of them is accepted
        return events

    def fail(self, fault: Fault) -> None:
        """Stop parsing for good and discard the incomplete message."""
        had_partial_message = self.has_partial_message
        self.fault = fault
        self.close()
        # Preserve the value of `has_partial_message`, which `close` resets.
        self._message_bytes = int(had_partial_message)

    def close(self) -> None:
        """Stop parsing and release the memory of an incomplete message."""
        self._state = CLOSED
        self._parser = None
        self.on_head = None
        self._message = Message()
        self._body.clear()
        self._events = []
        self._body_bytes = 0
        self._message_bytes = 0
        self._unparsed_bytes = 0

    def _consume_piece(self, data: memoryview) -> Piece:
        """Add the part of `data` that belongs to the opened body as a piece; returns the bytes after it."""
        piece = data[: self._remaining_bytes]
        self._remaining_bytes -= len(piece)
        self._body_bytes += len(piece)
        self._framing_bytes_in_read -= len(piece)
        self._events.append(piece)
        if self._remaining_bytes:
            return b""
        remainder = data[len(piece) :]
        self._parser = self._make_parser()  # the old parser has not seen this body and still expects it
        self._finish_opened_body()
        self._message_bytes = len(remainder)
        return remainder

    def _check_limits(self) -> Fault | None:
        """Returns a fault if the head, chunk extensions, trailers or the message exceed their limit."""
        if self._state is HEAD:
            return Fault(431, "the head is too long") if self._message_bytes > MAX_HEAD_BYTES else None
        # httptools buffers a trailer until its end.
        if self._bytes_since_body > MAX_HEAD_BYTES:
            return Fault(400, "too much framing at once")
        if self._open_at_bytes >= 0:
            framing_bytes = self._message_bytes - self._body_bytes
            if framing_bytes > MAX_HEAD_BYTES + MAX_STREAMED_FRAMING_BYTES + self._body_bytes:
                return Fault(400, "more framing than body")
        elif self._message_bytes > MAX_HEAD_BYTES + self._max_body_bytes + MAX_FRAMING_BYTES:
            return Fault(413, "the message is too long")
        return None

    @staticmethod
    def _fault_from(error: Exception) -> Fault:
        cause = error.__context__
        if isinstance(cause, FramingError):  # raised by one of the callbacks below
            return Fault(cause.status, str(cause))
        return Fault(400, f"malformed HTTP: {error}")

    # ------------------------------------------------ callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a new message."""
        if self._messages_in_read >= self._max_messages:
            raise FramingError(429, "too many requests sent ahead")
        if not self._message_bytes:
            # This message follows a complete one in the same read. Its share of the read is unknown here, but
            # the count must be positive for `has_partial_message`.
            self._message_bytes = 1
            self._unparsed_bytes = self._framing_bytes_in_read
        self._message = Message()
        self._body.clear()
        self._body_bytes = 0
        self._state = HEAD

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field to the head, or to the trailers."""
        if self._state is not HEAD:
            self._on_trailer(name, value)
            return
        message = self._message
        headers = message.headers
        if len(headers) >= MAX_FIELDS:
            raise FramingError(431, "the head has too many fields")
        lower_name = name.lower()
        headers.append((name, value))
        message.lower_names.append(lower_name)
        if lower_name == b"content-length":
            if message.length is not None:
                raise FramingError(400, "Content-Length comes more than once")
            # A malformed length is set to 0 here and rejected by httptools.
            message.length = int(value) if len(value) <= MAX_LENGTH_DIGITS and value.isdigit() else 0
        elif lower_name == b"transfer-encoding" and (
            value.strip().lower() != b"chunked" or len(message.values(lower_name)) > 1
        ):
            # Prevents request smuggling, where two parsers find different ends of a message: httptools
            # accepts lists that end in `chunked`, and in a response a second Transfer-Encoding line.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def _on_trailer(self, name: bytes, value: bytes) -> None:
        if self._state is not OPENED:
            return  # trailers of a completely buffered body are not used
        if len(self._trailers) >= MAX_FIELDS:
            raise FramingError(431, "the trailers have too many fields")
        if name.lower() not in FORBIDDEN_TRAILERS:
            self._trailers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the HTTP version; subclasses extend this."""
        assert self._parser is not None
        self._state = BUFFERING
        self._bytes_since_body = 0
        message = self._message
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        message.keep_alive = self._parser.should_keep_alive()
        message.is_http_1_0 = version == "1.0"

    def _announce_body(self) -> None:
        """Call `on_head`, which may choose streaming, then check a stated length against the body's limit."""
        message = self._message
        if self.on_head is not None and message.length != 0:
            self.on_head(message)
        if message.length is not None and message.length > self._max_body_bytes:
            raise FramingError(413, "the body is too long")  # rejected before any of the body is received

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; that of an opened message is added to the events at the read's end."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise FramingError(413, "the body is too long")
        self._bytes_since_body = 0
        # The parts of a read before this piece are parsed; how much of the rest is framing is unknown yet.
        self._framing_bytes_in_read -= len(data)
        self._unparsed_bytes = self._framing_bytes_in_read
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Add the complete message, or the end of an opened body, to the events."""
        if self._state is OPENED:
            self._finish_opened_body()
            return
        message = self._message
        message.body = self._body.take()
        self._events.append(message)
        self._expect_next_message()

    def _emit_piece(self) -> None:
        """Add the read's part of an opened body to the events, in one piece however it is chunked."""
        if self._state is OPENED and self._body:
            self._events.append(self._body.take())

    def _finish_opened_body(self) -> None:
        self._emit_piece()
        self._remaining_bytes = UNKNOWN_LENGTH
        self._events.append(BodyEnd(self._trailers))
        self._trailers = []
        self._expect_next_message()

    def _expect_next_message(self) -> None:
        """Reset the state of the parser after a complete message."""
        self._messages_in_read += 1
        self._message_bytes = 0
        self._unparsed_bytes = 0
        self._body_bytes = 0
        self._state = HEAD
        self._open_at_bytes = NOT_STREAMED
        self._max_body_bytes = self._default_max_body_bytes
