"""What forwarders and planners say to each other, as MessagePack. The schema is docs/planning-link.md.

Unknown fields are passed over, so that a newer peer can say more; a known one of the wrong type makes the
whole message bad. Servers are named by numbers, in each session and pool in the order of their addresses'
first coming. Times are durations in milliseconds: no clock is compared with another's.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

VERSION = 1  # of the protocol

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=1, max_length=300)]
Count = Annotated[int, Meta(ge=0, lt=2**48)]
Serial = Annotated[int, Meta(ge=0, lt=2**62)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # milliseconds


class BadMessageError(ValueError):
    """What came is no message of this protocol; says what is wrong with it."""


class Row(Struct, array_like=True):
    """What a forwarder saw of one server since its last report of it. `outstanding` is what it is now.

    `sketch` holds pairs of a bucket and its count, of the answers' times; see `sketch`.
    """

    server: Count
    outstanding: Count
    ok: Count = 0
    failed: Count = 0  # answered with an error, not in time, or the connection was lost
    rejected: Count = 0  # proven never to have run
    spent_ms: Amount = 0.0  # the sum of the times of those that are ok
    sketch: list[Count] = []


class PartRow(Struct, array_like=True, frozen=True):
    """A part in a server's ramp: of its rate, and calls at once."""

    server: Count
    rate: Annotated[float, Meta(ge=0.0, le=1.0)]
    burst: Amount


class PoolReport(Struct):
    """One pool. `me` of `copies` is the forwarder's place there; `burst` is the ramp's, all copies together.

    `names` are servers' addresses, which are numbered in this session as they come, from 0 on. `cold`, `warm`
    and `left` name servers that have become so since the last report; one that has left is gone or drains.
    `demand` counts the requests that came, by class. `held` is told in a session's first reports: parts that
    still count, from the planner's earlier life.
    """

    pool: Name
    copies: Annotated[int, Meta(ge=1, le=100_000)] = 1
    me: Annotated[int, Meta(ge=0, le=100_000)] = 0
    burst: Amount = 1.0
    names: list[Address] = []
    rows: list[Row] = []
    cold: list[Count] = []
    warm: list[Count] = []
    left: list[Count] = []
    demand: dict[Name, Count] = {}
    held: list[PartRow] = []
    anew: bool = False  # the forwarder numbers servers from 0 again, and counts what it says anew


class Report(Struct, tag="report"):
    """`epoch` and `version` are of the last advice taken, both 0 for none. `lends`: this planner may count
    the forwarder's own parts as its to grant, for `lend_ms` from when it sent that advice.
    """

    serial: Serial
    span_ms: Span  # that this report covers
    epoch: Serial = 0
    version: Serial = 0
    lends: bool = False
    pools: list[PoolReport] = []


class WeightRow(Struct, array_like=True, frozen=True):
    """How much of its draws a server should keep, and why: the measure that tells, by how many times it is
    beyond the tier's, and how many reports of the last look told of it.
    """

    server: Count
    weight: float
    why: Annotated[str, Meta(max_length=32)] = ""
    ratio: float = 0.0
    reports: Count = 0


class PoolAdvice(Struct):
    """`weights` of None leave those before. `parts` name all that is granted."""

    pool: Name
    weights: list[WeightRow] | None = None
    parts: list[PartRow] = []
    own_part: float | None = None


class Advice(Struct, tag="advice"):
    """Counts for `lease_ms` from when the report was sent that it answers. `lending`: this planner counts the
    forwarder's own parts as lent to it; `parts` and `own_part` say something only then.
    """

    epoch: Serial
    version: Serial
    answers: Serial
    lease_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)]
    lend_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)]
    lending: bool = False
    learning: bool = False  # it has not heard enough to say more
    note: Annotated[str, Meta(max_length=300)] = ""
    pools: list[PoolAdvice] = []


class Bye(Struct, tag="bye"):
    """The sender leaves, and says why."""

    why: Annotated[str, Meta(max_length=300)] = ""


Message = Report | Advice | Bye

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(payload: bytes | memoryview) -> Message:
    """One message; BadMessageError."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise BadMessageError(str(problem)) from None


# ---------------------------------------------------------------- before anyone is known


Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=32, max_length=64)]


class Hello(Struct, tag="hello"):
    """A forwarder's first words. `knows` is the highest epoch of this planner's that it has seen: a planner
    whose own is not above that has been started with an earlier time, and takes the next.
    """

    versions: Annotated[list[Count], Meta(min_length=1, max_length=16)]
    name: Name
    planner: Name  # whom it means to speak to
    method: Annotated[str, Meta(max_length=16)]
    ephemeral: Key  # X25519
    knows: Serial = 0


class WelcomeBody(Struct):
    version: Count
    name: Name
    epoch: Serial
    ephemeral: Key


class Welcome(Struct, tag="welcome"):
    """`body` is a `WelcomeBody`, as bytes, since these are what `proof` is made over."""

    body: Annotated[bytes, Meta(max_length=512)]
    proof: Signature


class Proof(Struct, tag="proof"):
    proof: Signature


Handshake = Hello | Welcome | Proof | Bye

_hands: msgspec.msgpack.Decoder[Handshake] = msgspec.msgpack.Decoder(Handshake)
_body: msgspec.msgpack.Decoder[WelcomeBody] = msgspec.msgpack.Decoder(WelcomeBody)


def encode_handshake(message: Handshake | WelcomeBody) -> bytes:
    return _encoder.encode(message)


def decode_handshake(payload: bytes) -> Handshake:
    """BadMessageError."""
    try:
        return _hands.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise BadMessageError(str(problem)) from None


def decode_body(payload: bytes) -> WelcomeBody:
    try:
        return _body.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise BadMessageError(str(problem)) from None
