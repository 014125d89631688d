"""Messages between forwarders and planners, encoded as MessagePack. The schema is docs/planning-link.md.

Unknown fields are ignored, so that a newer peer can send more; a known field of a wrong type makes the whole
message invalid. Where an attribute has another name than its field on the wire, `field(name=...)` gives the
name that docs/planning-link.md states. Servers are identified by numbers, assigned in each session and pool
in the order in which their addresses are first sent. Times are durations in milliseconds: clocks of two
machines are never compared. No I/O.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from sandhatch.planning.errors import BadMessageError

VERSION = 1  # of the protocol

T = TypeVar("T")

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=1, max_length=300)]
Count = Annotated[int, Meta(ge=0, lt=2**48)]
Serial = Annotated[int, Meta(ge=0, lt=2**62)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # milliseconds

MAX_NOTE_CHARACTERS = 300


class Row(Struct, array_like=True):
    """What a forwarder observed of one server since its previous row of that server.

    Attributes:
        server: The session's number of the server.
        outstanding: Attempts in flight now.
        ok: Attempts that succeeded.
        failed: Attempts answered with an error, timed out, or whose connection was lost.
        rejected: Attempts proven never to have been executed.
        spent_ms: Sum of the response times of the successful attempts.
        sketch: Response times, as pairs of a bucket and its count; see `quantile_sketch`.
    """

    server: Count
    outstanding: Count
    ok: Count = 0
    failed: Count = 0
    rejected: Count = 0
    spent_ms: Amount = 0.0
    sketch: list[Count] = []


class RampShareRow(Struct, array_like=True, frozen=True):
    """A share in a server's warm-up ramp.

    Attributes:
        server: The session's number of the server.
        rate: Fraction of the ramp's rate.
        burst: Attempts that may be sent at once.
    """

    server: Count
    rate: Annotated[float, Meta(ge=0.0, le=1.0)]
    burst: Amount


class PoolReport(Struct):
    """A forwarder's report on one pool.

    Attributes:
        pool: Name of the pool.
        instances: Number of forwarders configured for the pool.
        instance_index: Index of this forwarder among them, from 0.
        burst: Burst of a warm-up ramp, in attempts of all instances together.
        names: Addresses of servers, numbered in this session in the order in which they are sent.
        rows: Observations of servers.
        warming_up: Servers that started warming up since the last report.
        warm: Servers that became warm since the last report.
        not_ready: Servers that were removed from the endpoint list or started draining.
        demand: Requests that arrived, by request class.
        previous_grants: Ramp shares granted by the planner's previous incarnation that are still valid; sent
            in the first reports of a session.
        anew: The numbering of servers and all totals start again.
    """

    pool: Name
    instances: Annotated[int, Meta(ge=1, le=100_000)] = field(default=1, name="copies")
    instance_index: Annotated[int, Meta(ge=0, le=100_000)] = field(default=0, name="me")
    burst: Amount = 1.0
    names: list[Address] = []
    rows: list[Row] = []
    warming_up: list[Count] = field(default_factory=list, name="cold")
    warm: list[Count] = []
    not_ready: list[Count] = field(default_factory=list, name="left")
    demand: dict[Name, Count] = {}
    previous_grants: list[RampShareRow] = field(default_factory=list, name="held")
    anew: bool = False


class Report(Struct, tag="report"):
    """A forwarder's periodic report.

    Attributes:
        serial: Number of the report in its session, from 1.
        span_ms: Time that the report covers.
        epoch: Epoch of the last advice that was applied; 0 for none.
        version: Version of the last advice that was applied; 0 for none.
        leases_shares: The planner may grant the forwarder's own shares, for the lease time that started when
            it sent that advice.
        pools: One report for each pool.
    """

    serial: Serial
    span_ms: Span
    epoch: Serial = 0
    version: Serial = 0
    leases_shares: bool = field(default=False, name="lends")
    pools: list[PoolReport] = []


class WeightRow(Struct, array_like=True, frozen=True):
    """Advised weight of one server, and the evidence.

    Attributes:
        server: The session's number of the server.
        weight: Fraction of its draws that the server should keep.
        reason: What speaks against the server.
        ratio: How many times the tier's baseline the measure is.
        reports: Reports that mentioned the server since the previous update.
    """

    server: Count
    weight: float
    reason: Annotated[str, Meta(max_length=32)] = ""
    ratio: float = 0.0
    reports: Count = 0


class PoolAdvice(Struct):
    """Advice on one pool.

    Attributes:
        pool: Name of the pool.
        weights: Servers whose weight is not 1; None keeps the weights advised before.
        ramp_shares: All ramp shares that are granted.
        own_share: The forwarder's share of the tier's capacity; None keeps the share advised before.
    """

    pool: Name
    weights: list[WeightRow] | None = None
    ramp_shares: list[RampShareRow] = field(default_factory=list, name="parts")
    own_share: float | None = field(default=None, name="own_part")


class Advice(Struct, tag="advice"):
    """A planner's answer to one report.

    Attributes:
        epoch: The planner's incarnation; a later one is higher.
        version: Number of this advice, above all earlier ones of the epoch.
        answered_serial: Serial of the report; the lease starts when that report was sent.
        lease_ms: How long the advice is valid.
        share_lease_ms: How long the forwarder's own shares are leased, from each advice on.
        has_lease: The planner counts the forwarder's own shares as leased to it; `ramp_shares` and
            `own_share` apply only then.
        learning: The planner has not received enough reports to grant anything new.
        note: Text for the forwarder's operator.
        pools: Advice by pool.
    """

    epoch: Serial
    version: Serial
    answered_serial: Serial = field(name="answers")
    lease_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)]
    share_lease_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)] = field(name="lend_ms")
    has_lease: bool = field(default=False, name="lending")
    learning: bool = False
    note: Annotated[str, Meta(max_length=MAX_NOTE_CHARACTERS)] = ""
    pools: list[PoolAdvice] = []


class Bye(Struct, tag="bye"):
    """The sender ends the session, and says why."""

    why: Annotated[str, Meta(max_length=MAX_NOTE_CHARACTERS)] = ""


Message = Report | Advice | Bye

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message of an established session."""
    return _encoder.encode(message)


