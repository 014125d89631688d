"""HTTP/1.1 framing: the events do not depend on how a message is split into reads, and accepted input has the
same meaning to another parser (h11), for well-formed and for corrupted messages.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sandhatch.http1.errors import Fault, FramingError
from sandhatch.http1.events import BodyEnd
from sandhatch.http1.message import Message
from sandhatch.http1.parser import RequestParser, ResponseParser
from sandhatch.http1.serializer import encode_chunk, encode_last_chunk
from sandhatch.streaming.headers import Headers

KIB = 1024
MAX_BODY_BYTES = 4096 * KIB


class ParsedMessage(NamedTuple):
    """A received message, complete or assembled from pieces."""

    method: bytes
    target: bytes
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    complete: bool
    trailers: tuple[tuple[bytes, bytes], ...]


class MessageCollector:
    """Feeds a parser like a connection, opens messages to stream their bodies, and collects all messages."""

    def __init__(self, parser: RequestParser | ResponseParser, open_at_bytes: int) -> None:
        self.parser = parser
        self.messages: list[ParsedMessage] = []
        self._opened_message: Message | None = None
        self._body_parts: list[bytes] = []
        parser.on_head = lambda _message: parser.stream(open_at_bytes, MAX_BODY_BYTES)

    def feed(self, data: bytes) -> None:
        for event in self.parser.feed(data):
            if isinstance(event, Message):
                self._add(event, event.body, True, [])
            elif isinstance(event, BodyEnd):
                assert self._opened_message is not None
                self._add(self._opened_message, b"".join(self._body_parts), True, event.trailers)
                self._opened_message = None
            else:
                assert self._opened_message is not None, "piece of a body that was not opened"
                assert len(event)
                self._body_parts.append(bytes(event))
        if self.parser.is_openable:
            self._opened_message = self.parser.open()
            self._body_parts = [self._opened_message.body]

    def _add(self, message: Message, body: bytes, complete: bool, trailers: Headers) -> None:
        fields = tuple(message.headers)
        row = (message.method, message.target, message.status, fields, body, complete, tuple(trailers))
        self.messages.append(ParsedMessage(*row))


def random_chunks(rng: Random, body: bytes) -> bytes:
    """Encodes the body in chunks of random sizes, half the time with a trailer."""
    framed = b""
    offset = 0
    while offset < len(body):
        size = rng.choice([1, 7, 500, 9_000]) if len(body) > 100 else rng.randint(1, 9)
        size = max(size, len(body) // 200)
        framed += b"".join(bytes(part) for part in encode_chunk(body[offset : offset + size]))
        offset += size
    return framed + encode_last_chunk([(b"X-Sum", b"1")] if rng.random() < 0.5 else [])


def random_messages(rng: Random, is_request: bool) -> bytes:
    """Returns one to three well-formed messages."""
    encoded = []
    for _ in range(rng.randint(1, 3)):
        start_line = b"POST /a/%d HTTP/1.1" % rng.randrange(9) if is_request else b"HTTP/1.1 200 OK"
        fields = [b"Host: a"] + [b"X-%d: %s" % (n, b"v" * rng.randrange(30)) for n in range(rng.randrange(4))]
        body = rng.randbytes(rng.choice([0, 1, 20, 1000, 70_000]))
        if rng.random() < 0.5:
            fields.append(b"Content-Length: %d" % len(body))
            framed = body
        else:
            fields.append(b"Transfer-Encoding: chunked")
            framed = random_chunks(rng, body)
        encoded.append(start_line + b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n" + framed)
    return b"".join(encoded)


def split_randomly(rng: Random, data: bytes) -> list[bytes]:
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.choice([0, 1, 3, 20])))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if b > a]


def make_parser(is_request: bool) -> RequestParser | ResponseParser:
    return RequestParser() if is_request else ResponseParser()


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans(), st.sampled_from([0, 100, 64 * KIB]))
def test_random_splits_of_random_messages_produce_the_same_events(
    seed: int, is_request: bool, open_at_bytes: int
) -> None:
    rng = Random(seed)
    data = random_messages(rng, is_request)
    # `1 << 40` bytes are above the size of any message: the parser streams no body and returns each message
    # complete.
    unsplit = MessageCollector(make_parser(is_request), 1 << 40)
    for offset in range(0, len(data), 50_000):
        unsplit.feed(data[offset : offset + 50_000])
    assert unsplit.parser.fault is None
    fragmented = MessageCollector(make_parser(is_request), open_at_bytes)
    for piece in split_randomly(rng, data):
        fragmented.feed(piece)
    assert fragmented.parser.fault is None
    assert not fragmented.parser.has_partial_message
    # The parser returns the trailers of a streamed body and drops those of a completely buffered body.
    assert [row._replace(trailers=()) for row in fragmented.messages] == [
        row._replace(trailers=()) for row in unsplit.messages
    ]


COMPLETE_MESSAGES = {
    True: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
    False: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
}


@pytest.mark.parametrize("open_at_bytes", [-1, 0], ids=["in memory", "in pieces"])
@pytest.mark.parametrize("length", [1, 20, 38])
@pytest.mark.parametrize("is_request", [True, False], ids=["requests", "responses"])
def test_partial_message_is_detected_after_a_complete_one_in_the_same_read(
    is_request: bool, length: int, open_at_bytes: int
) -> None:
    message = COMPLETE_MESSAGES[is_request]
    collector = MessageCollector(make_parser(is_request), open_at_bytes if open_at_bytes >= 0 else 1 << 40)
    collector.feed(message)
    assert not collector.parser.has_partial_message
    collector.feed(message + message[:length])
    assert collector.parser.has_partial_message
    collector.feed(message[length:])
    assert not collector.parser.has_partial_message
    assert collector.parser.fault is None


# Errors where h11 is stricter, without an effect on where a message ends: a request without Host, an empty
# line or a stray CR before the start line (RFC 9112 section 2.2), blanks or a NUL in the start line.
H11_ONLY_ERRORS = (
    "Missing mandatory Host",
    "illegal request line",
    "illegal status line",
    "no request line received",
    "no response line received",
)


class ParsedByH11(NamedTuple):
    """Messages that h11 finds in some bytes, and the text of h11's error, empty without an error."""

    messages: list[ParsedMessage]
    fault: str


