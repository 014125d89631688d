"""The framing by itself: however a message is split, the same events come of it; and what is accepted means
the same to another reader (h11), on well-formed and on damaged input.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sandhatch.http1.errors import Fault, FramingError
from sandhatch.http1.events import End
from sandhatch.http1.message import Message
from sandhatch.http1.parser import RequestParser, ResponseParser
from sandhatch.http1.serializer import chunk, last_chunk
from sandhatch.streaming.headers import Headers

KIB = 1024
MAX_BODY_BYTES = 4096 * KIB


class ParsedMessage(NamedTuple):
    """A message as it was received, complete or in pieces."""

    method: bytes
    target: bytes
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    complete: bool
    trailers: tuple[tuple[bytes, bytes], ...]


class Collected:
    """Feeds a reader as a connection does, opening what may be opened, and collects what comes."""

    def __init__(self, reader: RequestParser | ResponseParser, hold: int) -> None:
        self.reader = reader
        self.seen: list[ParsedMessage] = []
        self._open: Message | None = None
        self._parts: list[bytes] = []
        reader.on_head = lambda _message: reader.stream(hold, MAX_BODY_BYTES)

    def feed(self, data: bytes) -> None:
        for event in self.reader.feed(data):
            if isinstance(event, Message):
                self._add(event, event.body, True, [])
            elif isinstance(event, End):
                assert self._open is not None
                self._add(self._open, b"".join(self._parts), True, event.trailers)
                self._open = None
            else:
                assert self._open is not None, "a piece of a body that was not opened"
                assert len(event)
                self._parts.append(bytes(event))
        if self.reader.openable:
            self._open = self.reader.open()
            self._parts = [self._open.body]

    def _add(self, message: Message, body: bytes, complete: bool, trailers: Headers) -> None:
        fields = tuple(message.headers)
        row = (message.method, message.target, message.status, fields, body, complete, tuple(trailers))
        self.seen.append(ParsedMessage(*row))


def random_chunks(rng: Random, body: bytes) -> bytes:
    """The body in chunks of random sizes, some with a trailer."""
    framed = b""
    at = 0
    while at < len(body):
        size = rng.choice([1, 7, 500, 9_000]) if len(body) > 100 else rng.randint(1, 9)
        size = max(size, len(body) // 200)
        framed += b"".join(bytes(part) for part in chunk(body[at : at + size]))
        at += size
    return framed + last_chunk([(b"X-Sum", b"1")] if rng.random() < 0.5 else [])


def random_messages(rng: Random, request: bool) -> bytes:
    """One to three well-formed messages."""
    out = []
    for _ in range(rng.randint(1, 3)):
        first = b"POST /a/%d HTTP/1.1" % rng.randrange(9) if request else b"HTTP/1.1 200 OK"
        fields = [b"Host: a"] + [b"X-%d: %s" % (n, b"v" * rng.randrange(30)) for n in range(rng.randrange(4))]
        body = rng.randbytes(rng.choice([0, 1, 20, 1000, 70_000]))
        if rng.random() < 0.5:
            fields.append(b"Content-Length: %d" % len(body))
            framed = body
        else:
            fields.append(b"Transfer-Encoding: chunked")
            framed = random_chunks(rng, body)
        out.append(first + b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n" + framed)
    return b"".join(out)


def split(rng: Random, data: bytes) -> list[bytes]:
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.choice([0, 1, 3, 20])))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if b > a]


def make_parser(request: bool) -> RequestParser | ResponseParser:
    return RequestParser() if request else ResponseParser()


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans(), st.sampled_from([0, 100, 64 * KIB]))
def test_random_splits_of_random_messages_give_the_same_events(seed: int, request: bool, hold: int) -> None:
    rng = Random(seed)
    data = random_messages(rng, request)
    unsplit = Collected(make_parser(request), 1 << 40)  # never opened: each comes in one piece
    for at in range(0, len(data), 50_000):
        unsplit.feed(data[at : at + 50_000])
    assert unsplit.reader.fault is None
    parts = Collected(make_parser(request), hold)
    for piece in split(rng, data):
        parts.feed(piece)
    assert parts.reader.fault is None
    assert not parts.reader.has_partial_message
    # Trailers are returned with a body in pieces, and dropped with a complete one.
    assert [row._replace(trailers=()) for row in parts.seen] == [
        row._replace(trailers=()) for row in unsplit.seen
    ]


COMPLETE_MESSAGES = {
    True: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
    False: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
}


@pytest.mark.parametrize("hold", [-1, 0], ids=["in memory", "in pieces"])
@pytest.mark.parametrize("length", [1, 20, 38])
@pytest.mark.parametrize("request_side", [True, False], ids=["requests", "responses"])
def test_the_beginning_of_a_message_counts_also_behind_a_complete_one_in_the_same_read(
    request_side: bool, length: int, hold: int
) -> None:
    message = COMPLETE_MESSAGES[request_side]
    collected = Collected(make_parser(request_side), hold if hold >= 0 else 1 << 40)
    collected.feed(message)
    assert not collected.reader.has_partial_message
    collected.feed(message + message[:length])
    assert collected.reader.has_partial_message
    collected.feed(message[length:])
    assert not collected.reader.has_partial_message
    assert collected.reader.fault is None


# Where h11 is the stricter one, and no end of a message depends on it: a request without its Host, an empty
# line or a stray CR before a first line (RFC 9112 section 2.2), blanks or a NUL in it.
FIRST_LINE = (
    "Missing mandatory Host",
    "illegal request line",
    "illegal status line",
    "no request line received",
    "no response line received",
)


class ParsedByH11(NamedTuple):
    """What h11 makes of some bytes, and the fault that it found; empty for none."""

    messages: list[ParsedMessage]
    fault: str


def connection_of_h11(data: bytes, request: bool) -> h11.Connection:
    """An h11 connection that has received these bytes and is due to read a message."""
    connection = h11.Connection(h11.SERVER if request else h11.CLIENT, MAX_BODY_BYTES)
    if not request:
        connection.send(h11.Request(method="POST", target="/", headers=[("host", "a")]))
        connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    return connection


def next_of_h11(connection: h11.Connection) -> ParsedMessage | None:
    """The next message, None if it is incomplete.

    Raises:
        h11.RemoteProtocolError: the message is malformed.
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


