"""Messages between forwarders and planners, encoded as MessagePack. The schema is docs/planning-link.md.

Unknown fields are ignored, so that a newer peer can send more; a known field of a wrong type makes the whole
message invalid. Where an attribute and its field on the wire have different names, `field(name=...)` gives
the name from docs/planning-link.md. Servers are identified by numbers, assigned per session and pool in the
order in which their addresses are first sent. Times are durations in milliseconds: the clocks of two machines
are never compared. No I/O.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from sandhatch.planning.errors import BadMessageError

VERSION = 1  # protocol version

T = TypeVar("T")

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(min_length=1, max_length=300)]
Count = Annotated[int, Meta(ge=0, lt=2**48)]
Serial = Annotated[int, Meta(ge=0, lt=2**62)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # duration in milliseconds, at most one hour

MAX_NOTE_CHARACTERS = 300


class Row(Struct, array_like=True):
    """A forwarder's observations of one server since its previous row for that server.

    Attributes:
        server: Number of the server in the session.
        outstanding: Number of attempts in flight now.
        ok: Number of attempts that succeeded.
        failed: Number of attempts that got an error response, timed out, or lost their connection.
        rejected: Number of attempts proven never to have been executed.
        spent_ms: Sum of the response times of the successful attempts.
        sketch: Response times of the successful attempts, as alternating buckets and counts; see
            `quantile_sketch`.
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
        server: Number of the server in the session.
        rate: Fraction of the ramp's rate.
        burst: Number of attempts that may be sent at once.
    """

    server: Count
    rate: Annotated[float, Meta(ge=0.0, le=1.0)]
    burst: Amount


class PoolReport(Struct):
    """A forwarder's report on one pool.

    Attributes:
        pool: Name of the pool.
        instances: Number of forwarders configured for the pool.
        instance_index: Index of this forwarder among the pool's forwarders, from 0.
        burst: Burst of a warm-up ramp, in attempts, summed over all instances.
        names: Addresses of servers, numbered in this session in the order in which they are sent.
        rows: Observations by server.
        warming_up: Servers that started warming up since the last report.
        warm: Servers that became warm since the last report.
        not_ready: Servers that were removed from the endpoint list or started draining.
        demand: Number of requests that arrived since the last report, by request class.
        previous_grants: Ramp shares granted by the planner's previous incarnation that are still valid; sent
            in the first reports of a session.
        anew: Whether the numbering of servers and all totals start again.
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
        span_ms: Duration that the report covers.
        epoch: Epoch of the last advice that was applied; 0 for none.
        version: Version of the last advice that was applied; 0 for none.
        leases_shares: Whether the planner may grant the forwarder's own shares; their lease started when the
            planner sent the advice of this version.
        pools: Reports, one per pool.
    """

    serial: Serial
    span_ms: Span
    epoch: Serial = 0
    version: Serial = 0
    leases_shares: bool = field(default=False, name="lends")
    pools: list[PoolReport] = []


class WeightRow(Struct, array_like=True, frozen=True):
    """Advised weight of one server, with the evidence for it.

    Attributes:
        server: Number of the server in the session.
        weight: Advised fraction of the server's usual random selections by the balancer.
        reason: Reason for a weight below 1.
        ratio: The measure behind the reason, as a multiple of the tier's baseline.
        reports: Number of reports that mentioned the server since the previous update.
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
        weights: Weights of the servers whose weight is not 1; None retains the previous weights.
        ramp_shares: All ramp shares granted to the forwarder.
        own_share: The forwarder's share of the tier's capacity; None retains the previous share.
    """

    pool: Name
    weights: list[WeightRow] | None = None
    ramp_shares: list[RampShareRow] = field(default_factory=list, name="parts")
    own_share: float | None = field(default=None, name="own_part")


class Advice(Struct, tag="advice"):
    """A planner's response to one report.

    Attributes:
        epoch: Number of the planner's incarnation; later incarnations have higher numbers.
        version: Number of this advice, above all earlier numbers of the epoch.
        answered_serial: Serial of the report that led to this advice; the lease starts when that report was
            sent.
        lease_ms: Validity of the advice.
        share_lease_ms: Duration of the lease of the forwarder's own shares, renewed by each advice.
        has_lease: Whether the planner counts the forwarder's own shares as leased to it; `ramp_shares` and
            `own_share` apply only then.
        learning: Whether the planner has not yet received enough reports to grant new shares.
        note: Text for the forwarder's operator.
        pools: Advice on each pool.
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
    """Message by which its sender ends the session; `why` is the reason."""

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
        BadMessageError: The payload is not a valid message.
    """
    return _decode(_decoder, payload)


def _decode(decoder: msgspec.msgpack.Decoder[T], payload: bytes | memoryview) -> T:
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadMessageError(str(error)) from None


# ---------------------------------------------------------------- handshake, before the peer is authenticated


Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=32, max_length=64)]


class Hello(Struct, tag="hello"):
    """The first frame, from the forwarder.

    Attributes:
        versions: Protocol versions that the forwarder supports.
        name: The forwarder's name.
        planner: Name of the planner that the forwarder wants to connect to.
        method: Authentication method of the forwarder's key.
        ephemeral: X25519 public key of this session.
        known_epoch: The highest epoch of this planner that the forwarder has seen. A planner with a lower
            epoch was started after its system's time was set back, and continues with `known_epoch` + 1.
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
        epoch: Number of the planner's incarnation.
        ephemeral: X25519 public key of this session.
    """

    version: Count
    name: Name
    epoch: Serial
    ephemeral: Key


class Welcome(Struct, tag="welcome"):
    """The planner's response to a `Hello`.

    Attributes:
        body: An encoded `WelcomeBody`; these bytes are covered by `proof`.
        proof: The planner's proof of its key over the transcript.
    """

    body: Annotated[bytes, Meta(max_length=512)]
    proof: Signature


class Proof(Struct, tag="proof"):
    """The forwarder's proof of its key over the transcript."""

    proof: Signature


Handshake = Hello | Welcome | Proof | Bye

_handshake_decoder: msgspec.msgpack.Decoder[Handshake] = msgspec.msgpack.Decoder(Handshake)
_welcome_body_decoder: msgspec.msgpack.Decoder[WelcomeBody] = msgspec.msgpack.Decoder(WelcomeBody)


def encode_handshake(message: Handshake | WelcomeBody) -> bytes:
    """Encode a message of the handshake."""
    return _encoder.encode(message)


def decode_handshake(payload: bytes) -> Handshake:
    """Decode a message of the handshake.

    Raises:
        BadMessageError: The payload is not a valid handshake message.
    """
    return _decode(_handshake_decoder, payload)


def decode_body(payload: bytes) -> WelcomeBody:
    """Decode the body of a `Welcome`.

    Raises:
        BadMessageError: The payload is not a valid body.
    """
    return _decode(_welcome_body_decoder, payload)