def h11_connection(data: bytes, is_request: bool) -> h11.Connection:
    """Returns an h11 connection that has received these bytes and expects a message."""
    connection = h11.Connection(h11.SERVER if is_request else h11.CLIENT, MAX_BODY_BYTES)
    if not is_request:
        connection.send(h11.Request(method="POST", target="/", headers=[("host", "a")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    return connection


def next_h11_message(connection: h11.Connection) -> ParsedMessage | None:
    """Returns the next message that h11 finds; None if the message is incomplete.

    Raises:
        h11.RemoteProtocolError: The message is malformed.
    """
    head: h11.Request | h11.Response | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            break
    method = head.method if isinstance(head, h11.Request) else b""
    target = head.target if isinstance(head, h11.Request) else b""
    status = head.status_code if isinstance(head, h11.Response) else 0
    return ParsedMessage(method, target, status, (), body, True, ())


def parse_with_h11(data: bytes, is_request: bool) -> ParsedByH11:
    messages: list[ParsedMessage] = []
    while data:
        connection = h11_connection(data, is_request)
        try:
            message = next_h11_message(connection)
        except h11.RemoteProtocolError as error:
            return ParsedByH11(messages, str(error))
        if message is None:
            break
        messages.append(message)
        data = connection.trailing_data[0]
    return ParsedByH11(messages, "")


def corrupt(rng: Random, data: bytes) -> bytes:
    """Makes one or two small random changes.

    A change is to a byte among the first 400, to a line end, to the framing headers or to the last chunk.
    """
    for _ in range(rng.randint(1, 2)):
        offset = rng.randrange(min(len(data), 400))
        kind = rng.randrange(6)
        if kind == 0:
            data = data[:offset] + bytes([rng.choice(b"\r\n\x00 \t:;,+-0123456789aFx")]) + data[offset + 1 :]
        elif kind == 1:
            data = data[:offset] + data[offset + 1 :]
        elif kind == 2:
            data = data[:offset] + bytes([rng.choice(b"\r\n \t0;")]) + data[offset:]
        elif kind == 3:
            data = data.replace(b"\r\n", b"\n", 1)
        elif kind == 4:
            line = rng.choice([b"Content-Length: 5", b"Transfer-Encoding: chunked", b" folded"])
            data = data.replace(b"Host: a", b"Host: a\r\n" + line, 1)
        else:
            data = data.replace(b"\r\n0\r\n", b"\r\n0;%s\r\n" % rng.choice([b"a", b"a=b", b'a="b;c"']), 1)
    return data


@settings(max_examples=600, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans())
def test_accepted_input_has_the_same_meaning_to_h11(seed: int, is_request: bool) -> None:
    """Guards against request smuggling: the parser may reject more than h11, but not find other messages."""
    rng = Random(seed)
    data = random_messages(rng, is_request)
    if rng.random() < 0.8:
        data = corrupt(rng, data)
    collector = MessageCollector(make_parser(is_request), rng.choice([0, 100, 64 * KIB]))
    for piece in split_randomly(rng, data):
        collector.feed(piece)
    h11_messages, fault = parse_with_h11(data, is_request)
    if fault.startswith(H11_ONLY_ERRORS):
        return
    parsed = [row._replace(headers=(), trailers=()) for row in collector.messages]
    # A corrupted message may be incomplete or rejected; the messages that were parsed must agree with h11's.
    assert parsed == h11_messages[: len(parsed)], data[:500]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans())
def test_well_formed_messages_are_accepted_as_by_h11(seed: int, is_request: bool) -> None:
    rng = Random(seed)
    data = random_messages(rng, is_request)
    collector = MessageCollector(make_parser(is_request), 100)
    for piece in split_randomly(rng, data):
        collector.feed(piece)
    h11_messages, fault = parse_with_h11(data, is_request)
    assert not fault
    assert collector.parser.fault is None
    assert [row._replace(headers=(), trailers=()) for row in collector.messages] == h11_messages


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 2**32))
@example(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 0)
def test_feed_does_not_raise_on_arbitrary_input(data: bytes, seed: int) -> None:
    rng = Random(seed)
    for is_request in (True, False):
        collector = MessageCollector(make_parser(is_request), 0)
        for piece in split_randomly(rng, random_messages(rng, is_request)[: rng.randrange(400)] + data) or [
            data
        ]:
            collector.feed(piece)