def parse_with_h11(data: bytes, request: bool) -> ParsedByH11:
    messages: list[ParsedMessage] = []
    while data:
        connection = connection_of_h11(data, request)
        try:
            message = next_of_h11(connection)
        except h11.RemoteProtocolError as problem:
            return ParsedByH11(messages, str(problem))
        if message is None:
            break
        messages.append(message)
        data = connection.trailing_data[0]
    return ParsedByH11(messages, "")


def damaged(rng: Random, data: bytes) -> bytes:
    """One or two small changes where framing is decided."""
    for _ in range(rng.randint(1, 2)):
        at = rng.randrange(min(len(data), 400))
        kind = rng.randrange(6)
        if kind == 0:
            data = data[:at] + bytes([rng.choice(b"\r\n\x00 \t:;,+-0123456789aFx")]) + data[at + 1 :]
        elif kind == 1:
            data = data[:at] + data[at + 1 :]
        elif kind == 2:
            data = data[:at] + bytes([rng.choice(b"\r\n \t0;")]) + data[at:]
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
def test_what_is_accepted_means_the_same_to_h11(seed: int, request: bool) -> None:
    """Being stricter than it is no fault; to find another end of a message would be smuggling."""
    rng = Random(seed)
    data = random_messages(rng, request)
    if rng.random() < 0.8:
        data = damaged(rng, data)
    ours = Collected(make_parser(request), rng.choice([0, 100, 64 * KIB]))
    for piece in split(rng, data):
        ours.feed(piece)
    theirs, fault = parse_with_h11(data, request)
    if fault.startswith(FIRST_LINE):
        return
    parsed = [row._replace(headers=(), trailers=()) for row in ours.seen]
    # Damage may leave a message incomplete, or rejected; as far as both have read, they agree.
    assert parsed == theirs[: len(parsed)], data[:500]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.booleans())
