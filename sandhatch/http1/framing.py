"""HTTP/1.1 framing for both sides: bytes to messages by httptools, messages to bytes. It decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import httptools

from sandhatch.http1.message import Fault, FramingError, Message
from sandhatch.streaming.flow import Piece
from sandhatch.streaming.headers import Headers

MAX_HEAD = 32 * 1024
# Guards against heads of thousands of short fields, which cost far more than their bytes.
MAX_FIELDS = 100
MAX_BODY = 64 * 1024  # of a request
# Of an answer. The protocol says 64 KiB, but upstreams were seen to give good ones of 200 to 380 KiB; what
# all connections hold together is bounded by their room.
MAX_ANSWER = 1024 * 1024
MAX_FRAMING = 1024 * 1024  # guards against chunks, trailers or interim answers without end
# Of a body in pieces, beyond its own size: guards against chunks of a byte each, and extensions without end.
MAX_OPEN_FRAMING = 64 * 1024

# Fields that say how a message is framed, routed or trusted have no place behind its body (RFC 9110 6.5.1).
NO_TRAILERS = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-encoding",
        b"content-length",
        b"content-range",
        b"content-type",
        b"cookie",
        b"expect",
        b"host",
        b"set-cookie",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-expires-in-ms",
        b"x-trace-id",
    )
)

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class End(NamedTuple):
    """The end of a body that was passed on in pieces."""

    trailers: Headers


Event = Message | Piece | End


class _Reader:
    """Feeds one connection's bytes to httptools and bounds what a message may hold.

    A message comes whole, unless its owner lets it come in pieces (`stream`, then `open`). Then its head
    comes with what is held of the body, and each later read brings pieces and at last an `End`. A body of
    known length in pieces does not go through the parser at all: its pieces are views of what was read.

    The parser holds the reader's methods, and so the reader itself: `close` ends that cycle, which would else
    wait for the collector with all that the connection held.
    """

    def __init__(self, max_body: int, most: int) -> None:
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._make_parser()
        self._usual_max = self._max_body = max_body
        self._most = most  # messages that one read may bring
        self._done: list[Event] = []
        self._came = 0  # messages in this read
        self._message = Message()
        self._parts: list[bytes] = []
        self._size = 0  # of the body
        self._raw = 0  # bytes fed since the last whole message
        self._in_head = True
        self._trailers: Headers = []
        self._bare = 0  # bytes of an opened message that have come since the last of its body
        self._hold = -1  # bytes of body from which it may be opened; -1: not at all
        self._left = -1  # bytes still to come of an opened body of known length; -1: the parser finds the end
        self.opened = False
        # Told of each head with a body, before any of the body is looked at.
        self.headed: Callable[[Message], None] | None = None
        self.fault: Fault | None = None

    def _make_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        raise NotImplementedError

    @property
    def begun(self) -> bool:
        """Whether bytes of an unfinished message have come."""
        return self._raw > 0

    @property
    def held(self) -> int:
        """About what the unfinished message holds in memory."""
        if self.opened or not self._raw:
            return 0
        return min(self._raw, MAX_HEAD) + self._size

    @property
    def in_body(self) -> bool:
        """Whether the head of a message has come, and not all of it."""
        return self._raw > 0 and not self._in_head

    @property
    def size(self) -> int:
        """Bytes of the present body that have come."""
        return self._size

    @property
    def most_body(self) -> int:
        """The limit of the present body."""
        return self._max_body

    @property
    def openable(self) -> bool:
        """Whether the present message may be opened, and holds enough to be."""
        return self.in_body and not self.opened and 0 <= self._hold <= self._size and self.fault is None

    def stream(self, hold: int, most: int) -> None:
        """Let the present message come in pieces once `hold` bytes of its body are there; `most` bounds the
        body as a whole. Called from `headed`.
        """
        self._hold = hold
        self._max_body = most

    def open(self) -> Message:
        """The head of the present message, with what has come of the body; the rest comes in pieces."""
        message = self._message
        message.body = b"".join(self._parts)
        self._parts = []
        self.opened = True
        self._bare = 0
        self._left = -1 if message.length is None else message.length - self._size
        return message

    def close(self) -> None:
        """Nothing more is read, and what is held of an unfinished message is let go."""
        self._parser = None
        self.headed = None
        self._message = Message()
        self._parts = []
        self._done = []
        self._size = self._raw = 0
        self.opened = False

    def feed(self, data: Piece) -> list[Event]:
        """What these bytes complete; a fault after them is left in `fault`, for good. Pieces may be views of
        `data`.
        """
        if self.fault is not None or self._parser is None:
            return []
        done: list[Event] = []
        self._done = done
        self._came = 0
        self._bare += len(data)
        self._raw += len(data)
        if self.opened and self._left >= 0:
            data = self._take(memoryview(data))
            if not data:
                self._done = []
                return done
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self.fault = self._fault_of(problem)
        if self.fault is None:
            self.fault = self._too_much()
        self._done = []
        if self.fault is not None:
            self.fail(self.fault)
            if self.fault.status == 429:
                return []  # nothing of such a read is taken
        return done

    def _take(self, data: memoryview) -> Piece:
        """The opened body's part of what came; returns what is behind it."""
        piece = data[: self._left]
        self._left -= len(piece)
        self._size += len(piece)
        self._done.append(piece)
        if self._left:
            return b""
        rest = data[len(piece) :]
        self._parser = self._make_parser()  # the one before still waits for this body
        self._finish_opened()
        self._raw = len(rest)
        return rest

    def _too_much(self) -> Fault | None:
        """Guards against a head, or chunk extensions and trailers, that never end."""
        if self._in_head:
            return Fault(431, "the head is too long") if self._raw > MAX_HEAD else None
        if (
            self.opened and self._bare > MAX_HEAD
        ):  # an extension or a trailer, held by the parser till it ends
            return Fault(400, "too much framing at once")
        if self._hold >= 0 and self._raw - self._size > MAX_HEAD + MAX_OPEN_FRAMING + self._size:
            return Fault(400, "more framing than body")
        if self._hold < 0 and self._raw > MAX_HEAD + self._max_body + MAX_FRAMING:
            return Fault(413, "the message is too long")
        return None

    def fail(self, fault: Fault) -> None:
        """Read no further: what follows is never parsed, and what came in part is of no use."""
        begun = self.begun
        self.fault = fault
        self.close()
        self._raw = int(begun)

    @staticmethod
    def _fault_of(problem: Exception) -> Fault:
        cause = problem.__context__
        if isinstance(cause, FramingError):
            return Fault(cause.status, str(cause))
        return Fault(400, f"malformed HTTP: {problem}")

    # Called by httptools.

    def on_message_begin(self) -> None:
        if self._came >= self._most:
            raise FramingError(429, "too many requests sent ahead")
        self._message = Message()
        self._parts = []
        self._size = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            self._on_trailer(name, value)
            return
        message = self._message
        headers = message.headers
        if len(headers) >= MAX_FIELDS:
            raise FramingError(431, "the head has too many fields")
        lower = name.lower()
        headers.append((name, value))
        message.names.append(lower)
        if lower == b"content-length":
            if message.length is not None:
                raise FramingError(400, "Content-Length comes more than once")
            message.length = int(value) if len(value) < 20 and value.isdigit() else 0  # else it is refused
        elif lower == b"transfer-encoding" and (
            value.strip().lower() != b"chunked" or len(message.values(lower)) > 1
        ):
            # Guards against two readers that find different ends: the parser takes lists ending in `chunked`,
            # and of an answer a second line of it.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def _on_trailer(self, name: bytes, value: bytes) -> None:
        if not self.opened:
            return  # of a body that came whole nothing here uses one
        if len(self._trailers) >= MAX_FIELDS:
            raise FramingError(431, "the trailers have too many fields")
        if name.lower() not in NO_TRAILERS:
            self._trailers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._in_head = False
        message = self._message
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        message.keep_alive = self._parser.should_keep_alive()
        message.version_10 = version == "1.0"

    def _announce(self) -> None:
        """Ask the owner about a body, then hold it to its limit."""
        message = self._message
        if self.headed is not None and message.length != 0:
            self.headed(message)
        if message.length is not None and message.length > self._max_body:  # refused before the body comes
            raise FramingError(413, "the body is too long")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._max_body:
            raise FramingError(413, "the body is too long")
        if self.opened:
            self._bare = 0
            self._done.append(data)
        else:
            self._parts.append(data)

    def on_message_complete(self) -> None:
        if self.opened:
            self._finish_opened()
            return
        message = self._message
        message.body = b"".join(self._parts)
        self._parts = []
        self._done.append(message)
        self._reset()

    def _finish_opened(self) -> None:
        self.opened = False
        self._left = -1
        self._done.append(End(self._trailers))
        self._trailers = []
        self._reset()

    def _reset(self) -> None:
        self._came += 1
        self._raw = self._size = 0
        self._in_head = True
        self._hold = -1
        self._max_body = self._usual_max