def decode(payload: bytes | memoryview) -> Message:
    """Decode a message of an established session.

    Raises:
        BadMessageError: The payload is not such a message.
    """
    return _decode(_decoder, payload)


def _decode(decoder: msgspec.msgpack.Decoder[T], payload: bytes | memoryview) -> T:
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise BadMessageError(str(problem)) from None


# ---------------------------------------------------------------- handshake, before the peer is authenticated


Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=32, max_length=64)]


class Hello(Struct, tag="hello"):
    """The first frame, from the forwarder.

    Attributes:
        versions: Protocol versions that the forwarder supports.
        name: The forwarder's name.
        planner: Name of the planner that it wants to connect to.
        method: Authentication method of its key.
        ephemeral: X25519 public key of this session.
        known_epoch: The highest epoch of this planner that it has seen. A planner whose epoch is lower was
            started with an earlier time, and takes the next one.
    """

    versions: Annotated[list[Count], Meta(min_length=1, max_length=16)]
    name: Name
    planner: Name
    method: Annotated[str, Meta(max_length=16)]
    ephemeral: Key
    known_epoch: Serial = field(default=0, name="knows")


class WelcomeBody(Struct):
    """The authenticated part of a `Welcome`.

    Attributes:
        version: Protocol version that the planner chose.
        name: The planner's name.
        epoch: The planner's incarnation.
        ephemeral: X25519 public key of this session.
    """

    version: Count
    name: Name
    epoch: Serial
    ephemeral: Key


class Welcome(Struct, tag="welcome"):
    """The planner's answer to a hello.

    Attributes:
        body: A `WelcomeBody`, as the bytes that `proof` covers.
        proof: The planner's proof of its key over the transcript.
    """

    body: Annotated[bytes, Meta(max_length=512)]
    proof: Signature


class Proof(Struct, tag="proof"):
    """The forwarder's proof of its key over the transcript."""

    proof: Signature


Handshake = Hello | Welcome | Proof | Bye

_handshake_decoder: msgspec.msgpack.Decoder[Handshake] = msgspec.msgpack.Decoder(Handshake)
_body_decoder: msgspec.msgpack.Decoder[WelcomeBody] = msgspec.msgpack.Decoder(WelcomeBody)


def encode_handshake(message: Handshake | WelcomeBody) -> bytes:
    """Encode a message of the handshake."""
    return _encoder.encode(message)


def decode_handshake(payload: bytes) -> Handshake:
    """Decode a message of the handshake.

    Raises:
        BadMessageError: The payload is not such a message.
    """
    return _decode(_handshake_decoder, payload)


def decode_body(payload: bytes) -> WelcomeBody:
    """Decode the body of a `Welcome`.

    Raises:
        BadMessageError: The payload is not such a body.
    """
    return _decode(_body_decoder, payload)
