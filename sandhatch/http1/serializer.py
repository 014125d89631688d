"""HTTP/1.1 messages to bytes: heads, chunks, and small messages in one piece.

Checks nothing and writes to no socket. Source: RFC 9112.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece

CHUNKED_AND_HEAD_END = b"Transfer-Encoding: chunked\r\n\r\n"

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


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encodes a request in one piece. A body, or a method that usually has one, states its length."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """Encodes the head of a request whose body follows in pieces.

    Args:
        method: Method.
        target: Request target.
        headers: Fields without those of the framing.
        length: Bytes of the body; None if it follows in chunks.
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(CHUNKED_AND_HEAD_END if length is None else b"Content-Length: %d\r\n\r\n" % length)
    return b"".join(parts)


def encode_response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes, close: bool = False
) -> bytes:
    """Encodes an answer in one piece; `close` says that it is its connection's last."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    length: int | None,
    chunked: bool,
    close: bool,
) -> bytes:
    """Encodes the head of an answer whose body follows in pieces.

    Without length and chunks the close of the connection marks the body's end, as a client of HTTP/1.0 needs.

    Args:
        status: HTTP status code.
        headers: Fields without those of the framing.
        length: Bytes of the body; None if only its end will tell.
        chunked: Whether a body of unknown length follows in chunks.
        close: Whether the answer is its connection's last.
    """
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if close:
        parts.append(b"Connection: close\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n\r\n" % length)
    else:
        parts.append(CHUNKED_AND_HEAD_END if chunked else b"\r\n")
    return b"".join(parts)


def chunk(piece: Piece) -> Sequence[Piece]:
    """Frames a piece as one chunk: parts to be written in this order, not joined (RFC 9112 section 7.1).

    An empty piece gives no chunk: it would mark the end of the body.
    """
    return (b"%x\r\n" % len(piece), piece, b"\r\n") if len(piece) else ()


def last_chunk(trailers: Headers) -> bytes:
    """Encodes the end of a chunked body."""
    return b"".join((b"0\r\n", *(b"%b: %b\r\n" % field for field in trailers), b"\r\n"))