class RequestReader(_Reader):
    """Reads requests; `expects_continue` says that the caller waits for leave to send its body."""

    _parser: httptools.HttpRequestParser | None

    def __init__(self, max_body: int = MAX_BODY, most: int = 4) -> None:
        super().__init__(max_body, most)
        self.expects_continue = False

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.method = self._parser.get_method()
        if self._parser.should_upgrade():
            raise FramingError(400, "no upgrade is offered")
        if message.length is None and not message.values(b"transfer-encoding"):
            return  # no body
        self.expects_continue = any(v.lower() == b"100-continue" for v in message.values(b"expect"))
        self._announce()

    def on_message_complete(self) -> None:
        self.expects_continue = False
        super().on_message_complete()


class ResponseReader(_Reader):
    """Reads answers. One whose end only the closed connection would show never completes: it can't be told
    from one that was cut off.
    """

    _parser: httptools.HttpResponseParser | None
    MOST = 64  # answers in one read, interim ones not counted: the first is used, and one more is a fault

    def __init__(self, max_body: int = MAX_ANSWER) -> None:
        super().__init__(max_body, self.MOST)

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.status = self._parser.get_status_code()
        if message.length is not None or message.values(b"transfer-encoding"):
            self._announce()

    def on_message_complete(self) -> None:
        if self._message.status >= 200:  # an interim answer announces the real one
            super().on_message_complete()


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """The head of a request whose body follows in pieces: of known length, or in chunks."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(CHUNKED if length is None else b"Content-Length: %d\r\n\r\n" % length)
    return b"".join(parts)


def encode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    length: int | None,
    chunked: bool,
    close: bool,
) -> bytes:
    """The head of an answer whose body follows in pieces. Without length and chunks, its end is the
    connection's, which callers of HTTP/1.0 are left with.
    """
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if close:
        parts.append(b"Connection: close\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n\r\n" % length)
    else:
        parts.append(CHUNKED if chunked else b"\r\n")
    return b"".join(parts)


def chunk(piece: Piece) -> tuple[Piece, ...]:
    """A piece as one chunk, not joined (RFC 9112 section 7.1). An empty one is none: it would be the end."""
    return (b"%x\r\n" % len(piece), piece, b"\r\n") if len(piece) else ()


def last_chunk(trailers: Headers) -> bytes:
    """The end of a body in chunks."""
    return b"".join((b"0\r\n", *(b"%b: %b\r\n" % field for field in trailers), b"\r\n"))


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """A request in one piece. A body, or a method that usually has one, states its length."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes, close: bool = False
) -> bytes:
    """An answer in one piece."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)