def test_well_formed_messages_are_accepted_as_h11_does(seed: int, request: bool) -> None:
    rng = Random(seed)
    data = random_messages(rng, request)
    ours = Collected(make_parser(request), 100)
    for piece in split(rng, data):
        ours.feed(piece)
    theirs, fault = parse_with_h11(data, request)
    assert not fault
    assert ours.reader.fault is None
    assert [row._replace(headers=(), trailers=()) for row in ours.seen] == theirs


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 2**32))
@example(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 0)
def test_no_input_raises(data: bytes, seed: int) -> None:
    rng = Random(seed)
    for request in (True, False):
        ours = Collected(make_parser(request), 0)
        for piece in split(rng, random_messages(rng, request)[: rng.randrange(400)] + data) or [data]:
            ours.feed(piece)


def opened(head: bytes, hold: int = 0) -> Collected:
    found = Collected(RequestParser(), hold)
    found.feed(head)
    return found


def test_a_body_of_known_length_comes_as_views_of_what_was_read() -> None:
    """Nothing is copied on its way through the framing."""
    reader = RequestParser()
    reader.on_head = lambda _message: reader.stream(0, MAX_BODY_BYTES)
    assert reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab") == []
    assert reader.openable
    assert reader.open().body == b"ab"
    buffer = bytearray(b"cdefghij" + b"GET /b HTTP/1.1\r\n\r\n")
    piece, end, following = reader.feed(memoryview(buffer))
    assert isinstance(piece, memoryview)
    assert piece.obj is buffer
    assert bytes(piece) == b"cdefghij"
    assert isinstance(end, End)
    assert isinstance(following, Message)
    assert following.target == b"/b"
    piece.release()


def test_more_framing_than_body_is_rejected() -> None:
    found = opened(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
    fed = 0
    while found.reader.fault is None and fed < 10 * MAX_BODY_BYTES:
        found.feed(b"1\r\na\r\n" * 1000)
        fed += 6000
    assert found.reader.fault is not None
    assert found.reader.fault.text == "more framing than body"
    assert fed < 256 * KIB


@pytest.mark.parametrize(
    "endless", [b"5;" + b"x" * 100_000, b"0\r\nX: " + b"y" * 100_000], ids=["extension", "trailer"]
)
def test_an_endless_extension_or_trailer_is_rejected_before_it_is_buffered(endless: bytes) -> None:
    found = opened(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
    fed = 0
    for at in range(0, len(endless), 8 * KIB):
        found.feed(endless[at : at + 8 * KIB])
        fed += 8 * KIB
        if found.reader.fault is not None:
            break
    assert found.reader.fault is not None
    assert fed <= 48 * KIB


def test_a_stated_length_is_limited_at_the_head_and_chunks_where_they_exceed_it() -> None:
    for head, more in (
        (b"Content-Length: 11\r\n\r\n", b""),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"a\r\n0123456789\r\n1\r\na\r\n"),
    ):
        reader = RequestParser()
        reader.on_head = lambda _message, reader=reader: reader.stream(0, 10)  # type: ignore[misc]
        reader.feed(b"POST / HTTP/1.1\r\n" + head + more)
        assert reader.fault is not None
        assert reader.fault.status == 413


def test_a_rejection_at_the_head_becomes_the_fault() -> None:
    def reject(_message: Message) -> None:
        raise FramingError(403, "not here")

    reader = RequestParser()
    reader.on_head = reject
    reader.feed(b"POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n")
    assert reader.fault == Fault(403, "not here")
