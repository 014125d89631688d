"""The bytes that a parser counts for an incomplete message cover the memory that the message occupies.

The memory budget knows nothing but this count. Memory is measured by tracemalloc, which sees the allocations
of httptools too.
"""

from __future__ import annotations

import tracemalloc

import pytest

from sandhatch.http1.events import BodyEnd
from sandhatch.http1.limits import MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES
from sandhatch.http1.parser import RequestParser, ResponseParser

KIB = 1024
PARSERS = 4  # enough that allocations which all of them share don't count
# Memory of a parser that has received a few bytes: its own objects, and those of httptools.
FIXED_BYTES = 3 * KIB

REQUEST = b"POST /api HTTP/1.1\r\nHost: api\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FIELDS = b"".join(b"n%d:v%d\r\n" % (number, number) for number in range(90))
TWO_BYTE_CHUNKS = b"2\r\nab\r\n" * 32_500

INCOMPLETE_MESSAGES = {
    "two-byte chunks": CHUNKED + TWO_BYTE_CHUNKS,
    "one-byte chunks": CHUNKED + b"1\r\na\r\n" * 64_000,
    "chunk extension": CHUNKED + b"5;" + b"x" * 30 * KIB,
    "trailer": CHUNKED + b"2\r\nab\r\n0\r\nA: " + b"x" * 30 * KIB,
    "many short fields": FIELDS,
    "long field value": b"a: " + b"x" * 31 * KIB,
    "long field name": b"x" * 31 * KIB,
    "part of a body": b"Content-Length: 65000\r\n\r\n" + b"x" * 64_000,
}


@pytest.mark.parametrize("read_bytes", [64 * KIB, 1000])
@pytest.mark.parametrize("name", INCOMPLETE_MESSAGES)
@pytest.mark.parametrize("is_request", [True, False], ids=["request", "response"])
def test_counted_bytes_cover_the_memory_of_an_incomplete_message(
    name: str, is_request: bool, read_bytes: int
) -> None:
    # Guards against a process killed for memory that its budget had not counted, as with small chunks.
    received = (REQUEST if is_request else RESPONSE) + INCOMPLETE_MESSAGES[name]
    tracemalloc.start()
    try:
        parsers = []
        for _ in range(PARSERS):
            parser = RequestParser() if is_request else ResponseParser()
            for offset in range(0, len(received), read_bytes):
                parser.feed(memoryview(received)[offset : offset + read_bytes])
            parsers.append(parser)
        used_bytes = tracemalloc.get_traced_memory()[0] / PARSERS
    finally:
        tracemalloc.stop()
    assert parsers[0].fault is None
    assert used_bytes <= parsers[0].buffered_bytes + FIXED_BYTES
    # Nor is the budget exhausted by a count far above the use.
    assert parsers[0].buffered_bytes <= max(2 * used_bytes, len(received) + KIB)


@pytest.mark.parametrize("beginning", [b"2\r\nab\r\n0\r\nA: ", b"5;"], ids=["trailer", "extension"])
def test_framing_of_a_buffered_body_is_rejected_before_it_outgrows_a_head(beginning: bytes) -> None:
    # Guards against a body of a few bytes whose trailer takes a megabyte.
    parser = RequestParser()
    parser.feed(REQUEST + CHUNKED + beginning)
    fed_bytes = 0
    while parser.fault is None and fed_bytes < MAX_REQUEST_BODY_BYTES:
        parser.feed(b"x" * KIB)
        fed_bytes += KIB
    assert parser.fault is not None
    assert parser.fault.status == 400
    assert fed_bytes <= MAX_HEAD_BYTES + KIB


def test_small_chunks_that_end_are_one_message() -> None:
    parser = RequestParser()
    parser.feed(REQUEST + CHUNKED)
    assert parser.feed(TWO_BYTE_CHUNKS) == []
    (message,) = parser.feed(b"0\r\n\r\n")
    assert message.body == b"ab" * 32_500  # type: ignore[union-attr]
    assert parser.buffered_bytes == 0


def test_small_chunks_of_an_opened_body_are_one_piece_a_read() -> None:
    # Guards against thousands of small writes to a slow receiver, each of which takes memory of its own.
    parser = RequestParser()
    parser.on_head = lambda _message: parser.stream(0, 1024 * KIB)
    assert parser.feed(REQUEST + CHUNKED) == []
    parser.open()
    assert parser.feed(TWO_BYTE_CHUNKS[: 7 * 1000]) == [b"ab" * 1000]
    piece, end = parser.feed(TWO_BYTE_CHUNKS[: 7 * 1000] + b"0\r\n\r\n")
    assert piece == b"ab" * 1000
    assert isinstance(end, BodyEnd)
