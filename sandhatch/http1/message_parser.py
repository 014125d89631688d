"""What the parsers of both sides share: bytes in, messages and pieces of bodies out.

No I/O, no clock, no decisions; httptools does the parsing. Source: RFC 9112, RFC 9110 section 6.5.1.

Theory of operation. `feed` takes the bytes of one read and returns the events that they complete. By default
a message comes complete, with its body. Its owner may let the body be streamed instead: the parser calls
`on_head` with each head behind which a body follows; the owner calls `stream` from there, and later `open`
once the parser is `openable`. `open` returns the head with what was buffered of the body; from then on each
read brings pieces of it, and at last an `End`.

    ========= ============================== ========================= =====================================
    state     bytes of a body go to          events                    next state
    ========= ============================== ========================= =====================================
    HEAD      (none)                         (none)                    BUFFERING at the head's end
    BUFFERING the parser's buffer            the message, at its end   HEAD at the end, or OPENED by `open`
    OPENED    the events, as pieces          each piece, then `End`    HEAD at the end
    CLOSED    (nothing is read any more)     (none)                    (none)
    ========= ============================== ========================= =====================================

Every state goes to CLOSED by a fault in what was read, by `fail` and by `close`. An opened body of known
length does not go through httptools at all: its pieces are views of the bytes read.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools

from sandhatch.http1.errors import Fault, FramingError
from sandhatch.http1.events import End, Event
from sandhatch.http1.limits import (
    FORBIDDEN_TRAILERS,
    MAX_FIELDS,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_LENGTH_DIGITS,
    MAX_STREAMED_FRAMING_BYTES,
)
from sandhatch.http1.message import Message
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece

NEVER = -1  # as a number of buffered bytes: the body is not streamed
UNKNOWN = -1  # as a number of remaining bytes: httptools finds the end


class ParserState(Enum):
    """What the bytes that are read belong to; see the table at the head of the module."""

    HEAD = "head"
    BUFFERING = "buffering"
    OPENED = "opened"
    CLOSED = "closed"


# Compared with every read: Python 3.11 finds a member by its class ten times slower than by such a name.
HEAD = ParserState.HEAD
BUFFERING = ParserState.BUFFERING
OPENED = ParserState.OPENED
CLOSED = ParserState.CLOSED


class MessageParser:
    """Feeds one connection's bytes to httptools and bounds what a message may take.

    httptools holds the parser's methods, and so the parser itself: `close` breaks that cycle, which would
    else wait for the garbage collector with all that the connection held.
    """

    def __init__(self, max_body_bytes: int, max_messages: int) -> None:
        """Make a parser of a connection from which nothing was read yet.

        Args:
            max_body_bytes: Limit of a body, unless `stream` sets another for one.
            max_messages: Messages that one read may bring.
        """
        # None in the state CLOSED.
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._make_parser()
        self._state = HEAD
        self._default_max_body_bytes = max_body_bytes
        self._max_body_bytes = max_body_bytes
        self._max_messages = max_messages
        self._events: list[Event] = []  # of the read that is being parsed
        self._messages_in_read = 0
        self._message = Message()
        self._body_parts: list[bytes] = []
        self._body_bytes = 0  # received of the present body
        self._message_bytes = 0  # fed since the last complete message
        self._trailers: Headers = []
        self._bytes_since_body = 0  # fed of an opened message since the last piece of its body
        self._open_at_bytes = NEVER  # buffered bytes of body from which it may be opened
        self._remaining_bytes = UNKNOWN  # of an opened body of known length
        # Called with each head behind which a body follows, before any of the body is looked at.
        self.on_head: Callable[[Message], None] | None = None
        self.fault: Fault | None = None

    def _make_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        raise NotImplementedError

    # ------------------------------------------------ what has been received

    @property
    def has_partial_message(self) -> bool:
        """Whether bytes of an incomplete message have been received."""
        return self._message_bytes > 0

    @property
    def buffered_bytes(self) -> int:
        """About the bytes that the incomplete message takes in memory."""
        if self._state is OPENED or not self._message_bytes:
            return 0
        return min(self._message_bytes, MAX_HEAD_BYTES) + self._body_bytes

    @property
    def in_body(self) -> bool:
        """Whether a message's head has been received, and not all of its body."""
        return self._message_bytes > 0 and (self._state is BUFFERING or self._state is OPENED)

    @property
    def size(self) -> int:
        """Bytes of the present body that have been received."""
        return self._body_bytes

    @property
    def max_body_bytes(self) -> int:
        """The limit of the present body in bytes."""
        return self._max_body_bytes

    # ------------------------------------------------ streaming a body

    @property
    def openable(self) -> bool:
        """Whether the present message may be opened, and enough of its body is buffered."""
        return (
            self._state is BUFFERING
            and self._message_bytes > 0
            and 0 <= self._open_at_bytes <= self._body_bytes
        )

    def stream(self, open_at_bytes: int, max_body_bytes: int) -> None:
        """Set how the present body is received; called from `on_head`.

        Args:
            open_at_bytes: Buffered bytes of body from which it may be opened; negative: it is never opened.
            max_body_bytes: Limit of the complete body.
        """
        self._open_at_bytes = open_at_bytes
        self._max_body_bytes = max_body_bytes

    def open(self) -> Message:
        """Returns the present message with what is buffered of its body; the rest comes in pieces."""
        message = self._message
        message.body = b"".join(self._body_parts)
        self._body_parts = []
        self._state = OPENED
        self._bytes_since_body = 0
        self._remaining_bytes = UNKNOWN if message.length is None else message.length - self._body_bytes
        return message

    # ------------------------------------------------ feeding

    def feed(self, data: Piece) -> list[Event]:
        """Parses the bytes of one read.

        Returns:
            What they complete. Pieces may be views of `data`. A fault behind that is left in `fault`, for
            good.
        """
        if self._parser is None:
            return []
        events: list[Event] = []
        self._events = events
        self._messages_in_read = 0
        self._bytes_since_body += len(data)
        self._message_bytes += len(data)
        if self._state is OPENED and self._remaining_bytes >= 0:
            data = self._take_piece(memoryview(data))
            if not data:
                self._events = []
                return events
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fault = self._fault_of(error)
        if self.fault is None:
            self.fault = self._limit_exceeded()
        self._events = []
        if self.fault is not None:
            self.fail(self.fault)
            if self.fault.status == 429:
                return []  # nothing of such a read is accepted
        return events

    def fail(self, fault: Fault) -> None:
        """Read no further: what follows is never parsed, and the incomplete message is discarded."""
        had_partial_message = self.has_partial_message
        self.fault = fault
        self.close()
        self._message_bytes = int(had_partial_message)  # `has_partial_message` goes on telling of it

    def close(self) -> None:
        """Read nothing more, and release what is held of an incomplete message."""
        self._state = CLOSED
        self._parser = None
        self.on_head = None
        self._message = Message()
        self._body_parts = []
        self._events = []
        self._body_bytes = 0
        self._message_bytes = 0

    def _take_piece(self, data: memoryview) -> Piece:
        """Take the opened body's part of what was read; returns what is behind it."""
        piece = data[: self._remaining_bytes]
        self._remaining_bytes -= len(piece)
        self._body_bytes += len(piece)
        self._events.append(piece)
        if self._remaining_bytes:
            return b""
        rest = data[len(piece) :]
        self._parser = self._make_parser()  # the one before still waits for this body
        self._finish_opened()
        self._message_bytes = len(rest)
        return rest

    def _limit_exceeded(self) -> Fault | None:
        """Rejects a head, or chunk extensions and trailers, that never end."""
        if self._state is HEAD:
            return Fault(431, "the head is too long") if self._message_bytes > MAX_HEAD_BYTES else None
        # An extension or a trailer, which httptools buffers until it ends.
        if self._state is OPENED and self._bytes_since_body > MAX_HEAD_BYTES:
            return Fault(400, "too much framing at once")
        if self._open_at_bytes >= 0:
            framing_bytes = self._message_bytes - self._body_bytes
            if framing_bytes > MAX_HEAD_BYTES + MAX_STREAMED_FRAMING_BYTES + self._body_bytes:
                return Fault(400, "more framing than body")
        elif self._message_bytes > MAX_HEAD_BYTES + self._max_body_bytes + MAX_FRAMING_BYTES:
            return Fault(413, "the message is too long")
        return None

    @staticmethod
    def _fault_of(error: Exception) -> Fault:
        cause = error.__context__
        if isinstance(cause, FramingError):  # raised by a callback below
            return Fault(cause.status, str(cause))
        return Fault(400, f"malformed HTTP: {error}")

    # ------------------------------------------------ called by httptools

    def on_message_begin(self) -> None:
        """Start the next message."""
        if self._messages_in_read >= self._max_messages:
            raise FramingError(429, "too many requests sent ahead")
        if not self._message_bytes:
            # Behind a complete one in the same read. How much of the read is this message's is not known
            # here; what matters is that there is one.
            self._message_bytes = 1
        self._message = Message()
        self._body_parts = []
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
        lower = name.lower()
        headers.append((name, value))
        message.lower_names.append(lower)
        if lower == b"content-length":
            if message.length is not None:
                raise FramingError(400, "Content-Length comes more than once")
            # What is malformed counts as 0 here, and is rejected by httptools.
            message.length = int(value) if len(value) <= MAX_LENGTH_DIGITS and value.isdigit() else 0
        elif lower == b"transfer-encoding" and (
            value.strip().lower() != b"chunked" or len(message.values(lower)) > 1
        ):
            # Prevents request smuggling, by two parsers that find different ends: httptools accepts lists
            # ending in `chunked`, and of an answer a second line of it.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def _on_trailer(self, name: bytes, value: bytes) -> None:
        if self._state is not OPENED:
            return  # nothing here uses the trailers of a complete body
        if len(self._trailers) >= MAX_FIELDS:
            raise FramingError(431, "the trailers have too many fields")
        if name.lower() not in FORBIDDEN_TRAILERS:
            self._trailers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the version; subclasses do the rest."""
        assert self._parser is not None
        self._state = BUFFERING
        message = self._message
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        message.keep_alive = self._parser.should_keep_alive()
        message.is_http_1_0 = version == "1.0"

    def _announce_body(self) -> None:
        """Let the owner choose how the body is received, then apply its limit to a stated length."""
        message = self._message
        if self.on_head is not None and message.length != 0:
            self.on_head(message)
        if message.length is not None and message.length > self._max_body_bytes:
            raise FramingError(413, "the body is too long")  # rejected before the body is received

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or return it as a piece."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise FramingError(413, "the body is too long")
        if self._state is OPENED:
            self._bytes_since_body = 0
            self._events.append(data)
        else:
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Return the complete message, or the end of an opened body."""
        if self._state is OPENED:
            self._finish_opened()
            return
        message = self._message
        message.body = b"".join(self._body_parts)
        self._body_parts = []
        self._events.append(message)
        self._expect_next_message()

    def _finish_opened(self) -> None:
        self._remaining_bytes = UNKNOWN
        self._events.append(End(self._trailers))
        self._trailers = []
        self._expect_next_message()

    def _expect_next_message(self) -> None:
        """Forget the message that is complete."""
        self._messages_in_read += 1
        self._message_bytes = 0
        self._body_bytes = 0
        self._state = HEAD
        self._open_at_bytes = NEVER
        self._max_body_bytes = self._default_max_body_bytes