def collector_with_open_body(head: bytes, open_at_bytes: int = 0) -> MessageCollector:
    collector = MessageCollector(RequestParser(), open_at_bytes)
    collector.feed(head)
    return collector


def test_body_of_known_length_is_returned_as_views_of_the_read_buffer() -> None:
    """Guards against a copy of the body by the parser."""
    parser = RequestParser()
    parser.on_head = lambda _message: parser.stream(0, MAX_BODY_BYTES)
    assert parser.feed(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab") == []
    assert parser.is_openable
    assert parser.open().body == b"ab"
    buffer = bytearray(b"cdefghij" + b"GET /b HTTP/1.1\r\n\r\n")
    piece, end, following = parser.feed(memoryview(buffer))
    assert isinstance(piece, memoryview)
    assert piece.obj is buffer
    assert bytes(piece) == b"cdefghij"
    assert isinstance(end, BodyEnd)
    assert isinstance(following, Message)
    assert following.target == b"/b"
    piece.release()


def test_chunked_body_with_more_framing_than_body_is_rejected() -> None:
    collector = collector_with_open_body(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
    fed_bytes = 0
    while collector.parser.fault is None and fed_bytes < 10 * MAX_BODY_BYTES:
        collector.feed(b"1\r\na\r\n" * 1000)
        fed_bytes += 6000
    assert collector.parser.fault is not None
    assert collector.parser.fault.text == "more framing than body"
    assert fed_bytes < 256 * KIB


@pytest.mark.parametrize(
    "endless", [b"5;" + b"x" * 100_000, b"0\r\nX: " + b"y" * 100_000], ids=["extension", "trailer"]
)
def test_endless_chunk_extension_or_trailer_is_rejected_before_it_is_buffered(endless: bytes) -> None:
    collector = collector_with_open_body(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
    fed_bytes = 0
    for offset in range(0, len(endless), 8 * KIB):
        collector.feed(endless[offset : offset + 8 * KIB])
        fed_bytes += 8 * KIB
        if collector.parser.fault is not None:
            break
    assert collector.parser.fault is not None
    assert fed_bytes <= 48 * KIB


def test_stated_length_is_checked_at_the_head_and_chunks_when_they_exceed_the_limit() -> None:
    for head, body_bytes in (
        (b"Content-Length: 11\r\n\r\n", b""),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"a\r\n0123456789\r\n1\r\na\r\n"),
    ):
        parser = RequestParser()
        parser.on_head = lambda _message, parser=parser: parser.stream(0, 10)  # type: ignore[misc]
        parser.feed(b"POST / HTTP/1.1\r\n" + head + body_bytes)
        assert parser.fault is not None
        assert parser.fault.status == 413


def test_framing_error_raised_by_on_head_becomes_the_fault() -> None:
    def reject(_message: Message) -> None:
        raise FramingError(403, "not here")

    parser = RequestParser()
    parser.on_head = reject
    parser.feed(b"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n")
    assert parser.fault == Fault(403, "not here")
